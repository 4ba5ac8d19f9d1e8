"""Fault soak: real processes under external faults, checked by what callers and servers observe."""

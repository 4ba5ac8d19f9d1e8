"""Fault soak: real processes, faults from outside, promises checked from what others see."""

"""Decide: pure functions of state, event and present time."""

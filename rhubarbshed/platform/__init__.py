"""Adapter to the users' platform: its names, formats and calls; it makes no decisions."""

"""Decisions of an instance on the users' platform, without input or output."""

"""Decisions of an instance on the users' platform, free of input and output."""

"""Instances and backend servers in this instance's view, with load and failures."""

"""Instances and backend servers as this instance sees them."""

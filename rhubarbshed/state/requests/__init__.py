"""Requests at hand and what they did to backend servers."""

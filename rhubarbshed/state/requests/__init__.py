"""Requests in progress and their effects on backend servers."""

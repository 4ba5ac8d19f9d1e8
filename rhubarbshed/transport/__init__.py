"""Carry bytes: HTTP servers and clients, and streams between instances."""

"""Provide small helpers that every layer may use."""

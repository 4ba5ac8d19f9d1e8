"""Helpers that every layer may use."""

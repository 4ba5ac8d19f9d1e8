"""Decisions on who is here and who tells whom."""

"""Placement of copies of models and adapters, and the orders that carry it out."""

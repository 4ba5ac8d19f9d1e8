"""Decisions on models and adapters: where copies are, and the orders that bring them there."""

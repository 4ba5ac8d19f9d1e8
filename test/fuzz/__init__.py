"""Stateful fuzzing of the decisions against an oracle."""

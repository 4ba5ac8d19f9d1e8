"""Serve many models from few accelerators."""

__version__ = "0.1.0"

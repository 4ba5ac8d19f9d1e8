"""State known to an instance."""

"""Local view of the rows of the table service."""

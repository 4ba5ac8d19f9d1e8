"""Define the messages and errors that travel between processes."""

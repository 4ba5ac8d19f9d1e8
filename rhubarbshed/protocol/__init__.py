"""Messages and errors exchanged between processes."""

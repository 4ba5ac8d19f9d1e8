"""Network I/O: HTTP servers and clients, and streams between instances."""

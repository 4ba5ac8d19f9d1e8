"""Commands of the operators' command-line tool."""

"""Provide the commands of the command-line tool."""

"""Loopback addresses of one process, so that nobody else takes a port that one of them has left."""

import os


def make_host(number: int) -> str:
    """Return a loopback address that only this process uses."""
    process = os.getpid()
    return f"127.{1 + process % 250}.{process // 250 % 250}.{number}"

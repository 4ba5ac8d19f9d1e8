"""Kinds of HTTP statuses; without the codec, which instances on the platform do not have."""

from http.client import SWITCHING_PROTOCOLS

INTERIM_STATUS_MIN = 100
FINAL_STATUS_MIN = 200
FINAL_STATUS_MAX = 599
"""Statuses of interim responses begin at 100, those of final ones are from 200 to 599 (RFC 9110,
section 15)."""


def is_interim_status(status: int) -> bool:
    """Return whether a final response follows a response with this status."""
    return INTERIM_STATUS_MIN <= status < FINAL_STATUS_MIN and status != SWITCHING_PROTOCOLS


def is_final_status(status: int) -> bool:
    """Return whether a response with this status is the answer to a request."""
    return FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX

"""Clock of permissions that run out, such as a lease."""

import time


def read_lease_clock() -> float:
    """Return the seconds of a clock that goes on while the machine is suspended.

    `time.monotonic` stands still then on Linux (clock_gettime(2), CLOCK_BOOTTIME), so a machine
    that wakes would take a lease for valid that others have taken over meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

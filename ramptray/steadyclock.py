"""The clock by which ages, leases, limits and deadlines are measured.

It never goes back, and it also counts the time for which the machine was
suspended: after ten seconds away a belief is ten seconds older, whatever the
event loop's own clock says.
"""

from __future__ import annotations

import time

_COUNTS_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Where a system has no such clock, suspension is not seen."""


def read() -> float:
    """Returns seconds since some moment in the past."""
    return time.clock_gettime(_COUNTS_SUSPENSION)


def read_monotonic() -> float:
    """Returns the same without the time for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)

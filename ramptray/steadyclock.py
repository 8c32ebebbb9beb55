"""The clock for ages, leases, rate limits and deadlines.

It never goes back and, unlike the event loop's clock, also counts the time for
which the machine is suspended: data is ten seconds older after a suspension of
ten seconds.
"""

from __future__ import annotations

import asyncio
import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""On systems without CLOCK_BOOTTIME, suspensions are not counted."""


def read() -> float:
    """Returns the seconds since an arbitrary point in the past."""
    return time.clock_gettime(_CLOCK_ID)


def read_monotonic() -> float:
    """Returns the same, less the time for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


def read_loop() -> float:
    """Returns the time of the running event loop, which its timers follow."""
    return asyncio.get_running_loop().time()


def read_cpu() -> float:
    """Returns the processor time of this process, in seconds."""
    return time.clock_gettime(time.CLOCK_PROCESS_CPUTIME_ID)

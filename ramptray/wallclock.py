"""The wall clock, in the unit of the hybrid logical clocks."""

from __future__ import annotations

import time


def read() -> int:
    """Returns the Unix time in microseconds."""
    return time.time_ns() // 1000

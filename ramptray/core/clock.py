"""Hybrid logical clock: orders events of processes with skewed clocks.

A value is the wall clock in microseconds, advanced so that receiving a message
always has a larger value than sending it.
"""

from __future__ import annotations

from collections.abc import Callable


class HybridClock:
    """A process's hybrid logical clock.

    Args:
        read_wall: Returns the wall clock in microseconds.
    """

    def __init__(self, read_wall: Callable[[], int]) -> None:
        self._read_wall = read_wall
        self._last = 0

    def tick(self) -> int:
        """Returns the clock value of an event in this process."""
        self._last = max(self._last + 1, self._read_wall())
        return self._last

    def witness(self, value: int) -> int:
        """Returns the clock value of receiving a message with this value."""
        self._last = max(self._last, value)
        return self.tick()

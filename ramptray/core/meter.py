"""Sums and rates over a sliding window."""

from __future__ import annotations

import collections
import contextlib

MIN_SPAN_S = 1.0
"""Shortest span by which a sum is divided for a rate, in seconds."""


class RateMeter:
    """Sums amounts over a sliding window at constant cost per amount."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._amounts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._sum = 0

    def add(self, amount: int, now: float) -> None:
        """Adds an amount at the current time."""
        self._amounts.append((now, amount))
        self._sum += amount
        self._prune(now)

    def remove(self, amount: int, added_at: float) -> None:
        """Removes an amount that was added at a time, unless it has expired."""
        with contextlib.suppress(ValueError):
            self._amounts.remove((added_at, amount))
            self._sum -= amount

    def get_sum(self, now: float) -> int:
        """Returns the sum over the window."""
        self._prune(now)
        return self._sum

    def get_rate(self, now: float) -> float:
        """Returns the amount a second, or 0 for fewer than two amounts."""
        self._prune(now)
        if len(self._amounts) < 2:
            return 0.0
        span = max(now - self._amounts[0][0], MIN_SPAN_S)
        return self._sum / span

    def _prune(self, now: float) -> None:
        while self._amounts and now - self._amounts[0][0] > self._window_s:
            self._sum -= self._amounts.popleft()[1]

"""How much work a backend server gets while it warms up.

Load pattern: a zone's backend servers come back together and everybody waits
for them.  They bear a few requests a second until they are warm, and fail under
what warm ones bear.
"""

from __future__ import annotations

import collections

WINDOW_S = 1.0
"""Span over which the requests sent to a backend server are counted."""


class WarmUp:
    """Counts what was sent lately to one backend server.

    Args:
        rate_per_s: Requests a second that it bears until it is warm; 0 where
            it needs no warming up.
    """

    __slots__ = ("_rate_per_s", "_sent")

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._sent: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Notes that a request was sent there."""
        if self._rate_per_s:
            self._sent.append(now)

    def has_room(self, now: float, part: float) -> bool:
        """Tells whether one more request may be sent there now.

        Args:
            now: The owner's clock in seconds.
            part: The part of the rate that this owner hands out.
        """
        rate = self._rate_per_s * part
        if not self._rate_per_s:
            return True
        if rate <= 0.0:
            return False
        # A part of less than one request a window is one in several windows.
        window_s = max(WINDOW_S, 1.0 / rate)
        while self._sent and self._sent[0] <= now - window_s:
            self._sent.popleft()
        return len(self._sent) < max(1, int(rate * WINDOW_S))

"""Pacing of the requests to one backend server.

A backend server may accept few requests a second while many are queued, because
it is warming up or has announced a rate limit.  A burst would overload it, and
so would the bursts of successive owners.
"""

from __future__ import annotations

import math

_ROUNDING_S = 1e-9
"""Tolerance for rounding errors in sums of intervals, in seconds."""


class Pacer:
    """A generic cell rate algorithm (ITU-T I.371) without burst tolerance."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        self._last_at = -math.inf

    def record_send(self, sent_at: float) -> None:
        """Records a request that was sent.

        Args:
            sent_at: When it was sent, on the owner's clock in seconds.
        """
        self._last_at = max(self._last_at, sent_at)

    def get_wait(self, now: float, rate_per_s: float) -> float:
        """Returns the seconds until the next request may be sent, 0 for now.

        Args:
            now: The owner's clock in seconds.
            rate_per_s: Requests a second that this owner may send; 0 for none.
        """
        if rate_per_s <= 0.0:
            return math.inf
        wait_s = self._last_at + 1.0 / rate_per_s - now
        return wait_s if wait_s > _ROUNDING_S else 0.0

"""Adaptive timeouts from observed round trips.

Load pattern: a VM is short of CPU time and replies late.  A fixed timeout would
declare it lost and another VM would repeat its work, which increases the CPU
load of all VMs further.
"""

from __future__ import annotations

MEAN_WEIGHT = 0.125
"""Weight of a new sample in the smoothed round-trip time (RFC 6298)."""

DEVIATION_WEIGHT = 0.25
"""Weight of a new sample in the smoothed deviation (RFC 6298)."""

DEVIATIONS = 4.0
"""Multiple of the deviation that is added to the smoothed time (RFC 6298)."""


class RttEstimator:
    """Adaptive timeout from a smoothed round-trip time and its deviation.

    Args:
        least_s: Minimum timeout, in seconds.
        most_s: Maximum timeout, in seconds.
    """

    __slots__ = ("_deviation_s", "_least_s", "_mean_s", "_most_s")

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, rtt_s: float) -> None:
        """Adds a round-trip time, in seconds.

        The first one counts in full, with half of it as its deviation (RFC
        6298); else a distant peer would time out until the mean has grown.
        """
        if self._mean_s is None:
            self._mean_s = rtt_s
            self._deviation_s = rtt_s / 2
            return
        error_s = rtt_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )

    @property
    def mean_s(self) -> float:
        """Smoothed round-trip time in seconds; 0 before the first one."""
        return self._mean_s or 0.0

    @property
    def jitter_s(self) -> float:
        """By how much a message may usually be later than the mean."""
        return min(self._most_s, DEVIATIONS * self._deviation_s)

    @property
    def timeout_s(self) -> float:
        """Seconds after which a reply counts as lost."""
        timeout_s = self.mean_s + DEVIATIONS * self._deviation_s
        return min(self._most_s, max(self._least_s, timeout_s))

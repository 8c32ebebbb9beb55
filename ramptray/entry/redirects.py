"""Counts the requests of an entry that were redirected to other zones."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from ramptray.caller import metrics

CAME_BACK = "came_back"
"""Reason under which requests are counted that another zone did not grant."""


class RedirectCounter:
    """Counts redirected requests by zone, and their waits there."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._granted: collections.Counter[str] = collections.Counter()
        self._waited_s: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    def count_redirect(self, zone: str, reason: str) -> None:
        """Counts a request that goes to another zone, or returns from it."""
        self._counts[zone, reason] += 1

    def count_grant(self, zone: str, waited_s: float) -> None:
        """Counts a request that another zone granted.

        Args:
            zone: The zone.
            waited_s: Seconds from the redirect to the grant.
        """
        self._granted[zone] += 1
        self._waited_s[zone] += waited_s

    def list_gauges(self) -> Iterator[metrics.Gauge]:
        """Yields the counts as metrics."""
        for (zone, reason), count in sorted(self._counts.items()):
            labels = {"zone": zone, "reason": reason}
            yield metrics.Gauge("spilled_requests", labels, count)
        for zone, count in sorted(self._granted.items()):
            labels = {"zone": zone}
            yield metrics.Gauge("spilled_requests_granted", labels, count)
            waited_s = round(self._waited_s[zone], 4)
            yield metrics.Gauge("spilled_wait_seconds", labels, waited_s)

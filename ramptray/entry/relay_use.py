"""Tracks whether this VM reaches backend servers only through other VMs."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

DIRECT_AFTER_S = 2.0
"""How long no request goes through another VM until servers count as reached
directly again, in seconds.  Single requests are tried directly meanwhile."""


class RelayUse:
    """Counts dispatches through other VMs and logs when they begin and end."""

    def __init__(self) -> None:
        self._relayed = 0
        self._relayed_at: float | None = None
        self._began_at = 0.0

    def record_dispatch(self, is_relayed: bool, now: float) -> None:
        """Records the way of a request that is dispatched."""
        if is_relayed:
            self._relayed += 1
            if self._relayed_at is None:
                self._began_at = now
                LOG.warning("no backend server is reached directly")
            self._relayed_at = now
        elif self._is_over(now):
            LOG.info(
                "backend servers are reached directly again",
                extra={"after_s": round(now - self._began_at, 2)},
            )
            self._relayed_at = None

    def list_gauges(self, now: float) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        is_relaying = self._relayed_at is not None and not self._is_over(now)
        yield metrics.Gauge("without_servers", {}, float(is_relaying))
        yield metrics.Gauge("relayed_requests", {}, self._relayed)

    def _is_over(self, now: float) -> bool:
        return (
            self._relayed_at is not None
            and now - self._relayed_at > DIRECT_AFTER_S
        )

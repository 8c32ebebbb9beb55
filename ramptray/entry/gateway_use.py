"""Tracks whether this VM reaches backend servers only through other VMs."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

DIRECT_AFTER_S = 2.0
"""How long no request goes through another VM until servers count as reached
directly again, in seconds.  Single requests are tried directly meanwhile."""


class GatewayUse:
    """Counts dispatches through other VMs and logs when they begin and end."""

    def __init__(self) -> None:
        self._tunneled = 0
        self._tunneled_at: float | None = None
        self._began_at = 0.0

    def record_dispatch(self, is_tunneled: bool, now: float) -> None:
        """Records the way of a request that is dispatched."""
        if is_tunneled:
            self._tunneled += 1
            if self._tunneled_at is None:
                self._began_at = now
                LOG.warning("no backend server is reached directly")
            self._tunneled_at = now
        elif self._is_over(now):
            LOG.info(
                "backend servers are reached directly again",
                extra={"after_s": round(now - self._began_at, 2)},
            )
            self._tunneled_at = None

    def list_gauges(self, now: float) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        is_tunneling = self._tunneled_at is not None and not self._is_over(now)
        yield metrics.Gauge("without_servers", {}, float(is_tunneling))
        yield metrics.Gauge("tunneled_requests", {}, self._tunneled)

    def _is_over(self, now: float) -> bool:
        return (
            self._tunneled_at is not None
            and now - self._tunneled_at > DIRECT_AFTER_S
        )

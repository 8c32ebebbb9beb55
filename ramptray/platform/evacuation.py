"""Which availability zones are evacuated, by the operator's records.

An order that is missing from all records may have been lost with a store that
came back from an older copy; it is then written again.  So it stays in force
for a while, and ends at once only by a record that takes it back.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ramptray.platform import store

LOG = logging.getLogger(__name__)

KEY_PREFIX = "evacuate/"

MISSING_ORDER_RETENTION_S = 3.0
"""How long an order stays in force that is missing without having been taken
back, in seconds: longer than operators take to write lost records again."""


class EvacuationRegistry:
    """Keeps the evacuated zones; a plain object without sockets or a clock."""

    def __init__(self) -> None:
        # Until when an order stays in force; None for as long as it stands.
        self._orders: dict[str, float | None] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones whose backend servers are to get no new work."""
        return frozenset(self._orders)

    @property
    def has_missing_records(self) -> bool:
        """Whether an order is kept whose record is missing."""
        return any(until is not None for until in self._orders.values())

    def apply(
        self, changes: Iterable[store.Change], whole: bool, now: float
    ) -> bool:
        """Takes records in the store's order.

        Args:
            changes: The records; those of other kinds are passed over.
            whole: Whether they are all there are.
            now: When they were read, in seconds.

        Returns:
            Whether the evacuated zones have changed.
        """
        before = self.zones
        if whole:
            self._hold_all(now)
        for change in changes:
            if change.key.startswith(KEY_PREFIX):
                self._take(change)
        self._log_difference(before)
        return self.zones != before

    def expire(self, now: float) -> bool:
        """Ends the orders that were kept long enough; tells whether any."""
        expired = [
            zone
            for zone, until in self._orders.items()
            if until is not None and until <= now
        ]
        for zone in expired:
            del self._orders[zone]
            LOG.info(
                "evacuation ended",
                extra={"availability_zone": zone, "reason": "no record of it"},
            )
        return bool(expired)

    def _hold_all(self, now: float) -> None:
        for zone, until in self._orders.items():
            if until is None:
                self._orders[zone] = now + MISSING_ORDER_RETENTION_S

    def _take(self, change: store.Change) -> None:
        zone = change.key.removeprefix(KEY_PREFIX)
        if change.value is not None:
            self._orders[zone] = None
        else:
            self._orders.pop(zone, None)

    def _log_difference(self, before: frozenset[str]) -> None:
        for zone in self.zones - before:
            LOG.info("zone evacuated", extra={"availability_zone": zone})
        for zone in before - self.zones:
            LOG.info(
                "evacuation ended",
                extra={"availability_zone": zone, "reason": "taken back"},
            )

"""Availability zones that operators have ordered to be evacuated.

An order whose record is missing from a snapshot may have been lost by a store
that was restored from an older copy; the operator then writes it again.  Such
an order therefore stays in force for a while.  Only a record that revokes an
order ends it at once.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ramptray.platform import store

LOG = logging.getLogger(__name__)

KEY_PREFIX = "evacuate/"

MISSING_ORDER_RETENTION_S = 3.0
"""How long an order whose record is missing stays in force, in seconds.

It exceeds the time in which operators write lost records again."""


class EvacuationRegistry:
    """Keeps the evacuated zones; uses no sockets and no clock."""

    def __init__(self) -> None:
        # Time at which an order expires by zone; None while its record exists.
        self._expires_at: dict[str, float | None] = {}

    @property
    def zones(self) -> frozenset[str]:
        """The zones whose backend servers get no new work."""
        return frozenset(self._expires_at)

    @property
    def has_missing_records(self) -> bool:
        """Whether an order in force has no record in the store."""
        return any(
            expires_at is not None for expires_at in self._expires_at.values()
        )

    def apply(
        self, changes: Iterable[store.Change], is_snapshot: bool, now: float
    ) -> bool:
        """Applies records in the store's order.

        Args:
            changes: The records; those of other kinds are ignored.
            is_snapshot: Whether they are all records of the topic.
            now: When they were read, in seconds.

        Returns:
            Whether the evacuated zones have changed.
        """
        before = self.zones
        if is_snapshot:
            self._start_expiry(now)
        for change in changes:
            if change.key.startswith(KEY_PREFIX):
                self._apply_change(change)
        self._log_changes(before)
        return self.zones != before

    def expire(self, now: float) -> bool:
        """Ends the expired orders; returns whether there were any."""
        expired = [
            zone
            for zone, expires_at in self._expires_at.items()
            if expires_at is not None and expires_at <= now
        ]
        for zone in expired:
            del self._expires_at[zone]
            LOG.info(
                "evacuation ended",
                extra={
                    "availability_zone": zone,
                    "reason": "its record is missing",
                },
            )
        return bool(expired)

    def _start_expiry(self, now: float) -> None:
        for zone, expires_at in self._expires_at.items():
            if expires_at is None:
                self._expires_at[zone] = now + MISSING_ORDER_RETENTION_S

    def _apply_change(self, change: store.Change) -> None:
        zone = change.key.removeprefix(KEY_PREFIX)
        if change.value is not None:
            self._expires_at[zone] = None
        else:
            self._expires_at.pop(zone, None)

    def _log_changes(self, before: frozenset[str]) -> None:
        for zone in self.zones - before:
            LOG.info("zone evacuated", extra={"availability_zone": zone})
        for zone in before - self.zones:
            LOG.info(
                "evacuation ended",
                extra={"availability_zone": zone, "reason": "taken back"},
            )

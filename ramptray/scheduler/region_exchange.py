"""Selects the schedulers of other regions that a region's owner contacts.

Load pattern: bytes between regions are expensive, but each owner needs fresh
summaries of the others.  So only owners exchange them, directly with each
other, and an exchange in either direction serves both.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Mapping

from ramptray.core import membership

EXCHANGE_INTERVAL_S = 0.36
"""Time after which a region's owner is contacted again, in seconds, by the
owner of the region whose name comes first."""

REPLY_INTERVAL_S = 0.42
"""The same time for the other owner, in seconds.  It is longer, as both would
otherwise contact each other at the same moment.  With the interval of the
checks, summaries are exchanged at least every 0.5 s."""

CHECK_INTERVAL_S = 0.08
"""Time between two checks for regions to contact, in seconds."""

MEASURE_INTERVAL_S = 4.0
"""Time after which an owner measures a delay itself, in seconds, even if the
other owner keeps contacting it."""

DELAY_SAMPLES = 8
"""Round trips of which the shortest one gives the delay: the others include
waiting for processor time or for a connection to open."""

UNKNOWN_DELAY_S = 0.05
"""One-way delay to a region that was not measured yet, in seconds: longer than
between most regions, so that no request is sent there too late."""


_NEVER = float("-inf")


class RegionExchange:
    """Tracks the owners of other regions and the delays to them.

    Args:
        zone: The region of this scheduler.
        rng: Selects a contact in a region whose owner is unknown.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._owners: dict[str, str] = {}
        self._attempted_at: dict[str, float] = {}
        self._exchanged_at: dict[str, float] = {}
        self._measured_at: dict[str, float] = {}
        self._round_trips: dict[str, collections.deque[float]] = {}

    def record_message(
        self,
        sender: membership.Member,
        owner: str,
        has_summaries: bool,
        now: float,
    ) -> None:
        """Records a message from a scheduler of another region.

        Args:
            sender: The scheduler.
            owner: Address of its region's owner in its view; empty if unknown.
            has_summaries: Whether it contained summaries.
            now: This scheduler's clock in seconds.
        """
        if owner and owner != self._owners.get(sender.zone):
            self._owners[sender.zone] = owner
            # It is contacted at once.
            self._attempted_at.pop(sender.zone, None)
            self._exchanged_at.pop(sender.zone, None)
        if has_summaries and sender.address == self._owners.get(sender.zone):
            self._exchanged_at[sender.zone] = now

    def record_round_trip(
        self, sender: membership.Member, round_trip_s: float, now: float
    ) -> None:
        """Records the round trip of a request to another region."""
        samples = self._round_trips.setdefault(
            sender.zone, collections.deque(maxlen=DELAY_SAMPLES)
        )
        samples.append(round_trip_s)
        self._measured_at[sender.zone] = now

    def record_failure(self, address: str) -> None:
        """Forgets an owner that did not answer; contacts name the next."""
        for zone, owner in list(self._owners.items()):
            if owner == address:
                del self._owners[zone]
                self._attempted_at.pop(zone, None)
                self._exchanged_at.pop(zone, None)

    def get_delay(self, zone: str) -> float:
        """Returns the one-way delay to a region in seconds."""
        samples = self._round_trips.get(zone)
        return min(samples) / 2 if samples else UNKNOWN_DELAY_S

    def list_delays(self) -> dict[str, float]:
        """Returns the measured one-way delays by region, in seconds."""
        return {zone: self.get_delay(zone) for zone in self._round_trips}

    def pick_targets(
        self, contacts: Mapping[str, Iterable[membership.Member]], now: float
    ) -> list[str]:
        """Returns the addresses to contact now, at most one of each region.

        Args:
            contacts: Known schedulers of the other regions.
            now: This scheduler's clock in seconds.
        """
        targets = []
        for zone, members in contacts.items():
            if not self._is_due(zone, now):
                continue
            self._attempted_at[zone] = now
            owner = self._owners.get(zone)
            targets.append(
                owner or self._rng.choice([m.address for m in members])
            )
        return targets

    def _is_due(self, zone: str, now: float) -> bool:
        attempted_at = self._attempted_at.get(zone, _NEVER)
        exchanged_at = self._exchanged_at.get(zone, _NEVER)
        measured_at = self._measured_at.get(zone, _NEVER)
        is_first = self._zone < zone
        interval_s = EXCHANGE_INTERVAL_S if is_first else REPLY_INTERVAL_S
        if now - max(attempted_at, exchanged_at) >= interval_s:
            return True
        unmeasured_s = now - max(attempted_at, measured_at)
        return unmeasured_s >= MEASURE_INTERVAL_S

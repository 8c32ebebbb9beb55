"""Tracks which backend servers this VM cannot reach.

A network partition gives no error: connections across it just hang.  A single
backend server that does not respond therefore marks its whole availability zone
as unreachable, unless another server of the zone has answered just before.  An
unreachable zone is avoided until a probe of it succeeds (``prober``): a request
that tried it would lose much of its latency objective.  Where that leaves no
server at all, another one is tried first: a lost packet or a single server that
hangs is no partition.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 0.5
"""How long a single unreachable backend server is avoided after its first
failure, in seconds."""

MAX_BACKOFF_S = 2.0
"""Longest time for which it is avoided before the next attempt, in seconds.  An
attempt costs one request the time to open a connection."""

ANSWER_VALIDITY_S = 0.5
"""How long an answer proves that its zone can be reached, in seconds."""

MIN_SILENT_SERVERS = 2
"""Number of servers that must have been tried in vain before all of them count
as unreachable."""


class _Backoff(msgspec.Struct, frozen=True):
    until: float
    length_s: float


class Reachability:
    """Tracks unreachable backend servers and zones; performs no I/O."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}
        # Each with the servers in it that were tried in vain.
        self._unreachable_zones: dict[str, set[str]] = {}
        self._lost_zones: set[str] = set()
        self._answered_at: dict[str, float] = {}

    def record_connect_failure(
        self, backend: str, zone: str, now: float
    ) -> bool:
        """Records that a connection to a backend server could not be opened.

        Returns:
            Whether this has marked the server's whole zone as unreachable.
        """
        self._backoffs[backend] = _make_next_backoff(
            self._backoffs.get(backend), now
        )
        if now - self._answered_at.get(zone, float("-inf")) < ANSWER_VALIDITY_S:
            return False
        if zone in self._unreachable_zones:
            self._unreachable_zones[zone].add(backend)
            return False
        self._unreachable_zones[zone] = {backend}
        LOG.warning(
            "zone is silent", extra={"silent_zone": zone, "backend": backend}
        )
        return True

    def record_lost_vms(self, zone: str) -> None:
        """Records that the membership lists no VM of a zone any more.

        The VMs may be down, or partitioned off together with the zone's backend
        servers.  These are still tried.
        """
        self._lost_zones.add(zone)
        LOG.warning("no VM of a zone is heard", extra={"doubted_zone": zone})

    def record_answer(self, backend: str, zone: str, now: float) -> None:
        """Records that a backend server has answered."""
        self._answered_at[zone] = now
        self._backoffs.pop(backend, None)
        self._lost_zones.discard(zone)
        if zone in self._unreachable_zones:
            del self._unreachable_zones[zone]
            LOG.info("zone answers again", extra={"silent_zone": zone})

    def remove(self, backend: str) -> None:
        """Removes the backoff of a backend server that has restarted."""
        self._backoffs.pop(backend, None)
        for silent in self._unreachable_zones.values():
            silent.discard(backend)

    def list_unreachable_zones(self) -> frozenset[str]:
        """Returns the zones that are avoided until a probe succeeds."""
        return frozenset(self._unreachable_zones)

    def list_suspect_zones(self) -> frozenset[str]:
        """Returns the zones that are unreachable or whose VMs are lost.

        A zone is listed until one of its backend servers answers.
        """
        return frozenset(self._lost_zones.union(self._unreachable_zones))

    def list_unreachable(
        self, zones: Mapping[str, str], now: float
    ) -> tuple[str, ...]:
        """Returns the backend servers that must not be tried now.

        Args:
            zones: Availability zone of each backend server of a service.
            now: The entry's clock.
        """
        if not self._backoffs and not self._unreachable_zones:
            return ()
        servers = {
            name
            for name, backoff in self._backoffs.items()
            if backoff.until > now
        }
        unreachable = tuple(
            name
            for name, zone in zones.items()
            if name in servers or zone in self._unreachable_zones
        )
        if len(unreachable) < len(zones):
            return unreachable
        silent = set[str]().union(*self._unreachable_zones.values())
        if len(silent) >= MIN_SILENT_SERVERS:
            return unreachable
        return tuple(name for name in unreachable if name in servers)


def _make_next_backoff(previous: _Backoff | None, now: float) -> _Backoff:
    """Returns the next backoff; it doubles if the last one ended recently."""
    length_s = FIRST_BACKOFF_S
    if previous is not None and now - previous.until < MAX_BACKOFF_S:
        length_s = min(previous.length_s * 2, MAX_BACKOFF_S)
    return _Backoff(now + length_s, length_s)

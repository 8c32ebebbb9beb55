"""Which backend servers this VM cannot reach at present.

A cut says nothing: connections to what is behind it just hang.  So one silent
backend server makes its whole availability zone silent, unless another one has
answered there just now.  A silent zone is avoided until a probe of it succeeds
(``prober``): a request that tried it would lose much of its objective.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 0.5
"""How long a silent backend server alone is avoided first, in seconds."""

MAX_BACKOFF_S = 2.0
"""How long it is avoided at most before it is tried again, in seconds: a try
costs one request the time to open a connection."""

ANSWER_VALIDITY_S = 0.5
"""An answer this recent shows that its zone can be reached, in seconds."""


class _Pause(msgspec.Struct, frozen=True):
    until: float
    length_s: float


class Reachability:
    """Remembers silent backend servers and zones; a plain object."""

    def __init__(self) -> None:
        self._servers: dict[str, _Pause] = {}
        self._zones: set[str] = set()
        self._doubted: set[str] = set()
        self._answered: dict[str, float] = {}

    def record_connect_failure(
        self, backend: str, zone: str, now: float
    ) -> bool:
        """Notes that a connection to a backend server could not be opened.

        Returns:
            Whether its whole zone is taken for silent from now on.
        """
        self._servers[backend] = _lengthen(self._servers.get(backend), now)
        if now - self._answered.get(zone, float("-inf")) < ANSWER_VALIDITY_S:
            return False
        if zone in self._zones:
            return False
        self._zones.add(zone)
        LOG.warning(
            "zone is silent", extra={"silent_zone": zone, "backend": backend}
        )
        return True

    def record_lost_vms(self, zone: str) -> None:
        """Notes that no VM of a zone is heard any more.

        They may be down, or cut off together with the backend servers there,
        which are still tried.
        """
        self._doubted.add(zone)
        LOG.warning("no VM of a zone is heard", extra={"doubted_zone": zone})

    def record_answer(self, backend: str, zone: str, now: float) -> None:
        """Notes that a backend server has answered."""
        self._answered[zone] = now
        self._servers.pop(backend, None)
        self._doubted.discard(zone)
        if zone in self._zones:
            self._zones.remove(zone)
            LOG.info("zone answers again", extra={"silent_zone": zone})

    def remove(self, backend: str) -> None:
        """Forgets the silence of a backend server that has started again."""
        self._servers.pop(backend, None)

    def list_unreachable_zones(self) -> frozenset[str]:
        """Returns the zones that are avoided until a probe succeeds."""
        return frozenset(self._zones)

    def list_suspect_zones(self) -> frozenset[str]:
        """Returns the zones that have not answered since they were lost."""
        return frozenset(self._zones | self._doubted)

    def list_unreachable(
        self, zones: Mapping[str, str], now: float
    ) -> tuple[str, ...]:
        """Returns the backend servers that are not to be tried now.

        Args:
            zones: Availability zone of each backend server.
            now: The entry's clock.
        """
        if not self._servers and not self._zones:
            return ()
        servers = {n for n, pause in self._servers.items() if pause.until > now}
        return tuple(
            name
            for name, zone in zones.items()
            if name in servers or zone in self._zones
        )


def _lengthen(former: _Pause | None, now: float) -> _Pause:
    """Returns the next pause, longer than one that has just ended."""
    length_s = FIRST_BACKOFF_S
    if former is not None and now - former.until < MAX_BACKOFF_S:
        length_s = min(former.length_s * 2, MAX_BACKOFF_S)
    return _Pause(now + length_s, length_s)

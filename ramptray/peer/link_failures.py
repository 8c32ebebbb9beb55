"""Records which links and channels do not open, for operators."""

from __future__ import annotations

import collections
import enum
import logging

import msgspec

LOG = logging.getLogger(__name__)

FIRST_WARNING_INTERVAL_S = 10.0
"""Shortest time between two warnings about one peer, in seconds.  It doubles as
long as the peer stays down: a seed of a VM that no longer exists fails on every
VM for as long as these run."""

MAX_WARNING_INTERVAL_S = 640.0
"""Longest such time, in seconds."""

DOWN_RETENTION_S = 30.0
"""How long a peer counts as down after its last failure, in seconds.  A peer
that nothing tries to reach any more is no longer of interest."""

MAX_PEERS = 1024
"""Number of peers whose failures are kept."""


class Kind(enum.Enum):
    """What did not open."""

    LINK = "link"
    CALLS = "calls"


class DownLink(msgspec.Struct, frozen=True):
    """A link or channel that does not open.

    Attributes:
        address: The peer's address.
        kind: What does not open.
        since: Time of the first failure since it was last open, in seconds.
        failed_at: Time of the last failure, in seconds.
        count: Number of failures since it was last open.
        error: The last error.
    """

    address: str
    kind: Kind
    since: float
    failed_at: float
    count: int
    error: str


class LinkFailures:
    """Counts the failures of links and logs them at a limited rate.

    Attributes:
        counts: Number of failures so far, by kind.
    """

    def __init__(self) -> None:
        self.counts = collections.Counter[Kind](dict.fromkeys(Kind, 0))
        self._down: dict[tuple[str, Kind], DownLink] = {}
        self._warnings: dict[str, tuple[float, float]] = {}

    def record_failure(
        self, address: str, kind: Kind, error: str, now: float
    ) -> None:
        """Records that a link has failed to open.

        Args:
            address: The peer's address.
            kind: What did not open.
            error: The error.
            now: The current time, in seconds.
        """
        self.counts[kind] += 1
        former = self._down.pop((address, kind), None)
        down = DownLink(
            address,
            kind,
            former.since if former else now,
            now,
            former.count + 1 if former else 1,
            error,
        )
        self._down[address, kind] = down
        if len(self._down) > MAX_PEERS:
            del self._down[next(iter(self._down))]
        if self._is_warning_due(address, now):
            LOG.warning(
                "link does not open",
                extra={
                    "peer": address,
                    "kind": kind.value,
                    "error": error,
                    "failures": down.count,
                    "down_s": round(now - down.since, 1),
                },
            )

    def record_open(self, address: str, kind: Kind) -> None:
        """Records that a link is open."""
        self._down.pop((address, kind), None)

    def list_down(self, now: float) -> list[DownLink]:
        """Returns the links that do not open, by address.

        Args:
            now: The current time, in seconds.
        """
        recent = [
            down
            for down in self._down.values()
            if now - down.failed_at <= DOWN_RETENTION_S
        ]
        return sorted(recent, key=lambda down: (down.address, down.kind.value))

    def _is_warning_due(self, address: str, now: float) -> bool:
        warned_at, interval_s = self._warnings.get(
            address, (float("-inf"), FIRST_WARNING_INTERVAL_S)
        )
        if now - warned_at < interval_s:
            return False
        self._warnings.pop(address, None)
        # Doubles only while the peer stays down.
        if now - warned_at < 2 * interval_s:
            interval_s = min(2 * interval_s, MAX_WARNING_INTERVAL_S)
        else:
            interval_s = FIRST_WARNING_INTERVAL_S
        self._warnings[address] = (now, interval_s)
        if len(self._warnings) > MAX_PEERS:
            del self._warnings[next(iter(self._warnings))]
        return True

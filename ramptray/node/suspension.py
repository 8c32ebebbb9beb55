"""Notices that the VM was suspended, and has doubtful things looked at anew."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from ramptray import steadyclock

LOG = logging.getLogger(__name__)

LOOK_S = 0.5
"""Time between two looks, in seconds."""

NOTICED_S = 0.3
"""Shortest time away that is told of, in seconds: less is a pause as any busy
VM has them."""


class SuspensionDetector:
    """Compares the clock that counts suspension with the one that does not.

    Ages are measured by the former, so beliefs are as old as they are; this
    tells whoever must act on it.

    Args:
        on_return: Called with how long the VM was away, in seconds.
        read: Reads the clock that counts suspension.
        read_monotonic: Reads the one that does not.
    """

    def __init__(
        self,
        on_return: Callable[[float], None],
        read: Callable[[], float] = steadyclock.read,
        read_monotonic: Callable[[], float] = steadyclock.read_monotonic,
    ) -> None:
        self._on_return = on_return
        self._read = read
        self._read_monotonic = read_monotonic
        self._away_before = self._measure()

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            self.check()

    def check(self) -> None:
        """Tells if the VM was away since the last look."""
        away = self._measure()
        away_s = away - self._away_before
        self._away_before = away
        if away_s < NOTICED_S:
            return
        LOG.warning("VM was suspended", extra={"away_s": round(away_s, 3)})
        self._on_return(away_s)

    def _measure(self) -> float:
        """Returns for how long the VM has been suspended in all, in seconds."""
        return self._read() - self._read_monotonic()

"""Detects that the VM was suspended."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from ramptray import steadyclock

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Time between two checks, in seconds."""

MIN_SUSPENSION_S = 0.3
"""Shortest suspension that is reported, in seconds: shorter pauses are normal
on a busy VM."""


class SuspensionDetector:
    """Compares the clock that counts suspensions with the one that does not.

    Ages are measured by the former, so they are correct after a suspension.
    The callback handles everything else that a suspension affects.

    Args:
        on_suspended: Called after a suspension with its length in seconds.
        read: Reads the clock that counts suspensions.
        read_monotonic: Reads the clock that does not count them.
    """

    def __init__(
        self,
        on_suspended: Callable[[float], None],
        read: Callable[[], float] = steadyclock.read,
        read_monotonic: Callable[[], float] = steadyclock.read_monotonic,
    ) -> None:
        self._on_suspended = on_suspended
        self._read = read
        self._read_monotonic = read_monotonic
        self._last_total_s = self._get_total_suspension()

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Reports a suspension since the last check."""
        total_s = self._get_total_suspension()
        suspended_s = total_s - self._last_total_s
        self._last_total_s = total_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        LOG.warning("VM was suspended", extra={"away_s": round(suspended_s, 3)})
        self._on_suspended(suspended_s)

    def _get_total_suspension(self) -> float:
        """Returns how long the VM has been suspended in total, in seconds."""
        return self._read() - self._read_monotonic()

"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator

import anyio

from ramptray import steadyclock
from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
"""Time between two checks, in seconds."""

MIN_LOGGED_DELAY_S = 0.2
"""Shortest delay that is logged, in seconds: a request that waits for longer
in its socket than this may count as lost if its connection is then closed."""


MIN_STALL_S = 0.1
"""Shortest delay after which what the loop reads may be older than it seems, in
seconds.  Regular delays of a VM with a tenth of a core stay below it.  The time
for which a shorter one can hide a signal, this and ``CHECK_INTERVAL_S``, is
within the default of ``NodeSettings.exit_margin_s``."""


class LoopMonitor:
    """Logs and counts delays of the event loop.

    The processor time that this program used meanwhile tells a busy loop from a
    process that stood still, or whose processor was given to others.

    Args:
        read: Reads the steady clock.
        read_cpu: Reads the processor time of this process, in seconds.
    """

    def __init__(
        self,
        read: Callable[[], float] = steadyclock.read,
        read_cpu: Callable[[], float] = steadyclock.read_cpu,
    ) -> None:
        self._read = read
        self._read_cpu = read_cpu
        self._due_at = math.inf
        self._stalled_since: float | None = None
        self._cpu_before = 0.0
        self._longest_s = 0.0
        self._total_s = 0.0
        self._count = 0

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            self.begin()
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check()

    def begin(self) -> None:
        """Sets when the next check is due."""
        self._due_at = self._read() + CHECK_INTERVAL_S
        self._cpu_before = self._read_cpu()

    def check(self) -> None:
        """Records by how much this call is late."""
        delay_s = self._read() - self._due_at
        self._stalled_since = self._begun_at if delay_s >= MIN_STALL_S else None
        if delay_s < MIN_LOGGED_DELAY_S:
            return
        self._count += 1
        self._total_s += delay_s
        self._longest_s = max(self._longest_s, delay_s)
        LOG.warning(
            "event loop late",
            extra={
                "delay_s": round(delay_s, 3),
                "cpu_s": round(self._read_cpu() - self._cpu_before, 3),
            },
        )

    def find_earliest_arrival(self) -> float:
        """Returns since when something may wait that the loop reads now.

        After a delay this is when the loop was last seen running.  The check
        itself may run before the loop reads what has arrived, so a delay counts
        until the next check.

        Returns:
            Seconds of the steady clock; the present if the loop is not late.
        """
        now = self._read()
        if now - self._due_at >= MIN_STALL_S:
            return self._begun_at
        return now if self._stalled_since is None else self._stalled_since

    @property
    def _begun_at(self) -> float:
        return self._due_at - CHECK_INTERVAL_S

    def list_gauges(self) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        yield metrics.Gauge("event_loop_delays", {}, self._count)
        yield metrics.Gauge("event_loop_delay_seconds", {}, self._total_s)
        yield metrics.Gauge(
            "event_loop_longest_delay_seconds", {}, self._longest_s
        )

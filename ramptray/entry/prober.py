"""Detects when an unreachable availability zone can be reached again."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import anyio

from ramptray import steadyclock
from ramptray.entry import backend_directory

PROBE_INTERVAL_S = 0.25
"""How often an unreachable zone is probed, in seconds: below the shortest usual
latency objective, at the cost of one connection per zone and probe."""

Probe = Callable[[str], Awaitable[bool]]


class Prober:
    """Opens connections into unreachable zones until one succeeds.

    Args:
        backends: The backend servers and the zones that cannot be reached.
        probe: Returns whether a backend server can be reached, by its URL.
    """

    def __init__(
        self,
        backends: backend_directory.BackendDirectory,
        probe: Probe,
    ) -> None:
        self._backends = backends
        self._probe = probe

    async def run(self) -> None:
        """Probes until cancelled; sleeps while all zones are reachable."""
        async with anyio.create_task_group() as tasks:
            for turn in itertools.count():
                await self._backends.wait_for_unreachable_zone()
                for backend, url in self._backends.list_probe_targets(turn):
                    tasks.start_soon(self._probe_one, backend, url)
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe_one(self, backend: str, url: str) -> None:
        if await self._probe(url):
            self._backends.record_answer(backend, steadyclock.read())

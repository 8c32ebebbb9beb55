"""Finds out when a silent availability zone can be reached again."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import anyio

from ramptray import steadyclock
from ramptray.entry import backend_directory

PROBE_INTERVAL_S = 0.25
"""How often a silent zone is probed, in seconds: less than the shortest usual
objective, and one connection each time."""

Probe = Callable[[str], Awaitable[bool]]


class Prober:
    """Opens connections into silent zones until one succeeds.

    Args:
        backends: What the entry believes of the zones.
        probe: Returns whether there is a way to a backend server, by its URL.
    """

    def __init__(
        self, backends: backend_directory.BackendDirectory, probe: Probe
    ) -> None:
        self._backends = backends
        self._probe = probe

    async def run(self) -> None:
        """Probes until cancelled; sleeps while no zone is silent."""
        async with anyio.create_task_group() as tasks:
            for turn in itertools.count():
                await self._backends.wait_silent()
                for backend, url in self._backends.list_probe_targets(turn):
                    tasks.start_soon(self._probe_one, backend, url)
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe_one(self, backend: str, url: str) -> None:
        if await self._probe(url):
            self._backends.record_answer(backend, steadyclock.read())

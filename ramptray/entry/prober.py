"""Finds out when a silent availability zone can be reached again."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import anyio

from ramptray import steadyclock
from ramptray.entry import network as networks

PROBE_EVERY_S = 0.25
"""How often a silent zone is probed, in seconds: less than the shortest usual
objective, and one connection each time."""

Probe = Callable[[str], Awaitable[bool]]


class Prober:
    """Opens connections into silent zones until one succeeds.

    Args:
        network: What the entry believes of the zones.
        probe: Returns whether there is a way to a backend server, by its URL.
    """

    def __init__(self, network: networks.Network, probe: Probe) -> None:
        self._network = network
        self._probe = probe

    async def run(self) -> None:
        """Probes until cancelled; sleeps while no zone is silent."""
        async with anyio.create_task_group() as tasks:
            for turn in itertools.count():
                await self._network.wait_silent()
                for backend, url in self._network.list_probed(turn):
                    tasks.start_soon(self._probe_one, backend, url)
                await anyio.sleep(PROBE_EVERY_S)

    async def _probe_one(self, backend: str, url: str) -> None:
        if await self._probe(url):
            self._network.note_answer(backend, steadyclock.read())

"""The task that keeps blocks where they outlive all VMs."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import anyio
from anyio.streams import memory

from ramptray import steadyclock
from ramptray.core import blocklist
from ramptray.log import blocklog
from ramptray.log import error as log_error

LOG = logging.getLogger(__name__)

TRIES = 8
"""How often the log is tried for one block, or for all at the start.  With the
pauses between, that is 46 s: longer outages are over for callers, too."""

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 15.0
"""Pauses between two tries, in seconds; each is twice the one before."""

READ_EVERY_S = 1.0
"""Shortest time between two reads that crashes ask for, in seconds: in a wave
of them one is enough, and each call to the platform's store has a price."""

PENDING = 256
"""Blocks that may wait to be kept; more at once are no single requests."""


class BlockSync:
    """Saves what this VM decides, and loads what was decided before its start.

    What other VMs tell is saved by them.

    Args:
        kept: Where blocks are kept.
        blocks: The blocks that this VM knows of.
        loads: Whether anything can have been kept before.
        read_clock: Returns the time of day in Unix seconds.
    """

    def __init__(
        self,
        kept: blocklog.BlockLog,
        blocks: blocklist.Blocklist,
        loads: bool,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self._kept = kept
        self._blocks = blocks
        self._loads = loads
        self._read_clock = read_clock
        send, receive = anyio.create_memory_object_stream[blocklist.BlockNews](
            PENDING
        )
        self._send: memory.MemoryObjectSendStream[blocklist.BlockNews] = send
        self._receive = receive
        self._wanted = anyio.Event()
        blocks.on_decision(self._note)

    async def run(self) -> None:
        """Loads, then saves and reads again until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_saves)
            if self._loads:
                await self._load()
            while True:
                await self._wanted.wait()
                self._wanted = anyio.Event()
                await self._load(1)
                await anyio.sleep(READ_EVERY_S)

    def request_reload(self) -> None:
        """Has the log read, since a backend server has ended.

        Beyond a cut, or before a restart, somebody may have found out why.
        """
        self._wanted.set()

    async def _run_saves(self) -> None:
        async for news in self._receive:
            await self._save(news)

    def save_all(self) -> None:
        """Saves all blocks, as the log may have lost some."""
        self._note(self._blocks.list_news(steadyclock.read()))

    def _note(self, news: list[blocklist.BlockNews]) -> None:
        for each in news:
            try:
                self._send.send_nowait(each)
            except anyio.WouldBlock:
                LOG.warning("block not kept", extra={"content": each.content})

    async def _load(self, tries: int = TRIES) -> None:
        pause_s = FIRST_PAUSE_S
        for _ in range(tries):
            try:
                found = await self._kept.load()
            except log_error.LogError as error:
                LOG.warning("blocks not read", extra={"detail": str(error)})
                await anyio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
                continue
            self._take(found)
            return

    def _take(self, found: list[blocklog.StoredBlock]) -> None:
        now = self._read_clock()
        news = [
            blocklist.BlockNews(
                stored.content,
                stored.level,
                min(stored.until_unix_s - now, blocklist.MAX_BLOCK_S),
                stored.crashes,
                stored.lifted,
            )
            for stored in found
        ]
        new = self._blocks.take(news, steadyclock.read())
        LOG.info("blocks read", extra={"found": len(news), "new": len(new)})

    async def _save(self, news: blocklist.BlockNews) -> None:
        stored = blocklog.StoredBlock(
            news.content,
            news.level,
            self._read_clock() + news.left_s,
            news.crashes,
            news.lifted,
        )
        pause_s = FIRST_PAUSE_S
        for _ in range(TRIES):
            try:
                await self._kept.save(stored)
            except log_error.LogError as error:
                LOG.warning(
                    "block not kept yet",
                    extra={"content": news.content, "detail": str(error)},
                )
                await anyio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
                continue
            LOG.info("block kept", extra={"content": news.content})
            return
        LOG.error("block not kept", extra={"content": news.content})

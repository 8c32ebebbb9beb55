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

MAX_ATTEMPTS = 8
"""How often the log is tried for one block, or for all at the start.  With the
pauses between, that is 46 s: longer outages are over for callers, too."""

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 15.0
"""Pauses between two attempts, in seconds; each is twice the one before."""

MIN_RELOAD_INTERVAL_S = 1.0
"""Shortest time between two reads that crashes ask for, in seconds: in a wave
of them one is enough, and each call to the platform's store has a price."""

MAX_PENDING_SAVES = 256
"""Blocks that may wait to be kept; more at once are no single requests."""


class BlockSync:
    """Saves what this VM decides, and loads what was decided before it started.

    What other VMs tell is saved by them.

    Args:
        block_log: Where blocks are kept.
        blocks: The blocks that this VM knows of.
        load_at_start: Whether anything can have been kept before.
        read_clock: Returns the time of day in Unix seconds.
    """

    def __init__(
        self,
        block_log: blocklog.BlockLog,
        blocks: blocklist.Blocklist,
        load_at_start: bool,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self._block_log = block_log
        self._blocks = blocks
        self._load_at_start = load_at_start
        self._read_clock = read_clock
        send, receive = anyio.create_memory_object_stream[
            blocklist.BlockUpdate
        ](MAX_PENDING_SAVES)
        self._send: memory.MemoryObjectSendStream[blocklist.BlockUpdate] = send
        self._receive = receive
        self._reload_requested = anyio.Event()
        blocks.on_decision(self._enqueue)

    async def run(self) -> None:
        """Loads, then saves and reads again until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_saves)
            if self._load_at_start:
                await self._load()
            while True:
                await self._reload_requested.wait()
                self._reload_requested = anyio.Event()
                await self._load(1)
                await anyio.sleep(MIN_RELOAD_INTERVAL_S)

    def request_reload(self) -> None:
        """Has the log read, since a backend server has ended.

        Beyond a cut, or before a restart, somebody may have found out why.
        """
        self._reload_requested.set()

    async def _run_saves(self) -> None:
        async for news in self._receive:
            await self._save(news)

    def save_all(self) -> None:
        """Saves all blocks, as the log may have lost some."""
        self._enqueue(self._blocks.list_updates(steadyclock.read()))

    def _enqueue(self, news: list[blocklist.BlockUpdate]) -> None:
        for each in news:
            try:
                self._send.send_nowait(each)
            except anyio.WouldBlock:
                LOG.warning("block not kept", extra={"content": each.content})

    async def _load(self, attempts: int = MAX_ATTEMPTS) -> None:
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(attempts):
            try:
                found = await self._block_log.load()
            except log_error.LogError as error:
                LOG.warning("blocks not read", extra={"detail": str(error)})
                await anyio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            self._merge(found)
            return

    def _merge(self, found: list[blocklog.StoredBlock]) -> None:
        now = self._read_clock()
        news = [
            blocklist.BlockUpdate(
                stored.content,
                stored.level,
                min(stored.until_unix_s - now, blocklist.MAX_BLOCK_S),
                stored.crashes,
                stored.lifted,
            )
            for stored in found
        ]
        new = self._blocks.merge(news, steadyclock.read())
        LOG.info("blocks read", extra={"found": len(news), "new": len(new)})

    async def _save(self, news: blocklist.BlockUpdate) -> None:
        stored = blocklog.StoredBlock(
            news.content,
            news.level,
            self._read_clock() + news.left_s,
            news.crashes,
            news.lifted,
        )
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._block_log.save(stored)
            except log_error.LogError as error:
                LOG.warning(
                    "block not kept yet",
                    extra={"content": news.content, "detail": str(error)},
                )
                await anyio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            LOG.info("block kept", extra={"content": news.content})
            return
        LOG.error("block not kept", extra={"content": news.content})

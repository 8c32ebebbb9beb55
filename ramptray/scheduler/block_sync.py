"""Saves blocks to the log and loads them, so that they outlive all VMs."""

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
"""Attempts to save a block, or to load all blocks at the start.  With the
backoff in between they span 46 s; callers do not wait through longer outages
either."""

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 15.0
"""Limit of the pause between attempts, in seconds; it doubles each time."""

MIN_RELOAD_INTERVAL_S = 1.0
"""Shortest time between two loads triggered by crashes, in seconds.  One load
serves a whole wave of crashes, and each call to the platform's store has a
cost."""

MAX_PENDING_SAVES = 256
"""Size of the queue of blocks to save.  A larger burst does not come from
individual poison requests."""


class BlockSync:
    """Saves this VM's blocks to the log and loads earlier ones from it.

    Blocks learned from other VMs are not saved here; their VMs do that.

    Args:
        block_log: Storage of blocks.
        blocks: The blocks known to this VM.
        read_clock: Returns the time of day in Unix seconds.
    """

    def __init__(
        self,
        block_log: blocklog.BlockLog,
        blocks: blocklist.Blocklist,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self._block_log = block_log
        self._blocks = blocks
        self._read_clock = read_clock
        send, receive = anyio.create_memory_object_stream[
            blocklist.BlockUpdate
        ](MAX_PENDING_SAVES)
        self._send: memory.MemoryObjectSendStream[blocklist.BlockUpdate] = send
        self._receive = receive
        self._reload_requested = anyio.Event()
        blocks.on_decision(self._enqueue)

    async def run(self) -> None:
        """Saves blocks, and loads them on request, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_saves)
            await self._load()
            while True:
                await self._reload_requested.wait()
                self._reload_requested = anyio.Event()
                await self._load(1)
                await anyio.sleep(MIN_RELOAD_INTERVAL_S)

    def request_reload(self) -> None:
        """Requests a load, after a backend server has crashed.

        VMs on the other side of a network partition, or this VM before its
        restart, may already have blocked the content that caused the crash.
        """
        self._reload_requested.set()

    async def _run_saves(self) -> None:
        async for update in self._receive:
            await self._save(update)

    def save_all(self) -> None:
        """Saves all known blocks, as the log may have lost some."""
        self._enqueue(self._blocks.list_updates(steadyclock.read()))

    def _enqueue(self, updates: list[blocklist.BlockUpdate]) -> None:
        for update in updates:
            try:
                self._send.send_nowait(update)
            except anyio.WouldBlock:
                LOG.warning(
                    "block not saved: queue is full",
                    extra={"content": update.content},
                )

    async def _load(self, attempts: int = MAX_ATTEMPTS) -> None:
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(attempts):
            try:
                found = await self._block_log.load()
            except log_error.LogError as error:
                LOG.warning(
                    "could not load blocks", extra={"detail": str(error)}
                )
                await anyio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            self._merge(found)
            return

    def _merge(self, found: list[blocklog.StoredBlock]) -> None:
        now = self._read_clock()
        updates = [
            blocklist.BlockUpdate(
                stored.content,
                stored.level,
                min(stored.until_unix_s - now, blocklist.MAX_BLOCK_S),
                stored.crashes,
                stored.lifted,
            )
            for stored in found
        ]
        new = self._blocks.merge(updates, steadyclock.read())
        LOG.info("blocks read", extra={"found": len(updates), "new": len(new)})

    async def _save(self, update: blocklist.BlockUpdate) -> None:
        stored = blocklog.StoredBlock(
            update.content,
            update.level,
            self._read_clock() + update.left_s,
            update.crashes,
            update.lifted,
        )
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._block_log.save(stored)
            except log_error.LogError as error:
                LOG.warning(
                    "could not save block",
                    extra={"content": update.content, "detail": str(error)},
                )
                await anyio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            LOG.info("block kept", extra={"content": update.content})
            return
        LOG.error(
            "block not saved: all attempts failed",
            extra={"content": update.content},
        )

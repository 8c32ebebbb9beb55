"""Keeps the origins of streams in the store.

VMs keep them for each other, but all VMs may be lost at once.  The store is
written in batches, as each call has a price, and read only for a stream that no
VM knows.  What is not written yet when all VMs are lost stays unknown.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable

import anyio

from ramptray.core import stream_origin
from ramptray.log import error as log_error
from ramptray.log import originlog, shared_read

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_S = 0.25
"""Shortest time between two writes, in seconds: origins of streams that began
within it may be lost."""

MAX_WRITES_PER_S = 100
"""Most writes a second of all VMs together.  The store takes 400 calls, and the
other ones come first."""

MAX_RETRY_PAUSE_S = 8.0
"""Longest pause after a write that failed, in seconds."""

READ_INTERVAL_S = 0.5
"""Shortest time between two reads, in seconds.  Callers cause them."""

MAX_PENDING = 2048
"""Number of origins that wait to be written; the oldest are dropped."""

MAX_BATCH = 1024
"""Number of origins in one write, some 60 KB."""


class OriginBackup:
    """Writes origins to the store in batches and reads those of all VMs.

    Args:
        log: The log in the store.
        merge: Called with each origin that was read.
    """

    def __init__(
        self,
        log: originlog.OriginLog,
        merge: Callable[[stream_origin.OriginRecord], object],
    ) -> None:
        self._log = log
        self._merge = merge
        self._interval_s = WRITE_INTERVAL_S
        self._pending: dict[bytes, stream_origin.OriginRecord] = {}
        self._has_pending = anyio.Event()
        self._position: int | None = None
        self._reading = shared_read.SharedRead(self._read_new, READ_INTERVAL_S)

    def set_vms(self, count: int) -> None:
        """Shares the writes among this number of VMs."""
        self._interval_s = max(WRITE_INTERVAL_S, count / MAX_WRITES_PER_S)

    def enqueue(self, record: stream_origin.OriginRecord) -> None:
        """Writes an origin with the next batch."""
        self._pending.pop(record.key, None)
        self._pending[record.key] = record
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._has_pending.set()

    async def run(self) -> None:
        """Writes batches until cancelled."""
        pause_s = 0.0
        while True:
            await self._has_pending.wait()
            await anyio.sleep(max(pause_s, self._interval_s))
            if await self._write():
                pause_s = 0.0
            else:
                pause_s = min(
                    max(2 * pause_s, WRITE_INTERVAL_S), MAX_RETRY_PAUSE_S
                )

    async def _write(self) -> bool:
        """Writes a batch; returns whether the store has it."""
        batch = list(itertools.islice(self._pending.values(), MAX_BATCH))
        try:
            await self._log.append(batch)
        except log_error.LogError as error:
            LOG.info(
                "origins of streams not stored", extra={"detail": str(error)}
            )
            return False
        for record in batch:
            if self._pending.get(record.key) is record:
                del self._pending[record.key]
        if not self._pending:
            self._has_pending = anyio.Event()
        return True

    async def read(self) -> bool:
        """Reads the origins that were written since the last read.

        Calls at the same time share one read.

        Returns:
            Whether the store has answered.
        """
        return await self._reading.get_answer()

    async def _read_new(self) -> bool:
        try:
            stored = await self._log.read(self._position)
        except log_error.LogError as error:
            LOG.info(
                "origins of streams not read", extra={"detail": str(error)}
            )
            return False
        self._position = stored.end
        for record in stored.records:
            self._merge(record)
        return True

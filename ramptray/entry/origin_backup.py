"""Keeps the origins of streams in the store.

VMs keep them for each other, but all VMs may be lost at once.  A stream's first
event waits for the write, and origins that come meanwhile share the next one,
as each call has a price.  The store is read only for a stream that no VM knows.
What is not written yet when all VMs are lost stays unknown.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable, Iterable

import anyio

from ramptray import steadyclock
from ramptray.core import stream_origin
from ramptray.log import error as log_error
from ramptray.log import originlog, shared_read

LOG = logging.getLogger(__name__)

WRITE_INTERVAL_S = 0.05
"""Shortest time between two writes, in seconds."""

PROMPT_WRITE_S = 0.1
"""Longest time until a write has ended for which a first event is held back, in
seconds.  Without one that is expected by then, it goes on at once."""

MAX_WRITES_PER_S = 100
"""Most writes a second of all VMs together.  The store takes 400 calls, and the
other ones come first."""

MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 8.0
"""Shortest and longest pause after a write that failed, in seconds."""

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
        on_written: Called with the keys of the origins of a write that has
            ended, also if it failed.
    """

    def __init__(
        self,
        log: originlog.OriginLog,
        merge: Callable[[stream_origin.OriginRecord], object],
        on_written: Callable[[Iterable[bytes]], object] = lambda keys: None,
    ) -> None:
        self._log = log
        self._merge = merge
        self._on_written = on_written
        self._interval_s = WRITE_INTERVAL_S
        self._next_write_at = 0.0
        self._is_prompt = True
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

    def is_awaited(self, key: bytes) -> bool:
        """Returns whether an origin is expected to be stored within moments."""
        return (
            key in self._pending
            and self._is_prompt
            and self._next_write_at - steadyclock.read() < PROMPT_WRITE_S
        )

    def is_stored(self, key: bytes) -> bool:
        """Returns whether an origin that was enqueued has been written."""
        return key not in self._pending

    async def run(self) -> None:
        """Writes batches until cancelled."""
        pause_s = 0.0
        while True:
            await self._has_pending.wait()
            await anyio.sleep(
                max(0.0, self._next_write_at - steadyclock.read())
            )
            began_at = steadyclock.read()
            self._next_write_at = began_at + self._interval_s
            keys = list(itertools.islice(self._pending, MAX_BATCH))
            is_written = await self._write(keys)
            ended_at = steadyclock.read()
            self._is_prompt = (
                is_written and ended_at - began_at < PROMPT_WRITE_S
            )
            if is_written:
                pause_s = 0.0
            else:
                pause_s = min(
                    max(2 * pause_s, MIN_RETRY_PAUSE_S), MAX_RETRY_PAUSE_S
                )
                self._next_write_at = ended_at + pause_s
            self._on_written(keys)

    async def _write(self, keys: Iterable[bytes]) -> bool:
        """Writes a batch; returns whether the store has it."""
        batch = [self._pending[key] for key in keys]
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

"""The task that acquires and renews the lease of a zone on the log."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
import msgspec

from ramptray import decoding, steadyclock
from ramptray.core import lease
from ramptray.log import client as log_client
from ramptray.log import stream

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
LONG_POLL_WAIT_S = 2.0


class LeaseHolder:
    """Follows the lease stream of a zone and competes for the lease."""

    def __init__(
        self,
        log: log_client.Log,
        zone: str,
        state: lease.Lease,
        on_change: Callable[[bool, int], None],
    ) -> None:
        self._log = log
        self._stream = f"lease-{zone}"
        self._lease = state
        self._on_change = on_change
        self._caught_up = False
        self._held = False

    async def run(self) -> None:
        """Competes for the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_stream)
            tasks.start_soon(self._contend)

    async def release(self) -> None:
        """Releases the lease, if it is held, before a planned stop."""
        if not self._lease.holds(steadyclock.read()):
            return
        try:
            await self._append(self._lease.release())
        except log_client.PlatformError as error:
            LOG.info("could not release the lease: %s", error)

    async def _follow_stream(self) -> None:
        pages = stream.iterate_pages(self._log, self._stream, LONG_POLL_WAIT_S)
        async for page in pages:
            self._lease.skip_to(page.first_retained, steadyclock.read())
            for record in page.records:
                self._apply_record(record)
            self._caught_up = page.is_last

    def _apply_record(self, record: log_client.LogRecord) -> None:
        try:
            with decoding.translate_errors():
                parsed = msgspec.convert(record.body, lease.LeaseRecord)
        except decoding.DecodeError as error:
            LOG.warning("invalid record in the lease stream: %s", error)
            return
        self._lease.apply_record(record.offset, parsed, steadyclock.read())

    async def _contend(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self._notify_of_change()
            if not self._caught_up:
                continue
            record = self._lease.make_record(steadyclock.read())
            if record is None:
                continue
            try:
                await self._append(record)
            except log_client.PlatformError as error:
                LOG.info("could not append a lease record: %s", error)

    async def _append(self, record: lease.LeaseRecord) -> None:
        await self._log.append(self._stream, msgspec.to_builtins(record))

    def _notify_of_change(self) -> None:
        held = self._lease.holds(steadyclock.read())
        if held != self._held:
            self._held = held
            LOG.info("lease", extra={"held": held})
            self._on_change(held, self._lease.fencing_token)

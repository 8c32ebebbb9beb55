"""Detection of lost reads of the log."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator, Callable

import anyio
import pytest

from ramptray import steadyclock
from ramptray.core import propagation
from ramptray.log import client, error, hedging, reader

pytestmark = pytest.mark.anyio
LONGEST_WAIT_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def _do_nothing() -> None:
    """Default callback."""


class Log:
    """A log in memory that may be unresponsive or slow.

    Attributes:
        count: Number of its records.
        unresponsive: Whether calls that arrive now are never answered.
        delay_s: Duration of each answer, in seconds.
        calls: Arrival times of the calls.
        on_bytes: Called repeatedly while a slow answer is being sent.
    """

    def __init__(self) -> None:
        self.count = 1
        self.unresponsive = False
        self.delay_s = 0.0
        self.calls: list[float] = []
        self.on_bytes: Callable[[], None] = _do_nothing
        self._changed = anyio.Event()

    def append(self) -> None:
        self.count += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def read(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> client.Page:
        self.calls.append(time.monotonic())
        try:
            with anyio.fail_after(timeout_s):
                return await self._answer(offset, wait_s)
        except TimeoutError as timeout:
            raise error.LogTimeoutError("no answer") from timeout

    async def _answer(self, offset: int, wait_s: float) -> client.Page:
        if self.unresponsive:
            await anyio.sleep_forever()
        if self.count <= offset:
            with anyio.move_on_after(wait_s):
                await self._changed.wait()
        count = self.count
        ends_at = anyio.current_time() + self.delay_s
        while anyio.current_time() < ends_at:
            await anyio.sleep(min(0.1, self.delay_s))
            self.on_bytes()
        records = [
            client.LogRecord(position, {}) for position in range(offset, count)
        ]
        return client.Page(0, count, records)


class Reader(reader.StreamReader[client.Page]):
    """Records when each record was read."""

    def __init__(self, log: Log) -> None:
        super().__init__("s", LONGEST_WAIT_S, batch_delay_s=0.0)
        self._log = log
        self.read_at: dict[int, float] = {}

    async def read_first(self) -> client.Page:
        """See the base class."""
        return await self._log.read(0, 0.0, reader.CALL_TIMEOUT_S)

    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> client.Page:
        """See the base class."""
        return await self._log.read(offset, wait_s, timeout_s)

    async def apply_page(self, page: client.Page, first: bool) -> None:
        """See the base class."""
        for record in page.records:
            self.read_at.setdefault(record.offset, time.monotonic())

    def get_end(self, page: client.Page) -> int:
        """See the base class."""
        return page.next_offset

    def count_records(self, page: client.Page) -> int:
        """See the base class."""
        return len(page.records)

    async def wait_for(self, offset: int, within_s: float) -> None:
        """Waits until a record is read."""
        with anyio.fail_after(within_s):
            while offset not in self.read_at:
                await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_watching(log: Log) -> AsyncIterator[Reader]:
    """Runs a reader that watches the log."""
    stream_reader = Reader(log)
    stream_reader.set_watching(True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        yield stream_reader
        tasks.cancel_scope.cancel()


async def lose_read(log: Log, stream_reader: Reader) -> None:
    """Makes the pending read one that the log never answers."""
    await stream_reader.wait_for(0, 1.0)
    log.unresponsive = True
    log.append()
    await stream_reader.wait_for(log.count - 1, 1.0)
    await anyio.sleep(0.05)
    log.unresponsive = False
    log.append()


async def test_a_watching_vm_detects_a_lost_read_by_itself() -> None:
    log = Log()
    stream_reader = Reader(log)
    stream_reader.set_watching(True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await lose_read(log, stream_reader)
        limit_s = propagation.WATCH_WAIT_S + propagation.RESPONSE_MARGIN_S + 0.2
        await stream_reader.wait_for(2, limit_s)
        tasks.cancel_scope.cancel()


async def test_other_vms_detect_a_lost_read_by_a_peers_progress() -> None:
    log = Log()
    stream_reader = Reader(log)
    advances: list[float] = []
    stream_reader.on_advance = lambda: advances.append(time.monotonic())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await lose_read(log, stream_reader)
        await anyio.sleep(reader.LOST_READ_AFTER_S)
        assert 2 not in stream_reader.read_at
        stream_reader.update_known_end(log.count)
        stream_reader.check_pending_read()
        await anyio.sleep(reader.LOST_READ_AFTER_S + 0.05)
        stream_reader.check_pending_read()
        await stream_reader.wait_for(2, 0.2)
        tasks.cancel_scope.cancel()
    # This VM passes the new end on, so that not only the watching VM does.
    assert len(advances) == 1


async def test_a_peers_progress_does_not_abandon_a_working_read() -> None:
    log = Log()
    stream_reader = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await stream_reader.wait_for(0, 1.0)
        await anyio.sleep(reader.LOST_READ_AFTER_S)
        log.append()
        await stream_reader.wait_for(1, 0.2)
        calls = len(log.calls)
        for end in (1, log.count):
            stream_reader.update_known_end(end)
            stream_reader.check_pending_read()
        await anyio.sleep(0.1)
        assert len(log.calls) <= calls + 1
        tasks.cancel_scope.cancel()


async def test_a_call_to_an_unresponsive_log_is_repeated() -> None:
    # The log never answers calls that it received while it was unresponsive.
    # Without repeats its records would arrive only after the timeout of such a
    # call, three seconds.
    log = Log()
    log.unresponsive = True
    stream_reader = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await anyio.sleep(3 * hedging.HEDGE_DELAY_S - 0.1)
        assert stream_reader.in_outage
        log.unresponsive = False
        await stream_reader.wait_for(0, 0.3)
        await anyio.sleep(0)
        assert not stream_reader.in_outage
        tasks.cancel_scope.cancel()
    assert len(log.calls) <= 5


async def test_a_log_slower_than_the_hedge_delay_is_read() -> None:
    log = Log()
    log.delay_s = 2 * hedging.HEDGE_DELAY_S
    stream_reader = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await stream_reader.wait_for(0, log.delay_s + 0.2)
        log.append()
        # Returned late by the pending read, or by a new one.
        await stream_reader.wait_for(
            1, 2 * log.delay_s + propagation.RESPONSE_MARGIN_S
        )
        tasks.cancel_scope.cancel()


async def test_a_large_answer_on_a_slow_link_is_not_requested_twice() -> None:
    # A configuration with hundreds of routes takes longer than the hedge delay.
    # Each repeat slows the link further, and a peer's progress would abandon
    # working reads.
    log = Log()
    stream_reader = Reader(log)
    log.on_bytes = stream_reader.record_progress
    log.delay_s = 3 * hedging.HEDGE_DELAY_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await anyio.sleep(2 * hedging.HEDGE_DELAY_S)
        assert not stream_reader.in_outage
        await stream_reader.wait_for(0, 2 * hedging.HEDGE_DELAY_S)
        await anyio.sleep(0.1)
        # One call for the answer, and the pending read for the next one.
        assert len(log.calls) == 2
        log.append()
        await anyio.sleep(0.1)
        stream_reader.update_known_end(2)
        for _ in range(8):
            await anyio.sleep(0.2)
            stream_reader.check_pending_read()
        await stream_reader.wait_for(1, 2 * log.delay_s)
        await anyio.sleep(0.1)
        assert len(log.calls) == 3
        tasks.cancel_scope.cancel()


async def test_a_vm_that_starts_to_watch_reads_at_once() -> None:
    log = Log()
    stream_reader = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream_reader.run)
        await lose_read(log, stream_reader)
        stream_reader.set_watching(True)
        await stream_reader.wait_for(2, 0.2)
        tasks.cancel_scope.cancel()


async def test_the_time_of_a_late_answer_is_not_that_of_its_arrival() -> None:
    # The first of several repeated calls was answered 1.6 s after it was sent,
    # and what it had read counted as the log's state at its arrival.
    log = Log()
    log.delay_s = 2 * hedging.HEDGE_DELAY_S
    began = steadyclock.read()
    async with run_watching(log) as stream_reader:
        await stream_reader.wait_for(0, log.delay_s + 0.3)
        await anyio.sleep(0.05)
        assert stream_reader.fresh_at <= began + 0.1


async def test_an_empty_answer_is_as_old_as_the_end_of_its_wait() -> None:
    log = Log()
    async with run_watching(log) as stream_reader:
        await stream_reader.wait_for(0, 1.0)
        sent_at = steadyclock.read()
        log.delay_s = 0.4
        await anyio.sleep(propagation.WATCH_WAIT_S + 0.5)
        assert stream_reader.fresh_at == pytest.approx(
            sent_at + propagation.WATCH_WAIT_S, abs=0.1
        )


async def test_a_late_empty_answer_does_not_undo_what_peers_sent() -> None:
    # It moved the end of the copy back, erased that records were missing, and
    # counted as the log's state at its arrival.
    log = Log()
    async with run_watching(log) as stream_reader:
        await stream_reader.wait_for(0, 1.0)
        log.delay_s = 0.5
        await anyio.sleep(propagation.WATCH_WAIT_S + 0.2)
        # The answer without records is on its way.
        fresh_at = steadyclock.read()
        log.count += 1
        page = client.Page(0, 2, [client.LogRecord(1, {})])
        await stream_reader.apply_peer_page(page, False, fresh_at, "b")
        stream_reader.update_known_end(3)
        await anyio.sleep(0.4)
        assert stream_reader.end == 2
        assert stream_reader.fresh_at == fresh_at
        assert stream_reader.is_behind

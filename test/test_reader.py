"""How a reader of the log tells a read that waits from one that was lost."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import pytest

from ramptray.log import client, error, hedging, reader

pytestmark = pytest.mark.anyio
LONGEST_WAIT_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def _ignore() -> None:
    """Stands in where bytes are not told of."""


class Log:
    """A log in memory that may be silent or slow.

    Attributes:
        count: Records that it has.
        silent: Whether calls that arrive now are never answered.
        delay_s: How long each answer takes, in seconds.
        calls: When each call arrived.
        on_bytes: Called while a slow answer is on its way.
    """

    def __init__(self) -> None:
        self.count = 1
        self.silent = False
        self.delay_s = 0.0
        self.calls: list[float] = []
        self.on_bytes: Callable[[], None] = _ignore
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
        if self.silent:
            await anyio.sleep_forever()
        if self.count <= offset:
            with anyio.move_on_after(wait_s):
                await self._changed.wait()
        ends_at = anyio.current_time() + self.delay_s
        while anyio.current_time() < ends_at:
            await anyio.sleep(min(0.1, self.delay_s))
            self.on_bytes()
        records = [
            client.LogRecord(place, {}) for place in range(offset, self.count)
        ]
        return client.Page(0, self.count, records)


class Reader(reader.StreamReader[client.Page]):
    """Notes what it has read."""

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
        """Waits until a record was read."""
        with anyio.fail_after(within_s):
            while offset not in self.read_at:
                await anyio.sleep(0.01)


async def lose_read(log: Log, followed: Reader) -> None:
    """Makes the read that waits one that is never answered."""
    await followed.wait_for(0, 1.0)
    log.silent = True
    log.append()
    await followed.wait_for(log.count - 1, 1.0)
    await anyio.sleep(0.05)
    log.silent = False
    log.append()


async def test_a_watcher_finds_a_lost_read_by_itself() -> None:
    log = Log()
    followed = Reader(log)
    followed.set_watching(True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await lose_read(log, followed)
        limit_s = reader.WATCH_WAIT_S + reader.RESPONSE_MARGIN_S + 0.2
        await followed.wait_for(2, limit_s)
        tasks.cancel_scope.cancel()


async def test_others_find_it_by_what_a_peer_has_read() -> None:
    log = Log()
    followed = Reader(log)
    news: list[float] = []
    followed.on_advance = lambda: news.append(time.monotonic())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await lose_read(log, followed)
        await anyio.sleep(reader.LOST_READ_AFTER_S)
        assert 2 not in followed.read_at
        followed.update_known_end(log.count)
        followed.check_pending_read()
        await anyio.sleep(reader.LOST_READ_AFTER_S + 0.05)
        followed.check_pending_read()
        await followed.wait_for(2, 0.2)
        tasks.cancel_scope.cancel()
    # Those that are told next learn it from here, not from the watcher alone.
    assert len(news) == 1


async def test_what_a_peer_has_read_ends_no_sound_read() -> None:
    log = Log()
    followed = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await followed.wait_for(0, 1.0)
        await anyio.sleep(reader.LOST_READ_AFTER_S)
        log.append()
        await followed.wait_for(1, 0.2)
        calls = len(log.calls)
        for end in (1, log.count):
            followed.update_known_end(end)
            followed.check_pending_read()
        await anyio.sleep(0.1)
        assert len(log.calls) <= calls + 1
        tasks.cancel_scope.cancel()


async def test_a_call_into_a_silent_log_is_repeated_until_it_is_back() -> None:
    # A call that fell into the silence is never answered, so what the log has
    # would be learned as late as that call's own timeout of three seconds.
    log = Log()
    log.silent = True
    followed = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await anyio.sleep(3 * hedging.HEDGE_DELAY_S - 0.1)
        assert followed.in_outage
        log.silent = False
        await followed.wait_for(0, 0.3)
        await anyio.sleep(0)
        assert not followed.in_outage
        tasks.cancel_scope.cancel()
    assert len(log.calls) <= 5


async def test_a_log_slower_than_the_repeats_is_read_all_the_same() -> None:
    log = Log()
    log.delay_s = 2 * hedging.HEDGE_DELAY_S
    followed = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await followed.wait_for(0, log.delay_s + 0.2)
        log.append()
        # Told late by a read that waits, or asked for anew.
        await followed.wait_for(1, 2 * log.delay_s + reader.RESPONSE_MARGIN_S)
        tasks.cancel_scope.cancel()


async def test_a_large_answer_on_a_slow_link_is_not_asked_for_twice() -> None:
    # A configuration with hundreds of routes took longer than the repeats; each
    # repeat made the link slower, and what a peer had read ended sound reads.
    log = Log()
    followed = Reader(log)
    log.on_bytes = followed.record_progress
    log.delay_s = 3 * hedging.HEDGE_DELAY_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await anyio.sleep(2 * hedging.HEDGE_DELAY_S)
        assert not followed.in_outage
        await followed.wait_for(0, 2 * hedging.HEDGE_DELAY_S)
        await anyio.sleep(0.1)
        # One call for each answer, and the read that waits for the next.
        assert len(log.calls) == 2
        log.append()
        await anyio.sleep(0.1)
        followed.update_known_end(2)
        for _ in range(8):
            await anyio.sleep(0.2)
            followed.check_pending_read()
        await followed.wait_for(1, 2 * log.delay_s)
        await anyio.sleep(0.1)
        assert len(log.calls) == 3
        tasks.cancel_scope.cancel()


async def test_a_vm_that_begins_to_watch_reads_at_once() -> None:
    log = Log()
    followed = Reader(log)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        await lose_read(log, followed)
        followed.set_watching(True)
        await followed.wait_for(2, 0.2)
        tasks.cancel_scope.cancel()

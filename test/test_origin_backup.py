"""Origins of streams that the store keeps for the loss of all VMs."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator, Sequence
from typing import Any

import anyio
import pytest

from ramptray.core import membership, release_history, stream_origin
from ramptray.entry import origin_backup, origin_store
from ramptray.log import error as log_error
from ramptray.log import originlog
from ramptray.peer import link
from ramptray.platform import origins, store
from test import node

ORIGIN = stream_origin.Origin("lm", "v1")
CALLS_S = 5.0


def make_record(number: int) -> stream_origin.OriginRecord:
    key = stream_origin.make_key("ola", str(number))
    return stream_origin.OriginRecord(key, (ORIGIN,), 30.0)


def make_log(
    started: node.Platform, vm: str, unix_s: float = 1000.0
) -> origins.TopicOriginLog:
    """Returns the log of a VM whose clock stands still."""
    client = store.Store(started.store)
    return origins.TopicOriginLog(client, vm, lambda: unix_s)


class FakeLog(originlog.OriginLog):
    """A log in memory.

    Attributes:
        failures: Number of calls that fail from now on.
        delay_s: Time that a write takes, in seconds.
        batches: What was appended.
        reads: The positions that were read from.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.delay_s = 0.0
        self.batches: list[list[stream_origin.OriginRecord]] = []
        self.reads: list[int | None] = []

    async def append(
        self, records: Sequence[stream_origin.OriginRecord]
    ) -> None:
        await anyio.sleep(self.delay_s)
        self._fail()
        self.batches.append(list(records))

    async def read(self, position: int | None) -> originlog.StoredOrigins:
        self.reads.append(position)
        self._fail()
        found = self.batches[position or 0 :]
        records = [record for batch in found for record in batch]
        return originlog.StoredOrigins(records, len(self.batches))

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise log_error.LogError("no answer")


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens pauses and lengthens limits."""
    monkeypatch.setattr(origin_backup, "WRITE_INTERVAL_S", 0.02)
    monkeypatch.setattr(origin_backup, "READ_INTERVAL_S", 0.02)
    monkeypatch.setattr(origin_backup, "MIN_RETRY_PAUSE_S", 0.02)
    # Long enough to tell on a busy machine whether an event was held back.
    monkeypatch.setattr(origin_backup, "PROMPT_WRITE_S", 0.5)
    monkeypatch.setattr(origin_store, "CONFIRM_TIMEOUT_S", 1.0)


async def wait_for_batches(log: FakeLog, count: int) -> None:
    with anyio.fail_after(CALLS_S):
        while len(log.batches) < count:
            await anyio.sleep(0.005)


@pytest.mark.anyio
async def test_origins_of_a_moment_are_written_by_one_call() -> None:
    # Each call to the store has a price.
    log = FakeLog()
    backup = origin_backup.OriginBackup(log, lambda record: None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backup.run)
        for number in range(50):
            backup.enqueue(make_record(number))
        await wait_for_batches(log, 1)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert log.batches == [[make_record(number) for number in range(50)]]


@pytest.mark.anyio
async def test_a_write_that_failed_is_made_again() -> None:
    log = FakeLog()
    log.failures = 2
    backup = origin_backup.OriginBackup(log, lambda record: None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backup.run)
        backup.enqueue(make_record(1))
        await wait_for_batches(log, 1)
        tasks.cancel_scope.cancel()
    assert log.batches == [[make_record(1)]]


@contextlib.asynccontextmanager
async def run_store(
    log: FakeLog, vms: int = 1
) -> AsyncIterator[origin_store.OriginStore]:
    """Runs the origins of a VM that no other VM answers."""
    members = [
        membership.Member(f"vm-{n}", "all", f"vm-{n}", 1) for n in range(vms)
    ]
    kept = origin_store.OriginStore(
        "vm-0", SilentPeers(), release_history.ReleaseHistory(), log
    )
    kept.update_members(members, [])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kept.run)
        await anyio.lowlevel.checkpoint()
        yield kept
        tasks.cancel_scope.cancel()


class SilentPeers:
    """Other VMs, none of which is reached."""

    async def ask(self, address: str, request: Any, timeout_s: float) -> Any:
        raise link.LinkError("refused")


async def measure_hold(kept: origin_store.OriginStore, name: str) -> float:
    """Returns for how long a stream's first event is held back."""
    began_at = time.monotonic()
    await kept.record(stream_origin.make_key("ola", name), ORIGIN, 30.0)
    return time.monotonic() - began_at


@pytest.mark.anyio
async def test_first_events_wait_until_the_store_has_their_origins() -> None:
    # Streams that had just begun when all VMs were lost were refused.
    log = FakeLog()
    log.delay_s = 0.03
    async with run_store(log) as kept:
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(measure_hold, kept, str(number))
        assert sum(map(len, log.batches)) == 5
        # A later one waits for the interval as well.
        await measure_hold(kept, "5")
        assert len(log.batches) == 2


@pytest.mark.anyio
async def test_origins_that_the_store_has_lost_are_written_again() -> None:
    # A store that came back from an older copy lacked them for good.
    log = FakeLog()
    async with run_store(log) as kept:
        await measure_hold(kept, "1")
        (written,) = log.batches
        log.batches.clear()
        kept.save_all()
        await wait_for_batches(log, 1)
    assert [record.key for record in log.batches[0]] == [written[0].key]


@pytest.mark.anyio
async def test_first_events_do_not_wait_for_a_store_that_is_late() -> None:
    log = FakeLog()
    log.failures = 1000
    async with run_store(log) as kept:
        await measure_hold(kept, "1")
        assert await measure_hold(kept, "2") < origin_backup.PROMPT_WRITE_S / 2
        log.failures = 0
        await wait_for_batches(log, 1)
        await measure_hold(kept, "3")
        assert sum(map(len, log.batches)) == 3
        log.delay_s = 2 * origin_store.CONFIRM_TIMEOUT_S
        held_s = await measure_hold(kept, "4")
        assert held_s < 1.5 * origin_store.CONFIRM_TIMEOUT_S
        await wait_for_batches(log, len(log.batches) + 1)
        assert await measure_hold(kept, "5") < origin_backup.PROMPT_WRITE_S / 2


@pytest.mark.anyio
async def test_first_events_of_many_vms_do_not_wait_for_their_turn() -> None:
    log = FakeLog()
    backup = origin_backup.OriginBackup(log, lambda record: None)
    backup.set_vms(300)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backup.run)
        backup.enqueue(make_record(1))
        assert backup.is_awaited(make_record(1).key)
        await wait_for_batches(log, 1)
        backup.enqueue(make_record(2))
        assert not backup.is_awaited(make_record(2).key)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_origins_are_read_once_and_from_where_the_last_read_ended() -> (
    None
):
    log = FakeLog()
    found: list[stream_origin.OriginRecord] = []
    backup = origin_backup.OriginBackup(log, found.append)
    await log.append([make_record(1)])
    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(backup.read)
    await log.append([make_record(2)])
    assert await backup.read()
    assert found == [make_record(1), make_record(2)]
    assert log.reads[:2] == [None, 1]
    log.failures = 1
    assert not await backup.read()


def test_writes_of_many_vms_are_bounded() -> None:
    backup = origin_backup.OriginBackup(FakeLog(), lambda record: None)
    backup.set_vms(300)
    assert 300 / backup._interval_s <= origin_backup.MAX_WRITES_PER_S


@pytest.mark.anyio
@pytest.mark.parametrize("is_forgetful", [False, True])
async def test_origins_are_found_in_the_store(is_forgetful: bool) -> None:
    with node.run_platform(vms=0, replicas=0) as started:
        writer = make_log(started, "vm-0")
        for number in range(3):
            await writer.append([make_record(number)])
        if is_forgetful:
            started.set_faults("store", forgotten=2)
        reader = make_log(started, "vm-1")
        first = await reader.read(None)
        kept = [make_record(number) for number in range(3)]
        assert first.records == (kept[2:] if is_forgetful else kept)
        await writer.append([make_record(3)])
        then = await reader.read(first.end)
        assert then.records == [make_record(3)]


@pytest.mark.anyio
async def test_an_origin_is_kept_from_when_it_was_stored() -> None:
    # Callers may use an id again.  A VM that started minutes later took the
    # former origin for the one of the new stream, at another release.
    with node.run_platform(vms=0, replicas=0) as started:
        await make_log(started, "vm-0", 1000.0).append([make_record(1)])
        late = await make_log(started, "vm-1", 1020.0).read(None)
        assert [record.left_s for record in late.records] == [10.0]
        too_late = await make_log(started, "vm-2", 1030.0).read(None)
        assert too_late.records == []
        assert too_late.end == late.end

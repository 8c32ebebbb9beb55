"""What VMs know of former releases after all of them were lost.

Guards against streams that go on at another release than their own, or are
refused although one release alone has served, after all VMs were killed.
"""

from __future__ import annotations

import base64
import contextlib
import json
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from ramptray import steadyclock
from ramptray.core import release_history, release_record, stream_origin
from ramptray.entry import release_sync
from ramptray.log import error as log_error
from ramptray.log import releaselog
from ramptray.peer import link
from ramptray.platform import release_records, store, stream_position
from test import node, resuming, virtualtime
from test.test_node import wait_until
from test.test_origin_store import make_members
from test.test_stream_releases import (
    begin,
    begin_all,
    check_refused,
    is_ready,
    is_resumed_unnamed,
    resume_all,
)

V1 = release_record.ReleaseRecord({"lm": ("v1",)}, 5)
EVIDENCE = release_history.Evidence
AT_ONCE_S = 3.0
"""Time after a start in which take-ups must be served, in seconds."""


def make_page(
    known_s: float = stream_origin.SPAN_S, position: int = 5, **ages_s: float
) -> release_history.HistoryPage:
    return release_history.HistoryPage(known_s, position, {"lm": ages_s})


@pytest.mark.parametrize(
    ("record", "begin_at", "evidence", "releases"),
    [
        (V1, 5, EVIDENCE.RECORD, ("v1", "v2", "v3")),
        (V1, 6, None, ()),
        (V1, None, None, ()),
        (None, 0, EVIDENCE.STREAM_BEGIN, ("v2", "v3")),
        (None, 1, None, ()),
        (None, None, None, ()),
    ],
    ids=["kept", "later", "trimmed", "first", "restored_store", "no_record"],
)
def test_start_trusts_only_a_history_without_gaps(
    record: release_record.ReleaseRecord | None,
    begin_at: int | None,
    evidence: release_history.Evidence | None,
    releases: tuple[str, ...],
) -> None:
    stream = release_record.KeptStream(begin_at, {"lm": {"v2"}})
    found = release_record.conclude(record, stream, {"lm": {"v3"}})
    expected = evidence and release_record.Conclusion(
        {"lm": releases}, evidence
    )
    assert found == expected


def test_record_names_all_releases_of_the_span() -> None:
    page = make_page(v1=0.0, v2=stream_origin.SPAN_S - 1, v3=70.0)
    record = release_record.make_record(page, {"lm": {"v4"}, "other": {"x"}})
    assert record is not None
    assert record.releases == {"lm": ("v1", "v2", "v4"), "other": ("x",)}


def test_vm_that_has_not_seen_the_whole_span_writes_no_record() -> None:
    short = make_page(stream_origin.SPAN_S - 1, v1=0.0)
    assert release_record.make_record(short, {}) is None
    assert release_record.make_record(make_page(position=0), {}) is None


def test_record_is_renewed_if_the_stream_has_moved_and_else_verified() -> None:
    schedule = release_record.WriteSchedule()
    assert schedule.is_due(V1, 0, 100.0)
    schedule.observe_stored(V1, 100.0)
    # A late write of another VM may have replaced it meanwhile.
    verified_at = 100.0 + release_record.VERIFY_INTERVAL_S
    assert not schedule.is_due(V1, 0, verified_at - 1)
    assert schedule.is_due(V1, 0, verified_at)
    schedule.observe_stored(V1, verified_at)
    assert not schedule.is_due(V1, 0, verified_at)
    moved = msgspec.structs.replace(V1, position=6)
    renewed_at = 100.0 + release_record.RENEWAL_INTERVAL_S
    assert not schedule.is_due(moved, 0, renewed_at - 1)
    assert schedule.is_due(moved, 0, renewed_at)
    assert not schedule.is_due(moved, 1, renewed_at)


class Log(releaselog.ReleaseLog):
    """Access of one VM to a store in memory.

    Attributes:
        stored: Records in the order in which VMs wrote them, shared by all.
        is_silent: Whether reads never end.
        is_down: Whether calls fail.
        calls: Number of calls.
        ends: Positions up to which the stream of replicas was read.
    """

    def __init__(self, stored: list[release_record.ReleaseRecord]) -> None:
        self.stored = stored
        self.is_silent = False
        self.is_down = False
        self.calls = 0
        self.ends: list[int] = []

    async def save(self, record: release_record.ReleaseRecord) -> None:
        await self._call()
        self.stored.append(record)

    async def load(self) -> release_record.ReleaseRecord | None:
        await self._call()
        return self.stored[-1] if self.stored else None

    async def read_replicas(
        self, start: int, end: int
    ) -> release_record.KeptStream:
        self.ends.append(end)
        await self._call()
        return release_record.KeptStream(start, {})

    async def _call(self) -> None:
        self.calls += 1
        await anyio.sleep(0.001)
        if self.is_silent:
            await anyio.sleep_forever()
        if self.is_down:
            raise log_error.LogError("down")


class Vm:
    """A VM that lists one release, and its access to the store."""

    def __init__(
        self, name: str, stored: list[release_record.ReleaseRecord]
    ) -> None:
        self.log = Log(stored)
        self.history = release_history.ReleaseHistory()
        self.history.observe({"lm": {"v1"}}, 0.0)
        self.position = 5
        self.sync = release_sync.ReleaseSync(
            name,
            self,
            self.history,
            lambda: self.position,
            lambda: {"lm": {"v1"}},
            self.log,
        )

    async def ask(self, address: str, request: Any, timeout_s: float) -> Any:
        raise link.LinkError("refused")

    @property
    def knows_span(self) -> bool:
        length_s = self.history.get_length_s(steadyclock.read())
        return length_s >= stream_origin.SPAN_S


@pytest.fixture
def vms(monkeypatch: pytest.MonkeyPatch) -> list[Vm]:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    stored: list[release_record.ReleaseRecord] = []
    return [Vm(f"vm-{n}", stored) for n in range(5)]


def run(vms: list[Vm], play: Callable[[], Awaitable[None]]) -> None:
    """Runs VMs that start together, in virtual time."""

    async def run_all() -> None:
        async with anyio.create_task_group() as tasks:
            for vm in vms:
                vm.sync.update_members(make_members(len(vms)))
                vm.sync.begin(steadyclock.read(), vm.position)
                tasks.start_soon(vm.sync.run)
            await play()
            tasks.cancel_scope.cancel()

    virtualtime.run(run_all)


def test_one_vm_writes_the_record_for_all(vms: list[Vm]) -> None:
    async def play() -> None:
        for _ in range(300):
            await anyio.sleep(1.0)
            for vm in vms:
                vm.position += 1

    run(vms, play)
    records = vms[0].log.stored
    assert 8 <= len(records) <= 300 / release_record.RENEWAL_INTERVAL_S + 1
    assert [r.position for r in records] == sorted(r.position for r in records)


@pytest.mark.parametrize("fault", ["is_down", "is_silent"])
def test_another_vm_writes_if_the_store_refuses_the_writer(
    vms: list[Vm], fault: str
) -> None:
    (writer,) = [
        vm
        for vm in vms
        if release_record.find_rank(vm.sync._address, make_members(5)) == 0
    ]

    async def play() -> None:
        await anyio.sleep(5.0)
        setattr(writer.log, fault, True)
        calls = writer.log.calls
        for vm in vms:
            vm.position = 9
        await anyio.sleep(100.0)
        assert vms[0].log.stored[-1].position == 9
        assert writer.log.calls - calls < 12

    run(vms, play)


@pytest.mark.parametrize("fault", ["is_down", "is_silent"])
def test_history_is_restored_once_the_store_answers(
    vms: list[Vm], fault: str
) -> None:
    async def play() -> None:
        for vm in vms:
            setattr(vm.log, fault, True)
        await anyio.sleep(20.0)
        assert not any(vm.knows_span or vm.log.calls > 8 for vm in vms)
        for vm in vms:
            setattr(vm.log, fault, False)
        await anyio.sleep(20.0)
        assert all(vm.knows_span for vm in vms)

    run(vms, play)


def test_reads_are_repeated_if_the_history_begins_anew_meanwhile(
    vms: list[Vm],
) -> None:
    # Releases may have come and gone after the records that were read.
    async def play() -> None:
        await anyio.sleep(0.0015)
        vms[0].sync.begin(steadyclock.read(), 9)
        await anyio.sleep(0.1)
        assert not vms[0].knows_span
        await anyio.sleep(5.0)
        assert vms[0].log.ends == [5, 9]
        assert vms[0].knows_span

    run(vms[:1], play)


def test_many_gaps_cause_few_reads(vms: list[Vm]) -> None:
    async def play() -> None:
        for _ in range(20):
            await anyio.sleep(0.1)
            vms[0].sync.begin(steadyclock.read(), 9)
        assert len(vms[0].log.ends) <= 3

    run(vms[:1], play)


class Deployment(node.Platform):
    """A deployment whose settings may say that it starts for the first time."""

    bootstrap = False

    def restart_vm(self, name: str) -> None:
        """See the base class."""
        path = self.folder / f"{name}.toml"
        text = path.read_text()
        if self.bootstrap and not text.startswith("bootstrap"):
            path.write_text(f"bootstrap = true\n{text}")
        super().restart_vm(name)

    def read_record(self) -> dict[str, Any] | None:
        """Returns the release record."""
        path = f"{store.NEWEST_PATH}?topic={release_records.TOPIC}&part=0"
        items = json.loads(node.call(self.store, "GET", path).body)["items"]
        if not items:
            return None
        record: dict[str, Any] = json.loads(base64.b64decode(items[0]["value"]))
        return record

    def wait_for_record(self, *releases: str) -> int:
        """Waits for a record of these releases; returns its offset."""
        wait_until(
            lambda: (
                (self.read_record() or {}).get("releases")
                == {node.SERVICE: list(releases)}
            ),
            12.0,
        )
        record = self.read_record() or {}
        return stream_position.get_offset(record["position"])

    def kill_and_restart_vms(self) -> None:
        """Kills all VMs and starts them again, until they serve."""
        for vm in self.vms:
            self.kill_vm(vm)
        for vm in self.vms:
            self.restart_vm(vm)
        for vm in self.vms:
            wait_until(lambda vm=vm: is_ready(self, vm))  # type: ignore[misc]

    def list_restored(self) -> list[str]:
        """Returns the evidence of each restored history."""
        return [
            line["evidence"]
            for vm in self.vms
            for line in self.read_log(vm)
            if line["message"] == "history of releases restored"
        ]


@contextlib.contextmanager
def run_deployment(bootstrap: bool = False) -> Iterator[Deployment]:
    with tempfile.TemporaryDirectory() as name:
        started = Deployment(Path(name))
        started.bootstrap = bootstrap
        try:
            started.start_store()
            started.set_config(node.make_config(1))
            resuming.start_release(started, "v1-0", "v1")
            for number in range(3):
                started.start_vm(f"vm-{number}")
            yield started
        finally:
            started.stop_all()


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    with run_deployment() as started:
        yield started


@pytest.mark.parametrize("lost", [0, 1])
def test_stream_of_a_store_restored_from_a_copy_is_not_its_beginning(
    deployment: Deployment, lost: int
) -> None:
    # The copy may lack releases, although its offsets begin at 0.
    if lost:
        deployment.write_record("v1-0")
        deployment.lose_records(lost)

    async def read() -> release_record.KeptStream:
        client = store.Store(deployment.store)
        newest = await client.read_newest(node.REPLICA_TOPIC)
        log = release_records.TopicReleaseLog(client, node.REPLICA_TOPIC)
        return await log.read_replicas(0, newest.end)

    stream = anyio.run(read)
    assert stream.releases == {node.SERVICE: {"v1"}}
    assert (stream.begin == 0) == (lost == 0)


def test_invalid_record_is_ignored(deployment: Deployment) -> None:
    for vm in deployment.vms:
        deployment.kill_vm(vm)
    deployment._put(release_records.TOPIC, release_records.KEY, b'{"x": 1}')
    deployment.kill_and_restart_vms()
    deployment.wait_for_record("v1")


@pytest.mark.parametrize("bootstrap", [False, True])
def test_first_start_serves_unnamed_streams_at_once(bootstrap: bool) -> None:
    with run_deployment(bootstrap) as started:
        for vm in started.vms:
            wait_until(lambda vm=vm: is_ready(started, vm))  # type: ignore[misc]
            wait_until(
                lambda vm=vm: is_resumed_unnamed(started, vm),  # type: ignore[misc]
                AT_ONCE_S,
            )


def test_single_release_goes_on_after_all_vms_were_killed(
    deployment: Deployment,
) -> None:
    offset = deployment.wait_for_record("v1")
    deployment.set_faults("store", forgotten=offset)
    stream = begin(deployment, "vm-0")
    deployment.kill_and_restart_vms()
    resuming.resume(deployment, stream, "vm-1")
    assert stream.is_whole
    assert "record" in deployment.list_restored()


@pytest.mark.parametrize(
    "case", ["both_serve", "one_left_before", "one_left_meanwhile", "stale"]
)
def test_streams_of_two_releases_are_refused_after_all_vms_were_killed(
    deployment: Deployment, case: str
) -> None:
    deployment.wait_for_record("v1")
    former = json.dumps(deployment.read_record()).encode()
    resuming.start_release(deployment, "v2-0", "v2")
    deployment.wait_for_record("v1", "v2")
    streams: list[resuming.Stream] = []

    def both_began() -> bool:
        # More at a time than one replica has room for.
        begun = begin_all(deployment, 2 * list(deployment.vms))
        streams.extend(stream for stream in begun if stream.events)
        return {s.events[0][1] for s in streams} == {"v1", "v2"}

    wait_until(both_began)
    if case == "one_left_before":
        deployment.remove_record("v1-0")
        wait_until(lambda: "leaving" in str(deployment.read_log("vm-0")[-50:]))
    for vm in deployment.vms:
        deployment.kill_vm(vm)
    if case == "stale":
        # Only the stream of replicas names v2 then.
        deployment._put(release_records.TOPIC, release_records.KEY, former)
        deployment.remove_record("v2-0")
    elif case == "one_left_meanwhile":
        deployment.remove_record("v1-0")
    deployment.kill_and_restart_vms()
    resume_all(deployment, streams, ["vm-1"] * len(streams), {"Resumes": ""})
    check_refused(streams)
    assert set(deployment.list_restored()) >= {"record"}


def test_history_that_no_longer_reaches_back_is_not_trusted(
    deployment: Deployment,
) -> None:
    deployment.wait_for_record("v1")
    for vm in deployment.vms:
        deployment.kill_vm(vm)
    deployment.write_record("v1-0", version="v2")
    deployment.write_record("v1-0", version="v1")
    deployment.set_faults("store", forgotten=10**6)
    deployment.kill_and_restart_vms()
    restored = deployment.list_restored()
    assert not any(is_resumed_unnamed(deployment, v) for v in deployment.vms)
    assert deployment.list_restored() == restored

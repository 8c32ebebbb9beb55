"""Origins of streams, kept at several VMs."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import AsyncIterator
from typing import Any

import anyio
import msgspec
import pytest

from ramptray import steadyclock
from ramptray.core import membership, release_history, stream_origin
from ramptray.entry import origin_search, origin_store
from ramptray.peer import link
from ramptray.peer import message as peer_message
from test import standstill

V1 = stream_origin.Origin("lm", "v1")
V2 = stream_origin.Origin("lm", "v2")
KEY = stream_origin.make_key("ola", "r1")
UNKNOWN = stream_origin.Source.UNKNOWN

STOPPED_S = 0.3
"""How long a process stands still, in seconds: longer than an event is held
back."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_members(count: int, zones: int = 3) -> list[membership.Member]:
    return [
        membership.Member(
            f"vm-{n}",
            "all",
            f"vm-{n}",
            1,
            availability_zone=f"zone-{n % zones}",
        )
        for n in range(count)
    ]


class Network:
    """Stores of VMs that ask each other.

    Attributes:
        stores: The stores by address.
        silent: VMs that no message reaches.
        refusing: VMs whose connections are refused.
        asked: Number of messages to each VM.
        answers: Set once answers have been read; None for at once.
    """

    def __init__(self, count: int) -> None:
        self.members = make_members(count)
        self.history = release_history.ReleaseHistory()
        self.silent: set[str] = set()
        self.refusing: set[str] = set()
        self.asked: list[str] = []
        self.answers: anyio.Event | None = None
        self.stores = {
            member.address: origin_store.OriginStore(
                member.address, self, self.history
            )
            for member in self.members
        }

    async def ask(self, address: str, request: Any, timeout_s: float) -> Any:
        self.asked.append(address)
        await anyio.lowlevel.checkpoint()
        if self.answers is not None:
            await self.answers.wait()
        if address in self.silent:
            await anyio.sleep(timeout_s)
            raise link.LinkError("no answer")
        if address in self.refusing:
            raise link.LinkError("refused")
        store = self.stores[address]
        if isinstance(request, peer_message.KeepOrigins):
            return store.keep(request)
        return await store.answer(request)

    def update_members(self, *gone: str) -> None:
        """Removes members from the view of all others."""
        left = [m for m in self.members if m.address not in gone]
        for store in self.stores.values():
            store.update_members(left, [])

    def list_keepers(self, key: bytes = KEY) -> list[str]:
        """Returns the VMs that keep a stream's origin."""
        now = steadyclock.read()
        return [
            address
            for address, store in self.stores.items()
            if store._table.find(key, now)
        ]


@contextlib.asynccontextmanager
async def run_network(count: int = 6) -> AsyncIterator[Network]:
    network = Network(count)
    network.update_members()
    async with anyio.create_task_group() as tasks:
        for store in network.stores.values():
            tasks.start_soon(store.run)
        await anyio.lowlevel.checkpoint()
        yield network
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_origin_is_kept_before_the_first_event_is_forwarded() -> None:
    async with run_network() as network:
        assert await network.stores["vm-0"].record(KEY, V1, 10.0)
        keepers = network.list_keepers()
        assert "vm-0" in keepers
        assert len(keepers) == 1 + stream_origin.COPIES
        for store in network.stores.values():
            finding = await store.find(KEY)
            assert finding.origin == V1


@pytest.mark.anyio
async def test_origin_outlives_the_loss_of_three_vms() -> None:
    async with run_network(8) as network:
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        lost = network.list_keepers()[:3]
        network.silent.update(lost)
        asking = next(a for a in network.stores if a not in lost)
        assert (await network.stores[asking].find(KEY)).origin == V1


@pytest.mark.anyio
async def test_first_event_is_not_held_back_for_long_by_silent_vms() -> None:
    async with run_network(4) as network:
        network.silent.update(["vm-1", "vm-2", "vm-3"])
        store = network.stores["vm-0"]
        for expected_s in (origin_store.CONFIRM_TIMEOUT_S, 0.0):
            began = steadyclock.read()
            assert not await store.record(KEY, V1, 10.0)
            took_s = steadyclock.read() - began
            assert expected_s <= took_s < expected_s + 0.08


@pytest.mark.anyio
async def test_confirmations_that_came_during_a_standstill_count() -> None:
    # The timer ran before they were read, and the event went on unconfirmed.
    async with run_network(4) as network:
        here, there = socket.socketpair()
        network.answers = anyio.Event()
        loop = asyncio.get_running_loop()
        loop.add_reader(here, network.answers.set)
        with (
            here,
            there,
            standstill.stand_still(0.02, STOPPED_S, lambda: there.send(b"x")),
        ):
            assert await network.stores["vm-0"].record(KEY, V1, 10.0)
            loop.remove_reader(here)


@pytest.mark.anyio
async def test_stream_that_only_a_vm_cut_off_knows_is_unknown() -> None:
    async with run_network(4) as network:
        network.refusing.update(["vm-1", "vm-2", "vm-3"])
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        network.refusing = {"vm-0"}
        finding = await network.stores["vm-1"].find(KEY)
        assert (finding.source, finding.origin) == (UNKNOWN, None)
        assert not finding.is_complete
        # The VM sends it once the others answer again.
        network.refusing = set()
        await anyio.sleep(2 * origin_store.RETRY_SILENT_S + 0.2)
        assert (await network.stores["vm-1"].find(KEY)).origin == V1


@pytest.mark.anyio
async def test_origin_moves_to_another_vm_when_a_keeper_is_lost() -> None:
    async with run_network(6) as network:
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        before = network.list_keepers()
        lost = before[1]
        network.silent.add(lost)
        network.update_members(lost)
        await anyio.sleep(0.05)
        assert len(set(network.list_keepers()) - {lost}) == len(before)


@pytest.mark.anyio
async def test_leaving_vm_hands_its_origins_over() -> None:
    async with run_network(4) as network:
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        network.stores["vm-1"]._table = stream_origin.OriginTable()
        await network.stores["vm-2"].hand_over()
        assert "vm-1" in network.list_keepers()


@pytest.mark.anyio
async def test_id_that_began_two_streams_is_ambiguous_at_every_vm() -> None:
    async with run_network(5) as network:
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        await network.stores["vm-1"].record(KEY, V2, 10.0)
        for store in network.stores.values():
            finding = await store.find(KEY)
            assert finding.source is stream_origin.Source.AMBIGUOUS
            assert finding.origin is None


@pytest.mark.anyio
async def test_searches_at_a_time_are_bounded() -> None:
    # Callers may name any id, also many at once.
    async with run_network(5) as network:
        network.silent.update(network.stores)
        async with anyio.create_task_group() as tasks:
            for number in range(3 * origin_search.MAX_SEARCHES):
                key = stream_origin.make_key("ola", f"junk-{number}")
                tasks.start_soon(network.stores["vm-0"].find, key)
        bound = origin_search.MAX_SEARCHES * stream_origin.ASKED_COPIES
        assert len(network.asked) <= bound


@pytest.mark.anyio
async def test_origins_are_sent_once_another_release_is_listed() -> None:
    async with run_network(4) as network:
        network.history.begin(float("-inf"), 0)
        network.history.observe({"lm": {"v1"}}, steadyclock.read())
        store = network.stores["vm-0"]
        assert await store.record(KEY, V1, 10.0)
        assert network.asked == []
        network.history.observe({"lm": {"v1", "v2"}}, steadyclock.read())
        store.update_releases()
        await anyio.sleep(0.05)
        assert len(network.list_keepers()) == 4
        assert (await network.stores["vm-3"].find(KEY)).origin == V1


@pytest.mark.anyio
async def test_origin_of_a_release_that_is_not_listed_is_sent() -> None:
    # An owner may grant a server whose record this VM has not read yet.
    async with run_network(4) as network:
        network.history.begin(float("-inf"), 0)
        network.history.observe({"lm": {"v1"}}, steadyclock.read())
        await network.stores["vm-0"].record(KEY, V2, 10.0)
        assert len(network.list_keepers()) == 4


def make_record(
    number: int, left_s: float = 10.0
) -> stream_origin.OriginRecord:
    key = stream_origin.make_key("ola", str(number))
    return stream_origin.OriginRecord(key, (V1,), left_s)


def test_table_is_bounded_and_forgets() -> None:
    table = stream_origin.OriginTable(max_origins=10)
    for number in range(25):
        table.merge(make_record(number), 100.0)
    assert (len(table), table.dropped) == (10, 15)
    kept = make_record(24).key
    assert table.find(kept, 109.9) == (V1,)
    assert table.find(kept, 110.1) == ()
    table.merge(make_record(99, left_s=1e9), 200.0)
    assert len(table) == 1
    longest = 200.0 + stream_origin.MAX_RETENTION_S
    assert table.find(make_record(99).key, longest + 0.1) == ()


def test_customers_cannot_name_attempts_of_others() -> None:
    keys = {
        stream_origin.make_key(customer, request_id)
        for customer, request_id in (
            ("ola", "r1"),
            ("ol", "ar1"),
            ("", "olar1"),
            ("zofia", "r1"),
        )
    }
    assert len(keys) == 4


def test_keepers_are_in_several_zones_and_stay_when_one_is_lost() -> None:
    members = make_members(9)
    for number in range(50):
        key = stream_origin.make_key("ola", str(number))
        ranked = stream_origin.rank_keepers(key, members)
        first = ranked[: stream_origin.COPIES]
        assert len({m.availability_zone for m in first}) == 3
        left = [m for m in members if m != first[0]]
        asked = stream_origin.rank_keepers(key, left)
        assert set(first[1:]) <= set(asked[: stream_origin.ASKED_COPIES])


@pytest.mark.parametrize(("members", "keepers"), [(6, 6), (30, 17), (300, 44)])
def test_few_members_of_a_large_zone_keep_origins(
    members: int, keepers: int
) -> None:
    chosen = stream_origin.list_keepers(make_members(members))
    assert len(chosen) == keepers


SPAN_S = 20.0


def make_history(
    since: float, *releases: str, position: int = 0
) -> release_history.ReleaseHistory:
    history = release_history.ReleaseHistory()
    history.begin(since, position)
    history.observe({"lm": releases}, max(since, 0.0))
    return history


def test_only_release_is_certain_after_a_while() -> None:
    history = make_history(0.0, "v1")
    assert history.find_only("lm", SPAN_S, SPAN_S - 1) is None
    assert history.find_only("lm", SPAN_S, SPAN_S) == "v1"
    assert history.find_only("other", SPAN_S, SPAN_S) is None


def test_only_release_of_a_new_deployment_is_certain_at_once() -> None:
    history = make_history(0.0, "v1")
    history.restore({}, release_history.Evidence.STREAM_BEGIN, 1.0)
    assert history.find_only("lm", stream_origin.SPAN_S, 1.0) == "v1"


def test_release_that_came_and_went_is_remembered() -> None:
    history = make_history(0.0, "v1")
    history.observe({"lm": {"v1", "v2"}}, 100.0)
    history.observe({"lm": {"v1"}}, 101.0)
    assert history.find_only("lm", SPAN_S, 101.0 + SPAN_S - 1) is None
    assert history.find_only("lm", SPAN_S, 101.0 + SPAN_S) == "v1"


def test_nothing_is_certain_after_a_gap() -> None:
    history = make_history(0.0, "v1")
    history.begin(100.0, 7)
    assert history.find_only("lm", SPAN_S, 101.0) is None
    assert history.find_only("lm", SPAN_S, 100.0 + SPAN_S) == "v1"


def test_restarted_vm_adopts_the_history_of_another_one() -> None:
    older = make_history(0.0, "v1")
    restarted = make_history(1000.0, "v1", position=5)
    assert restarted.adopt(older.make_page(5, 100.0), 1001.0)
    assert restarted.find_only("lm", SPAN_S, 1001.0) == "v1"
    assert not restarted.adopt(older.make_page(5, 90.0), 1001.0)


def test_history_that_ends_before_the_own_one_begins_is_not_adopted() -> None:
    older = make_history(0.0, "v1")
    restarted = make_history(1000.0, "v1", position=6)
    assert not restarted.adopt(older.make_page(5, 100.0), 1001.0)


def test_adopted_history_holds_releases_that_have_gone() -> None:
    older = make_history(0.0, "v1", "v2")
    older.observe({"lm": {"v1"}}, 95.0)
    restarted = make_history(1000.0, "v1")
    assert restarted.adopt(older.make_page(0, 100.0), 1001.0)
    assert restarted.find_only("lm", SPAN_S, 1010.0) is None
    assert restarted.find_only("lm", SPAN_S, 1017.0) == "v1"


@pytest.mark.anyio
async def test_origin_is_sent_again_to_a_keeper_that_started_again() -> None:
    async with run_network(4) as network:
        await network.stores["vm-0"].record(KEY, V1, 10.0)
        restarted = network.members[1]
        network.stores["vm-1"]._table = stream_origin.OriginTable()
        network.members[1] = msgspec.structs.replace(restarted, incarnation=2)
        network.update_members()
        await anyio.sleep(0.05)
        assert "vm-1" in network.list_keepers()


def test_restored_history_is_complete_and_holds_the_given_releases() -> None:
    span_s = stream_origin.SPAN_S
    history = make_history(1000.0, "v2")
    history.restore({"lm": {"v1"}}, release_history.Evidence.RECORD, 1001.0)
    assert history.get_length_s(1001.0) == span_s
    assert history.find_only("lm", span_s, 1001.0 + span_s - 1) is None
    assert history.find_only("lm", span_s, 1001.0 + span_s) == "v2"


def test_restored_history_is_lost_at_a_gap() -> None:
    history = make_history(1000.0, "v2")
    history.restore({}, release_history.Evidence.STREAM_BEGIN, 1001.0)
    history.begin(1002.0, 9)
    assert history.find_only("lm", SPAN_S, 1003.0) is None


def test_history_says_what_it_rests_on() -> None:
    record = release_history.Evidence.RECORD
    restored = make_history(1000.0, "v1")
    restored.restore({"lm": {"v1"}}, record, 1001.0)
    assert restored.describe(1001.0).evidence is record
    adopting = make_history(2000.0, "v1")
    assert adopting.adopt(restored.make_page(0, 1001.0), 2001.0)
    assert adopting.describe(2001.0) == release_history.Basis(
        stream_origin.SPAN_S, release_history.Evidence.PEER, record
    )
    # What it passes on is what the other VM had, and later its own.
    assert adopting.make_page(0, 2001.0).evidence is record
    observed = adopting.describe(2000.0 + stream_origin.SPAN_S).evidence
    assert observed is release_history.Evidence.OBSERVED


def test_history_that_does_not_say_what_it_rests_on_is_not_adopted() -> None:
    # VMs of older versions took any start for the first one if their settings
    # said so, and passed a history without a begin on to all others.
    page = make_history(float("-inf"), "v2").make_page(0, 1.0)
    older = msgspec.structs.replace(page, evidence=None)
    restarted = make_history(1000.0, "v2")
    assert not restarted.adopt(older, 1001.0)
    assert restarted.adopt(page, 1001.0)


@pytest.mark.parametrize(
    ("listed", "wait_s"),
    [({"v1", "v2"}, math.inf), ({"v2"}, 60.0), (set(), 60.0)],
    ids=["two", "one", "none"],
)
def test_wait_until_one_release_can_be_certain(
    listed: set[str], wait_s: float
) -> None:
    history = make_history(0.0, "v0", "v1", "v2")
    history.observe({"lm": {"v1", "v2"}}, 995.0)
    history.observe({"lm": {"v2"}}, 1000.0)
    history.observe({"lm": listed}, 1005.0)
    assert history.compute_wait_s("lm", 65.0, 1005.0) == wait_s
    if not math.isinf(wait_s):
        assert history.find_only("lm", 65.0, 1005.0 + wait_s - 1) is None
        assert history.find_only("lm", 65.0, 1005.0 + wait_s) == "v2"

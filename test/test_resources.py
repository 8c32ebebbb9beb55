"""Which connections give up their descriptors and memory for others."""

from __future__ import annotations

import functools
import time
from collections.abc import Iterator

import pytest

from ramptray import resources, steadyclock

OLD_S = 5.0


@pytest.fixture(autouse=True)
def _no_resident_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leaves out the memory of the process that runs the tests."""
    set_resident_bytes(monkeypatch, 0)


def set_resident_bytes(monkeypatch: pytest.MonkeyPatch, size: int) -> None:
    monkeypatch.setattr(resources, "_read_resident_bytes", lambda: size)


class Pool(resources.ConnectionPool):
    """Connections that close at once.

    Args:
        busy: Number of connections that work.
    """

    def __init__(self, busy: int = 0) -> None:
        self.busy = busy
        self.resting: dict[str, resources.Resting] = {}
        self.held: dict[str, int] = {}
        self.busy_bytes = 0

    @property
    def connection_count(self) -> int:
        return self.busy + len(self.resting)

    @property
    def buffered_bytes(self) -> int:
        return self.busy_bytes + sum(self.held.values())

    def list_resting(self) -> Iterator[resources.Resting]:
        return iter(self.resting.values())

    def list_holders(self) -> Iterator[resources.Holder]:
        return (
            resources.Holder(
                each.since,
                self.held[name],
                each.kind is resources.RestKind.INCOMPLETE,
                each.close,
            )
            for name, each in self.resting.items()
        )

    def add(
        self,
        name: str,
        kind: resources.RestKind,
        rests_s: float,
        buffered_bytes: int = 0,
    ) -> None:
        self.resting[name] = resources.Resting(
            kind,
            steadyclock.read() - rests_s,
            functools.partial(self._close, name),
        )
        self.held[name] = buffered_bytes

    def _close(self, name: str) -> None:
        del self.resting[name]
        del self.held[name]


def make_budget(
    pool: Pool, max_descriptors: int = 200
) -> resources.ResourceBudget:
    budget = resources.ResourceBudget(max_descriptors, 100)
    budget.add_pool("callers", pool)
    return budget


def test_connections_close_by_what_their_ends_lose() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers - 3
    pool.add("unread", resources.RestKind.UNREAD, 9.0)
    pool.add("kept", resources.RestKind.KEPT, 8.0)
    pool.add("incomplete", resources.RestKind.INCOMPLETE, 2.0)
    pool.add("answered", resources.RestKind.ANSWERED, 1.0)
    order = []
    while pool.resting:
        before = set(pool.resting)
        budget.relieve()
        order += sorted(before - set(pool.resting))
    assert order[-1] == "unread"
    assert order.index("kept") > order.index("incomplete")
    assert order.index("incomplete") > order.index("answered")


def test_a_caller_that_has_just_connected_is_not_closed() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers
    pool.add("new", resources.RestKind.INCOMPLETE, 0.0)
    wait_s = budget.make_room_for_callers()
    assert 0.0 < wait_s <= resources.MIN_REST_S
    assert "new" in pool.resting
    assert not budget.is_crowded()


def wait_for_room(budget: resources.ResourceBudget) -> float:
    """Waits as accepting does; returns for how many seconds."""
    began = time.monotonic()
    while wait_s := budget.make_room_for_callers():
        time.sleep(wait_s)
    return time.monotonic() - began


def test_callers_are_refused_only_if_nothing_rests() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers
    wait_for_room(budget)
    assert budget.is_crowded()
    pool.busy -= 1
    pool.add("kept", resources.RestKind.KEPT, OLD_S)
    assert not budget.is_crowded()
    assert budget.make_room_for_callers() == 0.0
    assert "kept" not in pool.resting


def test_callers_are_refused_only_after_a_wait() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers
    assert budget.make_room_for_callers() > 0.0
    assert not budget.is_crowded()
    pool.busy -= 1
    assert budget.make_room_for_callers() == 0.0
    pool.busy += 1
    waited_s = wait_for_room(budget)
    assert waited_s <= resources.MAX_WAIT_S + resources.WAIT_CHECK_INTERVAL_S
    assert budget.is_crowded()


def test_callers_wait_anew_once_all_were_accepted() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers
    wait_for_room(budget)
    budget.end_wait_of_callers()
    assert budget.make_room_for_callers() > 0.0


def test_servers_are_reached_beside_as_many_callers_as_are_accepted() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy = budget.max_with_callers
    assert budget.make_room_for_server()
    pool.busy = budget.max_connections
    assert not budget.make_room_for_server()


@pytest.mark.parametrize("max_descriptors", [10, 64, 200, 4100])
def test_some_connections_are_always_allowed(max_descriptors: int) -> None:
    budget = make_budget(Pool(), max_descriptors)
    assert 0 < budget.max_with_callers < budget.max_connections
    assert budget.max_connections <= max(
        max_descriptors, resources.MIN_CONNECTIONS
    )


def test_a_small_request_is_read_however_much_others_hold() -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.add(
        "new",
        resources.RestKind.INCOMPLETE,
        0.0,
        2 * budget.max_buffered_bytes,
    )
    assert budget.make_room_for_bytes(0, resources.SMALL_BYTES)
    pool.held["new"] = resources.SMALL_BYTES + 1
    pool.busy_bytes = 2 * budget.max_buffered_bytes
    assert not budget.make_room_for_bytes(0, resources.SMALL_BYTES + 1)


def test_unfinished_requests_give_up_their_memory() -> None:
    pool = Pool()
    budget = make_budget(pool)
    part = budget.max_buffered_bytes // 3
    for name in ("a", "b", "c", "d"):
        pool.add(name, resources.RestKind.INCOMPLETE, OLD_S, part)
    assert budget.make_room_for_bytes(0, part)
    assert len(pool.resting) < 4
    assert pool.buffered_bytes + part <= budget.max_buffered_bytes


def test_the_request_that_takes_most_is_refused_first() -> None:
    pool = Pool()
    budget = make_budget(pool)
    part = budget.max_buffered_bytes // 8
    for number in range(1, 4):
        pool.add(str(number), resources.RestKind.INCOMPLETE, 0.0, number * part)
    pool.busy_bytes = 2 * part
    assert budget.make_room_for_bytes(0, part)
    assert set(pool.resting) == {"1", "2"}


def test_an_answer_that_is_not_read_is_cut_only_after_a_while() -> None:
    pool = Pool()
    budget = make_budget(pool)
    limit = budget.max_buffered_bytes
    pool.add("new", resources.RestKind.UNREAD, 0.0, limit)
    assert not budget.make_room_for_bytes(0, limit // 8)
    pool.add("old", resources.RestKind.UNREAD, OLD_S, limit // 2)
    pool.held["new"] = limit // 2
    assert budget.make_room_for_bytes(0, limit // 8)
    assert set(pool.resting) == {"new"}


def test_a_request_takes_no_memory_of_smaller_ones_at_work() -> None:
    pool = Pool()
    budget = make_budget(pool)
    part = budget.max_buffered_bytes // 8
    for number in range(8):
        pool.add(str(number), resources.RestKind.INCOMPLETE, 0.0, part)
    assert not budget.make_room_for_bytes(0, 2 * part)
    assert len(pool.resting) == 8


def test_a_single_request_may_take_more_than_its_part() -> None:
    budget = resources.ResourceBudget(200, 1000)
    pool = Pool()
    budget.add_pool("callers", pool)
    assert budget.make_room_for_bytes(0, 2 * budget.max_buffered_bytes)
    assert not budget.make_room_for_bytes(0, 4 * budget.max_buffered_bytes)
    pool.add("other", resources.RestKind.INCOMPLETE, 0.0, 100_000_000)
    assert not budget.make_room_for_bytes(0, 2 * budget.max_buffered_bytes)


@pytest.mark.parametrize("memory_mb", [64, 100, 300, 4000])
def test_the_parts_of_all_stay_below_the_memory(memory_mb: int) -> None:
    budget = resources.ResourceBudget(1_000_000, memory_mb)
    connections = budget.max_connections * resources.CONNECTION_BYTES
    taken = connections + budget.max_buffered_bytes
    assert taken <= 0.75 * memory_mb * resources.MEGABYTE


def test_memory_that_nothing_explains_leaves_requests_less(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pool = Pool()
    budget = make_budget(pool)
    pool.busy_bytes = budget.max_buffered_bytes // 2
    part = budget.max_buffered_bytes // 3
    assert budget.make_room_for_bytes(0, part)
    set_resident_bytes(monkeypatch, 90 * resources.MEGABYTE)
    time.sleep(resources.RESIDENT_INTERVAL_S)
    assert not budget.make_room_for_bytes(0, part)


def test_headers_count_with_what_they_take() -> None:
    few = resources.compute_request_bytes(8_000, 20, 0)
    many = resources.compute_request_bytes(8_000, 1_300, 0)
    assert many - few == 1_280 * resources.HEADER_BYTES

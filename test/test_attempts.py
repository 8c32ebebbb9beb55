"""Retries, queueing, rate limits, silent owners and unreachable servers."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import (
    availability,
    backend,
    limit,
    membership,
    message,
    queue,
    request,
    retry,
)
from ramptray.entry import owners, reachability
from ramptray.peer import message as peer_message
from ramptray.platform import header
from ramptray.relay import client, connection, event, socket_stream

OWNER, LOCAL = "10.0.0.2:1", "10.0.0.1:1"
SHARD = message.ShardKey("all", "lm")


def make_info(**changes: object) -> message.RequestInfo:
    fields: dict[str, object] = {
        "request_id": "r",
        "shard": SHARD,
        "customer": "c",
        "tier": "t",
        "prompt_tokens": 10,
        "output_tokens": 10,
        "prefix": (),
        "deadline_s": 10.0,
    }
    return message.RequestInfo(**{**fields, **changes})  # type: ignore[arg-type]


def grant(machine: request.RequestMachine, backend: str) -> bool:
    """Grants a backend server; returns whether the request is dispatched."""
    effects = machine.receive_grant(
        message.Grant("r", f"g-{backend}", backend, OWNER)
    )
    return any(isinstance(e, request.Dispatch) for e in effects)


def fail(
    machine: request.RequestMachine, not_run: bool, may_repeat: bool = True
) -> request.Finish | None:
    """Fails an attempt; returns the request's result if the request ends."""
    ended = message.Ended("r", 0, 0.0, False)
    finish = request.Finish(
        message.Outcome.UNKNOWN, message.Reason.BACKEND_LOST
    )
    effects = machine.fail_attempt(ended, not_run, may_repeat, finish)
    finishes = [e for e in effects if isinstance(e, request.Finish)]
    return finishes[0] if finishes else None


@settings(derandomize=True, deadline=None)
@given(
    repeatable=st.booleans(),
    most=st.integers(1, 4),
    attempts=st.lists(st.tuples(st.booleans(), st.booleans()), max_size=5),
)
def test_attempts_never_break_a_promise(
    repeatable: bool, most: int, attempts: list[tuple[bool, bool]]
) -> None:
    machine = request.RequestMachine(
        make_info(repeatable=repeatable, max_attempts=most), False
    )
    machine.assign(OWNER, machine.info)
    may_have_run = 0
    for number, (not_run, budget) in enumerate(attempts):
        if not grant(machine, f"b{number}"):
            break
        may_have_run += not not_run
        finish = fail(machine, not_run, budget)
        if finish is None:
            assert machine.info.avoid[-1] == f"b{number}"
            continue
        told_not_run = finish.outcome is message.Outcome.NOT_RUN
        assert told_not_run == (may_have_run == 0)
        break
    assert machine.dispatches <= most
    assert repeatable or may_have_run <= 1


def test_a_rejection_after_a_run_is_not_reported_as_not_run() -> None:
    machine = request.RequestMachine(
        make_info(repeatable=True, max_attempts=3), False
    )
    machine.assign(OWNER, machine.info)
    assert grant(machine, "a")
    assert fail(machine, not_run=False) is None
    effects = machine.reject(message.Reason.OVERLOADED, 1.0)
    finish = effects[-1]
    assert isinstance(finish, request.Finish)
    assert finish.outcome is message.Outcome.UNKNOWN


def test_late_requests_are_queued_behind_those_in_time() -> None:
    shard_queue = queue.ShardQueue({"t": 0})
    late = shard_queue.make(
        make_info(request_id="a", objective_s=1.0), "e", 0.0
    )
    fresh = shard_queue.make(
        make_info(request_id="b", objective_s=9.0), "e", 0.0
    )
    shard_queue.push(late)
    shard_queue.push(fresh)
    shard_queue.demote(late)
    order = [w for tier in shard_queue.tiers for w in tier.list_all()]
    assert [w.request.request_id for w in order] == ["b", "a"]
    shard_queue.set_ranks({"t": 0, "u": 1})
    order = [w for tier in shard_queue.tiers for w in tier.list_all()]
    assert [w.request.request_id for w in order] == ["b", "a"]


def test_a_request_expires_at_its_maximum_wait() -> None:
    shard_queue = queue.ShardQueue({"t": 0})
    held = shard_queue.make(make_info(wait_s=1.0), "e", 0.0)
    shard_queue.push(held)
    assert shard_queue.list_expired(0.9) == []
    assert shard_queue.list_expired(1.0) == [held]


def test_the_retry_budget_counts_over_a_window() -> None:
    budget = retry.RetryBudget(retry.BudgetRules(0.5, 1.0, 10.0))
    assert budget.try_take("s", 0.0)
    assert not budget.try_take("s", 0.0)
    for _ in range(4):
        budget.count_request("s", 1.0)
    assert [budget.try_take("s", 1.0) for _ in range(3)] == [True, True, False]
    assert budget.try_take("s", 12.0)


def make_owners() -> owners.OwnerSelector:
    selector = owners.OwnerSelector("all", LOCAL)
    members = [
        membership.Member("vm-a", "all", LOCAL, 1),
        membership.Member("vm-b", "all", OWNER, 1),
    ]
    selector.apply_view(peer_message.View(members, []))
    return selector


def find_foreign_shard(selector: owners.OwnerSelector) -> message.ShardKey:
    """Returns a shard that the other VM owns."""
    shards = (message.ShardKey("all", f"s{n}") for n in range(50))
    return next(s for s in shards if selector.find_owner(s, 0.0) == OWNER)


def test_the_local_scheduler_replaces_a_silent_owner() -> None:
    selector = make_owners()
    shard = find_foreign_shard(selector)
    assert selector.back_off(OWNER, 10.0)
    assert not selector.back_off(OWNER, 10.1)
    assert selector.find_owner(shard, 10.5) == LOCAL
    assert selector.find_owner(shard, 10.0 + owners.FIRST_BACKOFF_S) == OWNER
    assert selector.back_off(OWNER, 12.0)
    assert (
        selector.find_owner(shard, 12.0 + owners.FIRST_BACKOFF_S * 1.5) == LOCAL
    )
    selector.record_message(OWNER, 12.1)
    assert selector.find_owner(shard, 12.2) == OWNER


def test_vms_of_a_zone_agree_on_the_replacement_of_a_silent_owner() -> None:
    # If each of 89 VMs replaced the owner by itself, all of them together would
    # overload the same engines.
    shard = message.ShardKey("all", "lm")
    zones = {f"vm{n}": "a" if n < 4 else "b" for n in range(8)}
    members = [
        membership.Member(
            vm, "all", f"{vm}:1", 1, availability_zone=zone, cores=1.0 + (n % 2)
        )
        for n, (vm, zone) in enumerate(zones.items())
    ]
    selectors = [owners.OwnerSelector("all", f"vm{n}:1") for n in range(4)]
    for one in selectors:
        one.apply_view(peer_message.View(members, []))
    owner = selectors[0].find_owner(shard, 10.0)
    assert owner is not None
    for one in selectors:
        assert one.find_owner(shard, 10.0) == owner
        one.back_off(owner, 10.0)
    (replacement,) = {one.find_owner(shard, 10.1) for one in selectors} - {
        owner
    }
    assert replacement in {"vm1:1", "vm3:1"}


def test_the_local_scheduler_is_never_suspected() -> None:
    assert not make_owners().back_off(LOCAL, 1.0)


def test_a_silent_server_makes_its_zone_suspect_temporarily() -> None:
    known = reachability.Reachability()
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    known.record_connect_failure("a1", "a", 10.0)
    assert known.list_unreachable(zones, 10.1) == ("a1", "a2")
    known.record_answer("a2", "a", 10.2)
    assert known.list_unreachable(zones, 10.3) == ("a1",)
    known.record_connect_failure("a1", "a", 10.4)
    assert known.list_unreachable(zones, 10.5) == ("a1",)
    assert known.list_unreachable(zones, 20.0) == ()


def test_requests_larger_than_the_bucket_are_admitted() -> None:
    limits = limit.Limits({"c": limit.RateLimit(None, 100.0, 100.0)})
    assert limits.try_acquire("c", 90, 0.0) == 0
    assert limits.try_acquire("c", 500, 0.0) == 0
    assert limits.try_acquire("c", 1, 0.0) > 0
    assert limits.try_acquire("c", 1, 5.2) == 0


def test_a_change_of_limits_does_not_refill_buckets() -> None:
    limits = limit.Limits({"c": limit.RateLimit(None, 100.0, 1000.0)})
    assert limits.try_acquire("c", 1000, 0.0) == 0
    limits.set_rates({"c": limit.RateLimit(None, 110.0, 1000.0)})
    assert limits.try_acquire("c", 10, 0.0) > 0


def test_one_side_of_a_partition_admits_its_share_of_a_limit() -> None:
    limits = limit.Limits({"c": limit.RateLimit(None, 100.0, 100.0)})
    assert limits.try_acquire("c", 1, 0.0) == 0
    limits.set_part(0.5)
    admitted = sum(
        limits.try_acquire("c", 1, second / 100) == 0
        for second in range(1, 1001)
    )
    assert 500 <= admitted <= 600


@pytest.mark.parametrize("step", [1, 3, 7, 1000])
def test_only_complete_events_are_forwarded(step: int) -> None:
    text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c"
    splitter = event.EventSplitter()
    whole = b"".join(
        splitter.split(text[at : at + step]) for at in range(0, len(text), step)
    )
    assert whole == text[: text.rindex(b"id: 3")]
    assert (splitter.last_id, splitter.count) == ("2", 2)
    assert splitter.take_remainder() == b"id: 3\ndata: c"


@pytest.mark.parametrize("step", [1, 3, 1000])
@pytest.mark.parametrize("ends", [b"\r\r", b"\r\n\n", b"\n\r\n", b"\n\r"])
def test_events_end_with_any_two_line_ends(ends: bytes, step: int) -> None:
    text = b"id: 1\ndata: a" + ends + b"id: 2\rdata: b" + ends + b"id: 3\r\n"
    splitter = event.EventSplitter()
    whole = b"".join(
        splitter.split(text[at : at + step]) for at in range(0, len(text), step)
    )
    remainder = splitter.take_remainder()
    assert whole + remainder == text
    assert remainder.strip() == b"id: 3"
    assert (splitter.last_id, splitter.count) == ("2", 2)


def test_comments_are_no_events() -> None:
    # A server may send one to keep the connection alive before it crashes.
    splitter = event.EventSplitter()
    assert splitter.split(b": still here\n\n") == b": still here\n\n"
    assert splitter.count == 0


class FakeIdleConnection:
    """An idle connection whose close yields to other tasks."""

    def __init__(self, idle_since: float) -> None:
        self.target = connection.Target("")
        self.idle_since = idle_since
        self.idle_timeout_s = 5.0
        self.closed = False

    def is_usable(self) -> bool:
        return True

    async def close(self) -> None:
        await anyio.sleep(0)
        self.closed = True


def test_a_connection_is_never_borrowed_twice() -> None:
    async def run() -> None:
        pool = client.RelayClient(header.PlatformDialect())
        now = anyio.current_time()
        idle = [
            FakeIdleConnection(now - 60),
            FakeIdleConnection(now),
            FakeIdleConnection(now),
            FakeIdleConnection(now - 60),
        ]
        pool._idle["x:1"] = idle  # type: ignore[assignment]
        borrowed: list[object] = []

        async def take() -> None:
            borrowed.append(
                await pool._checkout(connection.Target("x:1"), False)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take)
            tasks.start_soon(pool.close_expired, now)
            tasks.start_soon(take)
        assert len(set(map(id, borrowed))) == 2
        assert not any(c.closed for c in borrowed)  # type: ignore[attr-defined]

    anyio.run(run)


def test_a_server_whose_answers_break_off_gets_no_work_for_a_while() -> None:
    # A replica that reset each connection always had free capacity and so got
    # the next request at once.
    server = backend.Backend(backend.BackendInfo("b", 4, 10_000, 0))
    for number in range(availability.EJECT_AFTER_BREAKS):
        assert server.is_open(1.0)
        info = make_info(request_id=str(number))
        server.place(info, "e", "g", 1.0)
        broken = message.Ended(str(number), 0, 0.0, False, broken=True)
        server.end(broken, 1.0)
    assert not server.is_open(1.0 + availability.UNREACHABLE_S / 2)
    assert server.is_open(1.0 + availability.UNREACHABLE_S)


def test_single_broken_answers_do_not_keep_work_away() -> None:
    server = backend.Backend(backend.BackendInfo("b", 4, 10_000, 0))
    for number in range(8):
        server.place(make_info(request_id=str(number)), "e", "g", 1.0)
        broken = number % 2 == 0
        server.end(
            message.Ended(str(number), 0, 0.0, not broken, broken=broken), 1.0
        )
        assert server.is_open(1.0)


def test_a_zone_is_silent_until_it_answers() -> None:
    known = reachability.Reachability()
    assert known.record_connect_failure("b", "z", 10.0)
    assert not known.record_connect_failure("c", "z", 10.1)
    assert known.list_suspect_zones() == {"z"}
    known.record_answer("b", "z", 30.0)
    assert not known.list_suspect_zones()


def test_a_connection_from_before_a_network_cut_is_not_reused() -> None:
    async def run() -> None:
        pool = client.RelayClient(header.PlatformDialect())
        old, other = (
            FakeIdleConnection(anyio.current_time()),
            FakeIdleConnection(anyio.current_time()),
        )
        pool._idle["127.0.0.1:1"] = [old]  # type: ignore[list-item]
        pool._idle["y:1"] = [other]  # type: ignore[list-item]
        pool.expire_idle(["127.0.0.1:1"])
        borrowed: object = await pool._checkout(connection.Target("y:1"), False)
        assert borrowed is other
        with pytest.raises(connection.NotSentError):
            await pool._checkout(connection.Target("127.0.0.1:1"), False)
        assert old.closed

    anyio.run(run)


def test_retry_times_of_refused_requests_are_staggered() -> None:
    limits = limit.Limits({"c": limit.RateLimit(None, 100.0, 100.0)})
    assert limits.try_acquire("c", 100, 0.0) == 0
    first, second = (limits.try_acquire("c", 150, 0.0) for _ in range(2))
    assert 0 < first < 0.1
    assert second == pytest.approx(first + 1.5)
    # Two seconds later the bucket has refilled by 200 tokens.
    assert limits.try_acquire("c", 100, 2.0) == 0
    waits = [limits.try_acquire("c", 500, 2.0) for _ in range(9)]
    assert max(waits) == limit.MAX_RETRY_AFTER_S


@pytest.mark.anyio
async def test_a_connection_to_another_region_has_time_for_the_distance(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # At 30 ms one way a handshake left a busy VM 60 ms of the timeout.
    async def connect(host: str, port: int) -> object:
        await anyio.sleep(0.25)
        return object()

    monkeypatch.setattr(socket_stream, "connect", connect)
    dialect = header.PlatformDialect()
    with pytest.raises(connection.NotSentError):
        await connection.open_connection(
            connection.Target("127.0.0.1:1"), dialect
        )
    target = connection.Target("127.0.0.1:1", delay_s=0.3)
    opened = await connection.open_connection(target, dialect)
    assert opened.target == target

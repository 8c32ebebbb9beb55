"""Bursts beyond capacity, replayed, and the rules that the replays led to.

Bounds are the targets of docs/distance-and-overload.md.
"""

from __future__ import annotations

import dataclasses

import msgspec
import pytest

from bench.replay import caller, oracle, pattern, variant, world, worth
from ramptray.core import backend, message, shard, shedding
from test import test_waiting

SEEDS = (1, 2, 3, 4)

USUAL_IN_TIME = 697 / 814
"""Fraction of the calls that deployment A served in time before its burst."""

RECOVERY_S = 3.0
"""Time after a burst within which that fraction must be reached again."""

FULL = msgspec.structs.replace(
    test_waiting.SHORT, content="same", wait_s=0.5, output_tokens=200
)


def replay(name: str) -> list[caller.Call]:
    """Replays a pattern with all seeds and returns its calls."""
    given = pattern.read_pattern(name)
    return [call for seed in SEEDS for call in world.play(given, seed).calls]


def refuse(owner: shard.ShardOwner) -> float:
    """Lets the owner refuse ``FULL``, sent at 1.0, at 1.6.

    Returns:
        The Retry-After in seconds.
    """
    test_waiting.fill(owner, "fast")
    assert test_waiting.send(owner, FULL, 1.0) == []
    test_waiting.send_many(owner, 20, 1.55)
    (refused,) = [
        effect.message
        for effect in owner.tick(1.6)
        if isinstance(effect.message, message.Reject)
    ]
    assert refused.request_id == FULL.request_id
    return refused.retry_after_s


@pytest.mark.parametrize("name", ["burst_a", "owners_a"])
def test_overload_does_not_outlast_a_burst(name: str) -> None:
    # A metastable state: retries that had missed their objective took the slots
    # of requests in time for 4 s; three owners overfilled their servers and
    # learned the delay as the servers' speed, for 12 s and more.
    events = pattern.read_pattern(name).events
    begin = max(event.at_s + event.for_s for event in events) + RECOVERY_S
    after = [c for c in replay(name) if begin <= c.asked_at < begin + 3.0]
    in_time = sum(call.is_in_time for call in after)
    assert in_time >= USUAL_IN_TIME * len(after)


def test_the_objective_of_a_retry_counts_from_the_first_try() -> None:
    owner = test_waiting.make_owner(fast=test_waiting.FAST)
    refuse(owner)
    retry = msgspec.structs.replace(
        FULL, request_id="retry", deadline_s=FULL.deadline_s - 1.6
    )
    test_waiting.send(owner, retry, 2.6)
    assert owner.counters.returned == 1
    owner.tick(2.61)
    assert not [
        waiting
        for waiting in owner._queue.list_in_time()
        if waiting.request.request_id == "retry"
    ]


def test_another_caller_with_the_same_content_is_no_retry() -> None:
    owner = test_waiting.make_owner(fast=test_waiting.FAST)
    refuse(owner)
    other = msgspec.structs.replace(FULL, request_id="other")
    test_waiting.send(owner, other, 2.6)
    assert owner.counters.returned == 0


def test_retry_after_in_a_burst_is_as_long_as_callers_follow() -> None:
    # Retries within the burst were refused again.
    owner = test_waiting.make_owner(fast=test_waiting.FAST)
    left_s = FULL.deadline_s - 0.6
    assert refuse(owner) == pytest.approx(left_s * shedding.HONORED_PART)


def test_longer_retry_after_avoids_second_refusals() -> None:
    later = worth.sum_up(replay("burst"))
    soon = variant.parse_variant("shedding.OVERLOAD_RETRY_AFTER_S=0")
    with variant.use(soon):
        assert later.again_cost < worth.sum_up(replay("burst")).again_cost
    assert later.again_cost < 200 / 872 * later.tries_refused


def test_several_owners_share_the_free_slots_of_a_server() -> None:
    # Three owners each took all slots that the last report showed as free.
    engine = backend.Backend(backend.BackendInfo("one", 6, 10**6, 0))
    for number in range(2):
        request = msgspec.structs.replace(FULL, request_id=f"r{number}")
        engine.place(request, "entry", "", 1.0)
    engine.apply_load_report(4, own_share=1 / 3)
    engine.apply_load_report(4, own_share=1 / 3)
    assert engine.own_limit == 3
    engine.apply_load_report(8, own_share=1 / 3)
    assert engine.own_limit == 1
    engine.apply_load_report(2)
    engine.apply_load_report(2)
    assert engine.own_limit > 6


def test_without_load_reports_no_slot_is_left_to_other_owners() -> None:
    owner = test_waiting.make_owner(fast=test_waiting.FAST)
    engine = owner.fleet.backends["fast"]
    engine.own_limit = 0
    owner.fleet.note_missing_report("fast")
    assert test_waiting.send(owner, FULL, 1.0) == ["fast"]


def test_the_oracle_serves_what_fits_and_no_more() -> None:
    given = pattern.read_pattern("usual_a")
    calls = list(caller.draw_calls(given, 1))
    served = oracle.find_in_time(given, calls, oracle.Pace.SHARED)
    assert len(served) > 0.99 * len(calls)
    at_once = [
        dataclasses.replace(call, asked_at=0.0)
        for call in calls
        if call.kind_name == "digest"
    ]
    slots = sum(one.count * one.places for one in given.engines)
    assert len(at_once) > slots
    found = oracle.find_in_time(given, at_once, oracle.Pace.ALONE)
    assert len(found) <= 2 * slots

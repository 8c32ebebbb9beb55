"""Queueing and server choice while nearly all slots are in use."""

from __future__ import annotations

import collections

import msgspec
import pytest

from ramptray.core import (
    backend,
    message,
    owner_effect,
    policy,
    shard,
    shedding,
)
from ramptray.core import rules as shard_rules

KEY = message.ShardKey("all", "lm")
SLOTS = 2
FAST = message.Speed(100_000.0, 0.003, 0.03)
SLOW = message.Speed(20_000.0, 0.015, 0.15)
LONG = message.RequestInfo(
    "long", KEY, "c", "urgent", 6000, 400, (), 15.0, objective_s=0.4
)
SHORT = message.RequestInfo(
    "short", KEY, "c", "normal", 300, 20, (), 15.0, objective_s=0.4
)


def make_owner(**speeds: message.Speed) -> shard.ShardOwner:
    """Returns an owner that knows the speed of its engines."""
    owner = shard.ShardOwner(
        KEY,
        "127.0.0.1:1",
        shard_rules.ShardRules({"urgent": 0, "normal": 1}, 10**9, 0.0, {}, {}),
        [backend.BackendInfo(name, SLOTS, 10**6, 0) for name in speeds],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
        speeds={
            name: message.SpeedLearned(name, speed)
            for name, speed in speeds.items()
        },
    )
    owner.tick(0.0)
    return owner


def send(
    owner: shard.ShardOwner, info: message.RequestInfo, now: float = 1.0
) -> list[str]:
    """Sends a request and returns the granted backend servers."""
    return list_granted(owner.receive("entry", message.Enqueue(info), now))


def list_granted(out: list[owner_effect.SendToEntry]) -> list[str]:
    return [
        effect.message.backend
        for effect in out
        if isinstance(effect.message, message.Grant)
    ]


def fill(owner: shard.ShardOwner, name: str) -> list[str]:
    """Fills all slots of a backend server; returns the request IDs."""
    names = [f"{name}-{number}" for number in range(SLOTS)]
    for taken in names:
        info = msgspec.structs.replace(SHORT, request_id=taken)
        owner.fleet.place(info, owner.fleet.backends[name], "entry", "", 0.5)
        first = message.FirstToken(taken, 0.1, 300, 0)
        owner.fleet.record_first_token(first, 0.6)
    return names


def test_a_long_request_waits_for_an_engine_that_meets_its_objective() -> None:
    owner = make_owner(fast=FAST, slow=SLOW)
    running = fill(owner, "fast")
    assert send(owner, LONG) == []
    ended = message.Ended(running[0], 20, 0.06, True)
    assert list_granted(owner.receive("entry", ended, 1.1)) == ["fast"]


def test_a_lower_tier_leaves_a_slot_that_a_higher_one_can_use() -> None:
    owner = make_owner(fast=FAST, slow=SLOW)
    running = fill(owner, "fast")
    assert send(owner, LONG) == []
    assert send(owner, SHORT, 1.01) == []
    ended = message.Ended(running[0], 20, 0.06, True)
    granted = owner.receive("entry", ended, 1.1)
    assert [e.message.request_id for e in granted] == ["long", "short"]


def test_a_lower_tier_uses_a_server_that_a_higher_one_cannot_reach() -> None:
    # During a partition, requests wait for the few engines on their side.
    # Engines on the other side are not reserved for them.
    owner = make_owner(near=FAST, far=FAST)
    fill(owner, "near")
    cut_off = msgspec.structs.replace(LONG, silent=("far",))
    assert send(owner, cut_off) == []
    assert send(owner, SHORT, 1.01) == ["far"]


def test_a_request_does_not_wait_for_a_server_its_entry_cannot_reach() -> None:
    # During a partition, requests waited for the fast engines on the other side
    # while the slow one on theirs had free slots.
    owner = make_owner(fast=FAST, slow=SLOW)
    cut_off = msgspec.structs.replace(LONG, silent=("fast",))
    assert send(owner, cut_off) == ["slow"]


def test_a_request_that_is_late_on_any_server_uses_a_free_slot() -> None:
    owner = make_owner(fast=FAST, slow=SLOW)
    fill(owner, "fast")
    assert send(owner, msgspec.structs.replace(LONG, objective_s=0.05)) == [
        "slow"
    ]


def test_a_long_prompt_does_not_stall_concurrent_responses() -> None:
    owner = make_owner(slow=SLOW)
    beside = msgspec.structs.replace(SHORT, max_gap_s=0.25, event_tokens=6)
    assert send(owner, beside) == ["slow"]
    first = message.FirstToken("short", 0.15, 300, 0)
    owner.receive("entry", first, 1.15)
    patient = msgspec.structs.replace(
        LONG, objective_s=2.0, max_gap_s=0.25, event_tokens=6
    )
    assert send(owner, patient, 1.2) == []
    ended = message.Ended("short", 20, 0.3, True)
    assert list_granted(owner.receive("entry", ended, 1.4)) == ["slow"]


def test_late_requests_are_served_after_those_in_time() -> None:
    owner = make_owner(fast=FAST)
    running = fill(owner, "fast")
    late = msgspec.structs.replace(
        SHORT, request_id="late", objective_s=0.2, attempt=1
    )
    assert send(owner, late, 1.0) == []
    assert send(owner, SHORT, 1.1) == []
    assert owner.tick(1.3) == []
    ended = message.Ended(running[0], 20, 0.06, True)
    granted = owner.receive("entry", ended, 1.31)
    assert [e.message.request_id for e in granted] == ["short"]


def test_a_response_of_one_event_does_not_change_the_step_time() -> None:
    owner = make_owner(fast=FAST)
    info = msgspec.structs.replace(SHORT, event_tokens=6)
    assert send(owner, info) == ["fast"]
    owner.receive("entry", message.FirstToken("short", 0.04, 300, 0), 1.04)
    ended = message.Ended("short", 6, 0.0, True, first_tokens=6)
    owner.receive("entry", ended, 1.04)
    assert owner.fleet.backends["fast"].step_s == FAST.step_s


def test_waiting_for_another_prompt_does_not_count_as_slowness() -> None:
    owner = make_owner(fast=FAST)
    engine = owner.fleet.backends["fast"]
    before = engine.speed.factor
    first, second = (
        msgspec.structs.replace(LONG, request_id=name, prompt_tokens=10_000)
        for name in ("a", "b")
    )
    assert send(owner, first, 1.0) == send(owner, second, 1.0) == ["fast"]
    owner.receive("entry", message.FirstToken("a", 0.13, 10_000, 0), 1.13)
    owner.receive("entry", message.FirstToken("b", 0.23, 10_000, 0), 1.23)
    assert engine.speed.factor == pytest.approx(before, rel=0.05)


def test_an_engine_that_became_slow_is_detected_after_two_responses() -> None:
    owner = make_owner(fast=FAST)
    engine = owner.fleet.backends["fast"]
    for number in range(2):
        now = 1.0 + number
        info = msgspec.structs.replace(SHORT, request_id=f"r{number}")
        assert send(owner, info, now) == ["fast"]
        first = message.FirstToken(f"r{number}", 0.2, 300, 0)
        owner.receive("entry", first, now + 0.2)
        ended = message.Ended(f"r{number}", 20, 0.3, True)
        owner.receive("entry", ended, now + 0.5)
    assert engine.estimate_alone(300) > 0.1


def test_a_fixed_latency_is_not_mistaken_for_prefill_speed() -> None:
    # The estimated prefill speed of one engine varied between 2,000 and 988,000
    # tokens a second within a day, as prompts differed in size.
    owner = make_owner(fast=FAST)
    engine = owner.fleet.backends["fast"]
    for number in range(40):
        now = 1.0 + number
        tokens = (100, 700, 3000)[number % 3]
        info = msgspec.structs.replace(
            SHORT, request_id=f"r{number}", prompt_tokens=tokens
        )
        assert send(owner, info, now) == ["fast"]
        took_s = 0.04 + tokens / 70_000
        first = message.FirstToken(info.request_id, took_s, tokens, 0)
        owner.receive("entry", first, now + took_s)
        ended = message.Ended(info.request_id, 20, 0.06, True)
        owner.receive("entry", ended, now + 0.5)
    expected_s = 0.04 + 20_000 / 70_000
    assert engine.estimate_alone(20_000) == pytest.approx(expected_s, rel=0.1)


def test_requests_of_a_lost_vm_do_not_make_an_engine_seem_slow() -> None:
    # After a VM lost power, the owner kept waiting for the first tokens of its
    # requests: 141 requests were queued while 33 of 90 slots were free, and the
    # highest tier was refused.
    owner = make_owner(fast=FAST)
    owner.receive("lost", message.Enqueue(SHORT), 1.0)
    owner.detach_entry("lost", 1.5)
    again = msgspec.structs.replace(SHORT, request_id="again")
    assert send(owner, again, 1.6) == ["fast"]


def test_a_first_token_shows_that_earlier_prompts_were_processed() -> None:
    owner = make_owner(fast=FAST)
    engine = owner.fleet.backends["fast"]
    owner.receive("lost", message.Enqueue(SHORT), 1.0)
    again = msgspec.structs.replace(SHORT, request_id="again")
    assert send(owner, again, 1.1) == ["fast"]
    owner.receive("entry", message.FirstToken("again", 0.04, 300, 0), 1.14)
    assert engine.get_slowdown(2.0) == 1.0


def send_many(owner: shard.ShardOwner, count: int, now: float) -> None:
    """Sends requests whose work exceeds the capacity of two slots."""
    for number in range(count):
        info = msgspec.structs.replace(
            SHORT, request_id=f"more{number}", output_tokens=200
        )
        send(owner, info, now)


def test_late_requests_are_refused_early_while_others_are_in_time() -> None:
    # Refused requests had waited for three times their objective.
    owner = make_owner(fast=FAST)
    fill(owner, "fast")
    late = msgspec.structs.replace(
        SHORT, request_id="late", objective_s=0.2, wait_s=1.5
    )
    assert send(owner, late, 1.0) == []
    assert owner.tick(1.3) == []  # No other request is queued.
    send_many(owner, 10, 1.31)
    (refused,) = owner.tick(1.35)
    assert isinstance(refused.message, message.Reject)
    assert refused.message.request_id == "late"
    assert refused.message.reason is message.Reason.OVERLOADED


def test_late_requests_wait_if_their_turn_comes_soon() -> None:
    # They were refused although slots were free within a tenth of a second.
    owner = make_owner(fast=FAST)
    (first, *_) = fill(owner, "fast")
    late = msgspec.structs.replace(
        SHORT, request_id="late", objective_s=0.2, wait_s=1.5
    )
    assert send(owner, late, 3.0) == []
    assert send(owner, SHORT, 3.31) == []
    assert owner.tick(3.35) == []
    ended = message.Ended(first, 20, 0.06, True)
    owner.receive("entry", ended, 3.4)
    assert owner.list_waiting()[-1] == 1  # The other one goes first.
    ended = message.Ended(SHORT.request_id, 20, 0.06, True)
    assert list_granted(owner.receive("entry", ended, 3.5)) == ["fast"]


def test_a_request_that_would_meet_its_objective_only_just_is_demoted() -> None:
    owner = make_owner(fast=FAST)
    alone_s = owner.fleet.backends["fast"].estimate_alone(SHORT.prompt_tokens)
    running = fill(owner, "fast")
    assert send(owner, SHORT, 1.0) == []
    assert SHORT.objective_s is not None
    tight = 1.0 + SHORT.objective_s - alone_s * 1.1
    owner.tick(tight)
    (waiting,) = owner._queue.list_all()
    assert waiting.is_late
    # As a late request it uses the slot if no other request needs it.
    ended = message.Ended(running[0], 20, 0.06, True)
    assert list_granted(owner.receive("entry", ended, tight)) == ["fast"]


def test_requests_refused_together_get_a_longer_retry_after() -> None:
    owner = make_owner(fast=FAST)
    now = 1.0
    for number in range(40):  # Sets the rate of grants.
        info = msgspec.structs.replace(SHORT, request_id=f"r{number}")
        assert send(owner, info, now) == ["fast"]
        first = message.FirstToken(info.request_id, 0.04, 300, 0)
        owner.receive("entry", first, now + 0.04)
        owner.receive(
            "entry", message.Ended(info.request_id, 20, 0.06, True), now + 0.1
        )
        now += 0.1
    fill(owner, "fast")
    for number in range(80):
        info = msgspec.structs.replace(
            SHORT, request_id=f"w{number}", wait_s=0.2, deadline_s=60.0
        )
        assert send(owner, info, now) == []
    retry_after_s = [
        effect.message.retry_after_s
        for effect in owner.tick(now + 0.21)
        if isinstance(effect.message, message.Reject)
    ]
    assert len(retry_after_s) == 80
    assert max(retry_after_s) > 5.0  # Ten requests a second were granted.
    assert max(retry_after_s) <= shedding.MAX_RETRY_AFTER_S


def test_owners_that_start_together_choose_different_servers() -> None:
    # Each of 60 VMs owns all shards until it has found the others.  There are
    # 40 idle servers with four slots each, and their speed is unknown.
    chosen: collections.Counter[str] = collections.Counter()
    for vm in range(60):
        owner = shard.ShardOwner(
            KEY,
            f"10.0.0.{vm}:1",
            shard_rules.ShardRules(
                {"urgent": 0, "normal": 1}, 10**9, 0.0, {}, {}
            ),
            [backend.BackendInfo(f"e{n}", 4, 10**6, 0) for n in range(40)],
            policy.make_policy(),
            0.0,
            report_grace_s=0.0,
        )
        chosen.update(send(owner, SHORT))
    assert chosen.total() == 60
    assert max(chosen.values()) <= 6
    assert len(chosen) >= 25

"""Learning of backend server speeds and their exchange between owners."""

from __future__ import annotations

import pytest

from ramptray.core import (
    backend,
    message,
    owner_effect,
    policy,
    shard,
    speed,
)
from ramptray.core import rules as shard_rules

KEY = message.ShardKey("all", "lm")
RULES = shard_rules.ShardRules({"t": 0}, 1_000_000, 0.0, {}, {})


def make_owner(
    count: int, speeds: dict[str, message.Speed] | None = None
) -> shard.ShardOwner:
    return shard.ShardOwner(
        KEY,
        "127.0.0.1:1",
        RULES,
        [backend.BackendInfo(f"b{n}", 4, 100_000, 0) for n in range(count)],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
        speeds={
            name: message.SpeedLearned(name, speed)
            for name, speed in (speeds or {}).items()
        },
    )


def ask(
    owner: shard.ShardOwner, name: str, prompt: int = 4000, now: float = 1.0
) -> message.Grant:
    info = message.RequestInfo(name, KEY, "c", "t", prompt, 10, (), 60.0)
    out = owner.receive("entry", message.Enqueue(info), now)
    granted = out[0].message
    assert isinstance(granted, message.Grant)
    return granted


def test_the_first_response_replaces_the_assumed_speed() -> None:
    owner = make_owner(1)
    ask(owner, "a")
    first = message.FirstToken("a", 0.1, 4000, 0)
    owner.receive("entry", first, 1.1)
    known = owner.fleet.backends["b0"]
    assert known.prefill_rate > 30_000
    owner.receive("entry", message.Ended("a", 101, 0.5, True), 1.6)
    assert known.step_s == pytest.approx(0.005)


def test_servers_of_unknown_speed_are_assumed_as_fast_as_the_known_one() -> (
    None
):
    owner = make_owner(2)
    ask(owner, "a")
    owner.receive("entry", message.FirstToken("a", 0.1, 4000, 0), 1.1)
    rates = {known.prefill_rate for known in owner.fleet.backends.values()}
    assert len(rates) == 1
    # A server that gets no requests could never show its speed.
    assert ask(owner, "b").backend != ask(owner, "c").backend


def test_a_new_owner_starts_with_the_speed_its_predecessor_learned() -> None:
    former = make_owner(1)
    assert ask(former, "a").speed is None
    former.receive("entry", message.FirstToken("a", 0.1, 4000, 0), 1.1)
    learned = ask(former, "b").speed
    assert learned is not None
    successor = make_owner(1, {"b0": learned})
    assert successor.fleet.backends["b0"].get_speed() == learned


def test_an_owner_applies_a_speed_learned_by_another_owner() -> None:
    owner = make_owner(1)
    speed = message.Speed(40_000.0, 0.006)
    owner.receive("entry", message.SpeedLearned("b0", speed), 1.0)
    assert owner.fleet.backends["b0"].get_speed() == speed


def decline(
    owner: shard.ShardOwner, granted: message.Grant, now: float, *silent: str
) -> list[owner_effect.SendToEntry]:
    """Declines a grant because its backend server did not reply."""
    declined = message.Decline(
        granted.request_id, granted.grant_id, False, (), silent
    )
    return owner.receive("entry", declined, now)


def test_a_request_is_not_granted_what_its_entry_cannot_reach() -> None:
    # In a partitioned zone a request alternated between two unreachable backend
    # servers until its caller gave up.
    owner = make_owner(2)
    (again,) = decline(owner, ask(owner, "a"), 1.1, "b0")
    granted = again.message
    assert isinstance(granted, message.Grant)
    assert granted.backend == "b1"
    (refused,) = decline(owner, granted, 1.2, "b0", "b1")
    assert isinstance(refused.message, message.Reject)
    assert refused.message.reason is message.Reason.NO_BACKEND


def test_a_declined_grant_does_not_lengthen_the_wait() -> None:
    owner = make_owner(2)
    info = message.RequestInfo("a", KEY, "c", "t", 10, 10, (), 60.0, wait_s=1.0)
    (out,) = owner.receive("entry", message.Enqueue(info), 1.0)
    for now in (1.9, 1.95):
        assert isinstance(out.message, message.Grant)
        (out,) = decline(owner, out.message, now, "b0")
    assert isinstance(out.message, message.Grant)
    for known in owner.fleet.list_all():
        known.availability.record_unreachable(2.0)
    assert decline(owner, out.message, 2.05, "b0") == []
    (refused,) = owner.tick(2.1)
    assert isinstance(refused.message, message.Reject)


def test_long_prompts_that_seem_quicker_than_short_ones_end_nothing() -> None:
    # Each response that makes long prompts seem faster than short ones halves
    # the time per prompt token.  Without a minimum it reached 0 after 1,043
    # responses, and to_message failed with "ZeroDivisionError: float division
    # by zero"; it crashed three owners when connections stalled repeatedly.
    learned = speed.EngineSpeed(speed.LatencyLine())
    for number in range(20_000):
        if number % 2:
            learned.learn_first(100, 0.3)
        else:
            learned.learn_first(4000, 0.05)
        sent = learned.to_message()
    assert sent is not None
    assert sent.prefill_rate > 0
    # The line and the factor stay near the measured times.
    assert 0.04 < sent.fixed_s + 100 / sent.prefill_rate < 0.4


def test_every_sent_speed_can_be_applied() -> None:
    learned = speed.EngineSpeed(speed.LatencyLine())
    for _ in range(50):
        learned.learn_first(1, 60.0)
        learned.learn_first(2, 120.0)
    sent = learned.to_message()
    assert sent is not None
    other = speed.EngineSpeed(speed.LatencyLine())
    other.apply(sent)
    assert other.to_message() is not None


def test_busy_entries_do_not_make_engines_look_slow() -> None:
    # Each grant and each first-token notice takes 0.2 s, while the engines are
    # as fast as before and nearly idle.
    owner = make_owner(4)
    now = 0.0
    for number in range(40):
        now = number * 0.5
        ask(owner, f"r{number}", now=now)
        first = message.FirstToken(f"r{number}", 0.1, 4000, 0)
        owner.receive("entry", first, now + 0.5)
        ended = message.Ended(f"r{number}", 10, 0.03, True)
        owner.receive("entry", ended, now + 0.53)
    known = owner.fleet.backends[ask(owner, "last", now=now + 1.0).backend]
    assert known.get_slowdown(now + 1.35) == 1.0
    assert known.get_slowdown(now + 4.0) > 1.0

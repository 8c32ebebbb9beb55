"""Tests that a server gets work again after a stall made it seem slow.

Guards against this failure: servers of a learned speed that missed the latency
objective got no requests, so that their speed was never measured again.  After
pauses of all servers, three of four idled for half a minute beside one that
was full, and 98 of 100 requests were refused.
"""

from __future__ import annotations

import itertools

import pytest

from ramptray.core import message, shard, speed
from test import test_speed

FAST_S = 0.05
STALL_S = 3.0
TICK_S = 0.05
SLOW, BUSY = "b0", "b1"


def enqueue(owner: shard.ShardOwner, name: str, now: float) -> str | None:
    """Returns the server that a request with an objective is granted."""
    info = message.RequestInfo(
        name,
        test_speed.KEY,
        "c",
        "t",
        100,
        10,
        (),
        60.0,
        objective_s=0.5,
    )
    granted = [
        effect.message
        for effect in owner.receive("entry", message.Enqueue(info), now)
        if isinstance(effect.message, message.Grant)
    ]
    return granted[0].backend if granted else None


def answer(
    owner: shard.ShardOwner, name: str, took_s: float, now: float
) -> None:
    """Ends a request whose response took some seconds."""
    owner.receive("entry", message.FirstToken(name, took_s, 100, 0), now)
    owner.receive("entry", message.Ended(name, 10, 0.1, True), now)


def run_until(owner: shard.ShardOwner, since: float, until: float) -> float:
    """Ticks while the busy server answers; returns when it ticked last."""
    numbers = itertools.count()
    now = since
    while now < until:
        name = f"busy-{since}-{next(numbers)}"
        if enqueue(owner, name, now) == BUSY:
            answer(owner, name, FAST_S, now + FAST_S)
        now += 2 * TICK_S
        owner.tick(now)
    return now


def fill(owner: shard.ShardOwner, now: float) -> list[str]:
    """Returns the servers of five requests; one server has four slots."""
    return [enqueue(owner, f"fill-{n}", now) or "none" for n in range(5)]


def make_owner_after_stall() -> shard.ShardOwner:
    """Makes an owner for whom one of two servers has become slow."""
    owner = test_speed.make_owner(2)
    for name in (SLOW, BUSY):
        known = owner.fleet.backends[name].speed
        for _ in range(20):
            known.learn_first(100, FAST_S)
            known.learn_step(9, 0.1)
    for _ in range(3):
        owner.fleet.backends[SLOW].speed.learn_first(100, STALL_S)
    owner.tick(1.0)
    return owner


def test_an_idle_server_that_seemed_slow_is_tried_again() -> None:
    owner = make_owner_after_stall()
    assert enqueue(owner, "first", 1.0) == BUSY
    answer(owner, "first", FAST_S, 1.0 + FAST_S)
    now = run_until(owner, 1.2, 1.2 + 2 * speed.MAX_IDLE_S)
    assert sorted(fill(owner, now)) == [SLOW, *[BUSY] * 4]


def test_one_request_at_a_time_tries_it_until_it_has_answered() -> None:
    owner = make_owner_after_stall()
    now = run_until(owner, 1.2, 1.2 + 2 * speed.MAX_IDLE_S)
    assert sorted(fill(owner, now)) == [SLOW, *[BUSY] * 4]
    assert enqueue(owner, "second", now) is None
    (tried,) = owner.fleet.backends[SLOW].placed
    answer(owner, tried, FAST_S, now + FAST_S)
    # The waiting one was granted as it answered.
    more = [enqueue(owner, f"more-{n}", now + FAST_S) for n in range(3)]
    assert more == [SLOW] * 3


def test_a_request_of_a_lost_entry_does_not_keep_a_server_from_a_trial() -> (
    None
):
    # A server held the request of a lost VM for 30 s and got no other one.
    owner = make_owner_after_stall()
    held = message.RequestInfo("held", test_speed.KEY, "c", "t", 1, 1, (), 60.0)
    owner.fleet.place(held, owner.fleet.backends[SLOW], "lost", "", 1.0)
    owner.detach_entry("lost", 1.0)
    now = run_until(owner, 1.2, 1.2 + 2 * speed.MAX_IDLE_S)
    assert fill(owner, now).count(SLOW) == 1


def test_a_server_that_is_slow_is_tried_ever_more_rarely() -> None:
    learned = speed.EngineSpeed(speed.LatencyLine())
    learned.learn_first(100, FAST_S)
    limits = []
    for _ in range(10):
        learned.expire(learned.factor / 10)
        learned.learn_first(100, STALL_S)
        limits.append(learned.max_idle_s)
    assert limits[:3] == [speed.MAX_IDLE_S * 2**n for n in (1, 2, 3)]
    assert limits[-1] == speed.MAX_CONFIRMED_IDLE_S
    learned.expire(learned.factor / 10)
    learned.learn_first(100, learned.factor * learned.line.estimate(100))
    assert learned.max_idle_s == speed.MAX_IDLE_S


def test_a_server_that_is_a_little_slower_keeps_its_places() -> None:
    # Trials of all slower servers would leave few places for a burst.
    owner = make_owner_after_stall()
    slow, busy = (owner.fleet.backends[name].speed for name in (SLOW, BUSY))
    for _ in range(20):
        busy.learn_first(100, FAST_S)
    slow.factor = 3.0 * busy.factor
    now = run_until(owner, 1.2, 1.2 + 2 * speed.MAX_IDLE_S)
    names = [enqueue(owner, f"burst-{n}", now) for n in range(8)]
    assert names.count(SLOW) == 4


def test_servers_keep_their_speeds_while_none_is_in_use() -> None:
    # Without recent responses of others there is nothing to compare with.
    owner = make_owner_after_stall()
    before = owner.fleet.backends[SLOW].speed.factor
    for tick in range(200):
        owner.tick(1.0 + tick * TICK_S)
    assert owner.fleet.backends[SLOW].speed.factor == pytest.approx(before)

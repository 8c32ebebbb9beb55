"""Owners keep to the request limits of backend servers, and plan with them."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

import msgspec
import pytest

from ramptray.core import backend, limit, message, owner_effect, policy, shard
from ramptray.core import rules as shard_rules

KEY = message.ShardKey("waw-a", "assistant")
TIERS = {"urgent": 0, "batch": 1}
WINDOW_S = 4.0
TICK_S = 0.1
NUMBERS = itertools.count(1)


def make_owner(
    servers: int = 1,
    part: float = 1.0,
    born: float = 0.0,
    run: int = 0,
    limits: limit.Limits | None = None,
) -> shard.ShardOwner:
    """Returns an owner of servers with more places than are needed."""
    if limits is None:
        limits = limit.Limits({})
        limits.set_part(part)
    return shard.ShardOwner(
        KEY,
        "owner:1",
        shard_rules.ShardRules(TIERS, 10**9, 0.0, {}, {}),
        [
            backend.BackendInfo(f"s{n}", 100, 10**9, 16, run=run)
            for n in range(servers)
        ],
        policy.TokenPolicy(),
        born,
        0.0,
        limits,
    )


def name_limit(
    owner: shard.ShardOwner,
    rate: float | None,
    names: Iterable[str] = ("s0",),
    now: float = 0.0,
    run: int = 0,
) -> None:
    """Passes on to an owner what servers name."""
    for name in names:
        owner.receive("entry", message.ServerHints(name, run, rate), now)


def make_request(
    tier: str = "urgent", objective_s: float | None = None
) -> message.Enqueue:
    return message.Enqueue(
        message.RequestInfo(
            f"r{next(NUMBERS)}",
            KEY,
            "ola",
            tier,
            10,
            10,
            (),
            60.0,
            objective_s=objective_s,
        )
    )


def list_grants(
    effects: Iterable[owner_effect.SendToEntry],
) -> list[message.Grant]:
    return [e.message for e in effects if isinstance(e.message, message.Grant)]


def list_rejects(
    effects: Iterable[owner_effect.SendToEntry],
) -> list[message.Reject]:
    return [e.message for e in effects if isinstance(e.message, message.Reject)]


def play(
    owner: shard.ShardOwner, begin: float, end: float, per_tick: int = 3
) -> list[float]:
    """Sends requests at each tick; returns when requests were granted."""
    granted: list[float] = []
    for tick in range(round((end - begin) / TICK_S)):
        now = begin + tick * TICK_S
        out = [
            effect
            for _ in range(per_tick)
            for effect in owner.receive("entry", make_request(), now)
        ]
        out += owner.tick(now)
        for grant in list_grants(out):
            granted.append(now)
            owner.receive(
                "entry", message.Ended(grant.request_id, 10, 0.1, True), now
            )
    return granted


def count_most(times: list[float]) -> int:
    """Returns the most grants in any window."""
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )


def get_allowed(rate: float) -> float:
    """Returns the most requests that a server may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.mark.parametrize("rate", [0.3, 1.0, 1.1, 2.0, 7.5])
def test_one_owner_sends_the_named_rate(rate: float) -> None:
    owner = make_owner()
    name_limit(owner, rate)
    granted = play(owner, 0.0, 12.0)
    assert count_most(granted) <= rate * WINDOW_S + 1
    # Between ticks nothing is granted here.
    interval_s = math.ceil(1.0 / rate / TICK_S) * TICK_S
    assert len(granted) >= 0.9 * 12.0 / interval_s


@pytest.mark.parametrize("rate", [1.0, 2.0, 20.0])
def test_several_owners_at_once_keep_a_limit_together(rate: float) -> None:
    granted: list[float] = []
    for part in (0.4, 0.3, 0.3):
        owner = make_owner(part=part)
        name_limit(owner, rate)
        granted += play(owner, 0.0, 8.0)
    assert count_most(granted) <= get_allowed(rate)


@pytest.mark.parametrize("rate", [1.0, 2.0, 5.0, 10.0])
def test_an_owner_that_is_wrongly_taken_for_lost_exceeds_no_limit(
    rate: float,
) -> None:
    # It goes on granting while an owner of each of three zones stands in.
    granted: list[float] = []
    for part, stands_in in ((1.0, False), *[(1 / 3, True)] * 3):
        limits = limit.Limits({})
        limits.set_part(part, stands_in)
        owner = make_owner(limits=limits)
        name_limit(owner, rate)
        granted += play(owner, 0.0, 8.0)
    assert count_most(granted) <= get_allowed(rate)


@pytest.mark.parametrize("rate", [1.0, 2.0, 20.0])
def test_owners_that_follow_one_another_keep_a_limit(rate: float) -> None:
    # A new owner knows the limit, but not what its predecessors sent.
    granted: list[float] = []
    for begin in range(8):
        owner = make_owner(born=float(begin))
        name_limit(owner, rate, now=float(begin))
        granted += play(owner, float(begin), begin + 1.0)
    assert count_most(granted) <= get_allowed(rate)


def test_a_limit_ends_with_the_first_answer_without_it() -> None:
    owner = make_owner()
    name_limit(owner, 1.0)
    assert len(play(owner, 0.0, 2.0)) <= 3
    name_limit(owner, None, now=2.0)
    assert len(play(owner, 2.0, 3.0)) >= 30


def test_a_limit_ends_with_the_run_of_its_server() -> None:
    owner = make_owner(run=1)
    name_limit(owner, 1.0, run=1)
    assert owner.fleet.backends["s0"].limit_per_s == 1.0
    later = msgspec.structs.replace(owner.fleet.backends["s0"].info, run=2)
    owner.fleet.configure([later], "")
    assert owner.fleet.backends["s0"].limit_per_s is None
    name_limit(owner, 1.0, run=1)
    assert owner.fleet.backends["s0"].limit_per_s is None


def test_a_limit_outlives_a_change_of_the_server_s_places() -> None:
    owner = make_owner()
    name_limit(owner, 1.0)
    granted = play(owner, 0.0, 0.1)
    info = msgspec.structs.replace(
        owner.fleet.backends["s0"].info, max_running=50
    )
    owner.fleet.configure([info], "")
    granted += play(owner, 0.1, 4.0)
    assert count_most(granted) <= 5


def test_a_server_that_names_zero_is_still_asked_whether_it_does() -> None:
    owner = make_owner()
    name_limit(owner, 0.0)
    granted = play(owner, 0.0, 20.0)
    assert len(granted) >= 2
    assert count_most(granted) <= get_allowed(0.0)


def test_each_attempt_counts_towards_a_limit() -> None:
    owner = make_owner(servers=2)
    name_limit(owner, 1.0, ["s0", "s1"])
    asked = make_request()
    (first,) = list_grants(owner.receive("entry", asked, 0.0))
    failed = message.Decline(
        asked.request.request_id, first.grant_id, avoid=(first.backend,)
    )
    (second,) = list_grants(owner.receive("entry", failed, 0.1))
    assert second.backend != first.backend
    assert not list_grants(owner.receive("entry", make_request(), 0.2))


def test_no_request_waits_for_a_limit_while_another_server_has_room() -> None:
    owner = make_owner(servers=2)
    name_limit(owner, 1.0, ["s0"])
    granted = [
        grant
        for _ in range(10)
        for grant in list_grants(owner.receive("entry", make_request(), 0.0))
    ]
    assert len(granted) == 10
    assert sum(grant.backend == "s0" for grant in granted) <= 1


def test_a_fast_server_without_room_does_not_hide_the_others() -> None:
    # More servers than are looked at are limited; the slow last one is not.
    owner = make_owner(servers=12)
    last = owner.fleet.backends["s11"]
    last.info = msgspec.structs.replace(last.info, max_running=1)
    last.speed.factor *= 3
    name_limit(owner, 0.25, [f"s{n}" for n in range(11)])
    for _ in range(12):
        assert owner.receive("entry", make_request(), 0.0)
    owner.receive("entry", make_request(objective_s=1.5), 0.1)
    owner.tick(0.2)
    assert owner.list_waiting() == [1, 0]


def test_what_cannot_be_in_time_under_a_limit_is_refused_at_once() -> None:
    # Load pattern: every server of a service names a limit at the same time.
    owner = make_owner(servers=2)
    name_limit(owner, 1.0, ["s0", "s1"])
    asked = [make_request(objective_s=2.0) for _ in range(20)]
    out = [e for each in asked for e in owner.receive("entry", each, 0.0)]
    out += owner.tick(0.1)
    rejects = list_rejects(out)
    assert len(list_grants(out)) == 2
    assert 12 <= len(rejects) <= 16
    assert owner.waiting_count == 18 - len(rejects)
    assert all(each.retry_after_s <= 12.0 for each in rejects)


def test_callers_refused_under_a_limit_return_as_it_allows() -> None:
    owner = make_owner(servers=2)
    name_limit(owner, 1.0, ["s0", "s1"])
    asked = [make_request(objective_s=2.0) for _ in range(20)]
    out = [e for each in asked for e in owner.receive("entry", each, 0.0)]
    out += owner.tick(0.1)
    advice = sorted(each.retry_after_s for each in list_rejects(out))
    assert len(advice) >= 12
    # Two are served a second, so the last one returns much later.
    assert advice[-1] >= len(advice) / 2.0 - 1.0
    assert advice[-1] - advice[0] >= len(advice) / 2.0 - 2.0


def test_higher_tiers_go_first_under_a_limit() -> None:
    owner = make_owner()
    name_limit(owner, 1.0)
    lower = [make_request("batch", 2.5) for _ in range(5)]
    higher = [make_request("urgent", 2.5) for _ in range(2)]
    owner.receive("entry", make_request(), 0.0)
    for asked in [*lower, *higher]:
        owner.receive("entry", asked, 0.05)
    granted: list[str] = []
    for tick in range(1, 25):
        out = owner.tick(tick * TICK_S)
        granted += [each.request_id for each in list_grants(out)]
    expected = {each.request.request_id for each in higher}
    assert set(granted[:2]) == expected


def test_other_zones_send_nothing_to_a_shard_that_is_limited_throughout() -> (
    None
):
    owner = make_owner(servers=2)
    assert owner.summarize(0.0, 1).has_room(0, 10)
    name_limit(owner, 1.0, ["s0"])
    assert owner.summarize(0.0, 2).has_room(0, 10)
    name_limit(owner, 1.0, ["s1"])
    assert not owner.summarize(0.0, 3).has_room(0, 10)


def test_a_part_of_nothing_sends_nothing() -> None:
    owner = make_owner(part=0.0)
    name_limit(owner, 5.0)
    assert play(owner, 0.0, 4.0) == []
    assert owner.fleet.backends["s0"].get_rate_wait(4.0, 0.0) == math.inf

"""Owners respect the rate limits of backend servers and plan with them."""

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
    started_at: float = 0.0,
    run: int = 0,
    limits: limit.Limits | None = None,
) -> shard.ShardOwner:
    """Returns an owner of servers with more slots than are needed."""
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
        started_at,
        0.0,
        limits,
    )


def announce_limit(
    owner: shard.ShardOwner,
    rate: float | None,
    names: Iterable[str] = ("s0",),
    now: float = 0.0,
    run: int = 0,
) -> None:
    """Sends an owner the rate limit that servers announce."""
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


def send_load(
    owner: shard.ShardOwner, begin: float, end: float, per_tick: int = 3
) -> list[float]:
    """Sends requests at each tick; returns the times of the grants."""
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


def count_max_in_window(times: list[float]) -> int:
    """Returns the largest number of grants in any window."""
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )


def get_max_allowed(rate: float) -> float:
    """Returns the largest number of requests a server may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.mark.parametrize("rate", [0.3, 1.0, 1.1, 2.0, 7.5])
def test_one_owner_sends_at_the_announced_rate(rate: float) -> None:
    owner = make_owner()
    announce_limit(owner, rate)
    granted = send_load(owner, 0.0, 12.0)
    assert count_max_in_window(granted) <= rate * WINDOW_S + 1
    # Requests are granted at ticks only.
    interval_s = math.ceil(1.0 / rate / TICK_S) * TICK_S
    assert len(granted) >= 0.9 * 12.0 / interval_s


@pytest.mark.parametrize("rate", [1.0, 2.0, 20.0])
def test_concurrent_owners_respect_a_limit_together(rate: float) -> None:
    granted: list[float] = []
    for part in (0.4, 0.3, 0.3):
        owner = make_owner(part=part)
        announce_limit(owner, rate)
        granted += send_load(owner, 0.0, 8.0)
    assert count_max_in_window(granted) <= get_max_allowed(rate)


@pytest.mark.parametrize("rate", [1.0, 2.0, 5.0, 10.0])
def test_a_falsely_suspected_owner_and_its_stand_ins_respect_a_limit(
    rate: float,
) -> None:
    # The owner continues granting while an owner in each of three zones stands
    # in for it.
    granted: list[float] = []
    for part, stands_in in ((1.0, False), *[(1 / 3, True)] * 3):
        limits = limit.Limits({})
        limits.set_part(part, stands_in)
        owner = make_owner(limits=limits)
        announce_limit(owner, rate)
        granted += send_load(owner, 0.0, 8.0)
    assert count_max_in_window(granted) <= get_max_allowed(rate)


@pytest.mark.parametrize("rate", [1.0, 2.0, 20.0])
def test_successive_owners_respect_a_limit(rate: float) -> None:
    # A new owner knows the limit, but not what the previous owners sent.
    granted: list[float] = []
    for begin in range(8):
        owner = make_owner(started_at=float(begin))
        announce_limit(owner, rate, now=float(begin))
        granted += send_load(owner, float(begin), begin + 1.0)
    assert count_max_in_window(granted) <= get_max_allowed(rate)


def test_a_limit_ends_with_the_first_response_without_it() -> None:
    owner = make_owner()
    announce_limit(owner, 1.0)
    assert len(send_load(owner, 0.0, 2.0)) <= 3
    announce_limit(owner, None, now=2.0)
    assert len(send_load(owner, 2.0, 3.0)) >= 30


def test_a_limit_ends_with_a_restart_of_its_server() -> None:
    owner = make_owner(run=1)
    announce_limit(owner, 1.0, run=1)
    assert owner.fleet.backends["s0"].limit_per_s == 1.0
    later = msgspec.structs.replace(owner.fleet.backends["s0"].info, run=2)
    owner.fleet.configure([later], "")
    assert owner.fleet.backends["s0"].limit_per_s is None
    announce_limit(owner, 1.0, run=1)
    assert owner.fleet.backends["s0"].limit_per_s is None


def test_a_limit_survives_a_change_of_the_number_of_slots() -> None:
    owner = make_owner()
    announce_limit(owner, 1.0)
    granted = send_load(owner, 0.0, 0.1)
    info = msgspec.structs.replace(
        owner.fleet.backends["s0"].info, max_running=50
    )
    owner.fleet.configure([info], "")
    granted += send_load(owner, 0.1, 4.0)
    assert count_max_in_window(granted) <= 5


def test_a_server_with_a_limit_of_zero_is_still_probed() -> None:
    owner = make_owner()
    announce_limit(owner, 0.0)
    granted = send_load(owner, 0.0, 20.0)
    assert len(granted) >= 2
    assert count_max_in_window(granted) <= get_max_allowed(0.0)


def test_each_attempt_counts_towards_a_limit() -> None:
    owner = make_owner(servers=2)
    announce_limit(owner, 1.0, ["s0", "s1"])
    asked = make_request()
    (first,) = list_grants(owner.receive("entry", asked, 0.0))
    failed = message.Decline(
        asked.request.request_id, first.grant_id, avoid=(first.backend,)
    )
    (second,) = list_grants(owner.receive("entry", failed, 0.1))
    assert second.backend != first.backend
    assert not list_grants(owner.receive("entry", make_request(), 0.2))


def test_no_request_waits_for_a_limit_while_another_server_is_free() -> None:
    owner = make_owner(servers=2)
    announce_limit(owner, 1.0, ["s0"])
    granted = [
        grant
        for _ in range(10)
        for grant in list_grants(owner.receive("entry", make_request(), 0.0))
    ]
    assert len(granted) == 10
    assert sum(grant.backend == "s0" for grant in granted) <= 1


def test_a_full_server_without_a_limit_does_not_hide_the_others() -> None:
    # More servers are limited than are examined; the slow last one is not.
    owner = make_owner(servers=12)
    last = owner.fleet.backends["s11"]
    last.info = msgspec.structs.replace(last.info, max_running=1)
    last.speed.factor *= 3
    announce_limit(owner, 0.25, [f"s{n}" for n in range(11)])
    for _ in range(12):
        assert owner.receive("entry", make_request(), 0.0)
    owner.receive("entry", make_request(objective_s=1.5), 0.1)
    owner.tick(0.2)
    assert owner.list_waiting() == [1, 0]


def test_requests_that_would_be_late_under_a_limit_are_refused_early() -> None:
    # All servers of a service announce a limit at the same time.
    owner = make_owner(servers=2)
    announce_limit(owner, 1.0, ["s0", "s1"])
    asked = [make_request(objective_s=2.0) for _ in range(20)]
    out = [e for each in asked for e in owner.receive("entry", each, 0.0)]
    out += owner.tick(0.1)
    rejects = list_rejects(out)
    assert len(list_grants(out)) == 2
    assert 12 <= len(rejects) <= 16
    assert owner.waiting_count == 18 - len(rejects)
    assert all(each.retry_after_s <= 12.0 for each in rejects)


def test_retry_after_under_a_limit_is_spread_at_its_rate() -> None:
    owner = make_owner(servers=2)
    announce_limit(owner, 1.0, ["s0", "s1"])
    asked = [make_request(objective_s=2.0) for _ in range(20)]
    out = [e for each in asked for e in owner.receive("entry", each, 0.0)]
    out += owner.tick(0.1)
    retry_after_s = sorted(each.retry_after_s for each in list_rejects(out))
    assert len(retry_after_s) >= 12
    # Two requests are served a second, so the last retry is much later.
    assert retry_after_s[-1] >= len(retry_after_s) / 2.0 - 1.0
    assert (
        retry_after_s[-1] - retry_after_s[0] >= len(retry_after_s) / 2.0 - 2.0
    )


def test_higher_tiers_are_granted_first_under_a_limit() -> None:
    owner = make_owner()
    announce_limit(owner, 1.0)
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


def test_a_shard_with_limits_on_all_servers_accepts_no_redirects() -> None:
    owner = make_owner(servers=2)
    assert owner.summarize(0.0, 1).has_room(0, 10)
    announce_limit(owner, 1.0, ["s0"])
    assert owner.summarize(0.0, 2).has_room(0, 10)
    announce_limit(owner, 1.0, ["s1"])
    assert not owner.summarize(0.0, 3).has_room(0, 10)


def test_an_owner_with_no_part_of_a_limit_sends_nothing() -> None:
    owner = make_owner(part=0.0)
    announce_limit(owner, 5.0)
    assert send_load(owner, 0.0, 4.0) == []
    assert owner.fleet.backends["s0"].get_rate_wait(4.0, 0.0) == math.inf

"""Customers' totals over a span while several owners grant.

A stand-in, a new owner and the owner of each side of a partition used to grant
a fixed part of each limit without knowing what was granted before, and refused
customers that were well within their limits.
"""

from __future__ import annotations

import pytest

from ramptray.core import limit, limit_use, message, policy, rules, shard
from ramptray.peer import codec
from test import limit_simulation


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", limit_simulation.SCENARIOS)
def test_customers_at_half_of_their_limit_are_not_refused(
    name: str, seed: int
) -> None:
    phases = limit_simulation.SCENARIOS[name]
    assert limit_simulation.Simulation(phases, seed).run().wrong == 0


@pytest.mark.parametrize("demand", limit_simulation.DEMANDS[1:])
@pytest.mark.parametrize("name", limit_simulation.SCENARIOS)
def test_no_span_exceeds_the_total(
    name: str, demand: tuple[float, float]
) -> None:
    phases = limit_simulation.SCENARIOS[name]
    result = limit_simulation.Simulation(phases, 1, *demand).run()
    assert max(result.highest.values()) <= 1.0


def test_a_stand_in_uses_a_report_that_precedes_the_first_request() -> None:
    # A stand-in learns the limits with its first request.  It used to start
    # with an empty bucket and refuse that request.
    history = limit_use.UseHistory("vm-1", 1)
    now = 0.0
    for step in range(200):
        now = step / 10
        total = message.LimitAmounts(320, 320_000)
        known = message.LimitTotal(7, limit_simulation.SPAN_S, total)
        history.record("large", 1000, known, now)
    report = history.make_report(now)
    assert report is not None
    stand_in = limit.Limits({}, 8)
    stand_in.set_part(0.25, stands_in=True)
    stand_in.apply_report(report, now)
    stand_in.set_rates(limit_simulation.make_rates())
    assert stand_in.try_acquire("large", 40_000, now, "vm-1") == 0.0


def test_an_entry_reports_its_use_of_two_spans_only() -> None:
    history = limit_use.UseHistory("vm-1", 1)
    for now in range(100):
        known = message.LimitTotal(7, 8.0, message.LimitAmounts(1, 10))
        history.record("ola", 10, known, float(now))
    report = history.make_report(99.5)
    assert report is not None
    used = report.customers["ola"]
    assert used.uses == {7: [message.LimitAmounts(1, 10)] * 17}
    assert used.base == message.LimitAmounts(8, 80)
    assert codec.decode(codec.encode(1, report)).body == report


def make_owner() -> shard.ShardOwner:
    rate = limit.RateLimit(tokens_per_s=1.0, span_s=8.0, span_total=10_000.0)
    owner = shard.ShardOwner(
        message.ShardKey("all", "lm"),
        "127.0.0.1:1",
        rules.ShardRules({"t": 0}, 10**9, 0.0, {}, {"ola": rate}),
        [],
        policy.make_policy(),
        8.0,
    )
    owner.receive("vm-1", make_request("first", 1), 0.0)
    return owner


def make_request(name: str, tokens: int) -> message.Enqueue:
    key = message.ShardKey("all", "lm")
    return message.Enqueue(
        message.RequestInfo(
            name, key, "ola", "t", 9, 1, (), 60.0, limit_tokens=tokens
        )
    )


@pytest.mark.parametrize("leaves", ["withdrawn", "detached", "attached again"])
def test_a_queued_request_that_leaves_is_refunded(leaves: str) -> None:
    # Requests that waited for a silent owner counted there and at its stand-in.
    owner = make_owner()
    assert owner.receive("vm-1", make_request("a", 1600), 8.0) == []
    assert len(owner.receive("vm-1", make_request("b", 1600), 8.0)) == 1
    if leaves == "withdrawn":
        owner.receive("vm-1", message.Withdraw("a"), 8.0)
    elif leaves == "detached":
        owner.detach_entry("vm-1", 8.0)
    else:
        owner.begin_sync("vm-1")
    assert owner.receive("vm-1", make_request("c", 1600), 8.0) == []

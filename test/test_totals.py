"""Customers' limits on the total over any span of some seconds."""

from __future__ import annotations

import random

import pytest

from ramptray.core import limit, message, policy, shard
from ramptray.core import rules as shard_rules

SPAN_S = 8.0
TOTAL = 400_000.0
RATE = limit.RateLimit(tokens_per_s=20_000.0, span_s=SPAN_S, span_total=TOTAL)
LARGE = 20_000
"""Size of the largest request, in tokens."""

Taken = list[tuple[float, int]]


def make_limits(part: float = 1.0) -> limit.Limits:
    limits = limit.Limits({"ola": RATE})
    limits.set_part(part)
    return limits


def send(
    limits: limit.Limits,
    rng: random.Random,
    per_s: float,
    begin: float,
    end: float,
) -> Taken:
    """Sends requests of various sizes; returns the admitted ones."""
    taken: Taken = []
    now = begin
    while now < end:
        size = int(min(LARGE, rng.lognormvariate(7.5, 1.2)))
        now += rng.expovariate(per_s / 3500)
        if limits.try_acquire("ola", size, now) == 0.0:
            taken.append((now, size))
    return taken


def find_max_in_span(taken: Taken) -> int:
    """Returns the largest amount taken in any span."""
    ordered = sorted(taken)
    most = total = first = 0
    for now, size in ordered:
        total += size
        while ordered[first][0] < now - SPAN_S:
            total -= ordered[first][1]
            first += 1
        most = max(most, total)
    return most


def test_requests_within_the_total_are_admitted() -> None:
    # After a customer's limit was lowered below its demand, two thirds of what
    # the total allowed were refused while slots were free.
    rng = random.Random(1)
    limits = make_limits()
    send(limits, rng, 10_000, 0.0, 4.0)
    taken = send(limits, rng, 36_000, 4.0, 40.0)
    assert sum(size for _, size in taken) > 0.85 * 36 * 36_000


@pytest.mark.parametrize("seed", range(8))
def test_no_span_exceeds_the_total(seed: int) -> None:
    taken = send(make_limits(), random.Random(seed), 500_000, 0.0, 40.0)
    assert 0.7 * TOTAL < find_max_in_span(taken) <= TOTAL


@pytest.mark.parametrize("seed", range(8))
def test_successive_owners_respect_the_total(seed: int) -> None:
    rng = random.Random(seed)
    taken: Taken = []
    now = 0.0
    while now < 60.0:
        lasts_s = rng.choice([0.5, 2.0, 5.0, 9.0])
        taken += send(make_limits(), rng, 500_000, now, now + lasts_s)
        now += lasts_s
    assert find_max_in_span(taken) <= TOTAL


@pytest.mark.parametrize("seed", range(8))
def test_a_burst_before_an_owner_is_lost_respects_the_total(seed: int) -> None:
    rng = random.Random(seed)
    limits = make_limits()
    send(limits, rng, 1000, 0.0, 0.1)
    begin = 20.0  # By then the bucket is full.
    end = begin + rng.uniform(0.1, 4.0)
    taken = send(limits, rng, 500_000, begin, end)
    taken += send(make_limits(), rng, 500_000, end, end + 10.0)
    assert find_max_in_span(taken) <= TOTAL


VMS = 7
DISCOVERY_S = 0.7
"""Longest time until VMs that start together find each other, in seconds."""


@pytest.mark.parametrize("seed", range(8))
def test_restarts_of_all_vms_respect_the_total(seed: int) -> None:
    # All VMs were killed twice within a span while a customer sent many times
    # its usual load.  Each VM was briefly its own owner and started with some
    # tokens.
    rng = random.Random(seed)
    limits = make_limits()
    send(limits, rng, 1000, 0.0, 0.1)
    now = 20.0 + rng.uniform(0.1, 3.0)
    taken = send(limits, rng, 500_000, 20.0, now)
    for _ in range(3):
        now += 0.8
        fresh = [make_limits(1 / 4) for _ in range(VMS)]
        found_at = now + rng.uniform(0.2, DISCOVERY_S)
        for alone in fresh:
            taken += send(alone, rng, 500_000 / VMS, now, found_at)
        lasts_s = rng.choice([1.0, 3.0, 6.0])
        fresh[0].set_part(1.0)
        taken += send(fresh[0], rng, 500_000, found_at, found_at + lasts_s)
        now = found_at + lasts_s
    assert find_max_in_span(taken) <= TOTAL


def test_retry_after_does_not_accumulate() -> None:
    limits = make_limits()
    waits = [
        limits.try_acquire("ola", 5000, 1.0 + n / 1000) for n in range(1000)
    ]
    assert max(waits) <= limit.MAX_RETRY_AFTER_S
    assert min(wait for wait in waits if wait) > 0


def test_a_request_that_does_not_run_is_refunded() -> None:
    limits = make_limits()
    limits.try_acquire("ola", 1, 0.0)
    now = 9.0
    while limits.try_acquire("ola", 5000, now) == 0.0:
        pass
    limits.refund("ola", 5000, now)
    assert limits.try_acquire("ola", 5000, now) == 0.0


@pytest.mark.parametrize("seed", range(4))
def test_a_customer_that_is_removed_keeps_its_limit(seed: int) -> None:
    # VMs whose configuration is older still admit its requests.
    rng = random.Random(seed)
    limits = make_limits()
    taken = send(limits, rng, 500_000, 0.0, 20.0)
    limits.set_rates({})
    taken += send(limits, rng, 500_000, 20.0, 24.0)
    limits.set_rates({"other": RATE})
    taken += send(limits, rng, 500_000, 24.0, 28.0)
    limits.set_rates({"ola": RATE})
    taken += send(limits, rng, 500_000, 28.0, 40.0)
    assert find_max_in_span(taken) <= TOTAL


def test_a_limit_that_is_lifted_no_longer_binds() -> None:
    limits = make_limits()
    send(limits, random.Random(1), 500_000, 0.0, 20.0)
    limits.set_rates({"ola": limit.RateLimit()})
    assert limits.try_acquire("ola", int(TOTAL), 20.0) == 0.0


def test_an_owner_remembers_a_bounded_number_of_removed_customers() -> None:
    limits = make_limits()
    for number in range(2 * limit.MAX_FORMER_CUSTOMERS):
        limits.set_rates({f"customer-{number}": RATE})
        limits.try_acquire(f"customer-{number}", 1, float(number))
    limits.set_rates({})
    assert len(limits.list_former_customers()) == limit.MAX_FORMER_CUSTOMERS


def test_an_owner_refunds_refused_requests() -> None:
    key = message.ShardKey("all", "lm")
    rate = limit.RateLimit(tokens_per_s=1000.0, burst=1000.0)
    owner = shard.ShardOwner(
        key,
        "127.0.0.1:1",
        shard_rules.ShardRules({"t": 0}, 10**9, 0.0, {}, {"ola": rate}),
        [],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
    )
    for number in range(3):
        now = 1.0 + number / 10
        info = message.RequestInfo(
            f"r{number}",
            key,
            "ola",
            "t",
            900,
            1,
            (),
            60.0,
            limit_tokens=1000,
            wait_s=0.05,
        )
        # No backend server is usable, so the request is queued, then refused.
        assert owner.receive("entry", message.Enqueue(info), now) == []
        (refused,) = owner.tick(now + 0.06)
        assert isinstance(refused.message, message.Reject)
        assert refused.message.reason is message.Reason.NO_BACKEND

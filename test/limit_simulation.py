"""Simulates entries and owners that share customers' limits over a span.

Deterministic: a scenario is a list of phases, each of which says for every VM
which scheduler its entry uses and what part of the limits that scheduler may
grant.  Requests arrive at random VMs and are admitted or refused at once.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ramptray.core import limit, limit_use

VMS = range(12)
ZONES = 4
"""Number of availability zones; VM n is in zone n % ZONES."""

SPAN_S = 8.0
EXCESS = 0.1
SLACK = 140_000.0
USUAL = 1 / 1.8
"""Usual demand of a customer, in parts of its rate."""

RATES = {"large": 160_000.0, "medium": 60_000.0, "small": 12_000.0}
"""Customers' rates in tokens per second; bursts are one second of them."""

MAX_SIZE = 40_000
RUN_S = 50.0
COUNT_FROM_S = 10.0
"""Refusals before this time are not counted: all VMs start with nothing known,
as after a restart of a whole deployment."""


def get_allowed(customer: str) -> float:
    """Returns what a customer may use in a span without being refused."""
    return RATES[customer] * (SPAN_S + 1)


def get_total(customer: str) -> float:
    """Returns the total of a span with its allowance."""
    return get_allowed(customer) * (1 + EXCESS) + SLACK


def make_rates(zones: int = 1) -> dict[str, limit.RateLimit]:
    """Returns the limits of all customers in one of some scheduling zones."""
    return {
        name: limit.RateLimit(
            tokens_per_s=rate / zones,
            span_s=SPAN_S,
            span_total=get_total(name) / zones,
            zones=zones,
        )
        for name, rate in RATES.items()
    }


class Owner(NamedTuple):
    """A scheduler that grants in a phase, and the part that it may grant."""

    vm: int
    part: float
    stands_in: bool = False


class Phase(NamedTuple):
    """A period of a scenario.

    Attributes:
        begin: Its start, in seconds.
        owners: The scheduler used by each VM; VMs that are down have none.
        restarted: VMs that start anew at the begin and have lost their state.
    """

    begin: float
    owners: dict[int, Owner]
    restarted: frozenset[int] = frozenset()


def _use(owner: Owner, vms: Iterable[int] = VMS) -> dict[int, Owner]:
    return dict.fromkeys(vms, owner)


def _stand_in(vms: Iterable[int]) -> dict[int, Owner]:
    """Each availability zone uses one of its own VMs."""
    zones: dict[int, list[int]] = collections.defaultdict(list)
    for vm in vms:
        zones[vm % ZONES].append(vm)
    return {
        vm: Owner(max(zone), len(zone) / len(VMS), True)
        for zone in zones.values()
        for vm in zone
    }


WHOLE = _use(Owner(0, 1.0))
OTHERS = [vm for vm in VMS if vm != 0]
SIDE = [vm for vm in VMS if vm < len(VMS) // 2]
FAR_SIDE = [vm for vm in VMS if vm not in SIDE]

SCENARIOS = {
    "quiet": [Phase(0.0, WHOLE)],
    "owner killed": [
        Phase(0.0, WHOLE),
        Phase(20.0, _stand_in(OTHERS)),
        Phase(21.0, _use(Owner(1, 11 / 12), OTHERS)),
        Phase(24.0, WHOLE, frozenset({0})),
    ],
    "owner silent and back": [
        Phase(0.0, WHOLE),
        Phase(20.0, _stand_in(VMS)),
        Phase(21.0, _use(Owner(1, 11 / 12))),
        Phase(25.0, WHOLE),
    ],
    "owner silent to some": [
        Phase(0.0, WHOLE),
        Phase(20.0, WHOLE | _stand_in([1, 5, 9])),
        Phase(22.0, WHOLE),
    ],
    "halves": [
        Phase(0.0, WHOLE),
        Phase(20.0, WHOLE | _stand_in(FAR_SIDE)),
        Phase(
            21.5,
            _use(Owner(0, 1 / 2), SIDE) | _use(Owner(6, 1 / 2), FAR_SIDE),
        ),
        Phase(32.0, _use(Owner(0, 1.0), SIDE) | _use(Owner(6, 1.0), FAR_SIDE)),
        Phase(32.3, WHOLE),
    ],
    "most killed": [
        Phase(0.0, WHOLE),
        Phase(20.0, _use(Owner(8, 4 / 12), [8, 9, 10, 11])),
        Phase(21.0, WHOLE, frozenset(range(8))),
    ],
}


DEMANDS = [(1.0, 0.0), (6.0, 0.0), (6.0, 14.0), (6.0, 19.9)]
"""Demand in parts of the usual, and since when in seconds; the faults begin at
20 s."""


@dataclasses.dataclass
class Result:
    """Outcome of a run.

    Attributes:
        wrong: Refusals of customers that were within their limit.
        refused: All refusals.
        highest: Largest use in any span, in parts of the total, by customer.
    """

    wrong: int
    refused: int
    highest: dict[str, float]


class _SpanSum:
    """Sum of the amounts in the last span."""

    def __init__(self) -> None:
        self._items: collections.deque[tuple[float, int]] = collections.deque()
        self.sum = 0
        self.highest = 0

    def add(self, now: float, amount: int) -> None:
        self._items.append((now, amount))
        self.sum += amount
        while self._items[0][0] < now - SPAN_S:
            self.sum -= self._items.popleft()[1]
        self.highest = max(self.highest, self.sum)


def list_arrivals(
    rng: random.Random, get_factor: Callable[[float], float]
) -> list[tuple[float, str, int]]:
    """Returns time, customer and size of all requests.

    Args:
        rng: Random number generator.
        get_factor: Returns the demand at a time, in parts of the usual.
    """
    arrivals = []
    for name, rate in RATES.items():
        now = 0.0
        while now < RUN_S:
            size = int(min(MAX_SIZE, rng.lognormvariate(7.8, 1.1)))
            usual = rate * USUAL / 4_300
            now += rng.expovariate(usual * get_factor(now))
            arrivals.append((now, name, size))
    return sorted(arrivals)


class Simulation:
    """Runs a scenario.

    Args:
        phases: The scenario.
        seed: Seed of the random numbers.
        factor: Demand of all customers, in parts of the usual.
        since: Time from which on the factor applies, in seconds.
    """

    def __init__(
        self,
        phases: list[Phase],
        seed: int,
        factor: float = 1.0,
        since: float = 0.0,
    ) -> None:
        self._phases = phases
        self._factor = factor
        self._since = since
        self._rng = random.Random(seed)
        self._starts = itertools.count(1)
        self._limits = [self._make_limits() for _ in VMS]
        self._histories = [self._make_history(vm) for vm in VMS]
        self._owners: dict[int, Owner] = {}

    def run(self) -> Result:
        """Runs all requests."""
        offered = {name: _SpanSum() for name in RATES}
        used = {name: _SpanSum() for name in RATES}
        result = Result(0, 0, {})
        upcoming = collections.deque(self._phases)
        owners: dict[int, Owner] = {}
        for now, customer, size in list_arrivals(self._rng, self._get_factor):
            while upcoming and upcoming[0].begin <= now:
                owners = self._begin(upcoming.popleft())
            vm = self._rng.choice(list(owners))
            offered[customer].add(now, size)
            if self._admit(vm, owners[vm], customer, size, now):
                used[customer].add(now, size)
                continue
            if now >= COUNT_FROM_S:
                is_within = offered[customer].sum <= get_allowed(customer)
                result.refused += 1
                result.wrong += is_within
        result.highest = {
            name: used[name].highest / get_total(name) for name in RATES
        }
        return result

    def _get_factor(self, now: float) -> float:
        return self._factor if now >= self._since else 1.0

    def _begin(self, phase: Phase) -> dict[int, Owner]:
        for vm in phase.restarted:
            self._limits[vm] = self._make_limits()
            self._histories[vm] = self._make_history(vm)
            self._owners.pop(vm, None)
        for owner in phase.owners.values():
            limits = self._limits[owner.vm]
            limits.set_part(owner.part, owner.stands_in)
            limits.set_live_entries(
                [
                    f"vm-{vm}"
                    for vm, used in phase.owners.items()
                    if used == owner
                ]
            )
        return phase.owners

    def _make_limits(self) -> limit.Limits:
        return limit.Limits(make_rates(), next(self._starts))

    def _make_history(self, vm: int) -> limit_use.UseHistory:
        return limit_use.UseHistory(f"vm-{vm}", next(self._starts))

    def _admit(
        self, vm: int, owner: Owner, customer: str, size: int, now: float
    ) -> bool:
        limits = self._limits[owner.vm]
        previous = self._owners.get(vm)
        self._owners[vm] = owner
        if previous is None or previous.vm != owner.vm:
            report = self._histories[vm].make_report(now)
            if report is not None:
                limits.apply_report(report, now)
        if limits.try_acquire(customer, size, now, f"vm-{vm}") > 0.0:
            return False
        total = limits.make_total(customer, now)
        self._histories[vm].record(customer, size, total, now)
        return True


ZONES_APART = 3
EXCHANGE_INTERVAL_S = 0.4
"""Time between two exchanges of use between zones, in seconds."""


class ZoneSimulation:
    """Runs owners of several scheduling zones that tell each other their use.

    Args:
        weights: Part of the demand in each zone.
        seed: Seed of the random numbers.
        factor: Demand of all customers, in parts of the usual.
        loss: Fraction of the messages that are lost.
        replaced_at: When the owner of the second zone is replaced, in seconds.
        cut_at: When all zones are cut off from each other, in seconds.
        healed_at: When they reach each other again, in seconds.
    """

    def __init__(
        self,
        weights: list[float],
        seed: int,
        factor: float = 1.0,
        loss: float = 0.0,
        replaced_at: float = RUN_S,
        cut_at: float = RUN_S,
        healed_at: float = RUN_S,
    ) -> None:
        self._cut_at = cut_at
        self._healed_at = healed_at
        self._weights = weights
        self._factor = factor
        self._loss = loss
        self._replaced_at = replaced_at
        self._rng = random.Random(seed)
        self._limits = [self._make_limits(zone) for zone in range(ZONES_APART)]
        self._histories = [
            limit_use.UseHistory(f"vm-{zone}", 1) for zone in range(ZONES_APART)
        ]

    def run(self) -> Result:
        """Runs all requests, with a round of loans in each interval."""
        offered = {name: _SpanSum() for name in RATES}
        used = {name: _SpanSum() for name in RATES}
        result = Result(0, 0, {})
        next_round = EXCHANGE_INTERVAL_S
        for now, customer, size in list_arrivals(
            self._rng, lambda _: self._factor
        ):
            while next_round <= now:
                if not self._cut_at <= next_round < self._healed_at:
                    self._exchange(next_round)
                next_round += EXCHANGE_INTERVAL_S
            if now >= self._replaced_at:
                self._replace(now)
            zone = self._rng.choices(range(ZONES_APART), self._weights)[0]
            limits = self._limits[zone]
            offered[customer].add(now, size)
            if limits.try_acquire(customer, size, now, f"vm-{zone}") == 0.0:
                total = limits.make_total(customer, now)
                self._histories[zone].record(customer, size, total, now)
                used[customer].add(now, size)
            elif now >= COUNT_FROM_S:
                result.refused += 1
                result.wrong += offered[customer].sum <= get_allowed(customer)
        result.highest = {
            name: used[name].highest / get_total(name) for name in RATES
        }
        return result

    def _make_limits(self, number: int) -> limit.Limits:
        return limit.Limits(make_rates(ZONES_APART), number)

    def _replace(self, now: float) -> None:
        self._replaced_at = RUN_S
        self._limits[1] = self._make_limits(ZONES_APART)
        report = self._histories[1].make_report(now)
        if report is not None:
            self._limits[1].apply_report(report, now)

    def _exchange(self, now: float) -> None:
        for zone, sender in enumerate(self._limits):
            uses = sender.list_zone_uses(now)
            for other, receiver in enumerate(self._limits):
                if other != zone and self._rng.random() >= self._loss:
                    receiver.set_zone_use(str(zone), uses, now)


def main() -> None:
    """Prints the outcome of each scenario, summed over some seeds."""
    for name, (factor, since) in itertools.product(SCENARIOS, DEMANDS):
        results = [
            Simulation(SCENARIOS[name], seed, factor, since).run()
            for seed in range(8)
        ]
        highest = max(max(result.highest.values()) for result in results)
        print(
            f"{name:<23} {factor:g} times from {since:>4} s:"
            f" {sum(r.refused for r in results):>6} refused,"
            f" {sum(r.wrong for r in results):>4} wrongly,"
            f" highest {highest:.3f}"
        )


if __name__ == "__main__":
    main()

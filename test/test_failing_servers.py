"""Servers that fail often while they appear healthy.

For seconds at a time some servers returned 500, broke responses off or refused
requests.  They kept getting their share of the load, and 267 requests in one
day failed on two such servers one after the other.
"""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest

from ramptray.core import availability, message, shard
from test.test_shard import make_info, make_owner

SERVERS = 8
FAILING = ("e0", "e1")
FAIR_SHARE = len(FAILING) / SERVERS
INTERVAL_S, WORK_S = 0.01, 0.15
SYMPTOMS = [
    {"failed": True},
    {"failed": True, "whole": True},
    {"broken": True},
    {"refused": True},
]


class Load:
    """Sends an owner a request every ``INTERVAL_S``.

    Attributes:
        owner: The owner.
        now: Its clock.
        failing: Probability of a failure by server.
    """

    def __init__(self, symptom: dict[str, bool]) -> None:
        self.owner = make_owner(SERVERS)
        self.now = 0.0
        self.failing = dict.fromkeys(FAILING, 0.6)
        self._symptom = symptom
        self._rng = random.Random(1)
        self._running: list[tuple[float, str, str]] = []
        self._numbers = itertools.count()

    def run(self, length_s: float) -> float:
        """Returns the share of requests that failing servers were sent."""
        sent = []
        for _ in range(round(length_s / INTERVAL_S)):
            self.now += INTERVAL_S
            self._end_requests()
            self.owner.tick(self.now)
            name = f"r{next(self._numbers)}"
            grant = enqueue(self.owner, make_info(name), self.now)
            assert grant is not None, "held back"
            sent.append(grant.backend)
            self._running.append((self.now + WORK_S, name, grant.backend))
        return sum(server in FAILING for server in sent) / len(sent)

    def _end_requests(self) -> None:
        while self._running and self._running[0][0] <= self.now:
            _, name, server = self._running.pop(0)
            fails = self._rng.random() < self.failing.get(server, 0.0)
            end(self.owner, name, self.now, self._symptom if fails else None)


def enqueue(
    owner: shard.ShardOwner, info: message.RequestInfo, now: float
) -> message.Grant | None:
    """Returns the grant of a new request, if there is one at once."""
    effects = owner.receive("entry", message.Enqueue(info), now)
    grants = [
        effect.message
        for effect in effects
        if isinstance(effect.message, message.Grant)
    ]
    return grants[0] if grants else None


def end(
    owner: shard.ShardOwner,
    name: str,
    now: float,
    symptom: dict[str, bool] | None = None,
) -> None:
    """Ends a request, successfully if it has no symptom."""
    ended = message.Ended(name, 50, WORK_S, symptom is None)
    ended = msgspec.structs.replace(ended, **(symptom or {}))
    owner.receive("entry", ended, now)


@pytest.mark.parametrize("symptom", SYMPTOMS)
def test_servers_that_fail_often_get_fewer_requests(
    symptom: dict[str, bool],
) -> None:
    load = Load(symptom)
    assert load.run(10.0) < FAIR_SHARE / 2
    # The estimate forgets within seconds once they have recovered.
    load.failing.clear()
    load.run(2 * availability.FAILURE_FORGET_S)
    for name in FAILING:
        server = load.owner.fleet.backends[name]
        assert server.availability.get_failure_rate(load.now) < 0.2


@pytest.mark.parametrize("symptom", SYMPTOMS)
def test_nothing_is_held_back_when_all_servers_fail_alike(
    symptom: dict[str, bool],
) -> None:
    load = Load(symptom)
    load.failing = dict.fromkeys(load.owner.fleet.backends, 0.8)
    load.run(4.0)


def prepare_failures(symptom: dict[str, bool], servers: int) -> Load:
    """Makes requests fail on the first servers; the others are full."""
    load = Load(symptom)
    placed: dict[str, list[str]] = {}
    for number in itertools.count():
        grant = enqueue(load.owner, make_info(f"p{number}", prompt=2000), 0.0)
        if grant is None:
            load.owner.receive("entry", message.Withdraw(f"p{number}"), 0.0)
            break
        placed.setdefault(grant.backend, []).append(grant.request_id)
    for server in sorted(placed)[:servers]:
        for name in placed[server]:
            end(load.owner, name, 0.1, symptom)
    load.owner.tick(0.1)
    return load


def make_retry(tier: str = "normal") -> message.RequestInfo:
    """Returns a request that has failed on the first server."""
    return msgspec.structs.replace(
        make_info("again", tier), avoid=("e0",), attempt=1, repeatable=True
    )


@pytest.mark.parametrize("symptom", SYMPTOMS)
def test_the_second_attempt_avoids_servers_with_the_first_ones_symptom(
    symptom: dict[str, bool],
) -> None:
    load = prepare_failures(symptom, 3)
    assert enqueue(load.owner, make_retry(), 0.7) is None
    end(load.owner, next(iter(load.owner.fleet.backends["e5"].placed)), 0.8)
    (placed,) = [
        name
        for name, server in load.owner.fleet.backends.items()
        if "again" in server.placed
    ]
    assert placed == "e5"


@pytest.mark.parametrize("symptom", SYMPTOMS)
def test_the_second_attempt_does_not_wait_if_most_servers_fail(
    symptom: dict[str, bool],
) -> None:
    load = prepare_failures(symptom, 5)
    assert enqueue(load.owner, make_retry(), 0.7) is not None


def test_a_second_attempt_does_not_reserve_the_servers_that_it_avoids() -> None:
    # Otherwise lower tiers would wait although these servers have free slots.
    load = prepare_failures({"failed": True}, 3)
    assert enqueue(load.owner, make_retry("normal"), 0.7) is None
    grants = [
        enqueue(load.owner, make_info(f"lower{number}", "batch"), 0.7)
        for number in range(6)
    ]
    assert {grant.backend for grant in grants if grant} == {"e0", "e1", "e2"}

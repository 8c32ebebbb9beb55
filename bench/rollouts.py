"""``bin/bench rollouts``: how often rollouts are decided wrongly, by kinds."""

from __future__ import annotations

import heapq
import json
import math
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

import click

from ramptray.core import rollout

LENGTH_S = 12.0
PLACES = 60
"""Places of each release."""

FIRST_S = 0.08
"""Usual time to a first token, in seconds."""

PACE_S = 0.003
SPREAD = 0.5
"""Deviation of the logarithm of both."""

USUAL_FAILURES = 0.01
TICK_S = 0.1
ROUTES = ("/a/", "/b/", "/c/", "/d/", "/e/")


class Kind(NamedTuple):
    """A kind of release.

    Attributes:
        name: Its name.
        is_bad: Whether it is to be rolled back.
        fails: Returns the part of its answers that fail, by the route, the part
            of the rollout's time that is over and its share of the requests.
        slower: How many times slower it answers.
        per_s: Requests a second to the service.
    """

    name: str
    is_bad: bool
    fails: Callable[[str, float, float], float]
    slower: float = 1.0
    per_s: float = 80.0


def _fail_always(part: float) -> Callable[[str, float, float], float]:
    return lambda route, age, share: part


KINDS = (
    Kind("good", False, _fail_always(USUAL_FAILURES)),
    Kind("good, 4 a second", False, _fail_always(USUAL_FAILURES), per_s=4.0),
    Kind("good, 1.4 times slower", False, _fail_always(USUAL_FAILURES), 1.4),
    Kind("fails 0.3 at once", True, _fail_always(0.3)),
    Kind(
        "fails 0.4 after 0.4 of the time",
        True,
        lambda route, age, share: 0.4 if age > 0.4 else USUAL_FAILURES,
    ),
    Kind(
        "fails 0.5 under load",
        True,
        lambda route, age, share: 0.5 if share > 0.15 else USUAL_FAILURES,
    ),
    Kind(
        "fails 0.6 on one route",
        True,
        lambda route, age, share: 0.6 if route == "/b/" else USUAL_FAILURES,
    ),
    Kind("4 times slower", True, _fail_always(USUAL_FAILURES), 4.0),
    Kind("fails 0.3, 8 a second", True, _fail_always(0.3), per_s=8.0),
)


class Outcome(NamedTuple):
    """One rollout.

    Attributes:
        state: What became of it.
        decided_s: When, in seconds; infinite where it never was.
        sent_new: Requests that the release got.
        sent: Requests that the service got within its time.
        failures: Failures of the release.
    """

    state: rollout.State
    decided_s: float
    sent_new: int
    sent: int
    failures: int


@click.command(name="rollouts")
@click.option("--runs", default=200, help="Rollouts of each kind.")
def command(runs: int) -> None:
    """Plays rollouts of each kind in virtual time, by seeds."""
    for kind in KINDS:
        outcomes = [play(kind, seed) for seed in range(runs)]
        wanted = rollout.State.COMPLETED
        if kind.is_bad:
            wanted = rollout.State.ROLLED_BACK
        report = {
            "kind": kind.name,
            "runs": runs,
            "wrong": sum(_is_wrong(o, wanted) for o in outcomes),
            "undecided": sum(not o.state.is_final for o in outcomes),
            "decided_s": round(
                statistics.median(o.decided_s for o in outcomes), 2
            ),
            "most_over_permitted": round(max(map(_exceed, outcomes)), 1)
            if kind.is_bad
            else None,
            "most_failures": max(o.failures for o in outcomes),
        }
        click.echo(json.dumps(report))


def play(kind: Kind, seed: int) -> Outcome:
    """Plays one rollout to the end of its time."""
    rng = random.Random(seed)
    order = rollout.Order("s", "v2", LENGTH_S, 0.0)
    decided = rollout.Rollout(order)
    answers: list[tuple[float, int, bool, rollout.Response]] = []
    old_running = 0
    decided_s = math.inf
    now, ticked_at, number, failures = 0.0, 0.0, 0, 0
    lately: list[bool] = []
    while now < LENGTH_S:
        now += rng.expovariate(kind.per_s)
        while answers and answers[0][0] <= now:
            _, _, was_old, answer = heapq.heappop(answers)
            old_running -= was_old
            failures += answer.is_new and answer.failed
            decided.record_response(answer)
        while ticked_at + TICK_S <= now:
            ticked_at += TICK_S
            decided.advance(
                rollout.Capacity(PLACES, PLACES, old_running), ticked_at
            )
        if decided.state.is_final and decided_s == math.inf:
            decided_s = now
        is_new = _choose(decided)
        decided.count_request(is_new)
        lately = [*lately[-49:], is_new]
        old_running += not is_new
        share = sum(lately) / len(lately)
        answer, took_s = _answer(kind, is_new, now / LENGTH_S, share, rng)
        number += 1
        heapq.heappush(answers, (now + took_s, number, not is_new, answer))
    return Outcome(
        decided.state, decided_s, decided.sent_new, decided.sent, failures
    )


def _choose(decided: rollout.Rollout) -> bool:
    """Returns whether the new release gets a request, as an owner chooses."""
    decided.may_receive("v1", 1.0)
    return decided.may_receive("v2", 1.0)


def _answer(
    kind: Kind, is_new: bool, age: float, share: float, rng: random.Random
) -> tuple[rollout.Response, float]:
    route = rng.choice(ROUTES)
    part = kind.fails(route, age, share) if is_new else USUAL_FAILURES
    failed = rng.random() < part
    slower = kind.slower if is_new else 1.0
    first = slower * math.exp(rng.gauss(0.0, SPREAD))
    pace = slower * PACE_S * math.exp(rng.gauss(0.0, SPREAD / 2))
    took_s = FIRST_S * first + 100 * pace
    return rollout.Response(is_new, route, failed, first, pace), took_s


def _is_wrong(outcome: Outcome, wanted: rollout.State) -> bool:
    return outcome.state.is_final and outcome.state is not wanted


def _exceed(outcome: Outcome) -> float:
    """Returns by how many requests a release got more than is permitted."""
    order = rollout.Order("s", "v2", LENGTH_S, 0.0)
    return outcome.sent_new - order.share * outcome.sent - order.slack

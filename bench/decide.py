"""``bin/bench decide``: decisions a second of one owner on one core."""

from __future__ import annotations

import json
import random
import time

import click

from bench import slopes
from ramptray.core import message, owner_effect, shard

BACKENDS = (60, 600)
WAITING = (100, 10_000)
CYCLES = 4000
PLACES = 8


@click.command(name="decide")
@click.option("--seed", default=1, help="Seed of the requests.")
def command(seed: int) -> None:
    """Times whole requests: enqueue, grant, first token and end."""
    rates: dict[str, float] = {}
    for backends in BACKENDS:
        for waiting in WAITING:
            rate = measure(backends, waiting, seed)
            rates[f"{backends}/{waiting}"] = round(rate)
            click.echo(
                f"{backends:>4} backend servers, {waiting:>6} waiting: "
                f"{rate:>8.0f} requests/s ({1e6 / rate:.0f} us each)"
            )
    growth = rates["60/100"] / rates["600/10000"]
    click.echo(f"cost grows {growth:.2f} times from smallest to largest")
    click.echo(json.dumps({"requests_per_s": rates, "growth": growth}))


def measure(backends: int, waiting: int, seed: int) -> float:
    """Returns requests a second at a steady number of waiting requests."""
    owner = slopes.make_owner(backends)
    rng = random.Random(seed)
    running: list[str] = []
    number = 0
    total = backends * PLACES + waiting
    while number < total:
        running += _enqueue(owner, number, rng, 0.0)
        number += 1
    for name in running:  # Grows meanwhile: first tokens make room.
        first = message.FirstToken(name, 0.1, 200, 0)
        running += _collect(owner.receive("entry", first, 0.0))
    while owner.waiting_count > waiting:
        running += _finish(owner, running.pop(0), 0.0)
    began = time.perf_counter()
    for cycle in range(CYCLES):
        now = cycle / 5000
        if running:
            running += _finish(owner, running.pop(0), now)
        running += _enqueue(owner, number, rng, now)
        number += 1
    return CYCLES / (time.perf_counter() - began)


def _enqueue(
    owner: shard.ShardOwner, number: int, rng: random.Random, now: float
) -> list[str]:
    info = slopes.make_info(number, rng)
    return _collect(owner.receive("entry", message.Enqueue(info), now))


def _finish(owner: shard.ShardOwner, name: str, now: float) -> list[str]:
    first = message.FirstToken(name, 0.1, 200, 0)
    out = owner.receive("entry", first, now)
    out += owner.receive("entry", message.Ended(name, 64, 1.0, True), now)
    return _collect(out)


def _collect(out: list[owner_effect.SendToEntry]) -> list[str]:
    return [
        effect.message.request_id
        for effect in out
        if isinstance(effect.message, message.Grant)
    ]

"""``bin/bench events``: what the time line costs, on and off in one run."""

from __future__ import annotations

import json
import statistics

import click

from bench import deployment, slopes

ROUNDS = 3
RATE = 40.0
TOKENS = 8
ON, OFF = 20_000, 0


@click.command(name="events")
def command() -> None:
    """Compares processor time a request with the time line on and off."""
    costs: dict[int, list[float]] = {ON: [], OFF: []}
    for number in range(ROUNDS):
        # The order turns, so that a drift of the machine hits both alike.
        order = (OFF, ON) if number % 2 else (ON, OFF)
        for ring_events in order:
            cost = measure(ring_events)
            costs[ring_events].append(cost)
            state = "on" if ring_events else "off"
            click.echo(f"time line {state:<4}{cost * 1e3:.3f} ms a request")
    ratio = statistics.median(costs[ON]) / statistics.median(costs[OFF])
    click.echo(f"with it, a request costs {ratio:.3f} times as much")
    click.echo(json.dumps({"on": costs[ON], "off": costs[OFF], "ratio": ratio}))


def measure(ring_events: int) -> float:
    """Returns seconds of processor time that one request costs."""
    plan = slopes.make_load_plan(ring_events=ring_events)
    with deployment.run_deployment(plan) as started:
        slopes.send(started, 5, TOKENS)
        found = slopes.send(started, RATE, TOKENS)
    sent = found[0][2]
    used = sum(cores for _, cores, _, _ in found) * slopes.LOAD_S
    return used / sent

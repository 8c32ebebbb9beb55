"""``bin/bench``: one command for each benchmark."""

from __future__ import annotations

import click

from bench import (
    decide,
    events,
    faults,
    policies,
    reference,
    request,
    rollouts,
    slopes,
    start,
)
from bench.replay import main as replay
from test import soak


@click.group(name="bench")
def run() -> None:
    """Runs one benchmark; each ends with one line of JSON."""


for command in (
    decide.command,
    events.command,
    faults.command,
    policies.command,
    reference.command,
    request.command,
    rollouts.command,
    replay.command,
    slopes.command,
    soak.command,
    start.command,
):
    run.add_command(command)

if __name__ == "__main__":
    run()

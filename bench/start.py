"""``bin/bench start``: what a start costs until a request was relayed."""

from __future__ import annotations

import os
import pathlib
import tempfile
import time
from typing import NamedTuple

import click

from bench import checkout
from test import node

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOOK_S = 0.02
WAIT_S = 20.0
PATH = "/safe/"


class Start(NamedTuple):
    """One start, until the first answer of a backend server.

    Attributes:
        cpu_s: Processor time of the program, in seconds.
        wall_s: Time since it was started, in seconds.
        peak_mb: Largest memory of the program, in megabytes.
    """

    cpu_s: float
    wall_s: float
    peak_mb: float


class StartError(click.ClickException):
    """A VM did not answer in time."""


@click.command(name="start")
@click.option("--runs", default=20, help="How many starts of each tree.")
@checkout.TREES_OPTION
def command(runs: int, trees: tuple[pathlib.Path, ...]) -> None:
    """Starts one VM again and again, beside a store and a replica."""
    measured = checkout.list_trees(trees)
    # Compiled modules of one checkout must not be taken for another one's.
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    with tempfile.TemporaryDirectory() as compiled:
        os.environ["PYTHONPYCACHEPREFIX"] = compiled
        found: dict[pathlib.Path, list[Start]] = {t: [] for t in measured}
        for number in range(runs + 1):
            for tree in measured:
                start = measure_start(tree)
                if number:
                    # The first one compiles.
                    found[tree].append(start)
    checkout.report(found, runs, 3)


def measure_start(tree: pathlib.Path) -> Start:
    """Returns what one start costs.

    Args:
        tree: The checkout whose program is started.

    Raises:
        StartError: No request was answered in time.
    """
    with tempfile.TemporaryDirectory() as name:
        started = node.Platform(pathlib.Path(name))
        started.tree = tree
        try:
            started.start_store()
            started.set_config(node.make_config(1))
            started.start_replica("i-0")
            began = time.monotonic()
            started.start_vm("vm-0")
            _wait_for_answer(started)
            wall_s = time.monotonic() - began
            return Start(*_read_costs(started, wall_s))
        finally:
            started.stop_all()


def _wait_for_answer(started: node.Platform) -> None:
    headers = {
        "Host": node.HOST,
        "X-Request-Id": "first",
        "Authorization": f"Bearer {node.KEY}",
    }
    front = started.vms["vm-0"]["front"]
    ends_at = time.monotonic() + WAIT_S
    while time.monotonic() < ends_at:
        if node.call(front, "GET", PATH, headers=headers).status == 200:
            return
        time.sleep(LOOK_S)
    raise StartError(f"{started.tree}: no answer within {WAIT_S:.0f} s")


def _read_costs(
    started: node.Platform, wall_s: float
) -> tuple[float, float, float]:
    process = pathlib.Path("/proc", str(started.processes["vm-0"].pid))
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = (process / "status").read_text()
    peak_kb = int(status.partition("VmHWM:")[2].split()[0])
    return cpu_s, wall_s, peak_kb / 1024

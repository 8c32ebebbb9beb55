"""``bin/bench request``: processor time that relaying a request costs."""

from __future__ import annotations

import contextlib
import http.client
import os
import pathlib
import tempfile
import time
from collections.abc import Iterator
from typing import NamedTuple

import click

from bench import checkout
from test import node, test_node

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MS_PER_S = 1000.0
WAIT_S = 20.0
SETTLE_S = 5.0
"""How long the VMs are left alone before a measurement, in seconds."""

IDLE_S = 4.0
EVENTS = 20
"""Events of a stream."""

WORK_S = 0.002
"""How long a backend server works on an answer or an event, in seconds."""

BODY = b"x" * 200
PLAIN_PATH = "/safe/"
STREAM_PATH = "/stream/"
KINDS = (("plain", PLAIN_PATH), ("stream", STREAM_PATH))


class Cost(NamedTuple):
    """Processor time of all VMs together, in milliseconds.

    Attributes:
        plain_here: Of a plain request whose VM owns the service.
        stream_here: Of a stream of 20 events there.
        plain_there: Of a plain request whose owner is another VM.
        stream_there: Of a stream of 20 events there.
        idle: Of two VMs without requests, a second.
    """

    plain_here: float
    stream_here: float
    plain_there: float
    stream_there: float
    idle: float


class CostError(click.ClickException):
    """No request was answered."""


@click.command(name="request")
@click.option("--runs", default=3, help="How many runs of each tree.")
@click.option("--requests", default=400, help="Requests of each kind a run.")
@checkout.TREES_OPTION
def command(runs: int, requests: int, trees: tuple[pathlib.Path, ...]) -> None:
    """Sends requests one after the other through two VMs on loopback."""
    measured = checkout.list_trees(trees)
    found: dict[pathlib.Path, list[Cost]] = {t: [] for t in measured}
    for _ in range(runs):
        for tree in measured:
            found[tree].append(measure(tree, requests))
    checkout.report(found, runs, 2)


def measure(tree: pathlib.Path, requests: int) -> Cost:
    """Returns what requests cost, from one run.

    Args:
        tree: The checkout whose program is run.
        requests: How many of each kind.

    Raises:
        CostError: A request was not answered.
    """
    with _run_vms(tree) as platform:
        owner = _find_owner(platform)
        other = next(vm for vm in platform.vms if vm != owner)
        time.sleep(SETTLE_S)
        began = _read_cpu_ms(platform)
        time.sleep(IDLE_S)
        idle = (_read_cpu_ms(platform) - began) / IDLE_S
        costs = [
            _measure_path(platform, vm, path, requests, idle)
            for vm in (owner, other)
            for _, path in KINDS
        ]
        here, there = costs[:2], costs[2:]
        return Cost(here[0], here[1], there[0], there[1], idle)


@contextlib.contextmanager
def _run_vms(tree: pathlib.Path) -> Iterator[node.Platform]:
    with tempfile.TemporaryDirectory() as folder:
        platform = node.Platform(pathlib.Path(folder))
        platform.tree = tree
        try:
            platform.start_store()
            platform.set_config(node.make_config(1))
            for number in range(2):
                platform.start_replica(
                    f"i-{number}", work_s=WORK_S, events=EVENTS
                )
            for number in range(2):
                platform.start_vm(f"vm-{number}")
            yield platform
        finally:
            platform.stop_all()


def _find_owner(platform: node.Platform) -> str:
    """Returns the VM that grants what the last VM asks for."""
    vm = list(platform.vms)[-1]
    ends_at = time.monotonic() + WAIT_S
    while time.monotonic() < ends_at:
        with contextlib.suppress(CostError, OSError):
            _send(platform, vm, PLAIN_PATH, 1)
        time.sleep(1.0)
        granting = [name for name in platform.vms if _grants(platform, name)]
        if granting:
            return granting[-1]
    raise CostError("nobody grants requests")


def _grants(platform: node.Platform, vm: str) -> bool:
    events = (line.get("event") or {} for line in platform.read_log(vm)[-50:])
    return any(event.get("kind") == "grant" for event in events)


def _measure_path(
    platform: node.Platform, vm: str, path: str, requests: int, idle_ms: float
) -> float:
    _send(platform, vm, path, requests // 10)
    began, began_at = _read_cpu_ms(platform), time.monotonic()
    _send(platform, vm, path, requests)
    spent_ms = _read_cpu_ms(platform) - began
    idle = (time.monotonic() - began_at) * idle_ms
    return (spent_ms - idle) / requests


def _send(platform: node.Platform, vm: str, path: str, requests: int) -> None:
    host, port = platform.vms[vm]["front"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
    with contextlib.closing(connection):
        for _ in range(requests):
            connection.request("POST", path, BODY, test_node.make_headers())
            answer = connection.getresponse()
            answer.read()
            if answer.status != http.client.OK:
                raise CostError(f"{path} was answered with {answer.status}")


def _read_cpu_ms(platform: node.Platform) -> float:
    return sum(
        _read_process_ms(platform.processes[vm].pid) for vm in platform.vms
    )


def _read_process_ms(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S * MS_PER_S

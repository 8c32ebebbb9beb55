"""A service that one configuration removes and the next one brings back.

Guards against this failure: its owner forgot the requests that ran, and sent
servers more than they had slots for once the service was back.
"""

from __future__ import annotations

from concurrent import futures
from typing import Any

from test import node
from test.test_node import ask, wait_until

WORK_S = 2.0
PATIENCE_MS = 8000
"""Time limit of requests, in milliseconds: some wait until others end."""

OTHER = "other"


def make_config(version: int, *services: str) -> dict[str, Any]:
    """Returns a configuration with these services; the first has all routes."""
    config = node.make_config(version)
    for route in config["routes"]:
        route.update(service=services[0], timeoutMs=PATIENCE_MS)
    return {**config, "services": [{"name": name} for name in services]}


def ask_patiently(started: node.Platform, number: int) -> int:
    """Returns the status of a request at one VM or another."""
    vm = f"vm-{number % 2}"
    further = {"X-Deadline-Ms": str(PATIENCE_MS)}
    return ask(started, "/safe/", vm=vm, headers=further).status


def test_a_service_that_returns_keeps_its_running_requests() -> None:
    with node.run_platform(vms=2, replicas=1) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        # It refuses what comes while it works on as much as it has slots.
        started.set_faults("i-0", work_s=WORK_S, room=node.SLOTS)
        with futures.ThreadPoolExecutor(2 * node.SLOTS) as pool:
            first = [
                pool.submit(ask_patiently, started, number)
                for number in range(node.SLOTS)
            ]
            wait_until(lambda: len(started.list_runs()) > node.SLOTS)
            for version, services in ((2, [OTHER]), (3, [node.SERVICE, OTHER])):
                started.set_config(make_config(version, *services))
                for vm in started.vms:
                    started.wait_for_config(vm, version)
            further = [
                pool.submit(ask_patiently, started, number)
                for number in range(node.SLOTS)
            ]
            assert {each.result() for each in first} == {200}
            assert {each.result() for each in further} <= {200, 503}
        assert started.read_ledger("i-0")["refused"] == []

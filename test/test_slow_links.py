"""Bytes and store calls that a VM needs to learn of a change.

Each VM read each version of the configuration whole, and a VM that was behind
read every version in between.  With 1,317 routes a version takes 0.4 MB, so
changes came into force up to 4 s late on VMs with links of 5 Mbit/s.
"""

from __future__ import annotations

import functools
import json
import time
from typing import Any

from bench import proxy
from test import node
from test.test_node import ask, wait_until

ROUTES = 1317
LINK_MBPS = 5.0
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
CHANGES = 8
CHANGE_INTERVAL_S = 0.25
IN_FORCE_S = 1.5
"""Time limit for a change to be in force on undisturbed VMs, in seconds."""


def make_config(version: int) -> dict[str, Any]:
    """Returns a large configuration with its version in a route's path."""
    config = node.make_config(version)
    config["routes"][0]["pathPrefix"] = f"/v{version}/"
    config["routes"].extend(
        {
            **config["routes"][1],
            "name": f"r-{number}",
            "pathPrefix": f"/filler-{number}/{number * 7919}/",
            "maxAttempts": 1,
        }
        for number in range(ROUTES)
    )
    return config


def is_served(started: node.Platform, vm: str, version: int) -> bool:
    return ask(started, f"/v{version}/", vm=vm).status == 200


def reads_no_more(started: node.Platform, vm: str) -> bool:
    """Returns whether a VM has learned that others read the store for it."""
    return any(
        line["message"] == "place in the distribution"
        and line.get("reads") is False
        for line in started.read_log(vm)
    )


def start_slow_vm(started: node.Platform) -> proxy.Proxy:
    """Starts a VM whose link to the store is limited to 5 Mbit/s."""
    slow = proxy.Proxy(started.store, bytes_per_s=LINK_BYTES_PER_S)
    started.start_vm("vm-slow", slow.address, LINK_MBPS)
    return slow


def test_changes_in_a_row_are_in_force_in_time_on_a_slow_link() -> None:
    with node.run_platform(vms=2) as started:
        slow = start_slow_vm(started)
        started.set_config(make_config(2))
        for vm in started.vms:
            wait_until(functools.partial(is_served, started, vm, 2), 12.0)
        # Until then the slow VM may be one of those that read the store, and
        # a change reaches it whole.
        wait_until(functools.partial(reads_no_more, started, "vm-slow"))
        size = len(json.dumps(make_config(2)))
        bytes_before = slow.passed_bytes
        written: dict[int, float] = {}
        for version in range(3, 3 + CHANGES):
            started.set_config(make_config(version))
            written[version] = time.monotonic()
            time.sleep(CHANGE_INTERVAL_S)
        last = max(written)
        for vm in started.vms:
            left_s = max(0.05, written[last] + IN_FORCE_S - time.monotonic())
            wait_until(functools.partial(is_served, started, vm, last), left_s)
        assert slow.passed_bytes - bytes_before < size
        slow.close()


def test_store_calls_hardly_grow_with_the_number_of_vms() -> None:
    counts = {}
    for vms in (3, 9):
        with node.run_platform(vms=vms) as started:
            for vm in started.vms:
                wait_until(functools.partial(is_served_first, started, vm))
            time.sleep(2.0)
            before = started.count_store_calls()
            for version in range(2, 7):
                started.set_config(node.make_config(version))
                time.sleep(0.6)
            counts[vms] = started.count_store_calls() - before
    assert counts[9] <= 1.3 * counts[3]


def is_served_first(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200

"""Tests that changes are applied although a pending read of the store is lost.

Guards against this failure: for some seconds the store accepted calls and never
responded.  A change of the configuration had just made all VMs read again at
the same moment, so all their reads were lost.  The store's kernel kept
acknowledging bytes, so no connection broke.  Each VM waited for its read
timeout of 23 s, and no peer had newer data.  Eight changes were confirmed in
the 8 s after the store's return, and none came into force.

Evidence: the last log line of each VM on the configuration was "configuration
in force" with "generation": 14 at 4.9 s.  No line about a log lost or regained
or a configuration passed over followed.  Each VM had one call without response
at 5.3 s and no further call for that stream until 28.3 s, while the store
responded to all other calls from 11.2 s on.
"""

from __future__ import annotations

import functools
import time
from typing import Any

import pytest

from test import node
from test.test_node import ask, wait_until

IN_FORCE_TIMEOUT_S = 3.0
"""Time after the store's return within which a change must be in force, in
seconds: the limit for a VM that has reconnected."""

OUTAGE_S = 1.5
"""How long the store does not respond, in seconds.  VMs read again 0.4 s after
a change, so the next read of every VM falls into this time."""


def make_config(version: int) -> dict[str, Any]:
    """Returns a configuration with a route that names its version."""
    config = node.make_config(version)
    config["routes"][0]["pathPrefix"] = f"/v{version}/"
    return config


def is_up(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200


def is_served(started: node.Platform, vm: str, version: int) -> bool:
    return ask(started, f"/v{version}/", vm=vm).status == 200


def lose_reads(started: node.Platform) -> None:
    """Loses every VM's next read of each topic: the store does not respond."""
    started.set_config(make_config(2))
    started.write_record("i-0")
    started.set_faults("store", silent=True)
    time.sleep(OUTAGE_S)
    started.set_faults("store")


@pytest.mark.parametrize("vms", [1, 3])
def test_a_change_after_lost_reads_is_in_force_everywhere(vms: int) -> None:
    with node.run_platform(vms=vms) as started:
        for vm in started.vms:
            wait_until(functools.partial(is_up, started, vm))
        lose_reads(started)
        started.set_config(make_config(3))
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
        for vm in started.vms:
            remaining_s = max(0.05, deadline - time.monotonic())
            wait_until(
                functools.partial(is_served, started, vm, 3), remaining_s
            )
            assert not is_served(started, vm, 2)


def test_a_replica_that_leaves_after_lost_reads_gets_no_new_work() -> None:
    with node.run_platform(vms=2) as started:
        for vm in started.vms:
            wait_until(functools.partial(is_up, started, vm))
        lose_reads(started)
        started.write_record("i-0", "draining")
        time.sleep(IN_FORCE_TIMEOUT_S)
        before = len(started.read_ledger("i-0")["runs"])
        for number in range(20):
            vm = f"vm-{number % 2}"
            assert ask(started, "/once/", "POST", b"x", vm=vm).status == 200
        assert len(started.read_ledger("i-0")["runs"]) == before

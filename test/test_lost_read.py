"""A read that waits is lost on its way: what changes must still be learned.

For some seconds the store took calls and never answered them.  One change of
the configuration had just made every VM read again at the same moment, so all
their reads went into that silence.  The store's kernel went on acknowledging
bytes, so no connection broke; each VM waited until its own timeout of 23 s
ended the read, and no peer had anything newer to tell.  Eight changes were
confirmed in the eight seconds after the silence and none came into force.

What settled it: each VM's last line on the configuration, "configuration in
force" with "generation": 14 at 4.9 s, no line on a log lost or regained or on a
configuration passed over after it, and one call a VM without an answer at 5.3 s
followed by no further call for that stream until 28.3 s, while the store
answered all others from 11.2 s on.
"""

from __future__ import annotations

import functools
import time
from typing import Any

import pytest

from test import node
from test.test_node import ask, wait_until

LEARN_S = 3.0
"""Time from the store's return within which a change must be in force, in
seconds: what a VM that is in touch again is held to."""

SILENCE_S = 1.5
"""Long enough for every VM's next read to be sent into it, in seconds: they
read again 0.4 s after a change."""


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
    """Makes every VM send its next read of each topic into a silence."""
    started.set_config(make_config(2))
    started.write_record("i-0")
    started.set_faults("store", silent=True)
    time.sleep(SILENCE_S)
    started.set_faults("store")


@pytest.mark.parametrize("vms", [1, 3])
def test_a_change_after_lost_reads_is_in_force_everywhere(vms: int) -> None:
    with node.run_platform(vms=vms) as started:
        for vm in started.vms:
            wait_until(functools.partial(is_up, started, vm))
        lose_reads(started)
        started.set_config(make_config(3))
        ends_at = time.monotonic() + LEARN_S
        for vm in started.vms:
            left_s = max(0.05, ends_at - time.monotonic())
            wait_until(functools.partial(is_served, started, vm, 3), left_s)
            assert not is_served(started, vm, 2)


def test_a_replica_that_leaves_after_lost_reads_gets_no_new_work() -> None:
    with node.run_platform(vms=2) as started:
        for vm in started.vms:
            wait_until(functools.partial(is_up, started, vm))
        lose_reads(started)
        started.write_record("i-0", "draining")
        time.sleep(LEARN_S)
        before = len(started.read_ledger("i-0")["runs"])
        for number in range(20):
            vm = f"vm-{number % 2}"
            assert ask(started, "/once/", "POST", b"x", vm=vm).status == 200
        assert len(started.read_ledger("i-0")["runs"]) == before

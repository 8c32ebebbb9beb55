"""One odd record costs that record alone.

Guards against VMs that end, or serve nothing, for a record of the store that
another program wrote: those in service, those that start after it, and all VMs
after they were lost.  Real VMs, replicas and a store.
"""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Iterator

import pytest

from ramptray.platform import config_recovery
from test import callers, node, odd_records
from test.test_node import ask, wait_until

START_S = 3.0
"""Time in which a VM that starts serves, in seconds."""

APPLY_S = 2.0
"""Time in which a change is in force on every VM, in seconds."""

OBSERVED_S = 1.0
"""How long requests are observed, in seconds."""


SAVE_S = 1.5
"""Time in which VMs in service have stored what those that start lack."""


FORGOTTEN = 10**6
"""Offset before which a store has dropped all records but the newest."""


@contextlib.contextmanager
def run_beside(odd: odd_records.OddRecord) -> Iterator[node.Platform]:
    """Runs two VMs to which a record is written while they serve.

    A server comes and all others leave after it, so that VMs have to follow
    the topic beyond the record.
    """
    with callers.run_serving(vms=2) as started:
        with callers.Callers(started, "/safe/", per_vm=1) as load:
            odd_records.write(started, odd)
            time.sleep(0.3)
            started.start_replica("i-new")
            wait_until(lambda: all_know(started, "i-new"))
            for name in ("i-0", "i-1"):
                started.write_record(name, state="draining")
            wait_until(lambda: bool(started.read_ledger("i-new")["runs"]))
            time.sleep(OBSERVED_S)
        assert {each.status for each in load.asked} == {200}
        yield started


def all_know(started: node.Platform, server: str) -> bool:
    """Returns whether all VMs have read a server's record."""
    return all(
        any(
            line["message"] == "backend server known"
            and line["backend"] == server
            for line in started.read_log(vm)
        )
        for vm in started.vms
    )


def restart(started: node.Platform, vms: list[str]) -> None:
    """Kills VMs, and starts them again after all have ended."""
    for vm in vms:
        started.kill_vm(vm)
    for vm in vms:
        started.restart_vm(vm)


def write_config(started: node.Platform, value: bytes) -> None:
    odd = odd_records.OddRecord(node.CONFIG_TOPIC, b"config", value)
    odd_records.write(started, odd)


def read_copy(started: node.Platform) -> list[str]:
    """Returns the keys of the configurations that VMs have stored."""
    path = f"/v1/log-newest?topic={config_recovery.TOPIC}&part=0"
    items = json.loads(node.call(started.store, "GET", path).body)["items"]
    return [item["tlsKey"] for item in items]


def check_running(started: node.Platform) -> None:
    ended = [vm for vm in started.vms if started.processes[vm].poll()]
    assert ended == []


def check_service(started: node.Platform) -> None:
    """Checks that all VMs soon serve all requests, and go on to run."""
    wait_until(
        lambda: all(is_serving(started, vm) for vm in started.vms), START_S
    )
    with callers.Callers(started, "/safe/", per_vm=1) as load:
        time.sleep(OBSERVED_S)
    assert {each.status for each in load.asked} == {200}
    check_running(started)


def is_serving(started: node.Platform, vm: str) -> bool:
    with contextlib.suppress(OSError):
        return ask(started, "/safe/", vm=vm).status == 200
    return False


@pytest.mark.parametrize("odd", odd_records.RECORDS)
def test_an_odd_record_costs_that_record_alone(odd: str) -> None:
    with run_beside(odd_records.RECORDS[odd]) as started:
        check_running(started)
        restart(started, ["vm-1"])
        check_service(started)
        restart(started, list(started.vms))
        check_service(started)


@pytest.mark.parametrize("odd", odd_records.CONFIGS)
def test_vms_start_beside_an_odd_configuration(odd: str) -> None:
    # VMs in service kept the former one, so that nothing was seen until all
    # VMs were lost.
    value = odd_records.CONFIGS[odd]
    with callers.run_serving(vms=2) as started:
        write_config(started, value)
        time.sleep(SAVE_S)
        check_service(started)
        restart(started, ["vm-1"])
        check_service(started)
        restart(started, list(started.vms))
        check_service(started)


def test_vms_start_with_a_copy_beside_an_odd_configuration() -> None:
    with callers.run_serving(vms=2) as started:
        write_config(started, odd_records.NESTED)
        wait_until(lambda: bool(read_copy(started)), SAVE_S)
        started.set_faults("store", forgotten=FORGOTTEN)
        restart(started, list(started.vms))
        check_service(started)
        in_force = [
            line["origin"]
            for line in started.read_log("vm-0")
            if line["message"] == "configuration in force"
        ]
        assert in_force[-1] == "copy" or in_force[-1].startswith("peer")


def test_a_copy_is_discarded_once_a_configuration_is_valid() -> None:
    # The copy may hold keys that have been taken away since.
    with callers.run_serving(vms=2) as started:
        write_config(started, odd_records.NESTED)
        wait_until(lambda: bool(read_copy(started)), SAVE_S)
        started.set_config(node.make_config(3))
        for vm in started.vms:
            started.wait_for_config(vm, 3)
        wait_until(lambda: not read_copy(started), SAVE_S)
        check_service(started)


def test_vms_start_with_the_valid_parts_of_an_odd_configuration() -> None:
    # No VM, copy or retained record has a former one.
    odd = odd_records.make_config("tenants", ratePerS=None)
    with node.run_platform(vms=0, replicas=2) as started:
        write_config(started, odd)
        started.set_faults("store", forgotten=FORGOTTEN)
        started.start_vm("vm-0")
        check_service(started)
        refused = ask(
            started,
            "/safe/",
            headers={"Authorization": f"Bearer {node.LIMITED_KEY}"},
        )
        assert refused.status == 401


def test_an_odd_configuration_hides_no_valid_one() -> None:
    # VMs that get the newest record of each key, from the store at a start or
    # from other VMs, never saw the valid one before it.
    with callers.run_serving(vms=5) as started:
        config = node.make_config(2)
        config["routes"].append(
            {**config["routes"][0], "name": "new", "pathPrefix": "/new/"}
        )
        started.set_config(config)
        write_config(started, odd_records.NESTED)
        wait_until(
            lambda: all(
                ask(started, "/new/", vm=vm).status == 200 for vm in started.vms
            ),
            APPLY_S,
        )
        restart(started, list(started.vms))
        check_service(started)
        wait_until(
            lambda: all(
                ask(started, "/new/", vm=vm).status == 200 for vm in started.vms
            ),
            START_S,
        )

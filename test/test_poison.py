"""Tests that a request which crashes its backend servers is soon blocked.

A caller retried such a request with a new id each time and at any VM.  Each try
crashed up to two replicas and ended all requests on them.  Nothing recognized
the tries as the same content, so 8 more followed after the third crash, and 16
replicas crashed in total.  These events identified the cause:

    attempt_failed backend=i-0 content=63a517... presence=gone after_s=0.0906
    attempt_failed backend=i-1 content=63a517... presence=gone after_s=0.1036
    attempt_failed backend=i-2 content=63a517... presence=gone after_s=0.0951

The first two are from one VM, the third from another; they are of two tries.
"""

from __future__ import annotations

import itertools
import json
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator

import pytest

from test import node
from test.poison_load import BODY, LATE_TRIES, MARK, PAUSE_S, Supervisor
from test.test_node import ask, wait_until

REPLICAS = 4
VMS = 3

MIN_LATE_TRIES = 4 * LATE_TRIES
"""Tries sent after that, so that the count is meaningful."""

MAX_DURATION_S = 30.0
"""Time within which that many tries are sent, in seconds."""


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with node.run_platform(vms=VMS, replicas=0) as platform:
        for number in range(REPLICAS):
            platform.start_replica(
                f"i-{number}", crash_on=MARK, work_s=0.02, events=4
            )
        wait_until(lambda: ask(platform, "/safe/").status == 200)
        yield platform


def count_late_tries(
    started: node.Platform, supervisor: Supervisor, sent: dict[str, float]
) -> int:
    """Returns how many tries ran that were sent after all VMs must block."""
    known_at = supervisor.get_blocked_by()
    ran = {
        request_id
        for name in started.replicas
        for request_id in started.iterate_runs(name)
    }
    late = [name for name, at in sent.items() if at > known_at]
    assert len(late) >= MIN_LATE_TRIES, "too few tries"
    return len(ran & set(late))


def send_tries(
    started: node.Platform, path: str, supervisor: Supervisor
) -> dict[str, float]:
    """Sends the request repeatedly, to one VM after the other.

    Returns:
        The time at which each try was sent, by its id.
    """
    sent: dict[str, float] = {}
    ends_at = time.monotonic() + MAX_DURATION_S
    for number in itertools.count():
        known_at = supervisor.get_blocked_by()
        late = sum(at > known_at for at in sent.values())
        if late >= MIN_LATE_TRIES or time.monotonic() > ends_at:
            break
        name = f"try-{number}"
        sent[name] = time.monotonic()
        vm = f"vm-{number % VMS}"
        ask(started, path, "POST", BODY, vm, X_Request_Id=name)
        time.sleep(PAUSE_S)
    return sent


@pytest.mark.parametrize("path", ["/safe/", "/once/", "/stream/"])
def test_poison_request_is_soon_blocked(
    started: node.Platform, path: str
) -> None:
    with Supervisor(started) as supervisor:
        sent = send_tries(started, path, supervisor)
    assert count_late_tries(started, supervisor, sent) <= LATE_TRIES


def block(started: node.Platform) -> None:
    """Sends the request until it is refused; restarts crashed replicas."""
    with Supervisor(started):
        for number in itertools.count():
            assert number < 20, "not blocked"
            vm = f"vm-{number % VMS}"
            if ask(started, "/safe/", "POST", BODY, vm).status == 503:
                break
            time.sleep(PAUSE_S)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        time.sleep(PAUSE_S)


def find_detecting_vm(started: node.Platform) -> str:
    """Returns the VM whose scheduler blocked the request."""
    return next(
        name
        for name in started.vms
        for line in started.read_log(name)
        if line["message"] == "content blocked" and line["origin"] == "crashes"
    )


def is_serving(started: node.Platform, vms: Iterable[str]) -> bool:
    """Returns whether all VMs serve requests; some may be starting."""
    try:
        return all(ask(started, "/safe/", vm=vm).status == 200 for vm in vms)
    except OSError:
        return False


def check_not_run(started: node.Platform, vms: Iterable[str]) -> None:
    """Checks that VMs refuse the request and that it did not run."""
    for vm in vms:
        name = f"after-{vm}"
        answer = ask(started, "/safe/", "POST", BODY, vm, X_Request_Id=name)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 60
        assert name not in set(started.list_runs())


def run_command(started: node.Platform, *words: str) -> str:
    """Runs the operators' command against one VM."""
    scheduler = started.vms["vm-0"]["control"]
    program = "from ramptray.command import main; main.run()"
    command = [sys.executable, "-c", program, "blocked"]
    done = subprocess.run(
        [*command, "--scheduler", scheduler, *words],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_operator_can_list_and_lift_blocks(
    started: node.Platform,
) -> None:
    block(started)
    (found,) = json.loads(run_command(started, "--json"))
    assert found["crashes"] >= 3
    metrics = node.call(
        f"127.0.0.1:{started.vms['vm-1']['metrics']}", "GET", "/metrics"
    )
    assert b"ramptray_blocked_contents 1" in metrics.body
    assert "lifted" in run_command(started, "--lift", found["content"])
    with Supervisor(started):
        wait_until(
            lambda: ask(started, "/safe/", "POST", BODY, "vm-2").status == 502
        )


def test_restarted_vm_learns_blocks_from_others(started: node.Platform) -> None:
    block(started)
    restarted = next(n for n in started.vms if n != find_detecting_vm(started))
    started.kill_vm(restarted)
    started.restart_vm(restarted)
    wait_until(lambda: is_serving(started, [restarted]))
    check_not_run(started, [restarted])


def test_block_survives_the_loss_of_the_vm_that_detected_it(
    started: node.Platform,
) -> None:
    block(started)
    detecting_vm = find_detecting_vm(started)
    started.kill_vm(detecting_vm)
    left = [name for name in started.vms if name != detecting_vm]
    wait_until(lambda: is_serving(started, left))
    check_not_run(started, left)


def restart_all(started: node.Platform) -> None:
    for name in started.vms:
        started.kill_vm(name)
    for name in started.vms:
        started.restart_vm(name)
    wait_until(lambda: is_serving(started, started.vms))


def test_block_survives_a_restart_of_all_vms(started: node.Platform) -> None:
    block(started)
    restart_all(started)
    check_not_run(started, started.vms)


def test_block_survives_a_store_restored_from_an_older_copy(
    started: node.Platform,
) -> None:
    block(started)
    started.lose_records(1)
    # Replicas and the operator write their records again.
    started.set_config(node.make_config(2))
    for name in started.replicas:
        started.write_record(name, born=int(time.time() * 1000))
    time.sleep(2.0)
    restart_all(started)
    check_not_run(started, started.vms)

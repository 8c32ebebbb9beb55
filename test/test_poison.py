"""A request that ends each backend server that begins to run it.

Its caller sent it again and again, each try under an id of its own and to any
VM; each took up to two replicas with it, and with them all that ran there.
Nothing knew that the tries held the same, so 8 more followed after the third
replica had ended, and 16 replicas ended in all.  What settled it:

    attempt_failed backend=i-0 content=63a517... presence=gone after_s=0.0906
    attempt_failed backend=i-1 content=63a517... presence=gone after_s=0.1036
    attempt_failed backend=i-2 content=63a517... presence=gone after_s=0.0951

the first two on one VM, the third on another, of two tries.
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

LATE_NEEDED = 4 * LATE_TRIES
"""Tries after that, so that they tell something."""

LONGEST_S = 30.0
"""Time within which that many are sent, in seconds."""


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
    """Returns how many tries ran that were sent once each VM must know."""
    known_at = supervisor.get_known_at()
    ran = {
        request_id
        for name in started.replicas
        for request_id in started.iterate_runs(name)
    }
    late = [name for name, at in sent.items() if at > known_at]
    assert len(late) >= LATE_NEEDED, "too few tries to tell"
    return len(ran & set(late))


def send_tries(
    started: node.Platform, path: str, supervisor: Supervisor
) -> dict[str, float]:
    """Sends the request again and again to one VM after the other.

    Returns:
        The id of each try and when it was sent.
    """
    sent: dict[str, float] = {}
    ends_at = time.monotonic() + LONGEST_S
    for number in itertools.count():
        known_at = supervisor.get_known_at()
        late = sum(at > known_at for at in sent.values())
        if late >= LATE_NEEDED or time.monotonic() > ends_at:
            break
        name = f"try-{number}"
        sent[name] = time.monotonic()
        vm = f"vm-{number % VMS}"
        ask(started, path, "POST", BODY, vm, X_Request_Id=name)
        time.sleep(PAUSE_S)
    return sent


@pytest.mark.parametrize("path", ["/safe/", "/once/", "/stream/"])
def test_a_request_that_ends_what_runs_it_is_soon_sent_no_more(
    started: node.Platform, path: str
) -> None:
    with Supervisor(started) as supervisor:
        sent = send_tries(started, path, supervisor)
    assert count_late_tries(started, supervisor, sent) <= LATE_TRIES


def block(started: node.Platform) -> None:
    """Sends the request until it is refused, and restarts what has ended."""
    with Supervisor(started):
        for number in itertools.count():
            assert number < 20, "not blocked"
            vm = f"vm-{number % VMS}"
            if ask(started, "/safe/", "POST", BODY, vm).status == 503:
                break
            time.sleep(PAUSE_S)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        time.sleep(PAUSE_S)


def find_finder(started: node.Platform) -> str:
    """Returns the VM whose scheduler found the request out."""
    return next(
        name
        for name in started.vms
        for line in started.read_log(name)
        if line["message"] == "content blocked" and line["origin"] == "crashes"
    )


def is_serving(started: node.Platform, vms: Iterable[str]) -> bool:
    """Returns whether VMs serve, also while some are about to start."""
    try:
        return all(ask(started, "/safe/", vm=vm).status == 200 for vm in vms)
    except OSError:
        return False


def check_not_run(started: node.Platform, vms: Iterable[str]) -> None:
    """Checks that VMs refuse the request and say truly that it did not run."""
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


def test_an_operator_sees_blocks_and_lifts_them(
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


def test_a_vm_that_starts_again_knows_at_once(started: node.Platform) -> None:
    block(started)
    restarted = next(n for n in started.vms if n != find_finder(started))
    started.kill_vm(restarted)
    started.restart_vm(restarted)
    wait_until(lambda: is_serving(started, [restarted]))
    check_not_run(started, [restarted])


def test_the_others_know_when_the_one_that_found_out_is_gone(
    started: node.Platform,
) -> None:
    block(started)
    finder = find_finder(started)
    started.kill_vm(finder)
    left = [name for name in started.vms if name != finder]
    wait_until(lambda: is_serving(started, left))
    check_not_run(started, left)


def restart_all(started: node.Platform) -> None:
    for name in started.vms:
        started.kill_vm(name)
    for name in started.vms:
        started.restart_vm(name)
    wait_until(lambda: is_serving(started, started.vms))


def test_a_block_outlives_a_restart_of_all_vms(started: node.Platform) -> None:
    block(started)
    restart_all(started)
    check_not_run(started, started.vms)


def test_a_block_outlives_a_store_that_comes_back_older(
    started: node.Platform,
) -> None:
    block(started)
    started.lose_records(1)
    # What replicas and the operator wrote, they write again.
    started.set_config(node.make_config(2))
    for name in started.replicas:
        started.write_record(name, born=int(time.time() * 1000))
    time.sleep(2.0)
    restart_all(started)
    check_not_run(started, started.vms)

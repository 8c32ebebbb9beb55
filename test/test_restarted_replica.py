"""Replicas that start again under their names, over the whole path."""

from __future__ import annotations

import signal
import time
from concurrent import futures

import pytest

from test import node
from test.test_node import ask, wait_until

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
"""Starts of two runs, in Unix milliseconds."""

SOON_S = 0.8
"""Time in which such a request must end, in seconds: less than the one second
after which a replica is taken to hang."""


def is_up(started: node.Platform) -> bool:
    return ask(started, "/safe/").status == 200


def is_used(started: node.Platform, name: str) -> bool:
    """Returns whether work that fills the others reaches a replica."""
    with futures.ThreadPoolExecutor(2 * node.SLOTS) as pool:
        list(pool.map(lambda _: ask(started, "/safe/"), range(4 * node.SLOTS)))
    return bool(started.read_ledger(name)["runs"])


def test_a_replica_that_starts_again_while_it_leaves_is_used() -> None:
    with node.run_platform(replicas=0) as started:
        for name in ("i-0", "i-1"):
            started.start_replica(name, work_s=0.05)
            started.write_record(name, born=FIRST)
        wait_until(lambda: is_up(started))
        started.write_record("i-1", "draining", born=FIRST)
        time.sleep(0.5)
        started.processes["i-1"].send_signal(signal.SIGKILL)
        started.move_replica("i-1", work_s=0.05)
        started.write_record("i-1", born=SECOND)
        wait_until(lambda: is_used(started, "i-1"), 4.0)


@pytest.mark.parametrize(
    ("path", "method", "statuses"),
    [("/safe/", "GET", {200}), ("/once/", "POST", {502, 504})],
)
def test_requests_at_a_run_that_has_ended_do_not_wait_for_it(
    path: str, method: str, statuses: set[int]
) -> None:
    # The former run lost its power: its connections stay open and silent.
    with node.run_platform(replicas=0) as started:
        started.start_replica("i-0", work_s=0.3)
        started.write_record("i-0", born=FIRST)
        wait_until(lambda: is_up(started))
        started.move_replica("i-0", work_s=0.01)
        with futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(ask, started, path, method, b"x")
            time.sleep(0.1)
            started.processes["i-0-former"].send_signal(signal.SIGSTOP)
            began = time.monotonic()
            started.write_record("i-0", born=SECOND)
            answer = asked.result()
            assert time.monotonic() - began < SOON_S
        assert answer.status in statuses

"""End-to-end tests of replicas that restart under the same name."""

from __future__ import annotations

import signal
import time
from concurrent import futures

import pytest

from bench import proxy
from test import node
from test.test_node import ask, wait_until

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
"""Start times of two runs, in Unix milliseconds."""

MAX_DURATION_S = 0.8
"""Time limit for a request to the previous run to end, in seconds.

It is less than the one second after which a replica is considered hung."""


def is_up(started: node.Platform) -> bool:
    return ask(started, "/safe/").status == 200


def is_used(started: node.Platform, name: str) -> bool:
    """Returns whether a replica is used under a load that fills the others."""
    with futures.ThreadPoolExecutor(2 * node.SLOTS) as pool:
        list(pool.map(lambda _: ask(started, "/safe/"), range(4 * node.SLOTS)))
    return bool(started.read_ledger(name)["runs"])


def test_replica_restarted_while_leaving_is_used() -> None:
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
def test_requests_at_ended_run_do_not_wait(
    path: str, method: str, statuses: set[int]
) -> None:
    # A partition simulates a power loss of the previous run: its connections
    # stay open and silent, and new ones are not answered.
    with node.run_platform(replicas=0) as started:
        started.start_replica("i-0", work_s=0.3)
        link = proxy.Proxy(started.replicas["i-0"])
        started.announced["i-0"] = link.address
        started.write_record("i-0", born=FIRST)
        wait_until(lambda: is_up(started) and link.passed_bytes > 0)
        started.move_replica("i-0", work_s=0.01)
        del started.announced["i-0"]
        with futures.ThreadPoolExecutor(1) as pool:
            pending = pool.submit(ask, started, path, method, b"x")
            time.sleep(0.1)
            link.partition(proxy.Partition.HANG)
            time.sleep(2 * proxy.TURN_S)
            started_at = time.monotonic()
            started.write_record("i-0", born=SECOND)
            response = pending.result()
            assert time.monotonic() - started_at < MAX_DURATION_S
        link.close()
        assert response.status in statuses

"""Request limits of servers whose records are removed and return.

Guards against this failure: owners forgot the limit that a server had named
when its record was removed, and sent as many requests at once as it has slots
when the record returned.
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from test import node
from test.test_node import ask, wait_until
from test.test_returning_service import OTHER, make_config

LIMIT_PER_S = 5
WINDOW_S = 0.15
"""A window in which one request is allowed, or two if late, in seconds."""

CALLERS = 8
ROUNDS = 3
AWAY_S = 1.2
BACK_S = 1.2


@contextlib.contextmanager
def send_steadily(started: node.Platform) -> Iterator[None]:
    """Sends more requests than the limit allows, at all VMs."""
    over = threading.Event()

    def send(vm: str) -> None:
        while not over.wait(0.02):
            ask(started, "/safe/", vm=vm)

    callers = [
        threading.Thread(target=send, args=(f"vm-{number % 2}",))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    try:
        yield
    finally:
        over.set()
        for caller in callers:
            caller.join()


def remove_and_return_record(started: node.Platform, number: int) -> None:
    started.remove_record("i-0")
    time.sleep(AWAY_S)
    started.write_record("i-0")


def remove_and_return_service(started: node.Platform, number: int) -> None:
    started.set_config(make_config(2 * number + 2, OTHER))
    time.sleep(AWAY_S)
    started.set_config(make_config(2 * number + 3, node.SERVICE))


@pytest.mark.parametrize(
    "change", [remove_and_return_record, remove_and_return_service]
)
def test_a_server_that_returns_keeps_its_limit(
    change: Callable[[node.Platform, int], None],
) -> None:
    with node.run_platform(vms=2, replicas=1) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", limits=[str(LIMIT_PER_S)])
        with send_steadily(started):
            time.sleep(BACK_S)
            began = time.clock_gettime(time.CLOCK_MONOTONIC)
            for number in range(ROUNDS):
                change(started, number)
                time.sleep(BACK_S)
        arrived = [
            at for at in started.read_ledger("i-0")["arrived"] if at > began
        ]
        assert len(arrived) >= ROUNDS * LIMIT_PER_S / 2
        most = max(
            sum(begin <= at < begin + WINDOW_S for at in arrived)
            for begin in arrived
        )
        assert most <= 2

"""A VM sends almost nothing to a server that requested a pause from it."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import callers, node

VMS = 3
PAUSING, OTHER = "i-0", "i-1"
REQUESTED_PAUSE_S = 3.0

PROPAGATION_S = 0.5
"""Time from a response that requests a pause until it holds, in seconds."""

MAX_REQUESTS_IN_PAUSE = 2
"""Requests that a VM may send to a server during a pause."""

WORK_S, SLOW_WORK_S = 0.01, 0.05
"""Time a request takes on the pausing server and on the slower other one, in
seconds; the faster server is preferred while requests may be sent to it."""

CALLERS_PER_VM = 5
"""Concurrent callers of each VM."""

LOAD_S = 8.0


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with callers.run_serving(VMS) as platform:
        yield platform


def refuse_requests(started: node.Platform, name: str, each: int = 1) -> None:
    """Makes a server refuse one in ``each`` requests and request a pause."""
    started.set_faults(
        name,
        refuse=True,
        refuse_each=each,
        pauses=[str(REQUESTED_PAUSE_S)],
        work_s=WORK_S,
    )


def get_max_requests_in_pause(started: node.Platform, name: str) -> int:
    """Returns the largest number of requests from one VM in one pause."""
    arrived = callers.list_logged(started, name, "arrived")
    counts = [
        sum(
            at + PROPAGATION_S < later <= at + REQUESTED_PAUSE_S
            and other.partition(".")[0] == request_id.partition(".")[0]
            for later, other in arrived
        )
        for at, request_id in callers.list_logged(started, name, "refused")
    ]
    assert counts
    return max(counts)


@pytest.mark.parametrize(
    ("path", "each", "per_vm"),
    [
        ("/safe/", 1, CALLERS_PER_VM),
        ("/safe/", 3, CALLERS_PER_VM),
        ("/once/", 3, CALLERS_PER_VM),
        # As many as the other server has slots for.
        ("/stream/", 3, 2),
    ],
)
def test_paused_server_gets_few_requests(
    started: node.Platform, path: str, each: int, per_vm: int
) -> None:
    with callers.Callers(started, path, per_vm) as load:
        started.set_faults(OTHER, work_s=SLOW_WORK_S)
        refuse_requests(started, PAUSING, each)
        time.sleep(LOAD_S)
    assert get_max_requests_in_pause(started, PAUSING) <= MAX_REQUESTS_IN_PAUSE
    served = [each for each in load.asked if each.status == 200]
    assert len(served) >= 0.9 * len(load.asked)


def test_servers_that_all_request_a_pause_get_few_requests(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/", CALLERS_PER_VM) as load:
        refuse_requests(started, PAUSING, 3)
        refuse_requests(started, OTHER, 3)
        time.sleep(LOAD_S)
        started.set_faults(PAUSING)
        started.set_faults(OTHER)
        time.sleep(REQUESTED_PAUSE_S + 1.0)
    assert get_max_requests_in_pause(started, PAUSING) <= MAX_REQUESTS_IN_PAUSE
    assert get_max_requests_in_pause(started, OTHER) <= MAX_REQUESTS_IN_PAUSE
    latest = sorted(load.asked, key=lambda each: each.sent_at)[-5:]
    assert {each.status for each in latest} == {200}
    refused = [each for each in load.asked if each.status == 503]
    assert refused
    assert all("retry-after" in each.headers for each in refused)


def test_pause_holds_after_loss_of_the_owner(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/", CALLERS_PER_VM) as load:
        started.set_faults(OTHER, work_s=SLOW_WORK_S)
        refuse_requests(started, PAUSING, 3)
        time.sleep(LOAD_S / 2)
        for vm in ("vm-2", "vm-1"):
            started.kill_vm(vm)
            time.sleep(LOAD_S / 4)
    assert get_max_requests_in_pause(started, PAUSING) <= MAX_REQUESTS_IN_PAUSE
    remaining = [each for each in load.asked if each.vm == "vm-0"]
    served = [each for each in remaining if each.status == 200]
    assert len(served) >= 0.9 * len(remaining)

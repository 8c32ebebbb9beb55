"""A VM sends no more requests to a server that told it that it is leaving."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import callers, node

VMS = 3
LEAVING, OTHER = "i-0", "i-1"

LEAVING_DELAY_S = 2.0
"""Time after a response with the leaving hint, in seconds; no request that its
caller sends later may reach the server."""

WORK_S, SLOW_WORK_S = 0.01, 0.05
"""Time a request takes on the leaving server and on the slower other one, in
seconds; the faster server is preferred while requests may be sent to it."""

LOAD_S = 6.0


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with callers.run_serving(VMS) as platform:
        yield platform


def list_late_requests(
    started: node.Platform, requests: list[callers.Asked]
) -> list[callers.Asked]:
    """Returns the requests that reached the leaving server after the delay."""
    arrived = {
        request_id
        for _, request_id in callers.list_logged(started, LEAVING, "arrived")
    }
    notified_at: dict[str, float] = {}
    for each in sorted(requests, key=lambda each: each.answered_at):
        if "server-leaving" in each.headers:
            notified_at.setdefault(each.vm, each.answered_at)
    assert notified_at
    return [
        each
        for each in requests
        if each.request_id in arrived
        and each.sent_at
        > notified_at.get(each.vm, float("inf")) + LEAVING_DELAY_S
    ]


def set_leaving(started: node.Platform) -> None:
    """Makes a server send the leaving hint, while its record stays ready."""
    started.set_faults(LEAVING, leaving=True, work_s=WORK_S)
    started.set_faults(OTHER, work_s=SLOW_WORK_S)


@pytest.mark.parametrize("path", ["/safe/", "/once/", "/stream/"])
def test_leaving_server_gets_no_request(
    started: node.Platform, path: str
) -> None:
    with callers.Callers(started, path) as load:
        set_leaving(started)
        time.sleep(LOAD_S)
    assert list_late_requests(started, load.asked) == []
    assert load.statuses == {200}


def test_leaving_server_gets_no_request_after_loss_of_its_owner(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/") as load:
        set_leaving(started)
        time.sleep(LOAD_S / 2)
        for vm in ("vm-2", "vm-1"):
            started.kill_vm(vm)
            time.sleep(LOAD_S / 2)
    assert list_late_requests(started, load.asked) == []
    remaining = [each for each in load.asked if each.vm == "vm-0"]
    assert {each.status for each in remaining} == {200}


def test_record_in_state_ready_does_not_restore_a_leaving_server(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/") as load:
        set_leaving(started)
        time.sleep(LOAD_S / 2)
        for _ in range(3):
            started.write_record(LEAVING, state="draining")
            time.sleep(LOAD_S / 8)
            started.write_record(LEAVING)
            time.sleep(LOAD_S / 8)
    assert list_late_requests(started, load.asked) == []
    assert load.statuses == {200}

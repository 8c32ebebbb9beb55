"""A server that says it is leaving gets nothing more from a VM that knows."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import callers, node

VMS = 3
LEAVING, OTHER = "i-0", "i-1"

DRAIN_S = 2.0
"""Time after an answer that says so until requests may not go there, in
seconds; they count from when their callers sent them."""

WORK_S, SLOW_WORK_S = 0.01, 0.05
"""Work of the leaving server and of the slower other one, in seconds: the
faster one is preferred as long as it may be."""

LOAD_S = 6.0


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with callers.run_serving(VMS) as platform:
        yield platform


def list_forbidden(
    started: node.Platform, asked: list[callers.Asked]
) -> list[callers.Asked]:
    """Returns the requests that reached the leaving server too late."""
    arrived = {
        request_id
        for _, request_id in callers.list_logged(started, LEAVING, "arrived")
    }
    told_at: dict[str, float] = {}
    for each in sorted(asked, key=lambda each: each.answered_at):
        if "server-leaving" in each.headers:
            told_at.setdefault(each.vm, each.answered_at)
    assert told_at
    return [
        each
        for each in asked
        if each.request_id in arrived
        and each.sent_at > told_at.get(each.vm, float("inf")) + DRAIN_S
    ]


def leave(started: node.Platform) -> None:
    """Has a server say in its answers that it leaves; its record does not."""
    started.set_faults(LEAVING, leaving=True, work_s=WORK_S)
    started.set_faults(OTHER, work_s=SLOW_WORK_S)


@pytest.mark.parametrize("path", ["/safe/", "/once/", "/stream/"])
def test_a_server_that_said_it_was_leaving_gets_no_request(
    started: node.Platform, path: str
) -> None:
    with callers.Callers(started, path) as load:
        leave(started)
        time.sleep(LOAD_S)
    assert list_forbidden(started, load.asked) == []
    assert load.statuses == {200}


def test_a_leaving_server_gets_no_request_after_its_owner_is_lost(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/") as load:
        leave(started)
        time.sleep(LOAD_S / 2)
        for vm in ("vm-2", "vm-1"):
            started.kill_vm(vm)
            time.sleep(LOAD_S / 2)
    assert list_forbidden(started, load.asked) == []
    lasting = [each for each in load.asked if each.vm == "vm-0"]
    assert {each.status for each in lasting} == {200}


def test_a_record_that_still_says_ready_brings_no_leaving_server_back(
    started: node.Platform,
) -> None:
    with callers.Callers(started, "/safe/") as load:
        leave(started)
        time.sleep(LOAD_S / 2)
        for _ in range(3):
            started.write_record(LEAVING, state="draining")
            time.sleep(LOAD_S / 8)
            started.write_record(LEAVING)
            time.sleep(LOAD_S / 8)
    assert list_forbidden(started, load.asked) == []
    assert load.statuses == {200}

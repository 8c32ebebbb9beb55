"""Requests of callers that disconnected do not reach a backend server later."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator

import pytest

from test import node, test_node

SETTLE_S = 0.5
"""How long requests may still arrive after their callers disconnected, in
seconds."""

MAX_LATE_REQUESTS = 3
"""Requests that may be dispatched while their callers are disconnecting."""


@pytest.fixture(scope="module")
def platform() -> Iterator[node.Platform]:
    """One VM with one replica that has four slots."""
    with node.run_platform(replicas=1) as started:
        test_node.wait_until(
            lambda: test_node.ask(started, "/safe/").status == 200
        )
        yield started


def send(platform: node.Platform, name: str, path: str) -> socket.socket:
    """Sends a request and returns its connection."""
    host, port = platform.vms["vm-0"]["front"].split(":")
    headers = test_node.make_headers(X_Request_Id=name)
    lines = [f"{key}: {value}" for key, value in headers.items()]
    head = "\r\n".join([f"GET {path} HTTP/1.1", *lines, "", ""])
    opened = socket.create_connection((host, int(port)), timeout=5)
    opened.sendall(head.encode())
    return opened


def test_a_caller_that_disconnected_while_its_vm_was_suspended_is_not_served(
    platform: node.Platform,
) -> None:
    vm = platform.processes["vm-0"]
    names = [f"frozen-{number}" for number in range(20)]
    vm.send_signal(signal.SIGSTOP)
    try:
        for name in names:
            send(platform, name, "/safe/").close()
        time.sleep(SETTLE_S)
    finally:
        vm.send_signal(signal.SIGCONT)
    test_node.wait_until(
        lambda: test_node.ask(platform, "/safe/").status == 200
    )
    time.sleep(SETTLE_S)
    late = set(names) & set(platform.list_runs())
    assert len(late) <= MAX_LATE_REQUESTS, sorted(late)


def test_a_caller_that_disconnected_while_queued_is_not_served(
    platform: node.Platform,
) -> None:
    platform.set_faults("i-0", work_s=1.0)
    names = {f"waiting-{number}" for number in range(16)}
    try:
        opened = [send(platform, name, "/safe/") for name in sorted(names)]
        time.sleep(0.3)
        ran = names & set(platform.list_runs())
        disconnected_us = {}
        for name, connection in zip(sorted(names), opened, strict=True):
            disconnected_us[name] = time.time_ns() // 1000
            connection.close()
        time.sleep(SETTLE_S + 1.5)
    finally:
        platform.set_faults("i-0")
    assert 1 <= len(ran) < len(names)
    # The callers disconnect one after the other: a request that got the slot of
    # a disconnected caller was dispatched before its own caller disconnected.
    late = (names & set(platform.list_runs())) - ran
    sent_us = read_dispatch_times(platform)
    assert [
        name for name in late if sent_us[name] >= disconnected_us[name]
    ] == []
    assert len(late) <= MAX_LATE_REQUESTS


def read_dispatch_times(platform: node.Platform) -> dict[str, int]:
    """Returns when requests were dispatched, in Unix microseconds."""
    events = (line.get("event") or {} for line in platform.read_log("vm-0"))
    return {
        event["subject"]: event["clock"]
        for event in events
        if event.get("kind") == "dispatch"
    }

"""Requests that arrive while a VM's process stands still.

Guards against this failure: a timer or a planned stop closed a connection whose
request lay unread in the socket, so that the caller got neither an answer nor a
refusal.
"""

from __future__ import annotations

import contextlib
import http.client
import pathlib
import signal
import socket
import time
from collections.abc import Iterator

import pytest

from ramptray.node import loop_monitor
from test import node
from test.test_node import make_headers, wait_until

IDLE_MS = 1000
REST_S = 0.7
"""How long connections rest before a request, in seconds: callers may take up
those that have rested for up to four fifths of the idle time."""

ROUND_TRIP_S = 0.15
"""How long an answer and the next request are on their way, in seconds."""

STOPPED_S = 0.7
LAME_DUCK_S = 3.0
CONNECTIONS = 4
GRACE_S = 5.0
LONG_STOP_S = 1.5
ROUNDS = 4
"""How often it is tried: which of the due timers comes first varies."""


@pytest.fixture
def platform(tmp_path: pathlib.Path) -> Iterator[node.Platform]:
    """One VM with one server, whose callers may idle for a second."""
    started = node.Platform(tmp_path)
    limits = {**node.make_config(1)["limits"], "idleTimeoutMs": IDLE_MS}
    try:
        started.start_store()
        started.set_config(node.make_config(1, limits=limits))
        started.start_replica("replica")
        started.start_vm("vm")
        yield started
    finally:
        started.stop_all()


def connect(started: node.Platform) -> list[http.client.HTTPConnection]:
    """Returns connections that have each carried a request."""
    host, port = started.vms["vm"]["front"].split(":")
    opened = [
        http.client.HTTPConnection(host, int(port), timeout=5)
        for _ in range(CONNECTIONS)
    ]
    for connection in opened:
        connection.request("POST", "/safe/", b"x", make_headers())
        assert connection.getresponse().read()
    return opened


def read_answers(opened: list[http.client.HTTPConnection]) -> list[int]:
    """Returns the status of each answer; 0 for none."""
    statuses = []
    for connection in opened:
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = connection.getresponse().status
        statuses.append(status)
        connection.close()
    return statuses


def list_lines(started: node.Platform, message: str) -> list[dict[str, object]]:
    """Returns the VM's log lines with a message."""
    return [
        line for line in started.read_log("vm") if line["message"] == message
    ]


def test_a_request_that_came_before_the_idle_timer_is_answered(
    platform: node.Platform,
) -> None:
    for _ in range(ROUNDS):
        opened = connect(platform)
        time.sleep(REST_S)
        with node.stop_process(platform, "vm", STOPPED_S):
            for connection in opened:
                connection.request("POST", "/safe/", b"x", make_headers())
        assert read_answers(opened) == [200] * CONNECTIONS


def test_a_request_that_was_sent_within_the_idle_time_is_answered(
    platform: node.Platform,
) -> None:
    # The VM counts from when it sent the answer; the caller's request was on
    # its way when the VM ended its side.
    *_, newest = connect(platform)
    time.sleep(IDLE_MS / 1000 + ROUND_TRIP_S)
    newest.request("POST", "/safe/", b"x", make_headers())
    assert read_answers([newest]) == [200]


def test_a_head_whose_rest_came_before_its_timer_is_answered(
    platform: node.Platform,
) -> None:
    for _ in range(ROUNDS):
        opened = connect(platform)
        for connection in opened:
            connection.sock.sendall(b"POST /safe/ HTTP/1.1\r\n")
        time.sleep(REST_S)
        with node.stop_process(platform, "vm", STOPPED_S):
            for connection in opened:
                headers = {**make_headers(), "Content-Length": "1"}
                lines = [
                    f"{name}: {text}\r\n" for name, text in headers.items()
                ]
                rest = "".join([*lines, "\r\nx"]).encode()
                connection.sock.sendall(rest)
        found = [
            connection.sock.recv(65536).partition(b"\r\n")[0]
            for connection in opened
        ]
        assert found == [b"HTTP/1.1 200 "] * CONNECTIONS


def test_a_request_that_came_before_a_planned_stop_is_answered(
    platform: node.Platform,
) -> None:
    platform.processes["vm"].send_signal(signal.SIGTERM)
    time.sleep(LAME_DUCK_S - STOPPED_S)
    opened = connect(platform)
    time.sleep(STOPPED_S / 2)
    with node.stop_process(platform, "vm", STOPPED_S):
        for connection in opened:
            connection.request("POST", "/safe/", b"x", make_headers())
    assert set(read_answers(opened)) <= {200, 503}


def test_each_of_several_requests_with_one_id_is_answered(
    platform: node.Platform,
) -> None:
    opened = connect(platform)
    headers = make_headers()
    for connection in opened:
        connection.request("POST", "/safe/", b"x", headers)
    assert 0 not in read_answers(opened)


def test_a_connection_that_a_caller_closes_is_not_logged(
    platform: node.Platform,
) -> None:
    opened = connect(platform)
    for connection in opened:
        connection.request(
            "POST", "/safe/", b"x", make_headers(Connection="close")
        )
    assert read_answers(opened) == [200] * CONNECTIONS
    time.sleep(0.2)
    assert list_lines(platform, "caller's connection closed") == []


def test_a_connection_that_a_vm_closes_is_logged(
    platform: node.Platform,
) -> None:
    opened = connect(platform)
    wait_until(lambda: bool(list_lines(platform, "caller's connection closed")))
    line, *_ = list_lines(platform, "caller's connection closed")
    assert line["reason"] == "idle"
    assert line["unread_bytes"] == 0
    assert line["requests"] == 1
    assert read_answers(opened) == [0] * CONNECTIONS


def test_a_process_that_stood_still_is_logged(platform: node.Platform) -> None:
    with node.stop_process(platform, "vm", STOPPED_S):
        pass
    wait_until(lambda: bool(list_lines(platform, "event loop late")))
    line, *_ = list_lines(platform, "event loop late")
    assert 0.2 <= float(str(line["delay_s"])) <= 2 * STOPPED_S


@pytest.fixture
def slow_platform(tmp_path: pathlib.Path) -> Iterator[node.Platform]:
    """One VM, which is killed soon after the signal to stop."""
    started = node.Platform(tmp_path)
    started.bounds["graceS"] = GRACE_S
    try:
        started.start_store()
        started.set_config(node.make_config(1))
        started.start_replica("replica", work_s=2 * GRACE_S)
        started.start_vm("vm")
        yield started
    finally:
        started.stop_all()


def test_a_vm_exits_in_time_although_the_signal_came_while_it_stood_still(
    slow_platform: node.Platform,
) -> None:
    # If the time to stop counted from when the process runs on, the platform
    # would kill it before it has refused what it holds.
    host, port = slow_platform.vms["vm"]["front"].split(":")
    fields = {**make_headers(), "Content-Length": "2"}
    lines = [f"{name}: {text}\r\n" for name, text in fields.items()]
    process = slow_platform.processes["vm"]
    with socket.create_connection((host, int(port)), timeout=0.1) as caller:
        head = "".join(["POST /safe/ HTTP/1.1\r\n", *lines, "\r\nx"])
        caller.sendall(head.encode())
        time.sleep(0.3)
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        killed_at = time.monotonic() + GRACE_S
        time.sleep(LONG_STOP_S)
        process.send_signal(signal.SIGCONT)
        received = b""
        while time.monotonic() < killed_at and not received:
            try:
                received = caller.recv(65536)
            except TimeoutError:
                continue
    assert received.startswith(b"HTTP/1.1 503 ")


@pytest.mark.parametrize("checks_first", [True, False])
def test_a_signal_may_have_come_since_the_event_loop_was_last_seen(
    checks_first: bool,
) -> None:
    # The check runs before or after the loop reads the signal.
    now = 10.0
    monitor = loop_monitor.LoopMonitor(lambda: now)
    monitor.begin()
    now += loop_monitor.CHECK_INTERVAL_S
    monitor.check()
    monitor.begin()
    assert monitor.find_earliest_arrival() == now
    seen_at = now
    now += loop_monitor.CHECK_INTERVAL_S + STOPPED_S
    if checks_first:
        monitor.check()
        monitor.begin()
    assert monitor.find_earliest_arrival() == seen_at

"""Limits of heads that change while a caller's connection is open.

Guards against this failure: a connection kept the limit that was in force when
it was opened, so heads within a higher limit got 431 until it closed.
"""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from test import node
from test.test_node import make_headers

HIGH_BYTES = 65536
LOW_BYTES = 8192


def make_config(version: int, **limits: int) -> dict[str, Any]:
    """Returns a configuration with other limits."""
    usual = node.make_config(1)["limits"]
    return node.make_config(version, limits={**usual, **limits})


def set_config(started: node.Platform, version: int, **limits: int) -> None:
    """Puts a configuration with other limits in force."""
    started.set_config(make_config(version, **limits))
    started.wait_for_config("vm-0", version)


@pytest.fixture
def caller() -> Iterator[tuple[node.Platform, socket.socket]]:
    """A VM with the low limit, and a connection that has carried a request."""
    with node.run_platform() as started:
        set_config(started, 2, maxHeaderBytes=LOW_BYTES)
        host, port = started.vms["vm-0"]["front"].split(":")
        with socket.create_connection((host, int(port)), timeout=5) as opened:
            assert ask_in_parts(opened, 100) == 200
            yield started, opened


def ask_in_parts(opened: socket.socket, size: int) -> int:
    """Sends a request whose head comes in two parts; returns its status."""
    fields = make_headers(Content_Length="0", X_Big="x" * size).items()
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    head = f"POST /safe/ HTTP/1.1\r\n{lines}\r\n".encode()
    opened.sendall(head[:-100])
    time.sleep(0.1)
    opened.sendall(head[-100:])
    response = http.client.HTTPResponse(opened)
    response.begin()
    response.read()
    return response.status


def test_a_higher_limit_of_heads_holds_on_open_connections(
    caller: tuple[node.Platform, socket.socket],
) -> None:
    started, opened = caller
    set_config(started, 3, maxHeaderBytes=HIGH_BYTES)
    assert ask_in_parts(opened, 2 * LOW_BYTES) == 200
    assert ask_in_parts(opened, HIGH_BYTES) == 431


def test_a_lower_limit_of_heads_holds_on_open_connections(
    caller: tuple[node.Platform, socket.socket],
) -> None:
    started, opened = caller
    set_config(started, 3, maxHeaderBytes=LOW_BYTES // 2)
    assert ask_in_parts(opened, LOW_BYTES // 2) == 431

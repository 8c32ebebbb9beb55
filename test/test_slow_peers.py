"""Callers and servers that are at work, but read nothing for two seconds.

Guards against this failure: ``TCP_USER_TIMEOUT`` of 0.6 s ended connections
whose peer had closed its receive window, about 1.1 s after it did so, although
the peer's kernel acknowledged each window probe.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import time
from collections.abc import Iterator
from typing import Any

import pytest

from test import node
from test.test_node import ask, make_headers, wait_until

PAUSE_S = 2.0
"""How long a peer does not read, in seconds: more than three times the limit
for unacknowledged bytes, and less than the time limit of the route."""

LARGE_BYTES = 12 * 1024 * 1024
"""More than the buffers of all kernels on the path hold."""


@contextlib.contextmanager
def run_with(**options: Any) -> Iterator[node.Platform]:
    """Runs one VM that takes large bodies, and a replica with options."""
    with node.run_platform(replicas=0) as started:
        limits = node.make_config(2)["limits"]
        started.set_config(
            node.make_config(2, limits={**limits, "maxBodyBytes": LARGE_BYTES})
        )
        started.start_replica("i-0", **options)
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        yield started


@pytest.mark.parametrize("path", ["/safe/", "/once/"])
def test_a_caller_that_pauses_gets_its_whole_answer(path: str) -> None:
    with run_with(padding_bytes=LARGE_BYTES) as started:
        host, port = started.vms["vm-0"]["front"].split(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=10)
        with contextlib.closing(caller):
            caller.request(
                "GET", path, headers=make_headers(X_Deadline_Ms="4000")
            )
            response = caller.getresponse()
            time.sleep(PAUSE_S)
            answer = node.Answer(response)
        assert answer.status == 200
        assert answer.whole
        assert len(answer.body) > LARGE_BYTES


@pytest.mark.parametrize("path", ["/safe/", "/once/"])
def test_a_server_that_pauses_gets_the_whole_body(path: str) -> None:
    with run_with(body_pause_s=PAUSE_S) as started:
        answer = ask(
            started,
            path,
            "POST",
            bytes(LARGE_BYTES),
            headers={"X-Deadline-Ms": "4000"},
        )
        assert answer.status == 200
        assert json.loads(answer.body)["bytes"] == LARGE_BYTES

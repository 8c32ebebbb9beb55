"""Answers that wait for a caller to read on while the VM stands still.

Guards against this failure: the kernel ends a connection whose peer's window
stays closed unless the VM moves the limit on, so a standstill of the VM cut the
answer of a caller that read slowly, though the caller's machine had answered
all probes.
"""

from __future__ import annotations

import contextlib
import socket
import time

import pytest

from test import node
from test.test_node import ask, make_headers, wait_until

ANSWER_BYTES = 8 * 1024 * 1024
"""Size of an answer that the buffers of both ends do not hold."""

UNREAD_S = 2.0
"""Seconds for which the caller reads nothing."""


def receive_slowly(started: node.Platform, stopped_s: float) -> int:
    """Returns how many bytes a caller gets that pauses while the VM may, too.

    Args:
        started: The deployment.
        stopped_s: Seconds for which the VM stands still meanwhile.
    """
    host, port = started.vms["vm-0"]["front"].split(":")
    lines = "".join(f"{k}: {v}\r\n" for k, v in make_headers().items())
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.settimeout(10)
        caller.connect((host, int(port)))
        caller.sendall(f"GET /safe/ HTTP/1.1\r\n{lines}\r\n".encode())
        size = len(caller.recv(1000))
        began = time.monotonic()
        if stopped_s:
            time.sleep(0.1)
            with node.stop_process(started, "vm-0", stopped_s):
                pass
        time.sleep(UNREAD_S - (time.monotonic() - began))
        with contextlib.suppress(OSError):
            while size < ANSWER_BYTES and (part := caller.recv(65536)):
                size += len(part)
    return size


@pytest.mark.parametrize("stopped_s", [0.0, 1.7])
def test_a_caller_that_reads_on_after_a_standstill_gets_its_answer(
    stopped_s: float,
) -> None:
    with node.run_platform(replicas=0) as started:
        started.start_replica("i-0", padding_bytes=ANSWER_BYTES)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        assert receive_slowly(started, stopped_s) >= ANSWER_BYTES

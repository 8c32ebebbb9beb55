"""Probes of backend servers by a VM that stands still meanwhile.

Guards against this failure: the VM's own standstill used up the time for which
a new connection is watched, so a server that had closed it, as one that is
ending does, counted as listening.  An answer that had ended with its server
then counted as complete.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import threading
import time
from collections.abc import Iterator
from types import FrameType

import pytest

from ramptray.relay import backend_probe
from test.test_late_arrivals import get_target, listen

OPENED_S = 0.01
"""Time from the accept until the process stands still, in seconds: within
``backend_probe.CLOSE_WATCH_S``."""

STOPPED_S = 0.2


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


def stand_still(number: int, frame: FrameType | None) -> None:
    """Interrupts the wait of the event loop, as SIGSTOP and SIGCONT do."""
    time.sleep(STOPPED_S)


@contextlib.contextmanager
def close_meanwhile(listening: socket.socket) -> Iterator[None]:
    """Closes each connection while the event loop's thread stands still."""
    loop_thread = threading.get_ident()
    former = signal.signal(signal.SIGUSR1, stand_still)

    def serve() -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = listening.accept()
                time.sleep(OPENED_S)
                signal.pthread_kill(loop_thread, signal.SIGUSR1)
                time.sleep(STOPPED_S / 4)
                accepted.close()

    server = threading.Thread(target=serve)
    server.start()
    try:
        yield
    finally:
        listening.shutdown(socket.SHUT_RDWR)
        server.join()
        signal.signal(signal.SIGUSR1, former)


@pytest.mark.anyio
async def test_a_close_that_came_while_the_process_stood_still_is_seen() -> (
    None
):
    with listen() as listening, close_meanwhile(listening):
        found = await backend_probe.probe_backend(get_target(listening).address)
        await asyncio.sleep(OPENED_S)
    assert found is backend_probe.ProbeResult.CLOSING

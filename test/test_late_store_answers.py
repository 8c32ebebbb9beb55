"""Answers of the store that arrive while the VM stands still.

Guards against this failure: a VM that had stood still took its own delay for an
outage of the store, after which it keeps servers whose records are removed for
longer.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import threading
import time

import pytest

from ramptray.log import hedging
from test.test_late_probes import stand_still

CALL_S = 0.02
"""Time from the call until the process stands still, in seconds."""


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


@pytest.mark.anyio
async def test_an_answer_that_came_while_the_process_stood_still_is_not_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(hedging, "HEDGE_DELAY_S", 2 * CALL_S)
    here, there = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=here)
    former = signal.signal(signal.SIGUSR1, stand_still)
    loop_thread = threading.get_ident()

    def answer() -> None:
        time.sleep(CALL_S)
        signal.pthread_kill(loop_thread, signal.SIGUSR1)
        time.sleep(CALL_S)
        there.sendall(b"x")

    store = threading.Thread(target=answer)
    overdue: list[str] = []
    call = hedging.HedgedCall[bytes](overdue.append)
    try:
        store.start()
        assert await call.run(lambda: reader.readexactly(1)) == b"x"
    finally:
        store.join()
        signal.signal(signal.SIGUSR1, former)
        writer.close()
        there.close()
    assert overdue == []

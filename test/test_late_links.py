"""Connections to other VMs that open while a VM's process stands still.

Guards against this failure: the timer of the attempt ran before the answer of
the other VM was read, so that the attempt counted as failed.
"""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time

SETTINGS_FRAME = bytes([0, 0, 0, 4, 0, 0, 0, 0, 0])
"""What a server of HTTP/2 sends first; the connection is then open."""

STOPPED_S = 0.6
"""How long the process stands still, in seconds: longer than an attempt."""

ROUNDS = 6
"""How often it is tried: gRPC reads its sockets in threads of its own."""

CONNECT = """
import asyncio, sys
import grpc
from ramptray.peer import link

async def connect(port):
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")
    print((await link._wait_connected(channel, 0.2)).name)
    await channel.close()

asyncio.run(connect(sys.argv[1]))
"""


def connect_while_standing(listening: socket.socket) -> str:
    """Returns the state in which a process sees its attempt end."""
    port = listening.getsockname()[1]
    with subprocess.Popen(
        [sys.executable, "-c", CONNECT, str(port)], stdout=subprocess.PIPE
    ) as process:
        accepted, _ = listening.accept()
        with accepted:
            time.sleep(0.02)
            process.send_signal(signal.SIGSTOP)
            accepted.sendall(SETTINGS_FRAME)
            time.sleep(STOPPED_S)
            process.send_signal(signal.SIGCONT)
            assert process.stdout is not None
            return process.stdout.read().decode().strip()


def test_a_connection_that_opened_during_a_standstill_is_used() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        states = [connect_while_standing(listening) for _ in range(ROUNDS)]
    assert states == ["READY"] * ROUNDS

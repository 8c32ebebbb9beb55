"""Finds out what became of a backend server whose connection has broken."""

from __future__ import annotations

import enum
import socket

import anyio

CONNECT_TIMEOUT_S = 0.06
"""How long a look may take, in seconds: an address where nothing listens says
so within a round trip of some milliseconds, on a slow VM some ten."""

CLOSE_WATCH_S = 0.02
"""How long a new connection is watched, in seconds: of a program that ends the
kernel closes one socket after the other, perhaps the listening one last."""


class ProbeResult(enum.Enum):
    """What a new connection says of a backend server.

    Attributes:
        GONE: Nothing listens at its address: its program has ended.
        LISTENING: It takes connections.
        SILENT: It says nothing: it, its machine or the way there is lost.
    """

    GONE = "gone"
    LISTENING = "there"
    SILENT = "silent"


async def probe_backend(address: str) -> ProbeResult:
    """Opens a connection to a backend server and closes it again.

    A reset, a fault of the network and a program that has ended look alike on
    the connection that broke; a new one tells them apart.

    Args:
        address: IP number and port of the backend server.
    """
    result = await _try_to_connect(address)
    if result is None:
        result = await _try_to_connect(address)
    return result or ProbeResult.SILENT


async def _try_to_connect(address: str) -> ProbeResult | None:
    """Returns what a connection says; None where it was closed at once."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except (TimeoutError, socket.gaierror):
        return ProbeResult.SILENT
    except OSError as error:
        return _classify_error(error)
    try:
        with anyio.move_on_after(CLOSE_WATCH_S):
            await stream.receive(1)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    finally:
        await anyio.aclose_forcefully(stream)
    return ProbeResult.LISTENING


def _classify_error(error: OSError) -> ProbeResult:
    """Returns what a failed connection says; anyio hides the cause in it."""
    causes = [error, error.__cause__, error.__context__]
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return ProbeResult.GONE
    return ProbeResult.SILENT

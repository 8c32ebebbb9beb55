"""Probes a backend server after a connection to it has broken."""

from __future__ import annotations

import enum
import itertools
import socket

import anyio

from ramptray import connecting, steadyclock
from ramptray import deadline as deadlines

CONNECT_TIMEOUT_S = 0.06
"""Longest time to open the probe connection, in seconds.  An address without a
listener refuses within a round trip of a few milliseconds, or about 10 ms on
a slow VM."""

CLOSE_WATCH_S = 0.02
"""How long the new connection is watched for a close, in seconds.  When a
process ends, the kernel closes its sockets one by one, possibly the listening
socket last."""


CONFIRM_TIMEOUT_S = 0.5
"""Longest time to find out for certain whether a server has ended, in seconds.
A probe of a busy VM times out although its answer has arrived."""

MIN_PROBES = 3
"""Probes before a server counts as uncertain, however late this VM is: one long
turn of the event loop can use up the time."""

CONFIRM_PAUSE_S = 0.03
"""Pause before the next probe of a server that is not certain, in seconds."""


class ProbeResult(enum.Enum):
    """What a new connection shows about a backend server.

    Attributes:
        GONE: Nothing listens at its address; its process has ended.
        LISTENING: It accepts connections.
        CLOSING: It closes new connections at once; it has too many of them, or
            it is ending.
        SILENT: It does not respond; the server, its machine or the network
            path has failed.
        UNKNOWN: This VM lacked a descriptor for the connection.
    """

    GONE = "gone"
    LISTENING = "there"
    CLOSING = "closing"
    SILENT = "silent"
    UNKNOWN = "unknown"


async def probe_backend(address: str, delay_s: float = 0.0) -> ProbeResult:
    """Opens a connection to a backend server and closes it again.

    On the broken connection a reset, a network fault and an ended process look
    the same; a new connection distinguishes them.

    Args:
        address: IP number and port of the backend server.
        delay_s: One-way delay to its region in seconds; 0 within the region.
    """
    timeout_s = CONNECT_TIMEOUT_S + 2 * delay_s
    result = await _try_to_connect(address, timeout_s)
    if result is None:
        result = await _try_to_connect(address, timeout_s)
    return result or ProbeResult.CLOSING


async def confirm_presence(address: str, delay_s: float = 0.0) -> ProbeResult:
    """Probes a backend server until it is certain that it runs or has ended.

    Args:
        address: See ``probe_backend``.
        delay_s: See ``probe_backend``.

    Returns:
        The last result; CLOSING or SILENT if it stayed uncertain for
        ``CONFIRM_TIMEOUT_S``.
    """
    deadline = steadyclock.read() + CONFIRM_TIMEOUT_S + 2 * delay_s
    certain = (ProbeResult.GONE, ProbeResult.LISTENING)
    for number in itertools.count(1):
        found = await probe_backend(address, delay_s)
        is_over = number >= MIN_PROBES and steadyclock.read() >= deadline
        if found in certain or is_over:
            break
        await anyio.sleep(CONFIRM_PAUSE_S)
    return found


async def _try_to_connect(address: str, timeout_s: float) -> ProbeResult | None:
    """Returns the result of one connection; None if it was closed at once."""
    try:
        host, port = connecting.split_address(address)
        with (
            deadlines.fail_after(timeout_s),
            connecting.translate_errors(address),
        ):
            stream = await anyio.connect_tcp(host, port)
    except (TimeoutError, socket.gaierror):
        return ProbeResult.SILENT
    except OSError as error:
        return _classify_error(error)
    try:
        with deadlines.move_on_after(CLOSE_WATCH_S):
            await stream.receive(1)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return None
    finally:
        await anyio.aclose_forcefully(stream)
    return ProbeResult.LISTENING


def _classify_error(error: OSError) -> ProbeResult:
    """Returns the result for a failed connection.

    anyio wraps the original error, so its cause and context are checked too.
    """
    if connecting.is_local_shortage(error):
        return ProbeResult.UNKNOWN
    causes = [error, error.__cause__, error.__context__]
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return ProbeResult.GONE
    return ProbeResult.SILENT

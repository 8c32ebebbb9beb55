"""Bytes without end that a faulty replica writes instead of a response."""

from __future__ import annotations

import dataclasses

import anyio
import anyio.abc

from ramptray.platform import header

PART_BYTES = 64 * 1024
"""Bytes that are written at once where there is no pause."""

MAX_FLOOD_S = 20.0
"""Longest time for which a replica writes, in seconds."""


@dataclasses.dataclass(frozen=True)
class Flood:
    """What a replica writes.

    Attributes:
        begin: Bytes before the part without end; ``%ID%`` stands for the id of
            the request, ``%SIGNATURE%`` for the replica's signature.
        part: Bytes that are repeated until the caller closes.
        pause_s: Pause after each part, in seconds.
    """

    begin: bytes
    part: bytes
    pause_s: float = 0.0


_ID = header.REQUEST_ID + b": %ID%\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n" + _ID + header.SIGNATURE + b": %SIGNATURE%\r\n"
_OTHER_HEAD = b"HTTP/1.1 200 OK\r\n" + header.REQUEST_ID + b": other\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENTS = b"Content-Type: text/event-stream\r\n"
_WHOLE = _HEAD + b"Content-Length: 2\r\n\r\n{}"

FLOODS = {
    "noise": Flood(b"", bytes(range(256))),
    "endless_line": Flood(b"HTTP/1.1 200 ", b"a" * 1024),
    "headers": Flood(_HEAD, b"X-More: 1\r\n"),
    "header_value": Flood(_HEAD + b"X-More: ", b"a" * 1024),
    "interim": Flood(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "slow_headers": Flood(_HEAD, b"X-More: 1\r\n", 0.1),
    "slow_interim": Flood(b"", b"HTTP/1.1 102 Processing\r\n\r\n", 0.1),
    "after": Flood(_WHOLE, b"a" * 1024),
    "slow_after": Flood(_WHOLE, b"a" * 64, 0.05),
    "chunk_line": Flood(_HEAD + _CHUNKED, b"0" * 1024),
    "trailers": Flood(_HEAD + _CHUNKED + b"0\r\n", b"X-More: 1\r\n"),
    "body": Flood(_HEAD + b"\r\n", b"a" * 1024),
    "chunks": Flood(_HEAD + _CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    "small_chunks": Flood(_HEAD + _CHUNKED, b"1\r\na\r\n"),
    "event": Flood(
        _HEAD + _EVENTS + _CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"
    ),
    "refusal": Flood(
        b"HTTP/1.1 503 Full\r\n"
        + _ID
        + header.NOT_EXECUTED
        + b": 1\r\n"
        + _CHUNKED,
        b"400\r\n" + b"a" * 1024 + b"\r\n",
    ),
    "failure": Flood(
        b"HTTP/1.1 500 Failed\r\n" + _ID + _CHUNKED,
        b"400\r\n" + b"a" * 1024 + b"\r\n",
    ),
    "other_chunks": Flood(
        _OTHER_HEAD + _CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"
    ),
    "other_responses": Flood(b"", _OTHER_HEAD + b"Content-Length: 0\r\n\r\n"),
}
"""Floods by name."""


async def write(
    stream: anyio.abc.SocketStream, name: str, request_id: str, signature: str
) -> None:
    """Writes until the caller closes the connection.

    Raises:
        anyio.BrokenResourceError: The caller has closed it.
    """
    chosen = FLOODS[name]
    begin = chosen.begin.replace(b"%ID%", request_id.encode())
    await stream.send(begin.replace(b"%SIGNATURE%", signature.encode()))
    count = 1 if chosen.pause_s else max(1, PART_BYTES // len(chosen.part))
    with anyio.move_on_after(MAX_FLOOD_S):
        while True:
            await stream.send(chosen.part * count)
            await anyio.sleep(chosen.pause_s)

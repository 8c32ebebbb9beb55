"""HTTP server for the load balancer's readiness probe and the metrics.

It uses only an HTTP parser: loading a web framework would double the time that
a killed process needs to restart.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
import anyio.lowlevel
import h11
import msgspec

from ramptray import steadyclock
from ramptray.relay import socket_stream as streams

CONNECTION_TIMEOUT_S = 30.0
"""Longest time that a connection waits for requests, or that a response may
take to be sent, in seconds."""

MAX_CONNECTIONS = 8
"""Number of connections that are kept open.  The load balancer and the
collector of metrics need one each."""

READ_BYTES = 16 * 1024
"""Largest read, in bytes: the largest head that the parser accepts."""

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class Page(msgspec.Struct, frozen=True):
    """The response for one path.

    Attributes:
        status: HTTP status code.
        text: Response body.
    """

    status: int
    text: str


class ProbeServer:
    """Serves a fixed set of pages.

    Args:
        pages: For each path, the function that makes its page.
    """

    def __init__(self, pages: dict[str, Callable[[], Page]]) -> None:
        self._pages = pages
        # Open connections, in the order of their last requests.
        self._open: dict[streams.SocketStream, None] = {}

    async def handle(self, stream: streams.SocketStream) -> None:
        """Serves a connection until it is closed or times out.

        If there are too many, the one that has waited longest ends.
        """
        http = h11.Connection(h11.SERVER)
        ends_at = steadyclock.read() + CONNECTION_TIMEOUT_S
        self._open[stream] = None
        stream.max_read_bytes = READ_BYTES
        for oldest in itertools.islice(
            self._open, max(0, len(self._open) - MAX_CONNECTIONS)
        ):
            # Its client may write without end, or leave answers unread.
            oldest.close()
        try:
            while await self._serve_request(http, stream, ends_at):
                http.start_next_cycle()
                self._open[stream] = self._open.pop(stream)
                # Requests that were sent ahead must not hold up others.
                await anyio.lowlevel.checkpoint()
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.RemoteProtocolError,
        ):
            # The client closed the connection or sent invalid HTTP, or its time
            # is over and nothing has arrived.
            pass
        finally:
            self._open.pop(stream)
            stream.flush_and_close()

    async def _serve_request(
        self,
        http: h11.Connection,
        stream: streams.SocketStream,
        ends_at: float,
    ) -> bool:
        """Serves a request; returns whether another one may follow.

        Args:
            http: The parser.
            stream: The connection.
            ends_at: When to wait no longer, in seconds of the steady clock.
        """
        target = ""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                left_s = max(0.0, ends_at - steadyclock.read())
                http.receive_data(await stream.receive(left_s))
            elif isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
                if any(
                    name in _BODY_HEADERS and value != b"0"
                    for name, value in event.headers
                ):
                    # The connection closes, so the body need not be read.
                    break
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        make_page = self._pages.get(target)
        page = make_page() if make_page else Page(NOT_FOUND, "no such page\n")
        await stream.send(_format(http, page), CONNECTION_TIMEOUT_S)
        reusable = http.our_state is h11.DONE and http.their_state is h11.DONE
        return bool(reusable)


def _format(http: h11.Connection, page: Page) -> bytes:
    body = page.text.encode()
    head = h11.Response(
        status_code=page.status,
        headers=[
            (b"Content-Type", b"text/plain; charset=utf-8"),
            (b"Content-Length", str(len(body)).encode()),
        ],
    )
    return b"".join(
        http.send(part) or b""
        for part in (head, h11.Data(data=body), h11.EndOfMessage())
    )

"""Answers the balancer's questions and serves the metrics, over plain HTTP.

A web framework would double the time in which a killed process is back, so the
two paths are served on the HTTP parser alone.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11
import msgspec

from ramptray.relay import socket_stream as streams

IDLE_S = 30.0
"""How long a probe's connection may be idle, in seconds."""

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class Page(msgspec.Struct, frozen=True):
    """What is answered on one path.

    Attributes:
        status: HTTP status.
        text: The body.
    """

    status: int
    text: str


class ProbeServer:
    """Serves a few pages by their paths.

    Args:
        pages: Makes the page of each path.
    """

    def __init__(self, pages: dict[str, Callable[[], Page]]) -> None:
        self._pages = pages

    async def handle(self, stream: streams.SocketStream) -> None:
        """Serves one connection until it ends."""
        http = h11.Connection(h11.SERVER)
        try:
            with anyio.move_on_after(IDLE_S):
                while await self._serve_one(http, stream):
                    http.start_next_cycle()
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            h11.RemoteProtocolError,
        ):
            pass  # Whoever asked has gone, or does not speak HTTP.
        finally:
            stream.flush_and_close()

    async def _serve_one(
        self, http: h11.Connection, stream: streams.SocketStream
    ) -> bool:
        """Serves one request; returns whether another one may follow."""
        target = ""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                target = event.target.decode("latin-1").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        make = self._pages.get(target)
        page = make() if make else Page(NOT_FOUND, "no such page\n")
        await stream.send(_format(http, page), IDLE_S)
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        return bool(done)


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

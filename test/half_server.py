"""A server that breaks its response off at a given byte."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from typing import Self

BODY = b'{"path":"/safe/","bytes":0}'
_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection."""


def make_response(framing: str) -> bytes:
    """Returns a whole response.

    Args:
        framing: ``length``, ``chunks`` or ``close``: what tells its end.
    """
    framed = {
        "length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
        "chunks": (
            b"Transfer-Encoding: chunked\r\n",
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
        ),
        "close": (b"Connection: close\r\n", BODY),
    }
    header, body = framed[framing]
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"X-Response-Signature: half\r\n" + header + b"\r\n" + body
    )


class HalfServer:
    """Sends the beginning of a response to each request, and then closes.

    Args:
        response: The whole response.
        size: How many of its bytes are sent.
        resets: Whether it resets the connection.
        silent_s: How long it sends nothing before it closes, in seconds.

    Attributes:
        address: Its address.
        requests: Number of requests that have arrived.
    """

    def __init__(
        self, response: bytes, size: int, resets: bool, silent_s: float = 0.0
    ) -> None:
        self._sent = response[:size]
        self._resets = resets
        self._silent_s = silent_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.requests = 0

    def __enter__(self) -> Self:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            received = b""
            while b"\r\n\r\n" not in received:
                part = connection.recv(65536)
                if not part:
                    return
                received += part
            self.requests += 1
            connection.sendall(self._sent)
            time.sleep(self._silent_s)
            if self._resets:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )

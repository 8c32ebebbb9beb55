"""Bytes of connections that the kernel keeps until they are read.

They count as memory of the process that is to read them, and thousands of
connections may have some.  This module may import only the standard library.
"""

from __future__ import annotations

import socket

BYTES = 24 * 1024
"""What a connection asks for, in bytes; the kernel keeps up to 40 KB."""

LARGE_BYTES = 64 * 1024
"""What a connection with a large body asks for, in bytes: 640 KB a second if a
round trip takes 0.1 s."""


def limit(sock: socket.socket, size: int = BYTES) -> None:
    """Limits what the kernel keeps.

    Args:
        sock: A connection, or a listening socket, whose connections inherit it.
        size: The limit, in bytes.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

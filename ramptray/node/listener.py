"""Listening sockets that can be opened before the program is loaded.

This module may import only the standard library, and what does so too.
"""

from __future__ import annotations

import socket

from ramptray import receive_buffer

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

_EARLY_SOCKETS: dict[str, socket.socket] = {}
"""Sockets opened by ``open_early``, by address."""


def open_early(address: str) -> None:
    """Opens a listening socket that ``open_socket`` will return.

    Raises:
        OSError: The address cannot be bound.
    """
    _EARLY_SOCKETS[address] = open_socket(address)


def open_socket(address: str) -> socket.socket:
    """Returns the socket that ``open_early`` opened, or a new listening one.

    Raises:
        OSError: The address cannot be bound.
    """
    if address in _EARLY_SOCKETS:
        return _EARLY_SOCKETS.pop(address)
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    receive_buffer.limit(listener)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener

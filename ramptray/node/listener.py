"""Sockets that callers connect to, opened before the program is loaded.

This module must import nothing but the standard library.
"""

from __future__ import annotations

import socket

BACKLOG = 1024
"""Connections that may wait to be accepted."""

_OPENED: dict[str, socket.socket] = {}
"""Sockets that were opened early, by their addresses."""


def open_early(where: str) -> None:
    """Opens a listening socket that ``open_socket`` will return.

    Raises:
        OSError: The address cannot be had.
    """
    _OPENED[where] = open_socket(where)


def open_socket(where: str) -> socket.socket:
    """Returns a listening socket, the one opened early if there is one.

    Raises:
        OSError: The address cannot be had.
    """
    if where in _OPENED:
        return _OPENED.pop(where)
    host, _, port = where.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((host, int(port)))
    opened.listen(BACKLOG)
    opened.setblocking(False)
    return opened

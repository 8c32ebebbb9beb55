"""Starts ``ramptray-node``: opens the callers' socket, then loads the program.

Loading takes most of a second of a small VM.  Callers that connect meanwhile
wait in the socket's queue instead of being refused.  So this module must import
nothing but the standard library before the socket is open.
"""

from __future__ import annotations

import socket
import sys

from ramptray.platform import address

BACKLOG = 1024
"""Connections that may wait to be accepted."""

OPENED: dict[str, socket.socket] = {}
"""Sockets that were opened early, by their addresses."""


def open_socket(where: str) -> socket.socket:
    """Returns a listening socket, the one opened early if there is one.

    Raises:
        OSError: The address cannot be had.
    """
    if where in OPENED:
        return OPENED.pop(where)
    host, _, port = where.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def run() -> None:
    """Opens the callers' socket and runs the program."""
    try:
        callers = address.read_callers_address()
        if callers is not None:
            OPENED[callers] = open_socket(callers)
    except OSError as error:
        # The program tries again and says what is wrong.
        print(f"callers' socket not opened early: {error}", file=sys.stderr)
    from ramptray.node import main

    main.run()


if __name__ == "__main__":
    # The program must find the sockets in the module of this name.
    from ramptray.node import start

    start.run()

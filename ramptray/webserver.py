"""Serves an ASGI application with uvicorn inside an anyio process."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette import types

from ramptray import settings

BACKLOG = 1024
"""Connections that may wait to be accepted."""


class _Server(uvicorn.Server):
    """Leaves signals to the process, which knows what a stop must wait for."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind(address: str) -> socket.socket:
    """Returns a socket that is bound to the address and listens.

    Raises:
        OSError: The address cannot be had.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(settings.split_address(address))
    listener.listen(BACKLOG)
    return listener


def make_server(
    app: types.ASGIApp,
    header_bytes: int = 64 * 1024,
) -> uvicorn.Server:
    """Returns a server; ``server.serve(sockets=[...])`` runs it.

    Args:
        app: The application.
        header_bytes: Largest request head.
    """
    config = uvicorn.Config(
        app,
        lifespan="off",
        http="h11",
        ws="none",
        log_config=None,
        access_log=False,
        server_header=False,
        h11_max_incomplete_event_size=header_bytes,
        timeout_keep_alive=30,
        backlog=BACKLOG,
    )
    return _Server(config)

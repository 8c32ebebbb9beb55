"""Serves an ASGI application with uvicorn in an anyio event loop."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette import types

from ramptray import receive_buffer, settings
from ramptray.caller import memory, protocol

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


class _Server(uvicorn.Server):
    """Leaves signals to the process, which waits for running work at a stop."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind(address: str) -> socket.socket:
    """Returns a socket that listens on the address.

    Raises:
        OSError: The address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    receive_buffer.limit(listener)
    listener.bind(settings.split_address(address))
    listener.listen(BACKLOG)
    return listener


def make_server(
    app: types.ASGIApp,
    header_bytes: int = 64 * 1024,
    pool: memory.CallerPool | None = None,
) -> uvicorn.Server:
    """Returns a server, to be run by ``server.serve(sockets=[...])``.

    Args:
        app: ASGI application.
        header_bytes: Largest request head, in bytes.
        pool: Where connections count; None for nowhere.
    """
    config = uvicorn.Config(
        app,
        lifespan="off",
        http=protocol.make_protocol_factory(pool),
        ws="none",
        log_config=None,
        access_log=False,
        server_header=False,
        h11_max_incomplete_event_size=header_bytes,
        timeout_keep_alive=30,
        backlog=BACKLOG,
    )
    return _Server(config)

"""Serves peers in a process of its own, for tests over a distance."""

from __future__ import annotations

import sys

import anyio

from ramptray.peer import server as peer_server
from test import test_attachment


async def serve(address: str) -> None:
    """Serves on an address until the process is ended."""
    server = peer_server.PeerServer(
        test_attachment.EmptyViewServer(), test_attachment.make_clock(), None
    )
    await server.start(address)
    print("ready", flush=True)
    await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(serve, sys.argv[1])

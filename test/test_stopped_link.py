"""Closing a link must not cancel its sibling tasks.

When a VM closed its link to another one, the gRPC channel raised its own
cancellation error out of the pending read.  The cancelled scope did not
recognise it, so the whole task group ended, including the task that sends
requests to schedulers: 187 requests waited until their deadlines.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from bench import ports
from ramptray.core import clock
from ramptray.peer import attachment
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.peer import server as peer_server
from test.test_attachment import HELLO, EmptyViewServer

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.usefixtures("grpc_queue_closed"),
]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class UnresponsiveServer(EmptyViewServer):
    """Never responds to unary calls."""

    async def answer(self, request: Any) -> Any:
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def serve(
    handler: peer_link.Handler,
) -> AsyncIterator[tuple[str, peer_link.PeerClient]]:
    """Starts a server; yields its address and a client."""
    hybrid_clock = clock.HybridClock(lambda: 0)
    address = f"127.0.0.1:{ports.reserve_port()}"
    server = peer_server.PeerServer(handler, hybrid_clock, None)
    await server.start(address)
    client = peer_link.PeerClient(hybrid_clock, None)
    try:
        yield address, client
    finally:
        await client.close()
        await server.stop()


async def count_ticks() -> int:
    """Returns how often a sibling task runs."""
    ticks = 0
    for _ in range(5):
        await anyio.sleep(0.05)
        ticks += 1
    return ticks


async def test_stopping_a_link_does_not_cancel_sibling_tasks() -> None:
    send, receive = anyio.create_memory_object_stream[Any](100)
    ticks = 0
    async with serve(EmptyViewServer()) as (address, client):
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                link = attachment.Attachment(
                    address, HELLO, client, send.send_nowait
                )
                tasks.start_soon(link.run)
                assert isinstance(
                    await receive.receive(), attachment.LinkOpened
                )
                link.stop()
                ticks = await count_ticks()
                tasks.cancel_scope.cancel()
    assert ticks == 5


async def test_cancelling_a_call_does_not_cancel_sibling_tasks() -> None:
    scope = anyio.CancelScope()
    ticks = 0
    async with serve(UnresponsiveServer()) as (address, client):

        async def ask() -> None:
            with scope:
                await client.ask(address, peer_message.AskStatus(), 5.0)

        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.3)
                scope.cancel()
                ticks = await count_ticks()
                tasks.cancel_scope.cancel()
    assert ticks == 5

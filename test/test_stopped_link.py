"""A link that is stopped must not end the tasks beside it.

A VM that lost another one from its view stopped its link to it.  The channel
raised a cancellation of its own out of the read that waited; the scope that had
been cancelled did not take it for its own, and it ended the whole group: the
task that hands requests to schedulers, for good.  Seen on small VMs: their last
"request" came at 1.5 to 2.4 s, right after "owner is silent", while "refused"
for unknown routes went on to the end; 187 requests waited to their deadlines.
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

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Slow(EmptyViewServer):
    """Does not answer questions."""

    async def answer(self, question: Any) -> Any:
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def serve(
    handler: peer_link.Handler,
) -> AsyncIterator[tuple[str, peer_link.PeerClient]]:
    """Serves a peer; yields its address and a client for it."""
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


async def count_beats() -> int:
    """Returns how often a task beside the others goes on."""
    beats = 0
    for _ in range(5):
        await anyio.sleep(0.05)
        beats += 1
    return beats


async def test_a_stopped_link_leaves_the_tasks_beside_it_alone() -> None:
    send, receive = anyio.create_memory_object_stream[Any](100)
    beats = 0
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
                beats = await count_beats()
                tasks.cancel_scope.cancel()
    assert beats == 5


async def test_a_cancelled_question_leaves_the_tasks_beside_it_alone() -> None:
    scope = anyio.CancelScope()
    beats = 0
    async with serve(Slow()) as (address, client):

        async def ask() -> None:
            with scope:
                await client.ask(address, peer_message.AskStatus(), 5.0)

        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.3)
                scope.cancel()
                beats = await count_beats()
                tasks.cancel_scope.cancel()
    assert beats == 5

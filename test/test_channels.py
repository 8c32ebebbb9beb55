"""Idle channels for unary calls between VMs are closed."""

from __future__ import annotations

import anyio
import pytest

from ramptray import steadyclock
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from test.test_attachment import EmptyViewServer
from test.test_stopped_link import UnresponsiveServer, serve

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.usefixtures("grpc_queue_closed"),
]

REQUEST = peer_message.AskStatus()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_an_idle_channel_is_closed() -> None:
    # Otherwise each of 195 VMs keeps a connection to every VM that it has ever
    # probed: 479 to 528 open descriptors per VM.
    async with serve(EmptyViewServer()) as (address, client):
        await client.ask(address, REQUEST, 5.0)
        now = steadyclock.read()
        await client.close_idle(now + peer_link.IDLE_TIMEOUT_S / 2)
        assert client.channel_count == 1
        await client.close_idle(now + peer_link.IDLE_TIMEOUT_S * 2)
        assert client.channel_count == 0
        await client.ask(address, REQUEST, 5.0)


async def test_a_channel_with_a_pending_call_is_not_closed() -> None:
    async with (
        serve(UnresponsiveServer()) as (address, client),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(client.ask, address, REQUEST, 60.0)
        await anyio.sleep(0.3)
        await client.close_idle(
            steadyclock.read() + peer_link.IDLE_TIMEOUT_S * 2
        )
        assert client.channel_count == 1
        tasks.cancel_scope.cancel()

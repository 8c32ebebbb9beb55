"""Channels for questions between VMs are closed when nobody asks."""

from __future__ import annotations

import anyio
import pytest

from ramptray import steadyclock
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from test.test_attachment import EmptyViewServer
from test.test_stopped_link import Slow, serve

pytestmark = pytest.mark.anyio

QUESTION = peer_message.AskStatus()


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_channel_is_closed_when_nothing_is_asked_for_a_while() -> None:
    # Of 195 VMs each had kept a connection to every other one that it had ever
    # probed: 479 to 528 open descriptors a VM.
    async with serve(EmptyViewServer()) as (address, client):
        await client.ask(address, QUESTION, 5.0)
        now = steadyclock.read()
        await client.close_idle(now + peer_link.IDLE_TIMEOUT_S / 2)
        assert client.channel_count == 1
        await client.close_idle(now + peer_link.IDLE_TIMEOUT_S * 2)
        assert client.channel_count == 0
        await client.ask(address, QUESTION, 5.0)


async def test_a_channel_is_kept_while_a_question_waits() -> None:
    async with (
        serve(Slow()) as (address, client),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(client.ask, address, QUESTION, 60.0)
        await anyio.sleep(0.3)
        await client.close_idle(
            steadyclock.read() + peer_link.IDLE_TIMEOUT_S * 2
        )
        assert client.channel_count == 1
        tasks.cancel_scope.cancel()

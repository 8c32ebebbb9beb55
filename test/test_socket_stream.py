"""The relay's sockets: bounded buffers, timeouts and closing."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import pytest

from ramptray import steadyclock
from ramptray.relay import socket_stream as streams

pytestmark = pytest.mark.anyio

LARGE = bytes(range(256)) * 16 * 1024
"""4 MiB, more than all buffers on the path hold."""

EVENT_LOOP_READ_BYTES = 256 * 1024
"""Largest read of the event loop from a socket."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@contextlib.asynccontextmanager
async def open_pair() -> AsyncIterator[
    tuple[streams.SocketStream, streams.SocketStream]
]:
    """Yields both ends of a connection."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        listening.setblocking(False)
        port = listening.getsockname()[1]
        one, other = await asyncio.gather(
            streams.connect("127.0.0.1", port), streams.accept(listening)
        )
    try:
        yield one, other
    finally:
        one.close()
        other.close()


async def read_all(stream: streams.SocketStream) -> bytes:
    parts = []
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            parts.append(await stream.receive(5.0))
    return b"".join(parts)


async def test_unread_data_is_bounded_and_blocks_the_writer() -> None:
    async with open_pair() as (one, other):
        with pytest.raises(TimeoutError):
            await one.send(LARGE, 0.3)
        held = other._unread_bytes
        assert held <= streams.MAX_UNREAD_BYTES + EVENT_LOOP_READ_BYTES


async def test_bytes_arrive_complete_and_in_order() -> None:
    async with open_pair() as (one, other), anyio.create_task_group() as tasks:

        async def write() -> None:
            await one.send(LARGE, 5.0)
            await one.send(b"end", 5.0)
            one.flush_and_close()

        tasks.start_soon(write)
        assert await read_all(other) == LARGE + b"end"


async def test_receive_times_out_neither_early_nor_late() -> None:
    async with open_pair() as (one, other):
        for wait_s in (0.3, 0.1, 0.2):
            began = steadyclock.read()
            with pytest.raises(TimeoutError):
                await other.receive(wait_s)
            assert wait_s <= steadyclock.read() - began < wait_s + 0.2
        await one.send(b"late", 1.0)
        assert await other.receive(1.0) == b"late"


async def test_an_earlier_timeout_does_not_end_an_unlimited_wait() -> None:
    async with open_pair() as (one, other):
        await one.send(b"a", 1.0)
        assert await other.receive(0.1) == b"a"
        with anyio.move_on_after(0.4) as scope:
            await other.receive()
        assert scope.cancelled_caught


async def test_on_end_is_called_once_and_buffered_data_stays_readable() -> None:
    async with open_pair() as (one, other):
        ends: list[None] = []
        other.on_end = lambda: ends.append(None)
        await one.send(b"last", 1.0)
        one.flush_and_close()
        await anyio.sleep(0.1)
        assert len(ends) == 1
        assert other.has_ended
        assert not other.is_idle()
        assert await other.receive() == b"last"
        with pytest.raises(anyio.EndOfStream):
            await other.receive()


async def test_a_reset_breaks_receive_and_send() -> None:
    async with open_pair() as (one, other):
        one.close()
        await anyio.sleep(0.1)
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await other.receive(1.0)
        with pytest.raises(anyio.BrokenResourceError):
            for _ in range(50):
                await other.send(b"x", 0.1)
                await anyio.sleep(0.01)


async def test_flush_and_close_does_not_wait_for_a_stalled_peer() -> None:
    async with open_pair() as (one, other):
        with pytest.raises(TimeoutError):
            await one.send(LARGE, 0.1)
        one.flush_and_close()
        await anyio.sleep(0.1)
        assert one._lost
        assert other._unread_bytes < len(LARGE)

"""A TCP proxy that adds a one-way delay in each direction."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from bench import ports
from ramptray import steadyclock

CHUNK_BYTES = 65536


class DelayProxy:
    """Forwards connections to one address, as over a long distance.

    The first byte needs a round trip more, as the kernel completes the TCP
    handshake with the proxy at once.

    Args:
        target: Address that connections are forwarded to.
        one_way_s: Delay in each direction, in seconds.

    Attributes:
        address: The proxy's own address.
        connections: Number of connections accepted so far.
        is_silent: Whether new connections stay open but forward nothing, as in
            a network partition.
    """

    def __init__(self, target: str, one_way_s: float) -> None:
        self.address = f"127.0.0.1:{ports.reserve_port()}"
        self.connections = 0
        self.is_silent = False
        self._target = target
        self._one_way_s = one_way_s
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[DelayProxy]:
        """Serves until the context ends."""
        host, _, port = self.address.partition(":")

        def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.connections += 1
            task = asyncio.create_task(self._forward(reader, writer))
            self._tasks.add(task)

        server = await asyncio.start_server(accept, host, int(port))
        try:
            yield self
        finally:
            server.close()
            await self._close_all()

    async def partition(self) -> None:
        """Starts a partition; the kernel has given up all connections."""
        self.is_silent = True
        await self._close_all()

    async def _close_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted_at = steadyclock.read()
        with contextlib.suppress(OSError), contextlib.closing(writer):
            # The peer sees the connection once the handshake's last segment
            # has arrived.
            await asyncio.sleep(3 * self._one_way_s)
            if self.is_silent:
                await asyncio.sleep(3600)
            host, _, port = self._target.partition(":")
            far_reader, far_writer = await asyncio.open_connection(host, port)
            with contextlib.closing(far_writer):
                connected_at = accepted_at + 2 * self._one_way_s
                await asyncio.gather(
                    self._pump(reader, far_writer, connected_at),
                    self._pump(far_reader, writer, 0.0),
                )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        not_before: float,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def read() -> None:
            data = b"-"
            while data:
                data = await reader.read(CHUNK_BYTES)
                sent_at = max(steadyclock.read(), not_before)
                queue.put_nowait((sent_at + self._one_way_s, data))

        async def write() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - steadyclock.read()))
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)

        await asyncio.gather(read(), write())

"""Opens tunnels to backend servers for VMs that reach none themselves."""

from __future__ import annotations

import asyncio
import collections
import logging
from collections.abc import AsyncIterator
from typing import Any

import anyio
import grpc
import grpc.aio

from ramptray import connecting, deadline, resources, steadyclock
from ramptray.bundle import model
from ramptray.core import clock
from ramptray.entry import backend_directory, server_hints
from ramptray.peer import codec
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.relay import connection, tunnel
from ramptray.relay import socket_stream as streams

LOG = logging.getLogger(__name__)


class _Window:
    """How many bytes may be sent to the reader of a tunnel.

    Args:
        window_bytes: Bytes that may wait there; None for any number, as readers
            of older versions acknowledge none.
    """

    def __init__(self, window_bytes: int | None) -> None:
        self._window_bytes = window_bytes
        self._left = window_bytes or 0
        self._acknowledged = asyncio.Event()

    async def take(self, size: int) -> int:
        """Returns how many of some bytes may be sent; waits if none may."""
        size = min(size, tunnel.MAX_PART_BYTES)
        if self._window_bytes is None:
            return size
        while not self._left:
            self._acknowledged.clear()
            await self._acknowledged.wait()
        size = min(size, self._left)
        self._left -= size
        return size

    def acknowledge(self) -> None:
        """Adds the bytes of an acknowledgement."""
        if self._window_bytes is not None:
            self._left += tunnel.get_acknowledged_bytes(self._window_bytes)
            self._acknowledged.set()


def _read_window(
    context: grpc.aio.ServicerContext[bytes, bytes],
) -> _Window:
    """Returns the window that the reader of a tunnel names."""
    named = dict(context.invocation_metadata() or ()).get(tunnel.WINDOW_KEY)
    text = named if isinstance(named, str) else ""
    return _Window(int(text) or None if text.isdecimal() else None)


class TunnelServer(resources.ConnectionPool):
    """Opens tunnels to backend servers for other VMs.

    Args:
        backends: The backend servers of the bundle, and which are reached.
        hints: Backend servers that asked this VM not to send to them.
        region: Region of this VM; empty if unknown.
        hybrid_clock: This process's clock.
        budget: Descriptors that the tunnels share with others; None for any
            number.

    Attributes:
        active: Number of open tunnels.
        counts: Number of tunnels opened, under "opened", and of those that were
            not, by reason.
        stopping: Whether new tunnels are refused.
    """

    def __init__(
        self,
        backends: backend_directory.BackendDirectory,
        hints: server_hints.ServerHintStore,
        region: str,
        hybrid_clock: clock.HybridClock,
        budget: resources.ResourceBudget | None = None,
    ) -> None:
        self._budget = budget
        if budget is not None:
            budget.add_pool("tunnels", self)
        self._backends = backends
        self._hints = hints
        self._region = region
        self._clock = hybrid_clock
        self._reading: set[asyncio.Task[None]] = set()
        self.active = 0
        self.counts = collections.Counter[str]()
        self.stopping = False

    @property
    def connection_count(self) -> int:
        """See the base class."""
        return self.active

    async def serve(
        self,
        parts: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext[bytes, bytes],
    ) -> None:
        """Serves one tunnel until either end closes it."""
        iterator = aiter(parts)
        try:
            request = codec.decode(await anext(iterator)).body
        except (StopAsyncIteration, codec.CodecError):
            return
        opened = await self._open(request)
        reason = opened.value if isinstance(opened, tunnel.Refusal) else ""
        self.counts[reason or "opened"] += 1
        answer = peer_message.TunnelAnswer(reason)
        stream = None if isinstance(opened, tunnel.Refusal) else opened
        try:
            await context.write(codec.encode(self._clock.tick(), answer))
            if stream is not None:
                await self._forward(iterator, stream, context)
        finally:
            if stream is not None:
                stream.close()

    async def _open(
        self, request: Any
    ) -> streams.SocketStream | tunnel.Refusal:
        """Connects to a backend server.

        Returns:
            The connection, or why there is none.
        """
        if not isinstance(request, peer_message.OpenTunnel):
            return tunnel.Refusal.UNKNOWN_SERVER
        now = steadyclock.read()
        if reason := self._find_refusal_reason(request, now):
            return reason
        in_force = self._backends.in_force
        assert in_force is not None
        server = in_force.bundle.backend_servers[request.backend]
        try:
            host, port = connecting.split_address(_get_address(server))
            with deadline.fail_after(connection.CONNECT_TIMEOUT_S):
                return await streams.connect(host, port)
        except TimeoutError:
            self._backends.record_connect_failure(
                request.backend, steadyclock.read()
            )
            return tunnel.Refusal.SILENT
        except OSError as error:
            if connecting.is_local_shortage(error):
                return tunnel.Refusal.CROWDED
            return tunnel.Refusal.REFUSED

    def _find_refusal_reason(
        self, request: peer_message.OpenTunnel, now: float
    ) -> tunnel.Refusal | None:
        """Returns why no tunnel may be opened; None if one may."""
        in_force = self._backends.in_force
        server = (
            in_force.bundle.backend_servers.get(request.backend)
            if in_force
            else None
        )
        if self.stopping:
            return tunnel.Refusal.STOPPING
        if self._budget and not self._budget.make_room_for_server():
            return tunnel.Refusal.CROWDED
        if server is None or server.run != request.run:
            return tunnel.Refusal.UNKNOWN_SERVER
        # The other VM has checked the release of the server at its address; a
        # server that does not tell its start has the same run elsewhere.
        if request.address and _get_address(server) != request.address:
            return tunnel.Refusal.UNKNOWN_SERVER
        if request.regions is not None and not {
            self._region,
            server.region,
        } <= set(request.regions):
            return tunnel.Refusal.OUTSIDE_REGIONS
        if server.leaving or self._hints.find_unusable_reason(
            request.backend, request.run, now
        ):
            return tunnel.Refusal.UNUSABLE
        if request.backend in self._backends.list_unreachable(now):
            return tunnel.Refusal.SILENT
        return None

    async def _forward(
        self,
        parts: AsyncIterator[bytes],
        stream: streams.SocketStream,
        context: grpc.aio.ServicerContext[bytes, bytes],
    ) -> None:
        """Passes bytes on in both directions until either end closes."""
        self.active += 1
        is_broken = False
        window = _read_window(context)
        try:
            with anyio.CancelScope() as scope:
                # Ends with the call.  gRPC never frees a message that arrives
                # for a read that was cancelled.
                reading = asyncio.create_task(
                    _forward_requests(parts, stream, window, scope)
                )
                self._reading.add(reading)
                reading.add_done_callback(self._reading.discard)
                is_broken = await _forward_responses(stream, context, window)
        except peer_link.CONNECTION_ERRORS as error:
            LOG.debug("tunnel lost: %r", error)
        finally:
            self.active -= 1
        if is_broken:
            # Otherwise the other VM would see the orderly end of a response
            # without a length.
            await context.abort(grpc.StatusCode.UNAVAILABLE, "connection lost")


async def _forward_requests(
    parts: AsyncIterator[bytes],
    stream: streams.SocketStream,
    window: _Window,
    scope: anyio.CancelScope,
) -> None:
    """Passes on what the other VM sends; cancels the scope at its end."""
    is_lost = False
    try:
        async for part in parts:
            if part == tunnel.ACKNOWLEDGEMENT:
                window.acknowledge()
                continue
            try:
                if not is_lost:
                    await stream.send(part, connection.SEND_TIMEOUT_S)
            except (
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as error:
                # A response may have arrived before; it needs acknowledgements.
                is_lost = True
                LOG.debug("tunnel to a backend server lost: %r", error)
    except (grpc.aio.BaseError, *peer_link.CONNECTION_ERRORS) as error:
        LOG.debug("tunnel lost: %r", error)
    finally:
        scope.cancel()


def _get_address(server: model.BackendServer) -> str:
    return server.url.removeprefix("http://")


async def _forward_responses(
    stream: streams.SocketStream,
    context: grpc.aio.ServicerContext[bytes, bytes],
    window: _Window,
) -> bool:
    """Passes on what the server sends; returns whether it was cut off."""
    while True:
        try:
            part = await stream.receive()
        except anyio.EndOfStream:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return True
        sent = 0
        while sent < len(part):
            count = await window.take(len(part) - sent)
            await context.write(part[sent : sent + count])
            sent += count

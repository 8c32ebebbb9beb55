"""Connections to backend servers through another VM, over gRPC.

A VM without a link to any backend server opens a tunnel to a VM that has one.
That VM connects to the server and passes bytes on in both directions; it does
not parse them.  The request's state machine stays with the VM that serves the
caller, so whatever is lost on the way has the same effect as on a direct
connection.
"""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
from collections.abc import AsyncIterator
from typing import Any

import anyio
import grpc
import grpc.aio

from ramptray import steadyclock
from ramptray.core import clock
from ramptray.core import message as core_message
from ramptray.entry import backend_directory, server_hints
from ramptray.peer import codec
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.relay import byte_stream, client, connection
from ramptray.relay import socket_stream as streams

LOG = logging.getLogger(__name__)

METHOD = "Tunnel"
"""Name of the gRPC method."""

OPEN_TIMEOUT_S = 0.4
"""Longest time to open a tunnel, in seconds: a new link to the relay and its
attempt to connect to the backend server."""

OPEN_DELAYS = 6
"""One-way delays until a tunnel through another region is open: those of two
handshakes, the request and the answer."""

BUFFERED_PARTS = 16
"""Received parts that wait to be read; then gRPC's flow control stops the
relay."""

MAX_PART_BYTES = 64 * 1024
"""Largest part that is written at once, in bytes."""


class Refusal(enum.Enum):
    """Why a relay opens no tunnel.

    Attributes:
        REFUSED: The backend server refused the connection.
        SILENT: It does not respond.
        UNKNOWN_SERVER: This run of it is not in the relay's configuration.
        UNUSABLE: It is leaving, or asked the relay for a pause.
        OUTSIDE_REGIONS: The relay or the server is outside the request's
            regions.
        STOPPING: The relay is stopping.
    """

    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN_SERVER = "unknown_server"
    UNUSABLE = "unusable"
    OUTSIDE_REGIONS = "outside_regions"
    STOPPING = "stopping"


_FAILURES = {
    Refusal.REFUSED.value: core_message.RelayFailure.REFUSED,
    Refusal.SILENT.value: core_message.RelayFailure.SILENT,
}
"""What a refusal shows about the backend server; others show nothing."""


class TunnelError(Exception):
    """No tunnel was opened; nothing was sent to the backend server.

    Attributes:
        failure: Why.
    """

    def __init__(self, text: str, reason: str = "") -> None:
        self.failure = _FAILURES.get(
            reason, core_message.RelayFailure.NOT_RELAYED
        )
        super().__init__(text)


class TunnelStream(byte_stream.ByteStream):
    """A tunnel to a backend server, as seen by the VM that opened it."""

    def __init__(self, client: peer_link.PeerClient) -> None:
        self._client = client
        self._call: Any = None
        self._error: TunnelError | None = None
        self._closed = False
        self._send, self._receive = anyio.create_memory_object_stream[bytes](
            BUFFERED_PARTS
        )
        self._reader: asyncio.Task[None] | None = None

    async def open(
        self, relay: str, request: peer_message.OpenTunnel, timeout_s: float
    ) -> None:
        """Opens the tunnel.

        Args:
            relay: Address of the relay.
            request: What it connects to.
            timeout_s: Longest time for that, in seconds.

        Raises:
            TunnelError: The relay was not reached, or it opened no tunnel.
        """
        opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        # A task of its own, as it outlives the request that opens the tunnel.
        self._reader = asyncio.create_task(
            self._run(relay, request, timeout_s, opened)
        )
        try:
            with anyio.fail_after(timeout_s):
                await opened
        except TimeoutError as error:
            raise TunnelError(f"{relay}: no tunnel in time") from error
        finally:
            if not opened.done() or opened.cancelled() or opened.exception():
                self.close()

    def is_idle(self) -> bool:
        """See the base class."""
        is_open = not self._closed and self._is_running()
        return is_open and not self._receive.statistics().current_buffer_used

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """See the base class."""
        self._check_open()
        try:
            with anyio.fail_after(timeout_s):
                return await self._receive.receive()
        except anyio.EndOfStream:
            self._check_open()
            if self._error is not None:
                raise anyio.BrokenResourceError from self._error
            raise

    async def send(self, data: bytes, timeout_s: float) -> None:
        """See the base class."""
        self._check_open()
        if not self._is_running():
            raise anyio.BrokenResourceError from self._error
        parts = (
            data[start : start + MAX_PART_BYTES]
            for start in range(0, len(data), MAX_PART_BYTES)
        )
        try:
            with anyio.fail_after(timeout_s):
                for part in parts:
                    await self._call.write(part)
        except peer_link.CONNECTION_ERRORS as error:
            raise anyio.BrokenResourceError from error

    def close(self) -> None:
        """See the base class."""
        self._closed = True
        if self._reader is not None:
            self._reader.cancel()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError

    def _is_running(self) -> bool:
        return self._reader is not None and not self._reader.done()

    async def _run(
        self,
        relay: str,
        request: peer_message.OpenTunnel,
        timeout_s: float,
        opened: asyncio.Future[None],
    ) -> None:
        """Opens the tunnel and reads it until its end."""
        try:
            async with self._client.call(
                relay, METHOD, timeout_s
            ) as self._call:
                await self._call.write(self._client.encode(request))
                answer = self._client.decode(await self._call.read())
                reason = getattr(answer, "reason", "no answer")
                if reason:
                    raise TunnelError(f"{relay}: {reason}", reason)
                if not opened.done():
                    opened.set_result(None)
                await self._read_parts()
        except TunnelError as error:
            self._error = error
        except (
            peer_link.LinkError,
            codec.CodecError,
            *peer_link.CONNECTION_ERRORS,
        ) as error:
            self._error = TunnelError(f"{relay}: {error!r}")
        finally:
            self._send.close()
            if not opened.done():
                opened.set_exception(
                    self._error or TunnelError(f"{relay}: closed")
                )

    async def _read_parts(self) -> None:
        while (part := await self._call.read()) is not grpc.aio.EOF:
            await self._send.send(part)


class PeerTunnels(client.TunnelOpener):
    """Opens tunnels through peers.

    Args:
        peers: Calls the peers.
    """

    def __init__(self, peers: peer_link.PeerClient) -> None:
        self._peers = peers
        self._reports: set[asyncio.Task[None]] = set()

    async def open(self, target: connection.Target) -> TunnelStream:
        """See the base class."""
        stream = TunnelStream(self._peers)
        request = peer_message.OpenTunnel(
            target.backend, target.run, target.regions
        )
        try:
            await stream.open(
                target.relay,
                request,
                OPEN_TIMEOUT_S + OPEN_DELAYS * target.delay_s,
            )
        except TunnelError as error:
            raise connection.NotSentError(
                str(error), False, error.failure
            ) from error
        return stream

    def report_hints(
        self, relay: str, request_id: str, hints: core_message.ServerHints
    ) -> None:
        """See the base class."""
        # The response does not wait for it.
        report = asyncio.create_task(
            self._report(relay, peer_message.RelayedHints(hints, request_id))
        )
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)

    async def _report(
        self, relay: str, hints: peer_message.RelayedHints
    ) -> None:
        try:
            await self._peers.ask(relay, hints, OPEN_TIMEOUT_S)
        except peer_link.LinkError as error:
            LOG.warning(
                "server hints not sent to the relay",
                extra={"relay": relay, "detail": str(error)},
            )


class TunnelServer:
    """Opens tunnels to backend servers for other VMs.

    Args:
        backends: The backend servers of the bundle, and which are reached.
        hints: Backend servers that asked this VM not to send to them.
        region: Region of this VM; empty if unknown.
        hybrid_clock: This process's clock.

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
    ) -> None:
        self._backends = backends
        self._hints = hints
        self._region = region
        self._clock = hybrid_clock
        self.active = 0
        self.counts = collections.Counter[str]()
        self.stopping = False

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
        reason = opened.value if isinstance(opened, Refusal) else ""
        self.counts[reason or "opened"] += 1
        answer = peer_message.TunnelAnswer(reason)
        stream = None if isinstance(opened, Refusal) else opened
        try:
            await context.write(codec.encode(self._clock.tick(), answer))
            if stream is not None:
                await self._forward(iterator, stream, context)
        finally:
            if stream is not None:
                stream.close()

    async def _open(self, request: Any) -> streams.SocketStream | Refusal:
        """Connects to a backend server.

        Returns:
            The connection, or why there is none.
        """
        if not isinstance(request, peer_message.OpenTunnel):
            return Refusal.UNKNOWN_SERVER
        now = steadyclock.read()
        if reason := self._find_refusal_reason(request, now):
            return reason
        url = self._backends.find_url(request.backend) or ""
        host, _, port = url.removeprefix("http://").rpartition(":")
        try:
            with anyio.fail_after(connection.CONNECT_TIMEOUT_S):
                return await streams.connect(host, int(port))
        except TimeoutError:
            self._backends.record_connect_failure(
                request.backend, steadyclock.read()
            )
            return Refusal.SILENT
        except OSError:
            return Refusal.REFUSED

    def _find_refusal_reason(
        self, request: peer_message.OpenTunnel, now: float
    ) -> Refusal | None:
        """Returns why no tunnel may be opened; None if one may."""
        in_force = self._backends.in_force
        server = (
            in_force.bundle.backend_servers.get(request.backend)
            if in_force
            else None
        )
        if self.stopping:
            return Refusal.STOPPING
        if server is None or server.run != request.run:
            return Refusal.UNKNOWN_SERVER
        if request.regions is not None and not {
            self._region,
            server.region,
        } <= set(request.regions):
            return Refusal.OUTSIDE_REGIONS
        if server.leaving or self._hints.find_unusable_reason(
            request.backend, request.run, now
        ):
            return Refusal.UNUSABLE
        if request.backend in self._backends.list_unreachable(now):
            return Refusal.SILENT
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
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward_requests, parts, stream, tasks.cancel_scope
                )
                is_broken = await _forward_responses(stream, context)
                tasks.cancel_scope.cancel()
        except* peer_link.CONNECTION_ERRORS as group:
            LOG.debug("tunnel lost: %r", group.exceptions[0])
        finally:
            self.active -= 1
        if is_broken:
            # Otherwise the other VM would see the orderly end of a response
            # without a length.
            await context.abort(grpc.StatusCode.UNAVAILABLE, "connection lost")

    async def _forward_requests(
        self,
        parts: AsyncIterator[bytes],
        stream: streams.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            async for part in parts:
                await stream.send(part, connection.SEND_TIMEOUT_S)
        except (
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            LOG.debug("tunnel to a backend server lost: %r", error)
            return
        scope.cancel()


async def _forward_responses(
    stream: streams.SocketStream,
    context: grpc.aio.ServicerContext[bytes, bytes],
) -> bool:
    """Passes on what the server sends; returns whether it was cut off."""
    while True:
        try:
            part = await stream.receive()
        except anyio.EndOfStream:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return True
        await context.write(part)

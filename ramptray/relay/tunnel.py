"""Connections to backend servers through another VM, over gRPC.

A VM without a link to any backend server opens a tunnel to a VM that has one.
That VM, the gateway, connects to the server and passes bytes on in both
directions without parsing them (``tunnel_server``).  The request's state
machine stays with the VM that serves the caller, so whatever is lost on the way
has the same effect as on a direct connection.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from typing import Any

import anyio
import grpc.aio

from ramptray import deadline
from ramptray.core import message as core_message
from ramptray.peer import codec
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.relay import byte_stream, client, connection

LOG = logging.getLogger(__name__)

METHOD = "Tunnel"
"""Name of the gRPC method."""

OPEN_TIMEOUT_S = 0.4
"""Longest time to open a tunnel, in seconds: a new link to the gateway and its
attempt to connect to the backend server."""

OPEN_DELAYS = 6
"""One-way delays until a tunnel through another region is open: those of two
handshakes, the request and the answer."""

BUFFERED_PARTS = 4
"""Received parts that wait to be read; then gRPC's flow control stops the
gateway."""

MAX_PART_BYTES = 64 * 1024
"""Largest part that is written at once, in bytes."""


class Refusal(enum.Enum):
    """Why a gateway opens no tunnel.

    Attributes:
        REFUSED: The backend server refused the connection.
        SILENT: It does not respond.
        UNKNOWN_SERVER: This run of it, at the address that is asked for, is not
            in the gateway's configuration.
        UNUSABLE: It is leaving, or asked the gateway for a pause.
        OUTSIDE_REGIONS: The gateway or the server is outside the request's
            regions.
        STOPPING: The gateway is stopping.
    """

    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN_SERVER = "unknown_server"
    UNUSABLE = "unusable"
    OUTSIDE_REGIONS = "outside_regions"
    STOPPING = "stopping"


_FAILURES = {
    Refusal.REFUSED.value: core_message.GatewayFailure.REFUSED,
    Refusal.SILENT.value: core_message.GatewayFailure.SILENT,
}
"""What a refusal shows about the backend server; others show nothing."""


class TunnelError(Exception):
    """No tunnel was opened; nothing was sent to the backend server.

    Attributes:
        failure: Why.
    """

    def __init__(self, text: str, reason: str = "") -> None:
        self.failure = _FAILURES.get(
            reason, core_message.GatewayFailure.NOT_OPENED
        )
        super().__init__(text)


class TunnelStream(byte_stream.ByteStream):
    """A tunnel to a backend server, as seen by the VM that opened it."""

    def __init__(self, peers: peer_link.PeerClient) -> None:
        self._peers = peers
        self._call: Any = None
        self._error: TunnelError | None = None
        self._closed = False
        self._has_ended = False
        self._send, self._receive = anyio.create_memory_object_stream[bytes](
            BUFFERED_PARTS
        )
        self._reader: asyncio.Task[None] | None = None

    async def open(
        self, gateway: str, request: peer_message.OpenTunnel, timeout_s: float
    ) -> None:
        """Opens the tunnel.

        Args:
            gateway: Address of the gateway.
            request: What it connects to.
            timeout_s: Longest time for that, in seconds.

        Raises:
            TunnelError: The gateway was not reached, or it opened no tunnel.
        """
        opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        # A task of its own, as it outlives the request that opens the tunnel.
        self._reader = asyncio.create_task(
            self._run(gateway, request, timeout_s, opened)
        )
        try:
            with deadline.fail_after(timeout_s):
                await opened
        except TimeoutError as error:
            raise TunnelError(f"{gateway}: no tunnel in time") from error
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
            with deadline.fail_after(timeout_s):
                return await self._receive.receive()
        except anyio.EndOfStream:
            self._check_open()
            if not self._has_ended:
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
            with deadline.fail_after(timeout_s):
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
        gateway: str,
        request: peer_message.OpenTunnel,
        timeout_s: float,
        opened: asyncio.Future[None],
    ) -> None:
        """Opens the tunnel and reads it until its end."""
        try:
            async with self._peers.call(
                gateway, METHOD, timeout_s
            ) as self._call:
                await self._call.write(self._peers.encode(request))
                answer = self._peers.decode(await self._call.read())
                reason = getattr(answer, "reason", "no answer")
                if reason:
                    raise TunnelError(f"{gateway}: {reason}", reason)
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
            self._error = TunnelError(f"{gateway}: {error!r}")
        finally:
            self._send.close()
            if not opened.done():
                opened.set_exception(
                    self._error or TunnelError(f"{gateway}: closed")
                )

    async def _read_parts(self) -> None:
        while (part := await self._call.read()) is not grpc.aio.EOF:
            await self._send.send(part)
        # gRPC also ends a read by a cancellation if the channel closes.
        self._has_ended = True


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
            target.backend, target.run, target.regions, target.address
        )
        try:
            await stream.open(
                target.gateway,
                request,
                OPEN_TIMEOUT_S + OPEN_DELAYS * target.delay_s,
            )
        except TunnelError as error:
            raise connection.NotSentError(
                str(error), False, error.failure
            ) from error
        return stream

    def report_hints(
        self, gateway: str, request_id: str, hints: core_message.ServerHints
    ) -> None:
        """See the base class."""
        # The response does not wait for it.
        report = asyncio.create_task(
            self._report(gateway, peer_message.TunneledHints(hints, request_id))
        )
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)

    async def _report(
        self, gateway: str, hints: peer_message.TunneledHints
    ) -> None:
        try:
            await self._peers.ask(gateway, hints, OPEN_TIMEOUT_S)
        except peer_link.LinkError as error:
            LOG.warning(
                "server hints not sent to the gateway",
                extra={"gateway": gateway, "detail": str(error)},
            )

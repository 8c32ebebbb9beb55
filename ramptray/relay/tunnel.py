"""Connections to backend servers through another VM, over gRPC.

A VM without a link to any backend server opens a tunnel to a VM that has one.
That VM, the gateway, connects to the server and passes bytes on in both
directions without parsing them (``tunnel_server``).  The request's state
machine stays with the VM that serves the caller, so whatever is lost on the way
has the same effect as on a direct connection.
"""

from __future__ import annotations

import asyncio
import contextlib
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

MAX_PART_BYTES = 64 * 1024
"""Largest part that is written at once, in bytes."""

MAX_UNREAD_BYTES = 16 * 1024 * 1024
"""Bytes that may wait in all tunnels of a VM together, a twentieth of a small
VM's memory; ``MIN_WINDOW_BYTES`` more for each tunnel that finds them in use.
gRPC's own flow control lets 4 MB wait in each tunnel, whatever its delay."""

MAX_WINDOW_BYTES = 256 * 1024
"""Bytes that may wait in one tunnel.  Through another region, at 60 ms for both
ways, this much passes in 60 ms."""

MIN_WINDOW_BYTES = 16 * 1024
"""The same for a tunnel that is opened when many are open."""

RESERVED_PART = 8
"""A tunnel gets at most this part of what is left of ``MAX_UNREAD_BYTES``."""

ACKNOWLEDGED_PART = 4
"""Part of a window that is acknowledged at once."""

WINDOW_KEY = "tunnel-window"
"""Key of the metadata that tell a gateway the window of a tunnel, in bytes.
Gateways of older versions ignore them."""

ACKNOWLEDGEMENT = b""
"""Message by which the reader acknowledges a part of its window.  Gateways of
older versions take it for no bytes."""


def get_acknowledged_bytes(window_bytes: int) -> int:
    """Returns the bytes that an acknowledgement stands for."""
    return max(1, window_bytes // ACKNOWLEDGED_PART)


class UnreadBudget:
    """Divides ``MAX_UNREAD_BYTES`` among the open tunnels of a VM.

    Attributes:
        reserved_bytes: Sum of the windows of all open tunnels.
    """

    def __init__(self) -> None:
        self.reserved_bytes = 0

    def reserve(self) -> int:
        """Returns the window of a new tunnel, in bytes."""
        left = MAX_UNREAD_BYTES - self.reserved_bytes
        window = max(
            MIN_WINDOW_BYTES, min(MAX_WINDOW_BYTES, left // RESERVED_PART)
        )
        self.reserved_bytes += window
        return window

    def release(self, window_bytes: int) -> None:
        """Returns the window of a tunnel that has ended."""
        self.reserved_bytes -= window_bytes


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
        CROWDED: The gateway has no descriptor left.
    """

    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN_SERVER = "unknown_server"
    UNUSABLE = "unusable"
    OUTSIDE_REGIONS = "outside_regions"
    STOPPING = "stopping"
    CROWDED = "crowded"


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
    """A tunnel to a backend server, as seen by the VM that opened it.

    Args:
        peers: Calls the gateway.
        budget: What may wait in all tunnels.
    """

    def __init__(
        self, peers: peer_link.PeerClient, budget: UnreadBudget
    ) -> None:
        self._peers = peers
        self._budget = budget
        self._call: Any = None
        self._error: TunnelError | None = None
        self._closed = False
        self._has_ended = False
        self._window_bytes = 0
        self._unread: list[bytes] = []
        self._unread_bytes = 0
        self._unacknowledged_bytes = 0
        # Set when a part has arrived or none can.
        self._arrived = asyncio.Event()
        # Set when parts have been taken.
        self._taken = asyncio.Event()
        self._write_lock = anyio.Lock()
        self._reader: asyncio.Task[None] | None = None
        self._acknowledging: asyncio.Task[None] | None = None

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
        self._window_bytes = self._budget.reserve()
        # A task of its own, as it outlives the request that opens the tunnel.
        self._reader = asyncio.create_task(
            self._run(gateway, request, timeout_s, opened)
        )
        try:
            with deadline.fail_after(timeout_s):
                await opened
        except TimeoutError as error:
            self.close()
            raise TunnelError(f"{gateway}: no tunnel in time") from error
        except BaseException:
            self.close()
            raise

    def is_idle(self) -> bool:
        """See the base class."""
        return not self._closed and self._is_running() and not self._unread

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """See the base class."""
        self._check_open()
        if not self._unread and self._is_running():
            self._arrived.clear()
            try:
                with deadline.fail_after(timeout_s):
                    await self._arrived.wait()
            except TimeoutError:
                if not self._unread:
                    raise
            self._check_open()
        if self._unread:
            return self._take()
        if not self._has_ended:
            raise anyio.BrokenResourceError from self._error
        raise anyio.EndOfStream

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
                async with self._write_lock:
                    for part in parts:
                        await self._call.write(part)
        except peer_link.CONNECTION_ERRORS as error:
            raise anyio.BrokenResourceError from error

    def close(self) -> None:
        """See the base class."""
        if self._closed:
            return
        self._closed = True
        self._budget.release(self._window_bytes)
        self._unread.clear()
        self._taken.set()
        # Cancelling the tasks instead would end their reads and writes before
        # gRPC does, and gRPC never frees a message that arrives for such a
        # read.
        if self._call is not None:
            self._call.cancel()
        elif self._reader is not None:
            self._reader.cancel()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError

    def _is_running(self) -> bool:
        return self._reader is not None and not self._reader.done()

    def _take(self) -> bytes:
        """Returns the unread bytes and acknowledges them."""
        data = b"".join(self._unread)
        self._unread.clear()
        self._unread_bytes = 0
        self._taken.set()
        self._unacknowledged_bytes += len(data)
        is_due = self._unacknowledged_bytes >= self._acknowledged_bytes
        if is_due and self._acknowledging is None and self._is_running():
            # A task of its own, as gRPC ends the call if a write is cancelled.
            self._acknowledging = asyncio.create_task(self._acknowledge())
        return data

    @property
    def _acknowledged_bytes(self) -> int:
        return get_acknowledged_bytes(self._window_bytes)

    async def _acknowledge(self) -> None:
        # The reader ends with the call and tells why.
        with contextlib.suppress(
            asyncio.CancelledError, *peer_link.CONNECTION_ERRORS
        ):
            while self._unacknowledged_bytes >= self._acknowledged_bytes:
                self._unacknowledged_bytes -= self._acknowledged_bytes
                async with self._write_lock:
                    await self._call.write(ACKNOWLEDGEMENT)
        self._acknowledging = None

    async def _run(
        self,
        gateway: str,
        request: peer_message.OpenTunnel,
        timeout_s: float,
        opened: asyncio.Future[None],
    ) -> None:
        """Opens the tunnel and reads it until its end."""
        metadata = ((WINDOW_KEY, str(self._window_bytes)),)
        try:
            async with self._peers.call(
                gateway, METHOD, timeout_s, metadata
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
        except asyncio.CancelledError:
            # Nothing waits for this task.  If it kept the error, the tunnel and
            # what gRPC holds for it would stay until a garbage collection.
            self._error = TunnelError(f"{gateway}: closed")
        finally:
            self._arrived.set()
            if not opened.done():
                opened.set_exception(
                    self._error or TunnelError(f"{gateway}: closed")
                )

    async def _read_parts(self) -> None:
        while (part := await self._call.read()) is not grpc.aio.EOF:
            self._unread.append(part)
            self._unread_bytes += len(part)
            self._arrived.set()
            # Gateways of older versions do not wait for acknowledgements.
            while self._unread_bytes > self._window_bytes and not self._closed:
                self._taken.clear()
                await self._taken.wait()
        # gRPC also ends a read by a cancellation if the channel closes.
        self._has_ended = True


class PeerTunnels(client.TunnelOpener):
    """Opens tunnels through peers.

    Args:
        peers: Calls the peers.
    """

    def __init__(self, peers: peer_link.PeerClient) -> None:
        self._peers = peers
        self._budget = UnreadBudget()
        self._reports: set[asyncio.Task[None]] = set()

    async def open(self, target: connection.Target) -> TunnelStream:
        """See the base class."""
        stream = TunnelStream(self._peers, self._budget)
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

"""The gRPC channel between ramptray's processes.

``Attach`` is a bidirectional stream that stays open between an entry (or a
controller) and a scheduler.  ``Ask`` is a unary call.
"""

from __future__ import annotations

import abc
import asyncio
import collections
import contextlib
import logging
from collections.abc import AsyncIterator, Sequence
from typing import Any, Protocol

import anyio
import anyio.abc
import anyio.lowlevel
import grpc
import grpc.aio
from anyio.streams import memory

from ramptray import deadline, settings, steadyclock
from ramptray.core import clock, connect_timeout
from ramptray.peer import codec, credentials, link_failures, peer_filter

LOG = logging.getLogger(__name__)

SERVICE = "ramptray.Peer"
MAX_FRAME_BYTES = 16 * 1024 * 1024
IDLE_TIMEOUT_S = 15.0
"""Time after which an idle channel for unary calls is closed, in seconds.
Neighbours are probed every four seconds, but the others of hundreds of VMs only
at random: a connection to each would cost descriptors and memory on both
sides."""

MAX_FRAME_MESSAGES = 64
"""Limit of messages in one frame."""

MAX_QUEUED_MESSAGES = 10_000
"""Limit of messages queued for a slow peer; beyond it the link is closed."""

OPTIONS = [
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.keepalive_time_ms", 1000),
    ("grpc.keepalive_timeout_ms", 1500),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # The timeout of a connection attempt.  `PeerClient` ends attempts earlier:
    # gRPC would begin the next one before the channel could be closed.
    ("grpc.min_reconnect_backoff_ms", 10_000),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
]
"""Channel options; both ends detect an unresponsive peer within 2.5 s."""

GRPC_MARGIN_S = 10.0
"""By how much gRPC's own timeout of a call is longer, in seconds.  It may end
the call before gRPC has read its sockets, as after a stop of the process, so it
only bounds calls that were left behind."""

MAX_KNOWN_ADDRESSES = 2048
"""Number of addresses whose connection times are kept.  Replaced VMs leave
theirs behind."""

CONNECTION_ERRORS = (
    grpc.aio.AioRpcError,
    grpc.aio.UsageError,
    grpc.RpcError,
    # Raised by a write to a stream that has just ended.
    asyncio.InvalidStateError,
)
"""Errors that grpc raises when the connection to a peer is lost."""

PENDING_STATES = (
    grpc.ChannelConnectivity.IDLE,
    grpc.ChannelConnectivity.CONNECTING,
)


class LinkError(Exception):
    """A peer cannot be reached, or the link to it is broken."""


class ConnectGuessError(LinkError):
    """The first attempts at an unknown address were perhaps too short."""


class Session:
    """The serving side's session with one attached peer."""

    def __init__(self) -> None:
        send, receive = anyio.create_memory_object_stream[Any](
            MAX_QUEUED_MESSAGES
        )
        self._send = send
        self.outgoing: memory.MemoryObjectReceiveStream[Any] = receive

    def send(self, body: Any) -> None:
        """Queues a message; closes the session if the queue is full."""
        with contextlib.suppress(
            anyio.ClosedResourceError, anyio.BrokenResourceError
        ):
            try:
                self._send.send_nowait(body)
            except anyio.WouldBlock:
                self.close()

    def close(self) -> None:
        """Ends the session; the peer sees the end of the stream."""
        self._send.close()


class Handler(abc.ABC):
    """Handles the messages of a serving process's peers."""

    @abc.abstractmethod
    async def open(self, session: Session) -> None:
        """Called when a peer has attached."""

    @abc.abstractmethod
    async def receive(self, session: Session, body: Any) -> None:
        """Called with each message of an attached peer."""

    @abc.abstractmethod
    async def close(self, session: Session) -> None:
        """Called when an attached peer is gone."""

    @abc.abstractmethod
    async def answer(self, request: Any) -> Any:
        """Returns the response to a unary call."""


class _SharedChannel:
    """The channel that all unary calls to one peer share.

    Attributes:
        channel: The channel.
        ask: Sends a request on it.
        underway: Number of pending calls.
        used_at: When the last call ended.
    """

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.channel = channel
        self.ask: Any = channel.unary_unary(f"/{SERVICE}/Ask")
        self.underway = 0
        self.used_at = steadyclock.read()
        self._connected = anyio.Event()
        self._error: LinkError | None = None
        self._is_replaced = False

    @property
    def is_usable(self) -> bool:
        """Whether the channel is connected or is being connected."""
        if not self._connected.is_set():
            return True
        return self.channel.get_state() is grpc.ChannelConnectivity.READY

    def finish_connecting(self, error: LinkError | None = None) -> None:
        """Ends the wait for the connection.

        Args:
            error: Why the attempt failed; None if it succeeded.
        """
        self._error = error
        self._connected.set()

    async def wait_connected(self) -> None:
        """Waits for the end of the connection attempt.

        Raises:
            LinkError: The attempt failed.
        """
        await self._connected.wait()
        if self._error:
            raise type(self._error)(str(self._error)) from self._error

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[None]:
        """Counts a call while it is pending."""
        self.underway += 1
        try:
            yield
        finally:
            self.underway -= 1
            self.used_at = steadyclock.read()
            if self._is_replaced and not self.underway:
                with anyio.CancelScope(shield=True):
                    await self.channel.close()

    async def replace(self) -> None:
        """Closes the channel once its pending calls have ended."""
        self._is_replaced = True
        if not self.underway:
            await self.channel.close()


class Asker(Protocol):
    """Sends requests to peers; see ``PeerClient``."""

    async def ask(self, address: str, request: Any, timeout_s: float) -> Any:
        """Returns the response; raises LinkError if there is none in time."""


class PeerClient:
    """Calls peers and opens links; unary calls to a peer share a channel.

    Args:
        hybrid_clock: This process's clock.
        tls: Settings for mutual TLS; None for plain connections.
        allowed_peers: Decides which peers can be reached; all by default.

    Attributes:
        asked_bytes: Bytes sent and received by unary calls.
        failures: Links and channels that do not open.
    """

    def __init__(
        self,
        hybrid_clock: clock.HybridClock,
        tls: settings.TlsSettings | None,
        allowed_peers: peer_filter.PeerFilter | None = None,
    ) -> None:
        self._clock = hybrid_clock
        self._tls = tls
        self._allowed_peers = allowed_peers or peer_filter.AllowAllPeers()
        self._channels: dict[str, _SharedChannel] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._connect_timeouts: dict[str, connect_timeout.ConnectTimeout] = {}
        self._handlers: dict[str, Handler] = {}
        self.asked_bytes = 0
        self.failures = link_failures.LinkFailures()

    def serve_locally(self, address: str, handler: Handler) -> None:
        """Makes links to this process's address call its handler directly."""
        self._handlers[address] = handler

    async def ask(self, address: str, request: Any, timeout_s: float) -> Any:
        """Returns a peer's response to a request.

        Args:
            address: The peer.
            request: The request.
            timeout_s: Timeout in seconds, both of the connection, if there is
                none yet, and of the response.  A distant peer gets more for its
                response: the measured time of two round trips.

        Raises:
            LinkError: There was no valid response in time.
        """
        _check_allowed(address, self._allowed_peers)
        shared = await self._get_channel(address)
        try:
            async with shared.use():
                with deadline.move_on_after(timeout_s) as scope:
                    await shared.wait_connected()
                if scope.cancelled_caught:
                    raise LinkError(f"{address}: not connected in time")
                data = codec.encode(self._clock.tick(), request)
                distance_s = self._get_connect_timeout(address).measured_s
                response: bytes | None = None
                with deadline.move_on_after(timeout_s + distance_s):
                    async with _translate_cancellation(address):
                        response = await shared.ask(
                            data, timeout=timeout_s + distance_s + GRPC_MARGIN_S
                        )
                if response is None:
                    raise LinkError(f"{address}: no answer in time")
            self.asked_bytes += len(data) + len(response)
            frame = codec.decode(response)
            body = frame.body
        except (*CONNECTION_ERRORS, codec.CodecError) as error:
            raise LinkError(f"{address}: {_describe(error)}") from error
        self._clock.witness(frame.clock)
        return body

    def encode(self, body: Any) -> bytes:
        """Returns a message as a frame with this process's clock."""
        return codec.encode(self._clock.tick(), body)

    def decode(self, data: bytes) -> Any:
        """Returns the only message of a frame.

        Raises:
            CodecError: The bytes are not a valid frame with one message.
        """
        frame = codec.decode(data)
        self._clock.witness(frame.clock)
        return frame.body

    @contextlib.asynccontextmanager
    async def call(
        self,
        address: str,
        method: str,
        timeout_s: float,
        metadata: Sequence[tuple[str, str]] = (),
    ) -> AsyncIterator[Any]:
        """Begins a bidirectional call, which ends with the context.

        Args:
            address: The peer.
            method: Name of the method.
            timeout_s: Timeout of the connection, in seconds, if there is none
                yet.
            metadata: Keys and values that go with the call.

        Raises:
            LinkError: The peer cannot be reached.
        """
        _check_allowed(address, self._allowed_peers)
        shared = await self._get_channel(address)
        async with shared.use():
            with deadline.move_on_after(timeout_s) as scope:
                await shared.wait_connected()
            if scope.cancelled_caught:
                raise LinkError(f"{address}: not connected in time")
            begin: Any = shared.channel.stream_stream(f"/{SERVICE}/{method}")
            begun = begin(metadata=metadata)
            try:
                yield begun
            finally:
                begun.cancel()

    @contextlib.asynccontextmanager
    async def attach(self, address: str) -> AsyncIterator[Link]:
        """Opens a link, which is closed when the context ends.

        Raises:
            LinkError: The peer cannot be reached.
        """
        if address in self._handlers:
            async with _attach_locally(
                address, self._handlers[address]
            ) as opened:
                yield opened
            return
        # A separate channel, as closing one ends all calls on it.
        channel = self._open_channel(address)
        try:
            await self._connect(address, channel)
            call: Any = channel.stream_stream(f"/{SERVICE}/Attach")(
                wait_for_ready=False
            )
            yield GrpcLink(address, call, self._clock, self._allowed_peers)
        finally:
            with anyio.CancelScope(shield=True):
                await channel.close()

    def record_failure(
        self, address: str, kind: link_failures.Kind, error: LinkError
    ) -> None:
        """Records that a link has failed to open.

        The first attempts at an unknown address may be too short, so they do
        not count.
        """
        if not isinstance(error, ConnectGuessError):
            now = steadyclock.read()
            self.failures.record_failure(address, kind, str(error), now)

    async def close(self) -> None:
        """Closes all channels."""
        for task in self._connecting:
            task.cancel()
        await asyncio.gather(*self._connecting, return_exceptions=True)
        for shared in self._channels.values():
            await shared.channel.close()
        self._channels.clear()

    @property
    def channel_count(self) -> int:
        """Number of open channels for unary calls."""
        return len(self._channels)

    async def close_idle(self, now: float) -> None:
        """Closes channels that were idle for ``IDLE_TIMEOUT_S``.

        Args:
            now: The current time, in seconds.
        """
        for address, shared in list(self._channels.items()):
            if not shared.underway and now - shared.used_at > IDLE_TIMEOUT_S:
                await self.close_channel(address)

    async def close_channel(self, address: str) -> None:
        """Closes the channel to a peer; the next call opens another."""
        if shared := self._channels.pop(address, None):
            await shared.channel.close()

    async def _get_channel(self, address: str) -> _SharedChannel:
        if shared := self._channels.get(address):
            if shared.is_usable:
                return shared
            del self._channels[address]
            await shared.replace()
        # Another call may have opened one in the meantime.
        if address not in self._channels:
            self._channels[address] = self._open_shared_channel(address)
        return self._channels[address]

    def _open_shared_channel(self, address: str) -> _SharedChannel:
        shared = _SharedChannel(self._open_channel(address))

        async def connect() -> None:
            try:
                await self._connect(address, shared.channel)
            except LinkError as error:
                # The channel itself would try again without end.
                if self._channels.get(address) is shared:
                    del self._channels[address]
                shared.finish_connecting(error)
                self.record_failure(address, link_failures.Kind.CALLS, error)
                await shared.replace()
            except asyncio.CancelledError:
                shared.finish_connecting(LinkError(f"{address}: closed"))
                raise
            else:
                shared.finish_connecting()
                self.failures.record_open(address, link_failures.Kind.CALLS)

        # Not cancelled with the call that began it: other calls wait for the
        # connection too, and a late success tells the time that it takes.
        task = asyncio.create_task(connect())
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return shared

    async def _connect(self, address: str, channel: grpc.aio.Channel) -> None:
        """Waits until a new channel is connected.

        Raises:
            LinkError: The attempt failed or timed out.
        """
        timeout = self._get_connect_timeout(address)
        began = steadyclock.read()
        timeout_s = timeout.get_timeout_s(began)
        try:
            async with _translate_cancellation(address):
                state = await _wait_connected(channel, timeout_s)
        except CONNECTION_ERRORS as error:
            raise LinkError(f"{address}: {_describe(error)}") from error
        now = steadyclock.read()
        if state is grpc.ChannelConnectivity.READY:
            timeout.record_success(now - began)
        elif state in PENDING_STATES:
            is_guess = timeout.is_guess(began)
            timeout.record_timeout(timeout_s, now)
            kind = ConnectGuessError if is_guess else LinkError
            raise kind(f"{address}: no connection within {timeout_s:.2f} s")
        else:
            raise LinkError(
                f"{address}: the connection was refused or not accepted"
            )

    def _get_connect_timeout(
        self, address: str
    ) -> connect_timeout.ConnectTimeout:
        # Moved to the end, so that the oldest is dropped first.
        timeout = self._connect_timeouts.pop(address, None)
        timeout = timeout or connect_timeout.ConnectTimeout()
        self._connect_timeouts[address] = timeout
        if len(self._connect_timeouts) > MAX_KNOWN_ADDRESSES:
            del self._connect_timeouts[next(iter(self._connect_timeouts))]
        return timeout

    def _open_channel(self, address: str) -> grpc.aio.Channel:
        if not self._tls:
            return grpc.aio.insecure_channel(address, options=OPTIONS)
        name = ("grpc.ssl_target_name_override", self._tls.server_name)
        return grpc.aio.secure_channel(
            address,
            credentials.make_client_credentials(self._tls),
            options=[*OPTIONS, name],
        )


async def _wait_connected(
    channel: grpc.aio.Channel, timeout_s: float
) -> grpc.ChannelConnectivity:
    """Returns the state at the end of a new channel's first attempt.

    It is a pending state if the attempt timed out; the channel is then closed.
    """
    until = steadyclock.read() + timeout_s
    state = channel.get_state(try_to_connect=True)
    while state in PENDING_STATES:
        change = asyncio.ensure_future(channel.wait_for_state_change(state))
        latest = state
        try:
            left_s = max(0.0, until - steadyclock.read())
            with deadline.move_on_after(left_s):
                await asyncio.wait([change])
            latest = channel.get_state(try_to_connect=True)
        finally:
            # grpc frees a cancelled wait although its core still refers to it;
            # closing the channel ends the wait instead.
            with anyio.CancelScope(shield=True):
                if latest is state:
                    await channel.close()
                await asyncio.gather(change, return_exceptions=True)
        if latest is state:
            break
        state = latest
    return state


class Link(abc.ABC):
    """The attaching side of a message stream."""

    address: str

    @abc.abstractmethod
    async def send(self, *bodies: Any) -> None:
        """Sends messages in one frame.

        Raises:
            LinkError: The link is broken.
        """

    @abc.abstractmethod
    async def receive(self) -> Any:
        """Returns the next message.

        Raises:
            LinkError: The link is broken or ended.
        """


class LocalLink(Link):
    """A link to a handler in the same process."""

    def __init__(self, address: str, session: Session, handler: Handler):
        self.address = address
        self._session = session
        self._handler = handler

    async def send(self, *bodies: Any) -> None:
        """See the base class."""
        for body in bodies:
            await self._handler.receive(self._session, body)

    async def receive(self) -> Any:
        """See the base class."""
        try:
            return await self._session.outgoing.receive()
        except anyio.EndOfStream as error:
            raise LinkError(
                f"{self.address}: the session was closed"
            ) from error


@contextlib.asynccontextmanager
async def _attach_locally(
    address: str, handler: Handler
) -> AsyncIterator[LocalLink]:
    session = Session()
    await handler.open(session)
    try:
        yield LocalLink(address, session, handler)
    finally:
        session.close()
        with anyio.CancelScope(shield=True):
            await handler.close(session)


class GrpcLink(Link):
    """A link over gRPC."""

    def __init__(
        self,
        address: str,
        call: Any,
        hybrid_clock: clock.HybridClock,
        allowed_peers: peer_filter.PeerFilter,
    ) -> None:
        self.address = address
        self._call = call
        self._allowed_peers = allowed_peers
        self._clock = hybrid_clock
        self._received: collections.deque[Any] = collections.deque()

    async def send(self, *bodies: Any) -> None:
        """See the base class."""
        _check_allowed(self.address, self._allowed_peers)
        data = codec.encode(self._clock.tick(), *bodies)
        try:
            async with _translate_cancellation(self.address):
                await self._call.write(data)
        except CONNECTION_ERRORS as error:
            raise LinkError(f"{self.address}: {_describe(error)}") from error

    async def receive(self) -> Any:
        """See the base class."""
        while not self._received:
            self._received.extend(await self._read_frame())
        return self._received.popleft()

    async def _read_frame(self) -> list[Any]:
        try:
            async with _translate_cancellation(self.address):
                data = await self._call.read()
        except CONNECTION_ERRORS as error:
            raise LinkError(f"{self.address}: {_describe(error)}") from error
        _check_allowed(self.address, self._allowed_peers)
        if data is grpc.aio.EOF:
            raise LinkError(f"{self.address}: the peer closed the link")
        try:
            frame = codec.decode(data)
        except codec.CodecError as error:
            raise LinkError(f"{self.address}: {error}") from error
        self._clock.witness(frame.clock)
        return frame.bodies


def drain_queue(
    first: Any, queue: memory.MemoryObjectReceiveStream[Any]
) -> list[Any]:
    """Returns a message and those queued behind it, for one frame.

    Load pattern: a request's messages to its owner come in pairs, and an owner
    answers many requests at a time.  Each frame costs both sides several system
    calls and a thread wake-up.

    Args:
        first: The message already taken from the queue.
        queue: The queue.
    """
    bodies = [first]
    with contextlib.suppress(anyio.WouldBlock, anyio.EndOfStream):
        while len(bodies) < MAX_FRAME_MESSAGES:
            bodies.append(queue.receive_nowait())
    return bodies


@contextlib.asynccontextmanager
async def _translate_cancellation(address: str) -> AsyncIterator[None]:
    """Translates the cancellation of a call into a ``LinkError``.

    grpc raises ``CancelledError`` no matter what cancelled the call.  The task
    would take it for its own cancellation and end silently.  If a scope was
    cancelled, grpc's error differs from the scope's own: the scope would not
    recognise it, and the error would cancel the sibling tasks.
    """
    try:
        yield
    except asyncio.CancelledError as error:
        # Raises the scope's own error if a scope was cancelled.
        await anyio.lowlevel.checkpoint_if_cancelled()
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        raise LinkError(f"{address}: the call was cancelled") from error


def _check_allowed(address: str, allowed_peers: peer_filter.PeerFilter) -> None:
    if not allowed_peers.allows(address):
        raise LinkError(f"{address}: blocked by the peer filter")


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error)

"""HTTP/1.1 client connection to a backend server, one request at a time."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import Any

import anyio
import anyio.lowlevel
import h11
import msgspec

from ramptray import connecting, steadyclock
from ramptray import deadline as deadlines
from ramptray.core import message as core_message
from ramptray.core import request as core_request
from ramptray.relay import byte_stream, message
from ramptray.relay import dialect as dialects
from ramptray.relay import socket_stream as streams

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.12
"""Longest time to open a connection, in seconds: about fifty round trips in a
deployment whose zones are about a millisecond apart."""

DEFAULT_IDLE_TIMEOUT_S = 10.0
"""How long an idle connection is kept, in seconds, if the backend server names
no timeout."""

IDLE_MARGIN_S = 1.0
"""How long before the backend server's timeout an idle connection expires here,
in seconds."""

SEND_TIMEOUT_S = 30.0
"""Longest time a backend server may leave a request unread, in seconds.  The
request's own deadline is earlier."""

MAX_SLICE_BYTES = 64 * 1024
"""Part of a request's body that is sent at a time, in bytes.  What is written
but not sent yet exists twice."""

MAX_HEAD_BYTES = 65536
MAX_SKIPPED_RESPONSES = 4
"""Largest number of responses to other requests that are skipped."""

MAX_SKIPPED_BYTES = 256 * 1024
"""Most bytes of a body that are read only to be dropped."""

MAX_INTERIM_RESPONSES = 16
"""Most interim responses before a response."""

DISCARD_TIMEOUT_S = 0.5
"""Longest time to read the rest of a response that is not needed, in seconds.
It is read only so that the connection can be used again."""

EVENTS_PER_TURN = 64
"""Parts of a response that are decoded before other requests get their turn.
64 KB can hold thousands."""

MAX_SMALL_PARTS_PER_S = 2000
"""Most small parts of a body a second on one connection.  Each part takes CPU
time, whatever its size, and no server sends tokens so fast."""

MIN_MEAN_PART_BYTES = 16
"""Mean size below which parts of a body count as small, in bytes."""


class RelayError(Exception):
    """Base class for errors on a connection to a backend server."""


class NotSentError(RelayError):
    """The connection could not be opened; no byte of the request was sent.

    Attributes:
        refused: Whether it was refused; otherwise the attempt timed out.
        gateway_failure: Why the gateway, if any, led to no connection.
        failed_gateways: The same for several gateways, by address.
        is_local: Whether this VM lacked what a connection needs, which shows
            nothing about the server.
    """

    def __init__(
        self,
        text: str,
        refused: bool,
        gateway_failure: core_message.GatewayFailure | None = None,
        failed_gateways: Mapping[
            str, core_message.GatewayFailure
        ] = core_request.NO_FAILURES,
        is_local: bool = False,
    ) -> None:
        self.refused = refused
        self.is_local = is_local
        self.gateway_failure = gateway_failure
        self.failed_gateways = dict(failed_gateways)
        super().__init__(text)


_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
"""Headers of responses whose end can be told from that of the connection."""


class BrokenError(RelayError):
    """The connection broke or the response was invalid after the request."""


class Target(msgspec.Struct, frozen=True):
    """The backend server that a request is sent to.

    Attributes:
        address: IP number and port of the backend server.
        backend: Its name; empty if any program at that address will do.
        run: Which run of the backend server; see ``core.message.Grant``.
        delay_s: One-way delay to its region in seconds, which extends the
            timeouts of connections; 0 within the region.
        gateway: Address of the VM to connect through; empty for a direct
            connection.
        regions: Regions whose VMs and servers may get the request; None for
            any.
    """

    address: str
    backend: str = ""
    run: int = 0
    delay_s: float = 0.0
    gateway: str = ""
    regions: tuple[str, ...] | None = None

    @property
    def pool_key(self) -> str:
        """Identifies the connections that lead to it on the same way.

        A tunnel is not shared with requests of other regions, as its gateway
        may be outside theirs.
        """
        if not self.gateway:
            return self.address
        return f"{self.address} via {self.gateway} {self.regions}"

    def is_other_run(self, other: Target) -> bool:
        """Returns whether this is another run of the same backend server."""
        return self.backend == other.backend and self.run != other.run


class RunLostError(BrokenError):
    """The run of the backend server was lost, and another one was announced.

    It may have lost power, so that its connections stay open.
    """


class Connection:
    """A connection to a backend server that carries one request at a time.

    Attributes:
        target: The backend server.
        is_run_lost: Whether it was closed as its server's run was lost.
        heard_at: When bytes of the server were last read; 0 if none were.
    """

    def __init__(
        self,
        target: Target,
        stream: byte_stream.ByteStream,
        dialect: dialects.Dialect,
    ) -> None:
        self.target = target
        self.address = target.address
        self.is_run_lost = False
        self.heard_at = 0.0
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._stream = stream
        self._dialect = dialect
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._method = b"GET"
        self._response_complete = False
        self._ends_with_connection = False
        self._declared_length: int | None = None
        self._interim_count = 0
        self._skipped_count = 0
        # Bytes of the response that is being skipped; None if none is.
        self._skipped_bytes: int | None = None
        self._events_in_turn = 0
        # The event, or error, after the data that was read last; None if it
        # was not decoded.
        self._next: Any = None
        # Number and bytes of the parts of bodies since that time.
        self._parts_since = 0.0
        self._part_count = 0
        self._part_bytes = 0

    @property
    def declared_length(self) -> int | None:
        """Length of the body in bytes; None if the response names none."""
        return self._declared_length

    @property
    def ends_with_connection(self) -> bool:
        """Whether the response has neither a length nor chunks.

        A backend server that crashes then ends it like a complete one.
        """
        return self._ends_with_connection

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        http = self._http
        return (
            self._response_complete
            and not self._ends_with_connection
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )

    def is_usable(self) -> bool:
        """Returns whether nothing has arrived while the connection was idle.

        Unsolicited bytes, a closed connection or an error make it unusable.
        """
        return self._stream.is_idle()

    async def send(
        self, request: message.CallerRequest, attempt: message.Attempt
    ) -> None:
        """Sends a complete request.

        Raises:
            BrokenError: The connection broke and nothing had arrived; the
                request may have.
        """
        headers = self._dialect.make_headers(request, attempt)
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        self._method = request.method
        self._response_complete = False
        self._interim_count = self._skipped_count = 0
        self._skipped_bytes = None
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            await self._send_all(head, request.body)
        except anyio.BrokenResourceError as error:
            # A server that refuses a request may close the connection before
            # it has read the body.
            if not await self._read_early():
                raise BrokenError(f"{self.address}: {error!r}") from error
        except (
            TimeoutError,
            anyio.ClosedResourceError,
            h11.LocalProtocolError,
        ) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error

    async def _send_all(
        self, head: h11.Request, body: bytes | bytearray
    ) -> None:
        """Sends a head and a body, whose parts have one time limit together."""
        ends_at = steadyclock.read() + SEND_TIMEOUT_S
        data = self._http.send(head) or b""
        for start in range(0, len(body), MAX_SLICE_BYTES):
            if start:
                await self._send_before(ends_at, data)
                data = b""
            part = bytes(body[start : start + MAX_SLICE_BYTES])
            data += self._http.send(h11.Data(data=part)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._send_before(ends_at, data)

    async def _send_before(self, ends_at: float, data: bytes) -> None:
        left_s = max(0.0, ends_at - steadyclock.read())
        await self._stream.send(data, left_s)

    async def _read_early(self) -> bool:
        """Reads what arrived before a send failed; returns whether any did."""
        try:
            received = await self._stream.receive(0.0)
        except (
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return False
        self._http.receive_data(received)
        return True

    async def read_head(
        self, request_id: str, timeout_s: float | None = None
    ) -> message.ResponseHead:
        """Returns the head of the response to this request.

        Interim responses and responses to other requests that arrive before it
        are skipped.

        Args:
            request_id: Id of the request.
            timeout_s: Longest time until the head is complete, in seconds; None
                for no limit.

        Raises:
            BrokenError: No response arrived.
            TimeoutError: It was not complete in time; may be called again.
        """
        deadline = None if timeout_s is None else steadyclock.read() + timeout_s
        while True:
            if self._skipped_bytes is not None:
                await self._skip_body(deadline)
            event = await self._next_event(_get_remaining_s(deadline))
            if isinstance(event, h11.InformationalResponse):
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    raise BrokenError(
                        f"{self.address}: more than {MAX_INTERIM_RESPONSES}"
                        " interim responses"
                    )
                continue
            if not isinstance(event, h11.Response):
                raise BrokenError(f"{self.address}: no response head")
            head = self._parse_head(event)
            if head.request_id in (None, request_id):
                if head.idle_s is not None:
                    self.idle_timeout_s = max(0.0, head.idle_s - IDLE_MARGIN_S)
                return head
            self._begin_skip(head)

    def _parse_head(self, response: h11.Response) -> message.ResponseHead:
        headers = list(response.headers.raw_items())
        values = {name.lower(): value for name, value in headers}
        self._ends_with_connection = values.keys().isdisjoint(_FRAMING_HEADERS)
        length = values.get(b"content-length")
        if length is None or b"transfer-encoding" in values:
            self._declared_length = None
        else:
            self._declared_length = int(length)
        return self._dialect.parse_response_head(response.status_code, headers)

    async def read_part(self, timeout_s: float | None = None) -> bytes | None:
        """Returns the next bytes of the response's body; None at its end.

        Chunks that have arrived together are returned together.

        Args:
            timeout_s: Longest time without bytes of the body, in seconds; None
                for no limit.  Bytes of its framing do not prolong it.

        Raises:
            BrokenError: The response ended early.
            TimeoutError: None arrived in time; it may be called again.
        """
        event = await self._next_event(timeout_s)
        if isinstance(event, h11.EndOfMessage):
            self._response_complete = True
            return None
        if not isinstance(event, h11.Data):
            raise BrokenError(f"{self.address}: the response ended early")
        return b"".join(self._take_received(event))

    def _take_received(self, first: h11.Data) -> Iterator[bytes]:
        """Yields the data of an event, and what has arrived after it.

        Whoever reads a part forwards it, which costs more CPU time for each
        part than for its bytes.

        Raises:
            BrokenError: There are too many small parts.
        """
        event: Any = first
        while isinstance(event, h11.Data):
            data = bytes(event.data)
            self._count_part(len(data))
            yield data
            if self._events_in_turn >= EVENTS_PER_TURN:
                return
            self._events_in_turn += 1
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                event = error
        if event is not h11.NEED_DATA:
            self._next = event

    def _count_part(self, size: int) -> None:
        """Counts a part of a body.

        Raises:
            BrokenError: There are too many small ones.
        """
        self._part_count += 1
        self._part_bytes += size
        if self._part_count <= MAX_SMALL_PARTS_PER_S:
            return
        now = steadyclock.read()
        is_small = self._part_bytes < MIN_MEAN_PART_BYTES * self._part_count
        if is_small and now - self._parts_since < 1.0:
            raise BrokenError(
                f"{self.address}: more than {MAX_SMALL_PARTS_PER_S} parts of"
                f" less than {MIN_MEAN_PART_BYTES} bytes a second"
            )
        self._parts_since = now
        self._part_count = self._part_bytes = 0

    async def read_body(
        self,
        max_bytes: int,
        read_part: Callable[[], Awaitable[bytes | None]] | None = None,
    ) -> bytes:
        """Returns the body of the response, or its beginning.

        Args:
            max_bytes: Number of bytes beyond which no more are read; see
                ``is_complete``.
            read_part: Reads a part; None for ``read_part`` of this connection.

        Raises:
            BrokenError: The response ended early.
        """
        parts = []
        size = 0
        read_part = read_part or self.read_part
        while size <= max_bytes and (part := await read_part()) is not None:
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been read."""
        return self._response_complete

    async def discard_body(self) -> None:
        """Reads the rest of a response that is not needed, if it is short."""
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            await self.read_body(MAX_SKIPPED_BYTES)

    async def close(self) -> None:
        """Closes the connection without flushing."""
        self.discard()

    def discard(self) -> None:
        """Does the same without a wait."""
        self._stream.close()

    def start_next_cycle(self) -> None:
        """Prepares the connection for the next request."""
        self._http.start_next_cycle()

    def _begin_skip(self, head: message.ResponseHead) -> None:
        """Marks that the response being read belongs to another request.

        Raises:
            BrokenError: There were too many of them.
        """
        LOG.info(
            "skipped a response to another request",
            extra={"backend": self.address, "request_id": head.request_id},
        )
        self._skipped_count += 1
        if self._skipped_count >= MAX_SKIPPED_RESPONSES:
            raise BrokenError(
                f"{self.address}: only responses to other requests"
            )
        self._skipped_bytes = 0

    async def _skip_body(self, deadline: float | None) -> None:
        """Reads the body of a skipped response and resets the parser.

        Raises:
            BrokenError: It is too long, or the connection closed after it.
            TimeoutError: The deadline passed; may be called again.
        """
        assert self._skipped_bytes is not None
        while (
            part := await self.read_part(_get_remaining_s(deadline))
        ) is not None:
            self._skipped_bytes += len(part)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise BrokenError(
                    f"{self.address}: a response to another request of more"
                    f" than {MAX_SKIPPED_BYTES} bytes"
                )
        self._skipped_bytes = None
        self._response_complete = False
        trailing, closed = self._http.trailing_data
        if closed:
            raise BrokenError(
                f"{self.address}: closed after a response to another request"
            )
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # h11 parses a response only after it has seen a request.
        placeholder = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._http.send(placeholder)
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)

    async def _next_event(self, timeout_s: float | None) -> Any:
        """Returns the next event of the response.

        Args:
            timeout_s: Longest time until it is complete, in seconds, however
                many of its bytes arrive meanwhile; None for no limit.

        Raises:
            BrokenError: The connection broke, or what arrived is no response.
            TimeoutError: It was not complete in time; may be called again.
        """
        deadline = None if timeout_s is None else steadyclock.read() + timeout_s
        self._events_in_turn += 1
        if self._events_in_turn > EVENTS_PER_TURN:
            self._events_in_turn = 1
            await anyio.lowlevel.checkpoint()
        while True:
            try:
                event, self._next = self._next, None
                if isinstance(event, h11.RemoteProtocolError):
                    raise event
                event = event or self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._receive(_get_remaining_s(deadline))
                self._http.receive_data(data)
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"{self.address}: {error}") from error

    async def _receive(self, timeout_s: float | None) -> bytes:
        try:
            received = await self._stream.receive(timeout_s)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            kind = RunLostError if self.is_run_lost else BrokenError
            raise kind(f"{self.address}: {error!r}") from error
        self.heard_at = steadyclock.read()
        return received


def _get_remaining_s(deadline: float | None) -> float | None:
    """Returns the seconds until a deadline; None if there is none."""
    if deadline is None:
        return None
    return max(0.0, deadline - steadyclock.read())


async def open_connection(
    target: Target, dialect: dialects.Dialect
) -> Connection:
    """Opens a connection to a backend server.

    Raises:
        NotSentError: It could not be opened.
    """
    address = target.address
    try:
        host, port = connecting.split_address(address)
        with deadlines.fail_after(CONNECT_TIMEOUT_S + 2 * target.delay_s):
            stream = await streams.connect(host, port)
    except (OSError, TimeoutError) as error:
        is_local = connecting.is_local_shortage(error)
        refused = not (is_local or isinstance(error, TimeoutError))
        raise NotSentError(
            f"{address}: {error!r}", refused, is_local=is_local
        ) from error
    return Connection(target, stream, dialect)

"""HTTP/1.1 client connection to a backend server, one request at a time."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Mapping
from typing import Any

import anyio
import h11
import msgspec

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

MAX_HEAD_BYTES = 65536
MAX_SKIPPED_RESPONSES = 4
"""Largest number of responses to other requests that are skipped."""


class RelayError(Exception):
    """Base class for errors on a connection to a backend server."""


class NotSentError(RelayError):
    """The connection could not be opened; no byte of the request was sent.

    Attributes:
        refused: Whether it was refused; otherwise the attempt timed out.
        gateway_failure: Why the gateway, if any, led to no connection.
        failed_gateways: The same for several gateways, by address.
    """

    def __init__(
        self,
        text: str,
        refused: bool,
        gateway_failure: core_message.GatewayFailure | None = None,
        failed_gateways: Mapping[
            str, core_message.GatewayFailure
        ] = core_request.NO_FAILURES,
    ) -> None:
        self.refused = refused
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


class HungError(BrokenError):
    """Nothing arrived for so long that the connection may be dead."""


class Connection:
    """A connection to a backend server that carries one request at a time."""

    def __init__(
        self,
        target: Target,
        stream: byte_stream.ByteStream,
        dialect: dialects.Dialect,
    ) -> None:
        self.target = target
        self.address = target.address
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._stream = stream
        self._dialect = dialect
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._method = b"GET"
        self._response_complete = False
        self._ends_with_connection = False

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
            BrokenError: The connection broke; the request may have arrived.
        """
        headers = self._dialect.make_headers(request, attempt)
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        self._method = request.method
        self._response_complete = False
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            data = self._http.send(head) or b""
            data += self._http.send(h11.Data(data=request.body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            await self._stream.send(data, SEND_TIMEOUT_S)
        except (
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.LocalProtocolError,
        ) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error

    async def read_head(
        self, request_id: str, timeout_s: float | None = None
    ) -> message.ResponseHead:
        """Returns the head of the response to this request.

        Responses to other requests that arrive before it are skipped.

        Args:
            request_id: Id of the request.
            timeout_s: Longest silence, in seconds; None for no limit.

        Raises:
            BrokenError: No response arrived.
            TimeoutError: Nothing arrived in time; it may be called again.
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            event = await self._next_event(timeout_s)
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event(timeout_s)
            if not isinstance(event, h11.Response):
                raise BrokenError(f"{self.address}: no response head")
            headers = list(event.headers.raw_items())
            names = {name.lower() for name, _ in headers}
            self._ends_with_connection = names.isdisjoint(_FRAMING_HEADERS)
            head = self._dialect.parse_response_head(event.status_code, headers)
            if head.request_id in (None, request_id):
                if head.idle_s is not None:
                    self.idle_timeout_s = max(0.0, head.idle_s - IDLE_MARGIN_S)
                return head
            await self._skip_response(head)
        raise BrokenError(f"{self.address}: only responses to other requests")

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yields the response's body as it arrives.

        Raises:
            BrokenError: The response ended early.
        """
        while (part := await self.read_part()) is not None:
            yield part

    async def read_part(self, timeout_s: float | None = None) -> bytes | None:
        """Returns the next bytes of the response's body; None at its end.

        Args:
            timeout_s: Longest silence, in seconds; None for no limit.

        Raises:
            BrokenError: The response ended early.
            TimeoutError: Nothing arrived in time; it may be called again.
        """
        event = await self._next_event(timeout_s)
        if isinstance(event, h11.EndOfMessage):
            self._response_complete = True
            return None
        if not isinstance(event, h11.Data):
            raise BrokenError(f"{self.address}: the response ended early")
        return bytes(event.data)

    async def read_body(self) -> bytes:
        """Returns the complete body of the response.

        Raises:
            BrokenError: The response ended early.
        """
        return b"".join([part async for part in self.iterate_body()])

    async def close(self) -> None:
        """Closes the connection without flushing."""
        self._stream.close()

    def start_next_cycle(self) -> None:
        """Prepares the connection for the next request."""
        self._http.start_next_cycle()

    async def _skip_response(self, head: message.ResponseHead) -> None:
        """Reads a response to another request and resets the parser."""
        LOG.info(
            "skipped a response to another request",
            extra={"backend": self.address, "request_id": head.request_id},
        )
        await self.read_body()
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

    async def _next_event(self, timeout_s: float | None = None) -> Any:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._receive(timeout_s))
            except h11.RemoteProtocolError as error:
                raise BrokenError(f"{self.address}: {error}") from error

    async def _receive(self, timeout_s: float | None) -> bytes:
        try:
            return await self._stream.receive(timeout_s)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BrokenError(f"{self.address}: {error!r}") from error


async def open_connection(
    target: Target, dialect: dialects.Dialect
) -> Connection:
    """Opens a connection to a backend server.

    Raises:
        NotSentError: It could not be opened.
    """
    address = target.address
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S + 2 * target.delay_s):
            stream = await streams.connect(host, int(port))
    except (OSError, TimeoutError) as error:
        refused = not isinstance(error, TimeoutError)
        raise NotSentError(f"{address}: {error!r}", refused) from error
    return Connection(target, stream, dialect)

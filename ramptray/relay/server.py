"""HTTP/1.1 server of the relay; one task serves each caller's connection."""

from __future__ import annotations

import contextlib
import json
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import h11
import msgspec
from result import Err, Ok

from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.relay import answer as answers
from ramptray.relay import dialect as dialects
from ramptray.relay import message, refusal
from ramptray.relay import socket_stream as streams

LOG = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 30.0
"""Longest time a caller may leave its response unread, in seconds."""

BODY_TIMEOUT_S = 10.0
"""Longest time a request's body may take to arrive, in seconds."""

REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
BAD_REQUEST = 400

STOPPING = refusal.Refusal(refusal.UNAVAILABLE, "stopping", 0.05)
"""Sent during a planned stop; another VM can serve the retry at once."""

Serve = Callable[
    [message.CallerRequest, answers.ResponseWriter], Awaitable[None]
]


class CallerDisconnectedError(Exception):
    """The caller closed its connection or cannot be written to."""


class _BadRequestError(Exception):
    """The bytes received are not a valid request."""

    def __init__(self, invalid: message.InvalidRequest) -> None:
        self.invalid = invalid
        super().__init__(invalid.text)


class ServerState(msgspec.Struct):
    """State shared by all connections of the server.

    Attributes:
        limits: Limits for callers, from the bundle in force.
        stopping: Whether a planned stop has begun; responses then carry
            ``Connection: close``.
        diverting: Whether another VM would serve callers better; responses
            then carry ``Connection: close``.
        refusing: Whether new requests are refused because too little time is
            left to finish them before the process is killed.
        idle: Cancel scopes of the connections waiting for a request.
        active: Number of requests being served.
        connections: Number of open connections.
    """

    limits: model.RelayLimits = msgspec.field(default_factory=model.RelayLimits)
    stopping: bool = False
    diverting: bool = False
    refusing: bool = False
    idle: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    active: int = 0
    connections: int = 0


class RelayServer:
    """Serves callers' connections.

    Args:
        dialect: Decodes requests and encodes response headers.
        serve: Serves one request.
    """

    def __init__(self, dialect: dialects.Dialect, serve: Serve) -> None:
        self.state = ServerState()
        self._dialect = dialect
        self._serve = serve

    def refuse_new_requests(self) -> None:
        """Refuses new requests; requests being served continue."""
        self.state.refusing = True
        for scope in list(self.state.idle):
            scope.cancel()

    async def handle(self, stream: streams.SocketStream) -> None:
        """Serves one connection until it ends."""
        self.state.connections += 1
        connection = CallerConnection(
            stream, self._dialect, self._serve, self.state
        )
        try:
            streams.set_socket_options(stream)
            await connection.run()
        except (OSError, CallerDisconnectedError):
            pass  # The caller has disconnected; no response is possible.
        except Exception:
            # A bug must end this connection only, not the others.
            LOG.exception("connection ended by an error")
        finally:
            self.state.connections -= 1
            connection.close()


class CallerConnection:
    """A caller's connection, which carries one request after another."""

    def __init__(
        self,
        stream: streams.SocketStream,
        dialect: dialects.Dialect,
        serve: Serve,
        state: ServerState,
    ) -> None:
        self._stream = stream
        self._dialect = dialect
        self._serve = serve
        self._state = state
        self._http = h11.Connection(h11.SERVER, state.limits.header_bytes)
        self._aborted = False

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed its side, or the connection is lost."""
        return self._stream.has_ended

    async def run(self) -> None:
        """Serves requests until either side closes."""
        while await self._serve_one():
            self._http.start_next_cycle()
            # _read_request checks the next head against the limits in force.

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        try:
            request = await self._read_request()
        except _BadRequestError as error:
            await self._refuse_invalid_request(error.invalid)
            return False
        if request is None:
            return False
        if self._state.refusing:
            await CallerResponseWriter(self, request).refuse(STOPPING)
            return False
        self._state.active += 1
        try:
            await self._serve_until_disconnect(request)
        finally:
            self._state.active -= 1
        http = self._http
        clean = http.our_state is h11.DONE and http.their_state is h11.DONE
        return clean and not self._aborted

    async def _serve_until_disconnect(
        self, request: message.CallerRequest
    ) -> None:
        """Serves a request; cancels it as soon as the caller disconnects."""
        writer = CallerResponseWriter(self, request)
        with anyio.CancelScope() as scope:
            self._stream.on_end = scope.cancel
            try:
                if self._stream.has_ended:
                    scope.cancel()
                with contextlib.suppress(CallerDisconnectedError):
                    await self._serve(request, writer)
            finally:
                self._stream.on_end = None
        if scope.cancelled_caught:
            raise CallerDisconnectedError

    async def _read_request(self) -> message.CallerRequest | None:
        """Returns the next request; None if the connection ended."""
        event = await self._read_head()
        if event is None:
            return None
        head = message.RequestHead(
            event.method, event.target, list(event.headers.raw_items())
        )
        if _compute_head_size(head) > self._state.limits.header_bytes:
            invalid = message.InvalidRequest(
                HEADERS_TOO_LARGE, "head too large"
            )
            raise _BadRequestError(invalid)
        match self._dialect.parse_request(head):
            case Err(invalid):
                raise _BadRequestError(invalid)
            case Ok(request):
                pass
        body = await self._read_body()
        return msgspec.structs.replace(request, body=body)

    async def _read_head(self) -> h11.Request | None:
        limits = self._state.limits
        pipelined = bool(self._http.trailing_data[0])
        if not pipelined and not await self._wait_for_request(limits.idle_s):
            return None
        event = self._parse_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        try:
            with anyio.fail_after(limits.header_s):
                return await self._next_request()
        except TimeoutError as error:
            invalid = message.InvalidRequest(
                REQUEST_TIMEOUT, "head took too long"
            )
            raise _BadRequestError(invalid) from error

    async def _wait_for_request(self, idle_s: float) -> bool:
        """Returns whether the first bytes of a request have arrived."""
        arrived = False
        with anyio.CancelScope() as scope:
            self._state.idle.add(scope)
            try:
                arrived = await self._receive(idle_s)
            except TimeoutError:
                return False
            finally:
                self._state.idle.discard(scope)
        return arrived

    async def _next_request(self) -> h11.Request | None:
        while True:
            event = self._parse_event()
            if isinstance(event, h11.Request):
                return event
            if event is h11.NEED_DATA:
                await self._receive()
            else:
                return None

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        deadline = steadyclock.read() + BODY_TIMEOUT_S
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self._http.send(interim) or b"")
        try:
            async for data in self._iterate_body(deadline):
                size += len(data)
                if size > self._state.limits.body_bytes:
                    invalid = message.InvalidRequest(
                        CONTENT_TOO_LARGE, "body too large"
                    )
                    raise _BadRequestError(invalid)
                parts.append(data)
        except TimeoutError as error:
            invalid = message.InvalidRequest(
                REQUEST_TIMEOUT, "body took too long"
            )
            raise _BadRequestError(invalid) from error
        return b"".join(parts)

    async def _iterate_body(self, deadline: float) -> AsyncIterator[bytes]:
        """Yields the body's parts.

        Raises:
            TimeoutError: The body is incomplete at the deadline.
        """
        while True:
            event = self._parse_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif event is h11.NEED_DATA:
                left_s = max(0.0, deadline - steadyclock.read())
                if not await self._receive(left_s):
                    raise CallerDisconnectedError
            else:
                raise CallerDisconnectedError

    def _parse_event(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if status not in (BAD_REQUEST, HEADERS_TOO_LARGE):
                status = BAD_REQUEST
            invalid = message.InvalidRequest(status, str(error))
            raise _BadRequestError(invalid) from error

    async def _receive(self, timeout_s: float | None = None) -> bool:
        """Feeds received bytes to the parser; returns False at end of stream.

        Raises:
            TimeoutError: Nothing arrived in time.
        """
        try:
            data = await self._stream.receive(timeout_s)
        except anyio.EndOfStream:
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallerDisconnectedError from error
        return bool(data)

    async def send(self, data: bytes) -> None:
        """Writes bytes to the caller.

        Raises:
            CallerDisconnectedError: It disconnected or does not read.
        """
        try:
            await self._stream.send(data, WRITE_TIMEOUT_S)
        except (
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            self._aborted = True
            raise CallerDisconnectedError from error

    async def send_event(self, event: Any) -> None:
        """Writes a part of a response.

        Raises:
            CallerDisconnectedError: It disconnected or does not read.
        """
        try:
            data = self._http.send(event)
        except h11.LocalProtocolError as error:
            self._aborted = True
            raise CallerDisconnectedError from error
        if data:
            await self.send(data)

    async def abort(self) -> None:
        """Closes the connection in the middle of a response."""
        self._aborted = True
        if self._ends_with_connection:
            self._stream.reset()
        else:
            self._stream.close()

    def close(self) -> None:
        """Closes the connection after its last response."""
        if self._ends_with_connection:
            self._stream.reset()
        else:
            self._stream.flush_and_close()

    @property
    def _ends_with_connection(self) -> bool:
        """Whether an orderly close would end an incomplete response.

        HTTP/1.0 has no chunks.
        """
        return (
            self._http.our_state is h11.SEND_BODY
            and self._http.their_http_version == b"1.0"
        )

    def get_closing_headers(self) -> message.Headers:
        """Returns ``Connection: close`` if the connection is about to close."""
        if self._state.stopping or self._state.diverting:
            return [(b"Connection", b"close")]
        return []

    async def _refuse_invalid_request(
        self, invalid: message.InvalidRequest
    ) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        LOG.info(
            "invalid request refused",
            extra={"status": invalid.status, "detail": invalid.text},
        )
        headers = self._dialect.make_refusal_headers("", 0.0)
        headers.append((b"Connection", b"close"))
        refused = refusal.Refusal(invalid.status, invalid.text)
        await send_refusal(self, refused, headers)


class CallerResponseWriter(answers.ResponseWriter):
    """Writes a response to a caller's connection."""

    def __init__(
        self, connection: CallerConnection, request: message.CallerRequest
    ) -> None:
        self._connection = connection
        self._request = request

    @property
    def has_caller_left(self) -> bool:
        """See the base class."""
        return self._connection.has_ended

    async def start(
        self, head: message.ResponseHead, length: int | None
    ) -> None:
        """See the base class."""
        headers = [*head.headers, *self._connection.get_closing_headers()]
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        response = h11.Response(status_code=head.status, headers=headers)
        await self._connection.send_event(response)

    async def write(self, data: bytes) -> None:
        """See the base class."""
        if data:
            await self._connection.send_event(h11.Data(data=data))

    async def finish(self) -> None:
        """See the base class."""
        await self._connection.send_event(h11.EndOfMessage())

    async def refuse(self, refused: refusal.Refusal) -> None:
        """See the base class."""
        dialect = self._connection._dialect
        headers = dialect.make_refusal_headers(
            self._request.request_id, refused.retry_after_s
        )
        headers.extend(self._connection.get_closing_headers())
        await send_refusal(self._connection, refused, headers)

    async def abort(self) -> None:
        """See the base class."""
        await self._connection.abort()


def _compute_head_size(head: message.RequestHead) -> int:
    """Returns the approximate size of a head in bytes."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


async def send_refusal(
    connection: CallerConnection,
    refused: refusal.Refusal,
    headers: message.Headers,
) -> None:
    """Writes an error response generated by ramptray."""
    body = json.dumps({"error": refused.text}).encode()
    headers = [
        *headers,
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    response = h11.Response(status_code=refused.status, headers=headers)
    await connection.send_event(response)
    await connection.send_event(h11.Data(data=body))
    await connection.send_event(h11.EndOfMessage())

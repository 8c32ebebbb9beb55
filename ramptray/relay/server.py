"""HTTP/1.1 server of the relay; one task serves each caller's connection."""

from __future__ import annotations

import contextlib
import json
import logging
import re
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import anyio
import h11
import msgspec
from result import Err, Ok

from ramptray import receive_buffer, resources, steadyclock, turns
from ramptray.bundle import model
from ramptray.relay import answer as answers
from ramptray.relay import closing, message, refusal
from ramptray.relay import dialect as dialects
from ramptray.relay import socket_stream as streams

LOG = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 30.0
"""Longest time a caller may leave its response unread, in seconds."""

BODY_TIMEOUT_S = 10.0
"""Longest time a request's body may take to arrive, in seconds."""

READ_BYTES = 16 * 1024
"""Largest read of a request that is not known to be large, in bytes.  All
connections may have bytes to read in the same pass of the event loop."""

LARGE_BYTES = 256 * 1024
"""Size of a body from which on more is read at once, in bytes.  It is so large
that the longer reads matter little in what it takes altogether."""

MORE_UNREAD_BYTES = 48 * 1024
"""What a caller may send beyond the usual while its request is served, in
bytes, if there is room: whether it has left is seen only behind these."""

STEP_BYTES = 4 * 1024
"""Steps in which room is found for a body whose head names no length."""

PARTS_PER_TURN = 64
"""Lines or chunks that are parsed before other requests get their turn."""

FRAMING_BYTES = 32
"""Largest part of a body's framing for each chunk, in bytes: a size of up to 20
digits and two line ends."""

IDLE_MARGIN_S = 0.3
"""How much longer than its idle time a connection stays open, in seconds.  A
caller counts from when it has read its answer until it sends a request: both
are on their way for up to 150 ms, and a request that arrives after the end is
lost."""

MIN_HEADER_FRAMING_BYTES = 3
"""Bytes of a header beside its name and value: a colon and a line end."""

_HEAD_END = re.compile(rb"\n\r?\n")

REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431
BAD_REQUEST = 400

_LIMIT_STATUSES = (refusal.CONTENT_TOO_LARGE, HEADERS_TOO_LARGE)
"""Statuses of requests that exceed a limit of the configuration."""

INTERNAL_ERROR = refusal.Refusal(500, "internal error")
"""Sent after an error of this program; the request may have run."""

_BODY_TOO_LARGE = message.InvalidRequest(
    refusal.CONTENT_TOO_LARGE, "body too large"
)
_FRAMING_TOO_LARGE = message.InvalidRequest(
    refusal.CONTENT_TOO_LARGE, "framing of the body too large"
)

STOPPED = refusal.Refusal(refusal.BAD_GATEWAY, "stopped")
"""Sent if the time to stop ends before an answer begins; the request may have
run."""

STOPPING = refusal.Refusal(refusal.UNAVAILABLE, "stopping", 0.05)
"""Sent during a planned stop; another VM can serve the retry at once."""

CROWDED = refusal.Refusal(refusal.UNAVAILABLE, "crowded", 0.3)
"""Sent if a request has to give up its descriptor or memory to others, or finds
none; another VM may have some."""

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


class _StoppedError(Exception):
    """The time to stop is over and the request is incomplete."""


class _CrowdedError(Exception):
    """Others need the memory or the descriptor of an incomplete request."""


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
        ending: Whether the time to stop is over; only what has arrived is
            then read.
        awaits_limits: Whether no configuration is known yet, so that callers
            may rely on higher limits.
        idle: Streams of the connections waiting for a request.
        reading: Streams of the connections waiting for any bytes.
        serving: Cancel scopes of the requests being served.
        connections: Number of open connections.
        closing: How many of them are being closed for others.
        buffered_bytes: Memory that requests being read or served take, in
            bytes.
        turn_queue: Turns at parsing what takes long.
    """

    limits: model.RelayLimits = msgspec.field(default_factory=model.RelayLimits)
    stopping: bool = False
    diverting: bool = False
    refusing: bool = False
    ending: bool = False
    awaits_limits: bool = False
    idle: set[streams.SocketStream] = msgspec.field(default_factory=set)
    reading: set[streams.SocketStream] = msgspec.field(default_factory=set)
    serving: set[anyio.CancelScope] = msgspec.field(default_factory=set)
    connections: int = 0
    closing: int = 0
    buffered_bytes: int = 0
    turn_queue: turns.TurnQueue = msgspec.field(default_factory=turns.TurnQueue)

    @property
    def active(self) -> int:
        """Number of requests being served."""
        return len(self.serving)


class RelayServer(resources.ConnectionPool):
    """Serves callers' connections.

    Args:
        dialect: Decodes requests and encodes response headers.
        serve: Serves one request.
        budget: Descriptors and memory that callers share with others; None for
            any number.

    Attributes:
        state: State shared by all connections.
        closes: Counts the ends of connections.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        serve: Serve,
        budget: resources.ResourceBudget | None = None,
    ) -> None:
        self.state = ServerState()
        self.closes = closing.CloseLog()
        self._dialect = dialect
        self._serve = serve
        self._budget = budget
        self._open: set[CallerConnection] = set()
        if budget is not None:
            budget.add_pool("callers", self)

    @property
    def connection_count(self) -> int:
        """See the base class."""
        return self.state.connections - self.state.closing

    @property
    def buffered_bytes(self) -> int:
        """See the base class."""
        return self.state.buffered_bytes

    def list_resting(self) -> Iterator[resources.Resting]:
        """See the base class."""
        return (
            resting
            for connection in self._open
            if (resting := connection.find_rest()) is not None
        )

    def list_holders(self) -> Iterator[resources.Holder]:
        """See the base class."""
        return (
            holder
            for connection in self._open
            if (holder := connection.find_holder()) is not None
        )

    @property
    def is_busy(self) -> bool:
        """Whether a connection holds a request or is being closed."""
        idle = self.state.idle
        return self.state.connections > len(idle) or not all(
            stream.is_idle() for stream in idle
        )

    def refuse_new_requests(self) -> None:
        """Refuses new requests and closes idle connections.

        Requests being served continue.
        """
        self.state.refusing = True
        for stream in self.state.idle:
            stream.end_wait()

    def end_requests(self) -> None:
        """Ends all requests: the time to stop is over.

        Those that have not arrived completely are refused, and answers that
        have begun are cut.
        """
        self.state.ending = True
        self.state.turn_queue.close()
        for scope in self.state.serving:
            scope.cancel()
        for stream in self.state.reading:
            stream.end_wait()

    async def handle(self, stream: streams.SocketStream) -> None:
        """Serves one connection until it ends."""
        self.state.connections += 1
        connection = CallerConnection(
            stream, self._dialect, self._serve, self.state, self._budget
        )
        self._open.add(connection)
        try:
            streams.set_socket_options(stream)
            await connection.run()
            await connection.linger()
        except (OSError, CallerDisconnectedError):
            pass  # The caller has disconnected; no response is possible.
        except Exception:
            # A bug must end this connection only, not the others.
            LOG.exception("closing a connection failed")
            connection.close_reason = closing.CloseReason.ERROR
        finally:
            self.state.connections -= 1
            self._open.discard(connection)
            connection.release()
            self.closes.record(connection.describe_close())
            connection.close()


class CallerConnection:
    """A caller's connection, which carries one request after another.

    Attributes:
        close_reason: Why it ends.
    """

    def __init__(
        self,
        stream: streams.SocketStream,
        dialect: dialects.Dialect,
        serve: Serve,
        state: ServerState,
        budget: resources.ResourceBudget | None = None,
    ) -> None:
        self._budget = budget
        # Its requests are refused unless there is room when they arrive.
        self._is_surplus = budget is not None and budget.is_exceeded
        self._is_closed_for_others = False
        self._waits_since: float | None = None
        self._stream = stream
        self._dialect = dialect
        self._serve = serve
        self._state = state
        # _parse_event checks the limit in force instead, which may change.
        self._http = h11.Connection(h11.SERVER, sys.maxsize)
        self._aborted = False
        self.close_reason = closing.CloseReason.CALLER
        self._request_count = 0
        self._request_id = ""
        self._announced_close = False
        self._has_unanswered = False
        self._lingers_since: float | None = None
        self._dropped_bytes = 0
        self._idle_since = steadyclock.read()
        self._promised_idle_s = state.limits.idle_s
        # Memory that the request takes or is about to, and that of its head.
        self._buffered_bytes = 0
        self._head_cost = 0
        self._is_reading = False
        self._is_refused = False
        self._turn: turns.Turn | None = None
        self._turn_count = 0
        # Of the body: whether it has chunks, how many there were, and the bytes
        # that arrived since its head was parsed.
        self._is_chunked = False
        self._chunk_count = 0
        self._wire_bytes = 0
        self._is_large = False
        self._keeps_more_unread = False
        stream.max_read_bytes = READ_BYTES
        stream.on_unread_limit = self._allow_more_unread

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed its side, or the connection is lost."""
        return self._stream.has_ended

    def describe_close(self) -> closing.Close:
        """Returns why and how the connection ends; called before it closes."""
        unparsed = len(self._http.trailing_data[0])
        ended_at = self._lingers_since or steadyclock.read()
        return closing.Close(
            self.close_reason,
            ended_at - self._idle_since,
            unparsed + self._stream.count_unread_bytes(),
            self._request_count,
            self._has_unanswered,
            self._dropped_bytes,
        )

    def find_rest(self) -> resources.Resting | None:
        """Returns why and since when the connection rests; None if it works."""
        if self._is_closed_for_others:
            return None
        kind = resources.RestKind.UNREAD
        since = self._stream.unread_since
        if self._waits_since is not None:
            since = self._waits_since
            kind = resources.RestKind.INCOMPLETE
            if self._lingers_since is not None:
                kind = resources.RestKind.ANSWERED
            elif self._stream in self._state.idle and self._request_count:
                kind = resources.RestKind.KEPT
        if since is None:
            return None
        return resources.Resting(kind, since, self._close_for_others)

    def find_holder(self) -> resources.Holder | None:
        """Returns the memory that the connection can give up, if any.

        A request can be refused until it is complete, and a caller can be left
        that does not read its answer.
        """
        if self._is_reading:
            since = self._waits_since or steadyclock.read()
        elif self._stream.unread_since is not None:
            since = self._stream.unread_since
        else:
            return None
        return resources.Holder(
            since,
            self._buffered_bytes,
            self._is_reading,
            self._refuse_for_others,
        )

    def _allow_more_unread(self) -> int:
        """Returns how many bytes may be kept beyond the usual."""
        has_room = self._budget is None or self._budget.has_spare_room(
            MORE_UNREAD_BYTES
        )
        if self._is_reading or self._keeps_more_unread or not has_room:
            return 0
        self._keeps_more_unread = True
        self._buffered_bytes += MORE_UNREAD_BYTES
        self._state.buffered_bytes += MORE_UNREAD_BYTES
        return MORE_UNREAD_BYTES

    def _refuse_for_others(self) -> None:
        """Ends a request whose memory others need."""
        self._is_refused = True
        self._release_buffer()
        if self._turn is not None:
            turns.withdraw(self._turn)
        elif self._is_reading:
            self._stream.end_wait()
        else:
            self._stream.close()

    def _close_for_others(self) -> None:
        """Closes the connection unless something has just arrived on it."""
        self._is_closed_for_others = True
        self._state.closing += 1
        self._release_buffer()
        if self._waits_since is not None and self._lingers_since is None:
            self._stream.end_wait()
        else:
            self._stream.close()

    def _stay_open(self) -> None:
        """Keeps the connection, as something has arrived on it."""
        if self._is_closed_for_others:
            self._is_closed_for_others = False
            self._state.closing -= 1

    async def run(self) -> None:
        """Serves requests until either side closes.

        An error of this program is answered unless an answer has begun.

        Raises:
            CallerDisconnectedError: The caller disconnected.
        """
        try:
            while await self._serve_one():
                self._release_buffer()
                self._http.start_next_cycle()
        except CallerDisconnectedError:
            raise
        except Exception:
            LOG.exception("connection ended by an error")
            self.close_reason = closing.CloseReason.ERROR
            self._aborted = self._http.our_state is h11.SEND_BODY
            if self._http.our_state is h11.SEND_RESPONSE:
                await self._refuse(self._request_id, INTERNAL_ERROR)

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self._request_id = ""
        refused: refusal.Refusal | None = None
        try:
            request = await self._read_request()
        except _BadRequestError as error:
            self.close_reason = closing.CloseReason.INVALID
            refused = self._make_invalid_refusal(error.invalid)
        except _StoppedError:
            self.close_reason = closing.CloseReason.STOP
            refused = STOPPING
        except _CrowdedError:
            self.close_reason = closing.CloseReason.CROWDED
            refused = CROWDED
        if refused is not None:
            # Not within a handler: an error of the connection would keep the
            # handled one, whose traceback holds what has been read.
            await self._refuse_unread(refused)
            return False
        if request is None:
            return False
        self._request_count += 1
        self._request_id = request.request_id
        self._has_unanswered = True
        if self._state.refusing:
            self.close_reason = closing.CloseReason.STOP
            await self._refuse(request.request_id, STOPPING)
            return False
        if self._is_surplus and self._budget and self._budget.is_crowded():
            self.close_reason = closing.CloseReason.CROWDED
            await self._refuse(request.request_id, CROWDED)
            return False
        await self._serve_until_disconnect(request)
        self._idle_since = steadyclock.read()
        self._promised_idle_s = self._state.limits.idle_s
        http = self._http
        clean = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self._aborted:
            return False
        is_open = not self._stream.has_ended
        if self._announced_close and is_open and not self._state.ending:
            self.close_reason = closing.CloseReason.ANNOUNCED
        return clean

    async def _serve_until_disconnect(
        self, request: message.CallerRequest
    ) -> None:
        """Serves a request; cancels it as soon as the caller disconnects.

        It is also cancelled when the time to stop is over.
        """
        writer = CallerResponseWriter(self, request)
        with anyio.CancelScope() as scope:
            self._stream.on_end = scope.cancel
            self._state.serving.add(scope)
            try:
                if self._stream.has_ended:
                    scope.cancel()
                with contextlib.suppress(CallerDisconnectedError):
                    await self._serve(request, writer)
            finally:
                self._stream.on_end = None
                self._state.serving.discard(scope)
        if not scope.cancelled_caught:
            return
        if self._stream.has_ended:
            raise CallerDisconnectedError
        if self._http.our_state is h11.SEND_RESPONSE:
            self.close_reason = closing.CloseReason.STOP
            refused = STOPPED if writer.may_have_run else STOPPING
            await self._refuse(request.request_id, refused)
        elif self._http.our_state is h11.SEND_BODY:
            await self.abort()

    async def _read_request(self) -> message.CallerRequest | None:
        """Returns the next request; None if the connection ended."""
        self._turn_count = self._chunk_count = self._wire_bytes = 0
        self._keeps_more_unread = False
        if self._is_large:
            self._set_read_limits(is_large=False)
        try:
            request = await self._read_decoded_head()
            if request is None:
                return None
            body = await self._read_body()
        finally:
            self._is_reading = False
        return msgspec.structs.replace(request, body=body)

    async def _read_decoded_head(self) -> message.CallerRequest | None:
        """Returns the next request without its body."""
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
        length = _find_body_length(event)
        self._is_chunked = length is None
        self._reserve_body(length or 0)
        return request

    def _reserve_body(self, size: int) -> None:
        """Finds room for a body before it is read.

        Args:
            size: Its length, or how much of it has arrived if its head names
                none, in bytes.

        Raises:
            _BadRequestError: It is over the limit.
            _CrowdedError: There is no room.
        """
        limit = self._state.limits.body_bytes
        if size > limit:
            raise _BadRequestError(_BODY_TOO_LARGE)
        if self._is_chunked:
            size = min((size // STEP_BYTES + 1) * STEP_BYTES, limit)
        self._hold(
            self._head_cost + resources.compute_request_bytes(0, 0, size)
        )
        if size >= LARGE_BYTES and not self._is_large:
            self._set_read_limits(is_large=True)

    def _hold(self, size: int) -> None:
        """Counts the memory that the request takes.

        Args:
            size: How much it is, in bytes; less than before changes nothing.

        Raises:
            _CrowdedError: There is no room.
        """
        added = size - self._buffered_bytes
        if added <= 0:
            return
        if self._budget and not self._budget.make_room_for_bytes(
            self._buffered_bytes, added
        ):
            raise _CrowdedError
        self._buffered_bytes += added
        self._state.buffered_bytes += added

    def _set_read_limits(self, is_large: bool) -> None:
        """Reads larger parts of a large body."""
        self._is_large = is_large
        if is_large:
            self._stream.set_read_limits(
                streams.MAX_READ_BYTES, receive_buffer.LARGE_BYTES
            )
        else:
            self._stream.set_read_limits(READ_BYTES, receive_buffer.BYTES)

    async def _read_head(self) -> h11.Request | None:
        pipelined = bool(self._http.trailing_data[0])
        if not pipelined and not await self._wait_for_request():
            return None
        self._is_reading = True
        try:
            return await self._next_request(
                steadyclock.read() + self._state.limits.header_s
            )
        except TimeoutError as error:
            raise self._make_incomplete_error("head took too long") from error

    async def _wait_for_request(self) -> bool:
        """Returns whether the first bytes of a request have arrived."""
        self._state.idle.add(self._stream)
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    return await self._receive_before(self._idle_until)
                if self._is_closed_for_others:
                    # A request may be on its way.
                    raise _CrowdedError
                if self._state.refusing:
                    self.close_reason = closing.CloseReason.STOP
                    return False
                if steadyclock.read() >= self._idle_until:
                    self.close_reason = closing.CloseReason.IDLE
                    return False
        finally:
            self._state.idle.discard(self._stream)

    @property
    def _idle_until(self) -> float:
        """When the connection closes unless a request arrives.

        Callers rely on the idle time that was in force when they got their last
        answer; a configuration that lengthens it holds at once.
        """
        idle_s = max(self._promised_idle_s, self._state.limits.idle_s)
        return self._idle_since + idle_s + IDLE_MARGIN_S

    async def _next_request(self, deadline: float) -> h11.Request | None:
        """Returns the next head; None if the connection ended.

        Raises:
            TimeoutError: The head is incomplete at the deadline.
        """
        while True:
            await self._prepare_head(deadline)
            event = self._parse_event()
            if isinstance(event, h11.Request):
                return event
            if event is h11.NEED_DATA:
                await self._receive_before(deadline)
            else:
                return None

    async def _prepare_head(self, deadline: float) -> None:
        """Finds room for the headers that have arrived, and time if many.

        Raises:
            TimeoutError: There was no time until the deadline.
            _CrowdedError: There is no room.
        """
        unparsed = self._http.trailing_data[0]
        end = _HEAD_END.search(unparsed)
        size = end.end() if end else len(unparsed)
        lines = unparsed.count(b"\n", 0, size)
        # With the requests that were sent ahead, which stay unparsed.
        self._head_cost = resources.compute_request_bytes(
            len(unparsed), lines, 0
        )
        self._hold(self._head_cost)
        if end and lines > PARTS_PER_TURN:
            await self._take_turn(deadline)

    async def _take_turn(self, deadline: float) -> None:
        """Waits until what takes long to parse does not hold up others.

        Raises:
            TimeoutError: There was no time until the deadline.
        """
        self._turn = self._state.turn_queue.enqueue(self._turn_count)
        self._turn_count += 1
        try:
            await turns.wait(self._turn, deadline)
        finally:
            self._turn = None

    async def _read_body(self) -> bytearray:
        # Small chunks take many times their size if each is kept by itself,
        # and a large body is not to be copied.
        body = bytearray()
        deadline = steadyclock.read() + BODY_TIMEOUT_S
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self._http.send(interim) or b"")
        try:
            async for data in self._iterate_body(deadline):
                body += data
                if self._is_chunked:
                    self._reserve_body(len(body))
        except TimeoutError as error:
            raise self._make_incomplete_error("body took too long") from error
        return body

    async def _check_framing(self, size: int, deadline: float) -> None:
        """Checks what has arrived of a body in chunks beside its bytes.

        Args:
            size: How many bytes of it have been parsed.
            deadline: When it has to be complete, in seconds of the steady
                clock.

        Raises:
            TimeoutError: There was no time until the deadline.
            _BadRequestError: The framing is over the limit.
        """
        unparsed = self._http.trailing_data[0]
        framing = self._wire_bytes - size - len(unparsed)
        allowed = FRAMING_BYTES * self._chunk_count
        if framing > self._state.limits.header_bytes + allowed:
            raise _BadRequestError(_FRAMING_TOO_LARGE)
        # They may be many headers behind the body, which are parsed at once.
        if unparsed.count(b"\n") > PARTS_PER_TURN:
            await self._take_turn(deadline)

    def _make_incomplete_error(self, text: str) -> Exception:
        """Returns the error of a request that is incomplete when time is up."""
        if self._is_closed_for_others or self._is_refused:
            return _CrowdedError()
        if self._state.ending:
            return _StoppedError()
        return _BadRequestError(message.InvalidRequest(REQUEST_TIMEOUT, text))

    async def _iterate_body(self, deadline: float) -> AsyncIterator[bytes]:
        """Yields the body's parts.

        Raises:
            TimeoutError: The body is incomplete at the deadline.
        """
        self._wire_bytes = len(self._http.trailing_data[0])
        size = 0
        while True:
            event = self._parse_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                yield bytes(event.data)
                self._chunk_count += event.chunk_start
                if event.chunk_start and not self._chunk_count % PARTS_PER_TURN:
                    await self._take_turn(deadline)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif event is h11.NEED_DATA:
                if not await self._receive_before(deadline):
                    raise CallerDisconnectedError
                if self._is_chunked:
                    await self._check_framing(size, deadline)
            else:
                raise CallerDisconnectedError

    def _parse_event(self) -> Any:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            invalid = message.InvalidRequest(BAD_REQUEST, str(error))
            raise _BadRequestError(invalid) from error
        # What is left is an incomplete head, or framing of the body.
        if event is h11.NEED_DATA and (
            len(self._http.trailing_data[0]) > self._state.limits.header_bytes
        ):
            invalid = message.InvalidRequest(
                HEADERS_TOO_LARGE, "head too large"
            )
            raise _BadRequestError(invalid)
        return event

    async def _receive_before(self, deadline: float) -> bool:
        """Receives until a deadline; later only what has arrived already."""
        return await self._receive(max(0.0, deadline - steadyclock.read()))

    async def _receive(self, timeout_s: float) -> bool:
        """Feeds received bytes to the parser; returns False at end of stream.

        Raises:
            TimeoutError: Nothing arrived in time.
        """
        self._state.reading.add(self._stream)
        self._waits_since = steadyclock.read()
        try:
            data = await self._stream.receive(
                0.0 if self._state.ending else timeout_s
            )
        except anyio.EndOfStream:
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise CallerDisconnectedError from error
        finally:
            self._waits_since = None
            self._state.reading.discard(self._stream)
        self._stay_open()
        if self._is_refused:
            raise _CrowdedError
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallerDisconnectedError from error
        self._wire_bytes += len(data)
        return bool(data)

    def release(self) -> None:
        """Counts the connection and its bytes as no longer held."""
        self._stay_open()
        self._release_buffer()

    def _release_buffer(self) -> None:
        """Counts the bytes of the last request as no longer kept."""
        self._state.buffered_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

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
            if isinstance(error, TimeoutError):
                self.close_reason = closing.CloseReason.UNREAD
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
        self._has_unanswered = False
        if data:
            await self.send(data)

    async def abort(self) -> None:
        """Closes the connection in the middle of a response."""
        self._aborted = True
        self.close_reason = closing.CloseReason.CUT
        if self._ends_with_connection:
            self._stream.reset()
        else:
            self._stream.close()

    async def linger(self) -> None:
        """Waits until the caller can have read a last, whole response."""
        is_cut = self._aborted or self._ends_with_connection
        if not (is_cut or self._is_closed_for_others):
            self._lingers_since = self._waits_since = steadyclock.read()
            try:
                self._dropped_bytes = await self._stream.linger()
            finally:
                self._waits_since = None

    def close(self) -> None:
        """Closes the connection after its last response."""
        # Otherwise both would refer to each other.
        self._stream.on_unread_limit = None
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
        """Returns ``Connection: close`` if the connection is about to close.

        One that is needed for other callers is free as soon as its answer has
        been read, and no request crosses its end.
        """
        is_needed = self._budget is not None and self._budget.is_short
        if self._state.stopping or self._state.diverting or is_needed:
            self._announced_close = True
            return [(b"Connection", b"close")]
        return []

    def _make_invalid_refusal(
        self, invalid: message.InvalidRequest
    ) -> refusal.Refusal:
        LOG.info(
            "invalid request refused",
            extra={"status": invalid.status, "detail": invalid.text},
        )
        if self._state.awaits_limits and invalid.status in _LIMIT_STATUSES:
            return refusal.NOT_READY
        return refusal.Refusal(invalid.status, invalid.text)

    async def _refuse_unread(self, refused: refusal.Refusal) -> None:
        """Refuses a request that has not been read, if that is possible."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._refuse("", refused)

    async def _refuse(self, request_id: str, refused: refusal.Refusal) -> None:
        """Sends an error response with which the connection ends."""
        headers = self._dialect.make_refusal_headers(
            request_id, refused.retry_after_s
        )
        headers.append((b"Connection", b"close"))
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
    """Returns the least size that a head can have had, in bytes."""
    fields = sum(
        len(name) + len(value) + MIN_HEADER_FRAMING_BYTES
        for name, value in head.headers
    )
    return len(head.method) + len(head.target) + fields


def _find_body_length(event: h11.Request) -> int | None:
    """Returns the length of a body in bytes; None if it has chunks."""
    # The parser gives names in lower case.
    values = dict(event.headers)
    if b"transfer-encoding" in values:
        return None
    return int(values.get(b"content-length", b"0"))


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

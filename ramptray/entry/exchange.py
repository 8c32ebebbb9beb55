"""Serves one model request with one dispatch and one response stream.

The exchange owns the connection to the backend server.  When the connection
breaks, it resumes the same stream; it never sends the request a second time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio
import msgspec
from anyio.streams import memory

from ramptray import decoding, steadyclock
from ramptray.core import message, request
from ramptray.engine import client as engine_client
from ramptray.engine import event
from ramptray.entry import ticket as tickets

RESUME_TIMEOUT_S = 8.0
"""How long an exchange tries to resume a broken stream, in seconds."""

RESUME_INTERVAL_S = 0.2
SERVER_ERROR = 500
UNAVAILABLE = 503
BUFFER_EVENTS = 256
"""Number of events that are buffered for a slow caller."""


class StreamEndedError(Exception):
    """A stream ended without its end marker."""


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: dict[str, int] = {}


class _Chunk(msgspec.Struct):
    usage: _Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)

Item = event.Event | request.Finish


class ModelCall(msgspec.Struct, frozen=True):
    """The HTTP request that is sent to the engine.

    Attributes:
        path: Path of the engine's endpoint.
        body: The request's body, which already asks for a stream.
    """

    path: str
    body: bytes


class Exchange:
    """Serves one model request from its grant to its last event."""

    def __init__(
        self,
        ticket: tickets.Ticket,
        call: ModelCall,
        client: engine_client.EngineClient,
        find_url: Callable[[str], str | None],
        idle_write_s: float,
    ) -> None:
        self.request_id = ticket.info.request_id
        self._ticket = ticket
        self._call = call
        self._client = client
        self._find_url = find_url
        self._idle_write_s = idle_write_s
        self._send: memory.MemoryObjectSendStream[Item]
        self._send, self.items = anyio.create_memory_object_stream[Item](
            BUFFER_EVENTS
        )
        self._scope = anyio.CancelScope()
        self._position = 0
        self._tokens = 0
        self._dispatched_at = 0.0
        self._first_at: float | None = None
        self._url: str | None = None

    def cancel(self) -> None:
        """Cancels the exchange because the caller has disconnected."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serves the request; items end with a ``Finish``."""
        with self._scope:
            async with self._send:
                async for effect in self._ticket.effects:
                    if isinstance(effect, request.Finish):
                        await self._send_item(effect)
                        return
                    await self._dispatch(effect.grant)
        if self._scope.cancelled_caught:
            await self._cancel_request()

    async def _cancel_request(self) -> None:
        self._ticket.report(tickets.CallerDisconnected(self._make_ended(False)))
        if self._url is None:
            return
        with anyio.CancelScope(shield=True):
            try:
                await self._client.cancel(self._url, self.request_id)
            except engine_client.EngineError:
                return

    async def _dispatch(self, grant: message.Grant) -> None:
        url = self._find_url(grant.backend)
        if url is None:
            self._ticket.report(tickets.ConnectFailed(self.request_id))
            return
        self._dispatched_at = steadyclock.read()
        self._url = url
        try:
            async with self._client.dispatch(
                url,
                self._call.path,
                self.request_id,
                self._call.body,
                grant.version,
            ) as events:
                await self._forward(events)
        except engine_client.NotSentError:
            self._url = None
            self._ticket.report(tickets.ConnectFailed(self.request_id))
        except engine_client.RefusedError as error:
            self._end_refused(error.status)
        except (engine_client.BrokenError, StreamEndedError):
            await self._resume(url)

    def _end_refused(self, status: int) -> None:
        """Ends a request whose response was an error status.

        Only a client error or 503 means that the engine did not admit the
        request; with other server errors it may have started it.
        """
        if status < SERVER_ERROR or status == UNAVAILABLE:
            self._ticket.report(tickets.Refused(self._make_ended(False)))
        else:
            self._report_lost(message.Reason.BACKEND_LOST)

    async def _resume(self, url: str) -> None:
        """Resumes the stream as long as the engine can be reached.

        A request may wait in an engine's queue without any event for a long
        time, so a stream that was resumed is kept until the request's deadline.
        """
        resume_until = steadyclock.read() + RESUME_TIMEOUT_S
        while steadyclock.read() < resume_until:
            try:
                async with self._client.resume(
                    url, self.request_id, self._position
                ) as events:
                    resume_until = max(resume_until, self._ticket.deadline)
                    await self._forward(events)
                    return
            except engine_client.UnknownStreamError:
                self._report_lost(message.Reason.BACKEND_LOST)
                return
            except engine_client.NotSentError:
                resume_until = min(
                    resume_until, steadyclock.read() + RESUME_TIMEOUT_S
                )
                await anyio.sleep(RESUME_INTERVAL_S)
            except (engine_client.EngineError, StreamEndedError):
                await anyio.sleep(RESUME_INTERVAL_S)
        self._report_lost(message.Reason.STREAM_BROKEN)

    def _report_lost(self, reason: message.Reason) -> None:
        ended = self._make_ended(False, certain=False)
        self._ticket.report(tickets.AnswerLost(ended, reason))

    async def _forward(self, events: AsyncIterator[event.Event]) -> None:
        async for received in events:
            if received.number != self._position + 1:
                continue  # A duplicate after a resume.
            self._position = received.number
            if received.is_end:
                ended = self._make_ended(True)
                self._ticket.report(tickets.Completed(ended, 200))
                return
            self._count_token(received)
            await self._send_item(received)
        raise StreamEndedError

    def _count_token(self, received: event.Event) -> None:
        self._tokens += 1
        if self._first_at is not None:
            return
        self._first_at = steadyclock.read()
        usage = _read_usage(received.data)
        cached = usage.prompt_tokens_details.get("cached_tokens", 0)
        first = message.FirstToken(
            self.request_id,
            self._first_at - self._dispatched_at,
            max(0, usage.prompt_tokens - cached),
            cached,
        )
        self._ticket.report(tickets.FirstTokenReceived(first))

    async def _send_item(self, item: Item) -> None:
        """Sends an item to the caller; cancels if it is read too slowly."""
        try:
            with anyio.fail_after(self._idle_write_s):
                await self._send.send(item)
        except (TimeoutError, anyio.BrokenResourceError):
            self._scope.cancel()
            await anyio.lowlevel.checkpoint()

    def _make_ended(self, whole: bool, certain: bool = True) -> message.Ended:
        first_at = self._first_at
        decode_s = (
            steadyclock.read() - first_at if first_at is not None else 0.0
        )
        # The last chunk carries the finish reason and no token.
        tokens = max(0, self._tokens - 1) if whole else self._tokens
        return message.Ended(self.request_id, tokens, decode_s, whole, certain)


def _read_usage(data: str) -> _Usage:
    try:
        with decoding.translate_errors():
            return _CHUNK_DECODER.decode(data).usage or _Usage()
    except decoding.DecodeError:
        return _Usage()

"""The task that serves one relayed request, over one or more attempts."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel
import msgspec

from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.core import message as core_message
from ramptray.core import request
from ramptray.entry import dispatcher as dispatchers
from ramptray.entry import server_hints
from ramptray.entry import ticket as tickets
from ramptray.relay import backend_probe, event, message, refusal
from ramptray.relay import client as relay_client
from ramptray.relay import connection as connections

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""Largest answer that is read whole before any of it is passed on, so that a
failure in its middle may still be followed by another attempt."""

HANG_OBJECTIVE_FACTOR = 2.0
"""A backend server that has not begun its answer after so many times the
route's objective is taken to hang: a place was free when the request went."""

HANG_GAP_FACTOR = 4.0
"""A stream that pauses for so many times the route's longest pause is taken to
hang: engines pause that long only while they read very long prompts."""

MIN_HANG_GAP_S = 0.8
"""Shortest pause after which a stream is taken to hang, in seconds: less than
half of the two seconds after which callers give up."""

BUDGET_POLL_S = 0.25
"""How often a request that hangs looks whether another attempt is allowed by
now, in seconds: the budget of further attempts fills up all the time."""

SERVER_ERROR = 500
OK_STATUSES = range(200, 300)
_GONE = backend_probe.ProbeResult.GONE.value

ReadT = TypeVar("ReadT")


class ResponseWriter(abc.ABC):
    """The way back to the caller."""

    @abc.abstractmethod
    async def start(
        self, head: message.ResponseHead, length: int | None
    ) -> None:
        """Sends the head of a backend server's answer.

        Args:
            head: The answer's head.
            length: The body's length; None where it is not known.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends the answer as a whole one."""

    @abc.abstractmethod
    async def refuse(self, refused: refusal.Refusal) -> None:
        """Sends an answer of ramptray's own."""

    @abc.abstractmethod
    async def abort(self) -> None:
        """Cuts the answer, so that it cannot be taken for a whole one."""


class RoutedRequest(msgspec.Struct, frozen=True):
    """What is to be served.

    Attributes:
        request: The caller's request.
        info: Its description for schedulers.
        route: Its route.
        customer: The customer; empty on a public route without a key.
        timeout_s: Longest time the request is held.
        tokens_per_event: Tokens that an event of a stream holds.
    """

    request: message.CallerRequest
    info: core_message.RequestInfo
    route: model.Route
    customer: str
    timeout_s: float
    tokens_per_event: int


class _UnusableServerError(Exception):
    """The request may not be sent to the backend server; nothing was sent."""

    def __init__(self, reason: server_hints.UnusableReason) -> None:
        self.reason = reason
        super().__init__(reason.value)


class Exchange:
    """Serves one request from its head to the end of its answer."""

    def __init__(
        self,
        routed: RoutedRequest,
        dispatcher: dispatchers.Dispatcher,
        client: relay_client.RelayClient,
        writer: ResponseWriter,
    ) -> None:
        self.outcome = ""
        self.first_event_s: float | None = None
        self._routed = routed
        self._dispatcher = dispatcher
        self._client = client
        self._writer = writer
        self._started_at = steadyclock.read()
        self._deadline = self._started_at + routed.timeout_s
        self._ticket = dispatcher.submit(routed.info, None)
        self._response_started = False
        self._error_response: message.Response | None = None
        self._splitter = event.EventSplitter()
        self._sent_at = 0.0
        # Of the present attempt: when its answer began, after how many events.
        self._first_event_at: float | None = None
        self._events_before_attempt = 0

    async def run(self) -> None:
        """Serves the request; cancelling it means that the caller has gone."""
        try:
            async for effect in self._ticket.effects:
                if isinstance(effect, request.Finish):
                    await self._finish(effect)
                    return
                await self._attempt(effect.grant)
        except anyio.get_cancelled_exc_class():
            self.outcome = "caller_gone"
            self._ticket.report(tickets.Abandoned(self._make_ended(False)))
            raise
        except Exception:
            # Its place at the backend server must not stay taken.
            self.outcome = "error"
            self._ticket.report(tickets.Abandoned(self._make_ended(False)))
            raise

    async def _finish(self, finish: request.Finish) -> None:
        self.outcome = finish.reason.value if finish.reason else "complete"
        if finish.outcome is core_message.Outcome.COMPLETE:
            return
        if self._response_started:
            await self._writer.abort()
        elif self._error_response is not None:
            # What the backend server answered says more than a refusal.
            await self._send_response(self._error_response)
        else:
            await self._writer.refuse(refusal.make_refusal(finish))

    async def _attempt(self, grant: core_message.Grant) -> None:
        target = self._resolve_target(grant)
        if target is None:
            self._ticket.report(tickets.ConnectFailed(self._request_id))
            return
        if reason := self._find_unusable_reason(target):
            self._ticket.report(tickets.GrantUnusable(self._request_id, reason))
            return
        # Callers that leave in numbers free places for each other's requests:
        # cancellation of a closed connection is delivered here.
        await anyio.lowlevel.checkpoint()
        self._sent_at = steadyclock.read()
        self._first_event_at = None
        self._events_before_attempt = self._splitter.count
        try:
            with anyio.fail_after(max(0.0, self._deadline - self._sent_at)):
                await self._send(target, grant)
        except TimeoutError:
            self._end_unknown(core_message.Reason.DEADLINE)
        except _UnusableServerError as error:
            self._ticket.report(
                tickets.GrantUnusable(self._request_id, error.reason)
            )
        except connections.NotSentError as error:
            failed = tickets.ConnectFailed(self._request_id, error.refused)
            self._ticket.report(failed)
        except connections.BrokenError as error:
            fault = await self._diagnose(target, error)
            self._report_failure(False, core_message.Reason.BACKEND_LOST, fault)

    async def _diagnose(
        self, target: connections.Target, error: connections.BrokenError
    ) -> tickets.Fault:
        """Finds out what became of a backend server that broke off."""
        after_s = steadyclock.read() - self._sent_at
        presence = ""
        if not isinstance(error, connections.HungError):
            presence = (await backend_probe.probe_backend(target.address)).value
        return tickets.Fault(
            str(error),
            presence,
            round(after_s, 4),
            self._splitter.count - self._events_before_attempt,
        )

    async def _read_head(
        self, connection: connections.Connection
    ) -> message.ResponseHead:
        """Waits for the answer's head, but not for long if others may try.

        A backend server that hangs says nothing.  What may run only once has
        to wait for it; anything else is better sent to another one.
        """
        routed = self._routed
        hang_timeout_s = None
        if routed.info.repeatable:
            hang_timeout_s = routed.route.objective_s * HANG_OBJECTIVE_FACTOR
        return await self._read_with_hang_timeout(
            lambda timeout_s: connection.read_head(self._request_id, timeout_s),
            hang_timeout_s,
        )

    async def _read_with_hang_timeout(
        self,
        read: Callable[[float | None], Awaitable[ReadT]],
        hang_timeout_s: float | None,
    ) -> ReadT:
        """Returns what is read, but leaves a server that hangs.

        Args:
            read: Reads within some seconds, or raises TimeoutError; it may be
                called again.
            hang_timeout_s: After how long the server is taken to hang; None for
                never.

        Raises:
            HungError: It hangs, and another attempt is allowed.
        """
        while hang_timeout_s is not None:
            try:
                return await read(hang_timeout_s)
            except TimeoutError as error:
                if self._dispatcher.may_repeat(self._ticket):
                    raise connections.HungError(str(error)) from error
            hang_timeout_s = BUDGET_POLL_S
        return await read(None)

    async def _send(
        self, target: connections.Target, grant: core_message.Grant
    ) -> None:
        """Sends the request to one backend server and passes its answer on."""
        not_repeatable = not self._routed.info.repeatable
        async with self._client.borrow(target, not_repeatable) as connection:
            # An answer may have said something while it was opened.
            if reason := self._find_unusable_reason(target):
                raise _UnusableServerError(reason)
            attempt = message.Attempt(
                target.backend,
                self._routed.customer,
                max(0.0, self._deadline - steadyclock.read()),
                self._splitter.last_id or self._routed.request.last_event,
            )
            await connection.send(self._routed.request, attempt)
            head = await self._read_head(connection)
            # At once: requests that are under way are checked by what it says.
            self._dispatcher.server_hints.observe(
                server_hints.HeadReceived(
                    self._request_id,
                    target.backend,
                    target.run,
                    head.limit_per_s,
                    head.is_leaving,
                    head.pause_s,
                    grant.owner,
                    grant.limit_per_s,
                ),
                steadyclock.read(),
            )
            await self._handle_response(connection, head)

    async def _handle_response(
        self, connection: connections.Connection, head: message.ResponseHead
    ) -> None:
        if head.not_run:
            await connection.read_body()
            self._report_failure(True, core_message.Reason.BACKEND_REFUSED)
            return
        is_stream = self._routed.route.kind is model.RouteKind.STREAM
        if is_stream and head.status in OK_STATUSES:
            await self._forward_stream(connection, head)
            return
        body = await connection.read_body()
        response = message.Response(head, body)
        if self._response_started:
            self._report_failure(False, core_message.Reason.STREAM_BROKEN)
        elif head.status >= SERVER_ERROR and self._routed.info.repeatable:
            self._error_response = response
            self._report_failure(
                False, core_message.Reason.BACKEND_LOST, failed=True
            )
        else:
            self._record_first_event()
            await self._send_response(response)
            self._report_complete(head.status)

    async def _send_response(self, response: message.Response) -> None:
        await self._writer.start(response.head, len(response.body))
        await self._writer.write(response.body)
        await self._writer.finish()

    async def _forward_stream(
        self, connection: connections.Connection, head: message.ResponseHead
    ) -> None:
        """Passes each event on as it comes."""
        while (data := await self._read_part(connection)) is not None:
            events = self._splitter.split(data)
            if not events:
                continue
            self._record_first_event()
            await self._ensure_started(head)
            await self._writer.write(events)
        await self._ensure_started(head)
        if remainder := self._splitter.take_remainder():
            await self._writer.write(remainder)
        await self._writer.finish()
        self._report_complete(head.status)

    async def _read_part(
        self, connection: connections.Connection
    ) -> bytes | None:
        """Returns the next bytes of a stream; None at its end.

        Raises:
            HungError: It hangs, and may go on at another backend server.
        """
        return await self._read_with_hang_timeout(
            connection.read_part, self._get_stream_hang_timeout()
        )

    def _get_stream_hang_timeout(self) -> float | None:
        """Returns how long a pause is waited for; None for without end."""
        routed = self._routed
        if not routed.info.repeatable:
            return None
        gap_s = routed.route.max_gap_s
        return (
            None
            if gap_s is None
            else max(MIN_HANG_GAP_S, gap_s * HANG_GAP_FACTOR)
        )

    async def _ensure_started(self, head: message.ResponseHead) -> None:
        if not self._response_started:
            self._response_started = True
            await self._writer.start(head, None)

    @property
    def _request_id(self) -> str:
        return self._routed.info.request_id

    def _resolve_target(
        self, grant: core_message.Grant
    ) -> connections.Target | None:
        """Returns whom a grant sends to, None where that may get no work."""
        url = self._dispatcher.network.pick_url(grant)
        if url is None:
            return None
        address = url.removeprefix("http://")
        return connections.Target(address, grant.backend, grant.run)

    def _find_unusable_reason(
        self, target: connections.Target
    ) -> server_hints.UnusableReason | None:
        """Returns why a backend server may be sent nothing, if it may not."""
        return self._dispatcher.server_hints.find_unusable_reason(
            target.backend, target.run, steadyclock.read()
        )

    def _record_first_event(self) -> None:
        if self._first_event_at is not None:
            return
        now = self._first_event_at = steadyclock.read()
        if self.first_event_s is None:
            self.first_event_s = now - self._started_at
        first = core_message.FirstToken(
            self._request_id,
            now - self._sent_at,
            None,
            0,
        )
        self._ticket.report(tickets.Begun(first))

    def _report_complete(self, status: int) -> None:
        ended = msgspec.structs.replace(
            self._make_ended(True), failed=status >= SERVER_ERROR
        )
        self._ticket.report(tickets.Completed(ended, status))

    def _report_failure(
        self,
        not_run: bool,
        reason: core_message.Reason,
        fault: tickets.Fault | None = None,
        failed: bool = False,
    ) -> None:
        """Reports that the attempt has failed.

        Args:
            not_run: Whether the backend server has said that it did not run.
            reason: Sent to the caller where no attempt follows.
            fault: How the backend server broke off or hung, if it did.
            failed: Whether it answered with a failure of its own.
        """
        self._splitter.take_remainder()
        ended = msgspec.structs.replace(
            self._make_ended(False),
            broken=fault is not None,
            refused=not_run,
            gone=fault is not None and fault.presence == _GONE,
            failed=failed,
        )
        self._ticket.report(
            tickets.AttemptFailed(ended, not_run, reason, fault)
        )

    def _end_unknown(self, reason: core_message.Reason) -> None:
        ended = self._make_ended(False)
        self._ticket.report(tickets.Lost(ended, reason))

    def _make_ended(self, complete: bool) -> core_message.Ended:
        decode_s = 0.0
        if self._first_event_at is not None:
            decode_s = steadyclock.read() - self._first_event_at
        first_tokens = self._routed.tokens_per_event
        tokens = (
            self._splitter.count - self._events_before_attempt
        ) * first_tokens
        return core_message.Ended(
            self._request_id,
            tokens,
            decode_s,
            complete,
            first_tokens=first_tokens,
        )


MakeExchange = Callable[[RoutedRequest, ResponseWriter], Exchange]

"""The attempts to get an answer from backend servers, one after the other."""

from __future__ import annotations

import abc
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel
import msgspec

from ramptray import deadline as deadlines
from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.core import hedging, request, stream_origin
from ramptray.core import message as core_message
from ramptray.entry import dispatcher as dispatchers
from ramptray.entry import origin_store, server_hints
from ramptray.entry import ticket as tickets
from ramptray.relay import answer as answers
from ramptray.relay import backend_probe, event, message
from ramptray.relay import client as relay_client
from ramptray.relay import connection as connections

LOG = logging.getLogger(__name__)

MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
"""Largest response that is read completely before any of it is forwarded, so
that another attempt is possible after a failure halfway through."""

LAST_READ_S = 0.05
"""Time for a last read before a silent attempt is hedged, in seconds.  When
this VM itself was suspended, the next part is already in its socket."""

MAX_UNDECLARED_BYTES = 4 * 1024 * 1024
"""Largest body that is forwarded although the backend server did not declare
its length.  A longer one is taken for a response without an end."""

MAX_EVENT_BYTES = 256 * 1024
"""Largest event of a stream.  An event is kept until it is complete."""

SERVER_ERROR = 500
OK_STATUSES = range(200, 300)
_GONE = backend_probe.ProbeResult.GONE.value

ReadT = TypeVar("ReadT")


class Race(abc.ABC):
    """Decides which of several series of attempts answers a request."""

    @abc.abstractmethod
    def claim(self, series: AttemptSeries) -> None:
        """Makes a series the only one, as it has the next part of the answer.

        The others are left before the part is written.
        """

    @abc.abstractmethod
    def hedge(self, series: AttemptSeries) -> bool:
        """Seeks another backend server beside the silent one of a series.

        Returns:
            Whether to call this again if the server stays silent.
        """

    @abc.abstractmethod
    def has_other(self, series: AttemptSeries) -> bool:
        """Returns whether another series runs beside this one."""

    @abc.abstractmethod
    def concede(self, series: AttemptSeries) -> bool:
        """Hands the answer over to another series; returns whether one runs."""


class Means(msgspec.Struct, frozen=True):
    """What the attempts of a request have in common.

    Attributes:
        routed: The request.
        dispatcher: Finds backend servers.
        client: Connects to them.
        origins: Keeps what began streams.
        answer: What has been sent to the caller.
        deadline: When the time limit of the caller or the route has passed.
    """

    routed: answers.RoutedRequest
    dispatcher: dispatchers.Dispatcher
    client: relay_client.RelayClient
    origins: origin_store.OriginStore
    answer: answers.Answer
    deadline: float


class _UnusableServerError(Exception):
    """The backend server may not be used now; nothing was sent to it."""

    def __init__(self, reason: server_hints.UnusableReason) -> None:
        self.reason = reason
        super().__init__(reason.value)


class _LeavingServerError(Exception):
    """The backend server began to leave; nothing was sent to it."""


class _OtherOriginError(Exception):
    """The server's events may not follow what the caller holds."""


class AttemptSeries:
    """The attempts with one ticket, each after the end of the one before.

    Args:
        means: What all attempts of the request have in common.
        ticket: Receives the servers to use.
        race: The series of the same request.

    Attributes:
        ticket: As given.
        target: The backend server of the current attempt, if any.
        fault: How the last attempt broke, if it did.
        leave_reason: Why the last attempt ended before its response, if it did.
        heard_at: When the server of the current attempt last sent anything.
        first_event_at: When the first part of the current attempt's response
            arrived; None so far.
    """

    def __init__(
        self, means: Means, ticket: tickets.Ticket, race: Race
    ) -> None:
        self.ticket = ticket
        self.target: connections.Target | None = None
        self.fault: tickets.Fault | None = None
        self.leave_reason: hedging.LeaveReason | None = None
        self.heard_at = steadyclock.read()
        self.first_event_at: float | None = None
        self._race = race
        self._routed = means.routed
        self._dispatcher = means.dispatcher
        self._client = means.client
        self._origins = means.origins
        self._answer = means.answer
        self._deadline = means.deadline
        # Of the server of the current attempt; None if it is unknown.
        self._origin: stream_origin.Origin | None = None
        self._scope = anyio.CancelScope()
        self._is_left = False
        self._splitter = event.EventSplitter()
        self._sent_at = 0.0
        # Whether any of the current attempt may have reached its server.
        self._is_sent = False

    async def run(self) -> request.Finish | None:
        """Makes attempts until one is complete or none may follow.

        Returns:
            How the request ended; None if this series was left.
        """
        with self._scope:
            async for effect in self.ticket.effects:
                if isinstance(effect, request.Finish):
                    return effect
                await self._attempt(effect.grant)
        return None

    def leave(self, is_silent: bool) -> None:
        """Ends the current attempt, as another series has the answer.

        Args:
            is_silent: Whether its server has sent nothing since the other one
                was sought.
        """
        ended = msgspec.structs.replace(
            self._make_ended(False), broken=is_silent
        )
        self.ticket.report(tickets.Overtaken(ended))
        self.leave_reason = hedging.LeaveReason.OVERTAKEN
        self._is_left = True
        self._scope.cancel()

    async def _claim(self) -> None:
        """Makes this series the only one, before a part of the answer is sent.

        The cancellation of a series that was left reaches it at its next wait
        only, and what it has read may need none.
        """
        if self._is_left:
            await anyio.sleep_forever()
        self._race.claim(self)

    def report_caller_gone(self) -> None:
        """Reports that the caller does not wait any more."""
        self.ticket.report(tickets.CallerDisconnected(self._make_ended(False)))

    async def _attempt(self, grant: core_message.Grant) -> None:
        target = self._resolve_target(grant)
        if target is None:
            self.ticket.report(tickets.ConnectFailed(self._scheduling_id))
            return
        if reason := self._find_unusable_reason(target):
            self.ticket.report(
                tickets.GrantUnusable(self._scheduling_id, reason)
            )
            return
        # When many callers disconnect at once, each one frees a slot that the
        # next one's request would take.  This checkpoint delivers the
        # cancellation first.
        await anyio.lowlevel.checkpoint()
        self.target = target
        self._origin = self._find_origin(grant)
        self._sent_at = self.heard_at = steadyclock.read()
        self.first_event_at = None
        self._is_sent = False
        self._splitter = event.EventSplitter()
        try:
            self._check_deadline()
            with deadlines.fail_after(self._deadline - self._sent_at):
                await self._send(target, grant)
        except TimeoutError:
            self.leave_reason = hedging.LeaveReason.DEADLINE
            if self._is_sent:
                self._end_unknown(core_message.Reason.DEADLINE)
            else:
                self._end_unsent(core_message.Reason.DEADLINE)
        except _UnusableServerError as error:
            self.ticket.report(
                tickets.GrantUnusable(self._scheduling_id, error.reason)
            )
        except _LeavingServerError:
            self.ticket.report(tickets.ConnectFailed(self._scheduling_id))
        except _OtherOriginError:
            self._report_failure(False, core_message.Reason.NO_RELEASE)
        except connections.NotSentError as error:
            if error.is_local:
                self._end_unsent(core_message.Reason.OVERLOADED)
                return
            failed = tickets.ConnectFailed(
                self._scheduling_id, error.refused, error.failed_gateways
            )
            self.ticket.report(failed)
        except connections.BrokenError as error:
            self.leave_reason = _get_leave_reason(error)
            is_direct = not grant.gateways
            fault = await self._diagnose(target, error, is_direct)
            self._report_failure(False, core_message.Reason.BACKEND_LOST, fault)

    def _check_deadline(self) -> None:
        """Checks that a request may still be sent.

        Raises:
            TimeoutError: Its time limit has passed.
        """
        if steadyclock.read() >= self._deadline:
            raise TimeoutError

    async def _diagnose(
        self,
        target: connections.Target,
        error: connections.BrokenError,
        is_direct: bool,
    ) -> tickets.Fault:
        """Probes a backend server after its direct connection broke."""
        now = steadyclock.read()
        presence = ""
        if is_direct:
            found = await backend_probe.probe_backend(
                target.address, target.delay_s
            )
            presence = found.value
        return tickets.Fault(
            str(error),
            presence,
            round(now - self._sent_at, 4),
            self._splitter.count,
            round(now - self.heard_at, 4),
        )

    async def _read_head(
        self, connection: connections.Connection
    ) -> message.ResponseHead:
        """Waits for the response's head."""
        return await self._read(
            lambda wait_s: connection.read_head(self._request_id, wait_s),
            hedging.get_response_delay_s(self._routed.route.objective_s),
        )

    async def _read_body(self, connection: connections.Connection) -> bytes:
        """Returns the response's body, or its beginning if it is too large."""
        return await connection.read_body(
            MAX_BUFFERED_RESPONSE_BYTES,
            lambda: self._read(
                connection.read_part,
                hedging.get_response_delay_s(self._routed.route.objective_s),
            ),
        )

    async def _read(
        self,
        read: Callable[[float | None], Awaitable[ReadT]],
        hedge_after_s: float | None,
    ) -> ReadT:
        """Returns what is read, however long it takes.

        Args:
            read: Reads within the given seconds or raises TimeoutError; may be
                called again after a timeout.
            hedge_after_s: Silence in seconds after which another server is
                sought; None for never.
        """
        may_hedge = hedge_after_s is not None
        wait_s = hedge_after_s
        is_checked = False
        while may_hedge and self.ticket.machine.info.repeatable:
            try:
                found = await read(wait_s)
            except TimeoutError:
                wait_s = hedging.RETRY_S if is_checked else LAST_READ_S
                if is_checked:
                    may_hedge = self._race.hedge(self)
                is_checked = True
                continue
            self.heard_at = steadyclock.read()
            return found
        found = await read(None)
        self.heard_at = steadyclock.read()
        return found

    async def _send(
        self, target: connections.Target, grant: core_message.Grant
    ) -> None:
        """Sends the request to a backend server and forwards the response."""
        not_repeatable = not self._routed.info.repeatable
        async with self._client.borrow(
            target, not_repeatable, grant.gateways
        ) as connection:
            self.target = connection.target
            self._check_deadline()
            # A record may have arrived while the connection was opened.
            if self._resolve_target(grant) is None:
                raise _LeavingServerError
            # Another response may have changed the hints in the meantime.
            if reason := self._find_unusable_reason(target):
                raise _UnusableServerError(reason)
            attempt = message.Attempt(
                target.backend,
                self._routed.customer,
                max(0.0, self._deadline - steadyclock.read()),
                self._answer.last_id or self._routed.asked.last_event,
            )
            self._is_sent = True
            self._answer.writer.may_have_run = True
            await connection.send(self._routed.asked, attempt)
            head = await self._read_head(connection)
            # Before the body: requests in flight are checked against these
            # hints.
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
                    head.max_refusals_per_s,
                ),
                steadyclock.read(),
            )
            is_binding = head.pause_s or head.is_leaving
            if is_binding and connection.target.gateway:
                self._client.report_hints(
                    connection.target.gateway,
                    self._request_id,
                    core_message.ServerHints(
                        target.backend,
                        target.run,
                        head.limit_per_s,
                        head.is_leaving,
                        head.pause_s or 0.0,
                        head.max_refusals_per_s,
                    ),
                )
            await self._handle_response(connection, head, grant)

    async def _handle_response(
        self,
        connection: connections.Connection,
        head: message.ResponseHead,
        grant: core_message.Grant,
    ) -> None:
        if head.not_run:
            await self._discard_body(connection)
            self._report_failure(True, core_message.Reason.BACKEND_REFUSED)
            return
        is_stream = self._routed.route.kind is model.RouteKind.STREAM
        if is_stream and head.status in OK_STATUSES:
            await self._forward_stream(connection, head, grant)
            return
        body = await self._read_body(connection)
        response = message.Response(head, body)
        is_error = head.status >= SERVER_ERROR
        # An error of one server does not end an answer of another.
        is_failure = (is_error and self._routed.info.repeatable) or (
            head.status not in OK_STATUSES and self._race.has_other(self)
        )
        if not connection.is_complete:
            if self._answer.is_begun or is_failure:
                raise connections.BrokenError(
                    f"{connection.address}: a failure of more than"
                    f" {MAX_BUFFERED_RESPONSE_BYTES} bytes"
                )
            await self._forward_large(connection, response)
        elif self._answer.is_begun:
            self._report_failure(False, core_message.Reason.STREAM_BROKEN)
        elif is_failure:
            self._answer.error_response = response
            self._report_failure(
                False, core_message.Reason.BACKEND_LOST, failed=is_error
            )
        else:
            self._record_first_event()
            await self._claim()
            await self._answer.send_whole(response)
            self._report_complete(head.status)

    async def _discard_body(self, connection: connections.Connection) -> None:
        """Reads the body of a refusal, whose head says all that matters."""
        try:
            await connection.discard_body()
        except connections.BrokenError as error:
            LOG.debug("body of a refusal not read: %s", error)

    async def _forward_large(
        self, connection: connections.Connection, begun: message.Response
    ) -> None:
        """Forwards a response that is too large to be kept.

        No other attempt can follow, since its begin has been sent.

        Args:
            connection: The connection.
            begun: The response as far as it has been read.
        """
        length = connection.declared_length
        size = len(begun.body)
        self._record_first_event()
        await self._claim()
        writer = self._answer.writer
        await self._answer.begin(begun.head, length)
        await writer.write(begun.body)
        try:
            while (part := await connection.read_part()) is not None:
                size += len(part)
                if length is None and size > MAX_UNDECLARED_BYTES:
                    raise connections.BrokenError(
                        f"{connection.address}: a response of more than"
                        f" {MAX_UNDECLARED_BYTES} bytes without a length"
                    )
                await writer.write(part)
        except connections.BrokenError as error:
            LOG.info("large response broke off", extra={"detail": str(error)})
            self.leave_reason = _get_leave_reason(error)
            ended = msgspec.structs.replace(
                self._make_ended(False), broken=True
            )
            self.ticket.report(
                tickets.AnswerLost(ended, core_message.Reason.BACKEND_LOST)
            )
            return
        await writer.finish()
        self._report_complete(begun.head.status)

    async def _forward_stream(
        self,
        connection: connections.Connection,
        head: message.ResponseHead,
        grant: core_message.Grant,
    ) -> None:
        """Forwards each event as soon as it is complete."""
        writer = self._answer.writer
        while (data := await self._read_part(connection)) is not None:
            events = self._splitter.split(data)
            if self._splitter.remainder_bytes > MAX_EVENT_BYTES:
                raise connections.BrokenError(
                    f"{connection.address}: an event of more than"
                    f" {MAX_EVENT_BYTES} bytes"
                )
            if not events:
                continue
            if self.first_event_at is None:
                self._check_origin(grant)
            self._record_first_event()
            await self._claim()
            if not self._answer.is_begun:
                await self._begin_stream()
            await self._answer.begin(head, None)
            await writer.write(events)
            self._answer.last_id = (
                self._splitter.last_id or self._answer.last_id
            )
        remainder = self._splitter.take_remainder()
        if connection.ends_with_connection:
            self._check_last_event(connection, remainder)
            await self._check_server_runs(connection, head, grant)
        if self.first_event_at is None:
            self._check_origin(grant)
        await self._claim()
        await self._answer.begin(head, None)
        if remainder:
            await writer.write(remainder)
        await writer.finish()
        self._report_complete(head.status)

    def _check_last_event(
        self, connection: connections.Connection, remainder: bytes
    ) -> None:
        """Checks that a stream that ended with its connection may be complete.

        An attempt without an event is not taken for complete, as its server may
        have crashed before it sent one.

        Args:
            connection: The connection.
            remainder: The bytes after the last complete event.

        Raises:
            BrokenError: It ended within an event, or before the first one of
                this attempt.
        """
        is_empty = self._splitter.count == 0
        if remainder.strip() or is_empty:
            raise connections.BrokenError(
                f"{connection.address}: the stream ended within an event"
            )

    async def _check_server_runs(
        self,
        connection: connections.Connection,
        head: message.ResponseHead,
        grant: core_message.Grant,
    ) -> None:
        """Checks that a stream did not end because its server crashed.

        A server that is leaving may end right after its last response.

        Raises:
            BrokenError: Nothing listens at the server's address any more, or
                nothing answers there.
        """
        target = connection.target
        is_leaving = (
            head.is_leaving
            or self._dispatcher.backends.get_granted_url(grant) is None
        )
        if target.gateway or is_leaving:
            return
        found = await backend_probe.confirm_presence(
            target.address, target.delay_s
        )
        if found in (
            backend_probe.ProbeResult.GONE,
            backend_probe.ProbeResult.SILENT,
        ):
            raise connections.BrokenError(
                f"{connection.address}: the server ended with the stream"
            )

    def _find_origin(
        self, grant: core_message.Grant
    ) -> stream_origin.Origin | None:
        """Returns service and release of the server that a grant leads to."""
        service = self._routed.info.shard.service
        return self._dispatcher.backends.find_origin(grant, service)

    def _check_origin(self, grant: core_message.Grant) -> None:
        """Checks that a server's events may follow what the caller holds.

        The grant was checked when it came, but the server's record may have
        changed since.

        Raises:
            _OtherOriginError: The caller holds events of another service or
                release, or that cannot be ruled out.
        """
        if self._find_origin(grant) != self._origin:
            # Either may have sent the events.
            self._origin = None
        if self._may_follow(self._origin):
            return
        began = self._get_begun()
        self._dispatcher.timeline.note(
            "other_origin",
            self._request_id,
            backend=grant.backend,
            granted=grant.release,
            service=self._origin.service if self._origin else None,
            release=self._origin.release if self._origin else None,
            began=began.release if began else None,
        )
        raise _OtherOriginError

    def _may_follow(self, origin: stream_origin.Origin | None) -> bool:
        """Returns whether events of an origin may follow the caller's."""
        is_bound = (
            self._answer.is_begun or self._routed.info.release is not None
        )
        return not is_bound or (
            origin is not None and origin == self._get_begun()
        )

    def _get_begun(self) -> stream_origin.Origin | None:
        """Returns what began the stream; None if unknown or not begun."""
        info = self._routed.info
        if self._answer.is_begun:
            return self._answer.origin
        if info.release is None:
            return None
        return stream_origin.Origin(info.shard.service, info.release)

    async def _begin_stream(self) -> None:
        """Binds the stream to the release that sends its first event.

        Other VMs keep the release before the caller can return to them.
        """
        routed, asked = self._routed, self._routed.asked
        origin = self._answer.origin = self._origin
        release = origin.release if origin else None
        self.ticket.report(tickets.StreamBegun(self._scheduling_id, release))
        if origin is None or not routed.route.resumable:
            return
        retention_s = stream_origin.compute_retention(asked.deadline_s)
        if asked.last_event and asked.resumes:
            first = stream_origin.make_key(routed.customer, asked.resumes)
            self._origins.prolong(first, origin, retention_s)
        is_confirmed = await self._origins.record(
            stream_origin.make_key(routed.customer, asked.request_id),
            origin,
            retention_s,
        )
        if not is_confirmed:
            self._dispatcher.timeline.note(
                "origin_unconfirmed", self._request_id, release=release
            )

    async def _read_part(
        self, connection: connections.Connection
    ) -> bytes | None:
        """Returns the next bytes of a stream; None at its end."""
        return await self._read(
            connection.read_part,
            hedging.get_stream_delay_s(self._routed.route.max_gap_s),
        )

    @property
    def _request_id(self) -> str:
        return self._routed.info.request_id

    @property
    def _scheduling_id(self) -> str:
        """Under which the owner schedules the attempts of this series."""
        return self.ticket.request_id

    def _resolve_target(
        self, grant: core_message.Grant
    ) -> connections.Target | None:
        """Returns the granted backend server; None if it may not be used.

        An owner whose records are older may grant a server that has begun to
        leave or that has restarted with another release.
        """
        url = self._dispatcher.backends.get_granted_url(grant)
        if url is None or not self._may_follow(self._find_origin(grant)):
            return None
        address = url.removeprefix("http://")
        return connections.Target(
            address,
            grant.backend,
            grant.run,
            self.ticket.delay_s,
            regions=self._routed.info.regions,
        )

    def _find_unusable_reason(
        self, target: connections.Target
    ) -> server_hints.UnusableReason | None:
        """Returns why a backend server may not be used; None if it may."""
        return self._dispatcher.server_hints.find_unusable_reason(
            target.backend, target.run, steadyclock.read()
        )

    def _record_first_event(self) -> None:
        if self.first_event_at is not None:
            return
        self.first_event_at = steadyclock.read()
        first = core_message.FirstToken(
            self._scheduling_id,
            self.first_event_at - self._sent_at,
            None,
            0,
        )
        self.ticket.report(tickets.FirstTokenReceived(first))

    def _report_complete(self, status: int) -> None:
        ended = msgspec.structs.replace(
            self._make_ended(True), failed=status >= SERVER_ERROR
        )
        self.ticket.report(tickets.Completed(ended, status))

    def _report_failure(
        self,
        not_run: bool,
        reason: core_message.Reason,
        fault: tickets.Fault | None = None,
        failed: bool = False,
    ) -> None:
        """Reports a failed attempt.

        Args:
            not_run: Whether the backend server said that it did not run the
                request.
            reason: Reason given to the caller if no attempt follows.
            fault: How the connection broke or hung, if it did.
            failed: Whether the backend server responded with a server error.
        """
        self.fault = fault
        ended = msgspec.structs.replace(
            self._make_ended(False),
            broken=fault is not None,
            refused=not_run,
            gone=fault is not None and fault.presence == _GONE,
            failed=failed,
        )
        self.ticket.report(
            tickets.AttemptFailed(
                ended, not_run, reason, fault, self._race.concede(self)
            )
        )

    def _end_unsent(self, reason: core_message.Reason) -> None:
        """Ends an attempt of which nothing was sent; none may follow it."""
        self.ticket.report(
            tickets.AttemptFailed(
                self._make_ended(False),
                True,
                reason,
                is_hedged=self._race.concede(self),
            )
        )

    def _end_unknown(self, reason: core_message.Reason) -> None:
        self._race.concede(self)
        ended = self._make_ended(False)
        self.ticket.report(tickets.AnswerLost(ended, reason))

    def _make_ended(self, complete: bool) -> core_message.Ended:
        decode_s = 0.0
        if self.first_event_at is not None:
            # Without the silence after the last part.
            decode_s = max(0.0, self.heard_at - self.first_event_at)
        first_tokens = self._routed.tokens_per_event
        return core_message.Ended(
            self._scheduling_id,
            self._splitter.count * first_tokens,
            decode_s,
            complete,
            first_tokens=first_tokens,
        )


def _get_leave_reason(error: connections.BrokenError) -> hedging.LeaveReason:
    if isinstance(error, connections.RunLostError):
        return hedging.LeaveReason.RUN_LOST
    return hedging.LeaveReason.CONNECTION_LOST

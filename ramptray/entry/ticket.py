"""Events and effects between the dispatcher and the exchange of a request."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.core import message, remote_shards, request
from ramptray.entry import server_hints
from ramptray.peer import attachment


class ClaimRequest(msgspec.Struct, frozen=True):
    """The claim that a request with an idempotency key has to obtain.

    Attributes:
        key: Digest of customer, service and idempotency key.
        digest: Digest of the body.
    """

    key: str
    digest: str


class Submitted(msgspec.Struct, frozen=True):
    """A new request has been submitted."""

    ticket: Ticket


class ConnectFailed(msgspec.Struct, frozen=True):
    """No connection to the backend server could be opened; nothing was sent.

    Attributes:
        request_id: The request.
        refused: Whether the server refused the connection; otherwise it did not
            respond.
        failed_gateways: Why the gateways that were tried led to no connection,
            by address; empty if it was direct.
    """

    request_id: str
    refused: bool = True
    failed_gateways: dict[str, message.GatewayFailure] = {}


class GrantUnusable(msgspec.Struct, frozen=True):
    """The granted backend server accepts no requests now; nothing was sent.

    Attributes:
        request_id: The request.
        reason: Why the server accepts none.
    """

    request_id: str
    reason: server_hints.UnusableReason


class FirstTokenReceived(msgspec.Struct, frozen=True):
    """The first token has arrived."""

    first: message.FirstToken


class StreamBegun(msgspec.Struct, frozen=True):
    """The first event of a stream is about to be forwarded.

    Attributes:
        request_id: The request.
        release: Release of the backend server that sent it; None if unknown.
    """

    request_id: str
    release: str | None


class Completed(msgspec.Struct, frozen=True):
    """The complete response has arrived.

    Attributes:
        ended: Sent to the owner.
        status: HTTP status of the response.
    """

    ended: message.Ended
    status: int


class Refused(msgspec.Struct, frozen=True):
    """The backend server reports that it did not admit the request."""

    ended: message.Ended


class Fault(msgspec.Struct, frozen=True):
    """How an attempt failed; its fields are written to the timeline.

    Attributes:
        detail: The connection's error.
        presence: Result of a new connection to the backend server afterwards;
            empty if none was tried.
        after_s: Seconds since the request was sent.
        events: Number of events of the response that had arrived.
        silent_s: Seconds since the server sent anything.
    """

    detail: str
    presence: str
    after_s: float
    events: int
    silent_s: float


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt has ended without a response; another one may follow.

    Attributes:
        ended: Sent to the owner.
        not_run: Whether the backend server has reported that it did not run the
            request.
        reason: Sent to the caller if no attempt follows.
        fault: Details of the failure for the logs.
        is_hedged: Whether another attempt of the request goes on, so that none
            needs to follow this one.
    """

    ended: message.Ended
    not_run: bool
    reason: message.Reason
    fault: Fault | None = None
    is_hedged: bool = False


class Overtaken(msgspec.Struct, frozen=True):
    """Another attempt of the request has sent the next part of the answer."""

    ended: message.Ended


class AnswerLost(msgspec.Struct, frozen=True):
    """The response is lost and cannot be recovered."""

    ended: message.Ended
    reason: message.Reason


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller has closed its connection."""

    ended: message.Ended


Event = (
    Submitted
    | ConnectFailed
    | GrantUnusable
    | FirstTokenReceived
    | StreamBegun
    | Completed
    | Refused
    | AttemptFailed
    | Overtaken
    | AnswerLost
    | CallerDisconnected
    | attachment.LinkOpened
    | attachment.LinkClosed
    | attachment.MessageReceived
)
ExchangeEffect = request.Dispatch | request.Finish


class Ticket:
    """State of one request, shared by its exchange and the dispatcher.

    The exchange reports events on it and receives effects from it.  An attempt
    beside another one of the same request has a ticket of its own.

    Attributes:
        hedges: The ticket of the attempt that this one is made beside; None if
            it is the only one or has become the one that answers.
        has_begun: Whether the caller has the beginning of the answer.
        holds_retry: Whether a retry is reserved for its next dispatch.
        retry_used_at: When the current dispatch used the reserved retry; None
            if it did not.
        awaits_budget: Whether its next attempt waits for the retry budget; no
            owner has it queued meanwhile.
        ask_again_at: When its owner, which refused it, is asked again, or the
            retry budget is looked at again; None if neither is due.
        lacking_since: When its owner first refused it for want of a server
            since its last attempt; None if it did not.
        spared_ticks: Number of ticks at which it had timed out and was not
            refused, as a grant may have been unread.
    """

    def __init__(
        self,
        info: message.RequestInfo,
        claim_request: ClaimRequest | None,
        report: Callable[[Event], None],
    ) -> None:
        self.info = info
        self.claim_request = claim_request
        self.machine = request.RequestMachine(info, claim_request is not None)
        self.dispatched_at: float | None = None
        self.started_at = steadyclock.read()
        self.deadline = self.started_at + info.deadline_s
        self.no_owner_since: float | None = None
        self.enqueued_at = 0.0
        self.hedges: Ticket | None = None
        self.has_begun = False
        self.holds_retry = False
        self.retry_used_at: float | None = None
        self.awaits_budget = False
        self.ask_again_at: float | None = None
        self.lacking_since: float | None = None
        self.spared_ticks = 0
        self._name = info.request_id
        self._fork_numbers = itertools.count(1)
        self._unanswered: dict[str, float] = {}
        self.is_use_recorded = False
        # One-way delay to the zone that the request was redirected to.
        self.delay_s = 0.0
        self._report = report
        # A dispatch that a backend server refuses is followed by another one
        # here.  An exchange receives only a few effects in all, and sending
        # them never blocks the dispatcher.
        self._effects, self.effects = anyio.create_memory_object_stream[
            ExchangeEffect
        ](64)

    def fork(self) -> Ticket:
        """Returns a ticket for another attempt beside the current one."""
        forked = Ticket(self.info, None, self._report)
        number = next(self._fork_numbers)
        name = f"{self._name}{request.HEDGE_MARK}{number}"
        forked._name = self._name
        forked._fork_numbers = self._fork_numbers
        forked.machine = self.machine.fork(name)
        forked.started_at = self.started_at
        forked.deadline = self.deadline
        forked.delay_s = self.delay_s
        forked.is_use_recorded = True
        forked.hedges = self
        forked.has_begun = self.has_begun
        return forked

    def rename(self, number: int) -> None:
        """Gives it another name, as another request has the same id.

        Callers choose ids, and those of different customers may be equal.

        Args:
            number: Distinguishes the requests with this id.
        """
        self._name = f"{self.info.request_id}{request.HEDGE_MARK}same{number}"
        info = msgspec.structs.replace(self.info, request_id=self._name)
        self.machine = request.RequestMachine(
            info, self.claim_request is not None
        )

    @property
    def request_id(self) -> str:
        """Under which its owner schedules it."""
        return self.machine.info.request_id

    def report(self, event: Event) -> None:
        """Sends an event to the dispatcher."""
        self._report(event)

    def send_effect(self, effect: ExchangeEffect) -> None:
        """Sends an effect to the exchange; dropped if it has ended."""
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.WouldBlock,
        ):
            self._effects.send_nowait(effect)

    @property
    def awaiting_reply(self) -> bool:
        """Whether the owner has not replied to the request yet."""
        return self.machine.owner in self._unanswered

    def record_sent(self, owner: str, now: float) -> None:
        """Records that the request was sent to a scheduler.

        A reply to an earlier send of the same request cannot be told apart, so
        the delay counts from the first one and is never too short.
        """
        self.enqueued_at = now
        self._unanswered.setdefault(owner, now)

    def take_reply_delay_s(self, owner: str, now: float) -> float | None:
        """Returns the delay of a scheduler's first reply, in seconds.

        It is also known for a scheduler that replies after the request went to
        another one; None for further replies.
        """
        sent_at = self._unanswered.pop(owner, None)
        return None if sent_at is None else now - sent_at

    def forget_sent(self, owner: str) -> None:
        """Records that a reply is no longer due, as the link has closed."""
        self._unanswered.pop(owner, None)

    @property
    def continues_answer(self) -> bool:
        """Whether its end would cut off an answer that has begun.

        No other attempt goes on with that answer.
        """
        return self.has_begun and self.hedges is None

    @property
    def asks_again(self) -> bool:
        """Whether a refusal of its owner turns no caller away."""
        return self.has_begun or self.hedges is not None

    @property
    def tried(self) -> tuple[str, ...]:
        """Backend servers that the request has been sent to."""
        return self.machine.tried

    def get_info(
        self, now: float, silent: tuple[str, ...] = ()
    ) -> message.RequestInfo:
        """Returns the request's info with the times that remain now.

        Args:
            now: The entry's clock.
            silent: Backend servers that this VM cannot reach.
        """
        elapsed = now - self.started_at
        # The owner replies one delay later, to a request that reaches it one
        # delay after it was sent.
        reply_s = 2 * self.delay_s
        first_s = remote_shards.DELAYS_PER_REDIRECT * self.delay_s
        return msgspec.structs.replace(
            self.machine.info,
            deadline_s=max(0.0, self.deadline - now - reply_s),
            objective_s=_subtract(self.info.objective_s, elapsed + first_s),
            wait_s=None
            if self.continues_answer
            else _subtract(self.info.wait_s, elapsed + reply_s),
            avoid=self.tried,
            silent=silent,
            asks_again=self.asks_again,
        )


def _subtract(left_s: float | None, elapsed_s: float) -> float | None:
    return None if left_s is None else max(0.0, left_s - elapsed_s)


def get_request_id(event: Event) -> str:
    """Returns the request id of an exchange's event; empty if it has none."""
    match event:
        case (
            ConnectFailed(request_id)
            | GrantUnusable(request_id)
            | StreamBegun(request_id)
        ):
            return request_id
        case FirstTokenReceived(first):
            return first.request_id
        case (
            Completed(ended)
            | Refused(ended)
            | AttemptFailed(ended)
            | Overtaken(ended)
            | AnswerLost(ended)
            | CallerDisconnected(ended)
        ):
            return ended.request_id
    return ""

"""What passes between the dispatcher and the exchange of one request."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.core import message, request
from ramptray.entry import server_hints
from ramptray.peer import attachment


class ClaimRequest(msgspec.Struct, frozen=True):
    """What is claimed for a request that may not be repeated.

    Attributes:
        key: Digest of customer, service and idempotency key.
        digest: Digest of the body.
    """

    key: str
    digest: str


class Submitted(msgspec.Struct, frozen=True):
    """A new request."""

    ticket: Ticket


class ConnectFailed(msgspec.Struct, frozen=True):
    """There was no connection to the backend server; nothing was sent.

    Attributes:
        request_id: The request.
        refused: Whether it refused the connection; else it did not answer.
    """

    request_id: str
    refused: bool = True


class GrantUnusable(msgspec.Struct, frozen=True):
    """The request may not be sent where it was granted to; nothing was sent.

    Attributes:
        request_id: The request.
        reason: What the backend server has said.
    """

    request_id: str
    reason: server_hints.UnusableReason


class FirstTokenReceived(msgspec.Struct, frozen=True):
    """The first token has arrived."""

    first: message.FirstToken


class Completed(msgspec.Struct, frozen=True):
    """The whole answer has arrived.

    Attributes:
        ended: Sent to the owner.
        status: HTTP status of the answer.
    """

    ended: message.Ended
    status: int


class Refused(msgspec.Struct, frozen=True):
    """The backend server says that it did not admit the request."""

    ended: message.Ended


class Fault(msgspec.Struct, frozen=True):
    """How an attempt broke.

    Attributes:
        detail: What the connection said.
        presence: What a new connection to the backend server then said; empty
            where none was tried.
        after_s: Seconds since the request was sent.
        events: Events of its answer that had arrived.
    """

    detail: str
    presence: str
    after_s: float
    events: int


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt has ended without an answer; another one may follow.

    Attributes:
        ended: Sent to the owner.
        not_run: Whether the backend server has said that it did not run.
        reason: Sent to the caller where no attempt follows.
        fault: What was seen of the fault, for the logs.
    """

    ended: message.Ended
    not_run: bool
    reason: message.Reason
    fault: Fault | None = None


class AnswerLost(msgspec.Struct, frozen=True):
    """The answer cannot be had any more."""

    ended: message.Ended
    reason: message.Reason


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller has gone."""

    ended: message.Ended


Event = (
    Submitted
    | ConnectFailed
    | GrantUnusable
    | FirstTokenReceived
    | Completed
    | Refused
    | AttemptFailed
    | AnswerLost
    | CallerDisconnected
    | attachment.LinkOpened
    | attachment.LinkClosed
    | attachment.MessageReceived
)
ExchangeEffect = request.Dispatch | request.Finish


class Ticket:
    """One request's connection between its exchange and the dispatcher."""

    def __init__(
        self,
        info: message.RequestInfo,
        wish: ClaimRequest | None,
        report: Callable[[Event], None],
    ) -> None:
        self.info = info
        self.claim_request = wish
        self.machine = request.RequestMachine(info, wish is not None)
        self.dispatched_at: float | None = None
        self.started_at = steadyclock.read()
        self.deadline = self.started_at + info.deadline_s
        self.no_owner_since: float | None = None
        self.enqueued_at = 0.0
        self.awaiting_reply = False
        self._report = report
        # Dispatches that are refused by a backend server come back here, so
        # an exchange sees at most a few effects; it never blocks the sender.
        self._effects, self.effects = anyio.create_memory_object_stream[
            ExchangeEffect
        ](64)

    def report(self, event: Event) -> None:
        """Hands an event to the dispatcher."""
        self._report(event)

    def send_effect(self, effect: ExchangeEffect) -> None:
        """Hands an effect to the exchange."""
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.WouldBlock,
        ):
            self._effects.send_nowait(effect)

    @property
    def tried(self) -> tuple[str, ...]:
        """Backend servers that have had the request."""
        return self.machine.tried

    def get_info(
        self, now: float, silent: tuple[str, ...] = ()
    ) -> message.RequestInfo:
        """Returns the request's facts with its times as of now.

        Args:
            now: The entry's clock.
            silent: Backend servers that this VM cannot reach.
        """
        elapsed = now - self.started_at
        return msgspec.structs.replace(
            self.machine.info,
            deadline_s=max(0.0, self.deadline - now),
            objective_s=_subtract(self.info.objective_s, elapsed),
            wait_s=_subtract(self.info.wait_s, elapsed),
            avoid=self.tried,
            silent=silent,
        )


def _subtract(left_s: float | None, elapsed_s: float) -> float | None:
    return None if left_s is None else max(0.0, left_s - elapsed_s)


def get_request_id(event: Event) -> str:
    """Returns the request that an exchange's event is about."""
    match event:
        case ConnectFailed(request_id) | GrantUnusable(request_id):
            return request_id
        case FirstTokenReceived(first):
            return first.request_id
        case (
            Completed(ended)
            | Refused(ended)
            | AttemptFailed(ended)
            | AnswerLost(ended)
            | CallerDisconnected(ended)
        ):
            return ended.request_id
    return ""

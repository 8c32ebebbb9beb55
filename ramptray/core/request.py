"""The state machine of one request, held by the entry that serves its caller.

It implements all guarantees to the caller.  Whatever messages schedulers send,
late, duplicated or contradictory, they never cause a second dispatch: a request
that has been dispatched or has ended ignores or declines further grants.  Only
the entry itself lets it wait for another grant: if the request was not sent, if
the backend server reports that it did not run, or if it may run more than once.
``not_run`` is reported only in a state from which the request can never be
dispatched.
"""

from __future__ import annotations

import enum
import types
from collections.abc import Mapping

import msgspec

from ramptray.core import message

NO_FAILURES: Mapping[str, message.GatewayFailure] = types.MappingProxyType({})


HEDGE_MARK = "\N{DOUBLE VERTICAL LINE}"
"""Separates the id of a request from the number of a further attempt that is
scheduled beside the first one.  Ids of callers are Latin-1 and never contain
it."""

RELEASE_RETRY_AFTER_S = 1.0
"""Retry-After of a stream that was granted a server of another release, in
seconds."""


class State(enum.Enum):
    """State of a request."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ENDED = "ended"


class Claim(enum.Enum):
    """State of the claim on the request's idempotency key."""

    NOT_NEEDED = "not_needed"
    PENDING = "pending"
    HELD = "held"
    LOST = "lost"


class Dispatch(msgspec.Struct, frozen=True):
    """Effect: send the request to the granted backend server, once."""

    grant: message.Grant


class SendToOwner(msgspec.Struct, frozen=True):
    """Effect: send this message to the named scheduler."""

    owner: str
    message: message.EntryMessage


class Finish(msgspec.Struct, frozen=True):
    """Effect: report the final outcome to the caller."""

    outcome: message.Outcome
    reason: message.Reason | None = None
    retry_after_s: float = 0.0


class Release(msgspec.Struct, frozen=True):
    """Effect: release the claim on the idempotency key."""


class Cancel(msgspec.Struct, frozen=True):
    """Effect: cancel the stream on the backend server."""

    backend: str


Effect = Dispatch | SendToOwner | Finish | Release | Cancel


class RequestMachine:
    """Decides what happens to one request, without performing any I/O.

    Each method handles one event and returns the effects to perform, in order.
    """

    def __init__(self, info: message.RequestInfo, needs_claim: bool) -> None:
        self.info = info
        self.state = State.WAITING
        self.claim = Claim.PENDING if needs_claim else Claim.NOT_NEEDED
        self.owner: str | None = None
        self.dispatches = 0
        self.tried: tuple[str, ...] = ()
        self._may_have_run = False
        self._grant: message.Grant | None = None

    @property
    def backend(self) -> str | None:
        """The backend server that the request was dispatched to, if any."""
        dispatched = self.state is not State.WAITING and self._grant
        return self._grant.backend if dispatched and self._grant else None

    @property
    def grant(self) -> message.Grant | None:
        """The current grant, if any, whether or not it is in use yet."""
        return self._grant

    def assign(
        self, owner: str, info: message.RequestInfo, elapsed_s: float = 0.0
    ) -> list[Effect]:
        """Moves the request to another owner.

        Args:
            owner: The scheduler that now owns the request's shard.
            info: The request's properties with its deadline as of now.
            elapsed_s: Seconds since the dispatch, if it was dispatched.
        """
        previous = self.owner
        self.owner = owner
        self.info = info
        if self.state is State.ENDED:
            return []
        effects: list[Effect] = []
        if previous is not None and previous != owner:
            effects.append(
                SendToOwner(previous, message.Withdraw(info.request_id))
            )
        if self.state is State.DISPATCHED and self._grant:
            running = message.Running(
                info, self._grant.backend, elapsed_s, 0, self._grant.run
            )
            return [*effects, SendToOwner(owner, running)]
        self._grant = None
        return [*effects, SendToOwner(owner, message.Enqueue(info))]

    def receive_grant(self, grant: message.Grant) -> list[Effect]:
        """Uses a grant only if the request is still waiting for one."""
        decline = SendToOwner(
            grant.owner, message.Decline(grant.request_id, grant.grant_id)
        )
        if self.state is not State.WAITING or grant.owner != self.owner:
            return [] if grant == self._grant else [decline]
        if self._grant is not None:
            return [] if grant == self._grant else [decline]
        if self.info.release not in (None, grant.release):
            # An owner of an older version knows of no releases.
            return [
                decline,
                *self._end_waiting(
                    message.Reason.NO_RELEASE, RELEASE_RETRY_AFTER_S
                ),
            ]
        self._grant = grant
        return self._dispatch_if_allowed()

    def receive_reject(
        self, reject: message.Reject, owner: str
    ) -> list[Effect]:
        """Ends a waiting request that its owner rejected."""
        if self.state is not State.WAITING or owner != self.owner:
            return []
        return self._end_waiting(
            reject.reason, reject.retry_after_s, notify_owner=False
        )

    def decide_claim(
        self, held: bool, finish: Finish | None = None
    ) -> list[Effect]:
        """Applies the decision of the log on the claim.

        Args:
            held: Whether this attempt holds the idempotency key.
            finish: The outcome for the caller if it does not.
        """
        if self.claim is not Claim.PENDING or self.state is not State.WAITING:
            return []
        if held:
            self.claim = Claim.HELD
            return self._dispatch_if_allowed()
        self.claim = Claim.LOST
        self.state = State.ENDED
        final = finish or Finish(message.Outcome.NOT_RUN)
        # The claim may still be appended to the log, so the key is released.
        # If the claim was read and lost, the release has no effect.
        return [*self._withdraw(), Release(), final]

    def bind_release(self, release: str | None) -> None:
        """Binds further attempts to the release that began the stream.

        Args:
            release: The release; None if it is unknown, so that no attempt may
                follow.
        """
        self.info = msgspec.structs.replace(
            self.info,
            release=release,
            repeatable=self.info.repeatable and release is not None,
        )

    def fail_connect(
        self,
        refused: bool = True,
        failed_gateways: Mapping[str, message.GatewayFailure] = NO_FAILURES,
    ) -> list[Effect]:
        """Returns to waiting, as connecting failed and nothing was sent.

        The message goes to the current owner, not to the one that granted.

        Args:
            refused: Whether the backend server refused the connection; else
                it did not respond, perhaps only to this VM.
            failed_gateways: Why gateways led to no connection, by address.
        """
        return self._return_grant(refused, failed_gateways)

    def return_grant(self) -> list[Effect]:
        """Returns to waiting, as the server accepts no requests from this VM.

        This counts neither as an attempt nor as a failure of the server.
        """
        return self._return_grant(unreachable=False)

    def _return_grant(
        self,
        unreachable: bool,
        failed_gateways: Mapping[str, message.GatewayFailure] = NO_FAILURES,
    ) -> list[Effect]:
        if self.state is not State.DISPATCHED or self._grant is None:
            return []
        grant = self._grant
        self.state = State.WAITING
        self.dispatches -= 1
        self._grant = None
        decline = message.Decline(
            grant.request_id,
            grant.grant_id,
            unreachable,
            self.info.avoid,
            self.info.silent,
            waits=True,
            failed_gateways=dict(failed_gateways),
        )
        return [SendToOwner(self.owner or grant.owner, decline)]

    def fail_attempt(
        self,
        ended: message.Ended,
        not_run: bool,
        may_repeat: bool,
        finish: Finish,
        may_enqueue: bool = True,
    ) -> list[Effect]:
        """Ends an attempt without a response; another one may follow.

        A request is retried only if it may run more than once, or if the
        backend server has reported that it did not run.

        Args:
            ended: The message to the owner.
            not_run: Whether the backend server has reported that the request
                did not run.
            may_repeat: Whether another attempt may follow, now or once the
                retry budget allows it.
            finish: The outcome for the caller if no attempt follows.
            may_enqueue: Whether it may follow now; otherwise ``assign`` sends
                the request to its owner later.
        """
        if self.state is not State.DISPATCHED or self._grant is None:
            return []
        backend = self._grant.backend
        if not not_run:
            self._may_have_run = True
        safe = not_run or self.info.repeatable
        left = self.dispatches < self.info.max_attempts
        if not (safe and left and may_repeat):
            outcome = message.Outcome.NOT_RUN
            if self._may_have_run:
                outcome = message.Outcome.UNKNOWN
            final = msgspec.structs.replace(finish, outcome=outcome)
            return self._end_dispatched(final, ended)
        self.state = State.WAITING
        self._grant = None
        self.tried = (*self.tried, backend)
        self.info = msgspec.structs.replace(
            self.info,
            avoid=(*self.info.avoid, backend),
            attempt=self.dispatches,
        )
        if self.owner is None:
            return []
        effects: list[Effect] = [SendToOwner(self.owner, ended)]
        if may_enqueue:
            enqueue = message.Enqueue(self.info)
            effects.append(SendToOwner(self.owner, enqueue))
        return effects

    def fork(self, request_id: str) -> RequestMachine:
        """Returns a machine for another attempt beside the current one.

        It counts the attempts made so far as its own.  The two together send
        the request to no more servers than allowed if only one of them goes on
        to further attempts.

        Args:
            request_id: Under which its owner schedules the other attempt.
        """
        tried = (*self.tried, *([self.backend] if self.backend else []))
        forked = RequestMachine(
            msgspec.structs.replace(
                self.info,
                request_id=request_id,
                avoid=tried,
                attempt=self.dispatches,
            ),
            False,
        )
        forked.dispatches = self.dispatches
        forked.tried = tried
        forked._may_have_run = True
        return forked

    def absorb(self, forked: RequestMachine) -> None:
        """Counts the attempts of a forked machine that has ended.

        Further attempts keep away from its backend servers as well.
        """
        used = (*self.tried, *forked.tried, forked.backend)
        self.tried = tuple(
            dict.fromkeys(
                each for each in used if each not in (None, self.backend)
            )
        )
        if forked.dispatches > self.dispatches:
            self.dispatches = forked.dispatches
            self._may_have_run = True

    def overtake(self, ended: message.Ended) -> list[Effect]:
        """Ends the request here, as another machine's attempt answers it.

        No caller is told, so the result has no reason.
        """
        return self._end_early(ended, None)

    def complete(self, ended: message.Ended) -> list[Effect]:
        """Ends a dispatched request whose response is complete."""
        return self._end_dispatched(Finish(message.Outcome.COMPLETE), ended)

    def end_refused(self, ended: message.Ended) -> list[Effect]:
        """Ends a request that its backend server reports as not admitted."""
        finish = Finish(
            message.Outcome.NOT_RUN, message.Reason.BACKEND_REFUSED, 1.0
        )
        effects = self._end_dispatched(finish, ended)
        if effects and self.claim is Claim.HELD:
            effects.append(Release())
        return effects

    def end_unknown(
        self, reason: message.Reason, ended: message.Ended
    ) -> list[Effect]:
        """Ends a dispatched request whose response is lost."""
        return self._end_dispatched(
            Finish(message.Outcome.UNKNOWN, reason), ended
        )

    def cancel(self, ended: message.Ended) -> list[Effect]:
        """Ends the request because its caller has disconnected."""
        return self._end_early(ended, message.Reason.CALLER_GONE)

    def _end_early(
        self, ended: message.Ended, reason: message.Reason | None
    ) -> list[Effect]:
        if self.state is State.WAITING:
            return self._end_waiting(reason, 0.0)
        if self.state is not State.DISPATCHED or self._grant is None:
            return []
        backend = self._grant.backend
        finish = Finish(message.Outcome.UNKNOWN, reason)
        return [Cancel(backend), *self._end_dispatched(finish, ended)]

    def reject(
        self, reason: message.Reason, retry_after_s: float
    ) -> list[Effect]:
        """Ends a waiting request on the entry's own decision."""
        if self.state is not State.WAITING:
            return []
        return self._end_waiting(reason, retry_after_s)

    def _dispatch_if_allowed(self) -> list[Effect]:
        claimed = self.claim in (Claim.NOT_NEEDED, Claim.HELD)
        if not claimed or self._grant is None:
            return []
        self.state = State.DISPATCHED
        self.dispatches += 1
        return [Dispatch(self._grant)]

    def _end_waiting(
        self,
        reason: message.Reason | None,
        retry_after_s: float,
        notify_owner: bool = True,
    ) -> list[Effect]:
        self.state = State.ENDED
        effects: list[Effect] = self._withdraw() if notify_owner else []
        if self.claim in (Claim.PENDING, Claim.HELD):
            effects.append(Release())
        outcome = message.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = message.Outcome.UNKNOWN
        return [*effects, Finish(outcome, reason, retry_after_s)]

    def _withdraw(self) -> list[Effect]:
        if self.owner is None:
            return []
        return [SendToOwner(self.owner, message.Withdraw(self.info.request_id))]

    def _end_dispatched(
        self, finish: Finish, ended: message.Ended
    ) -> list[Effect]:
        if self.state is not State.DISPATCHED:
            return []
        self.state = State.ENDED
        messages = [SendToOwner(self.owner, ended)] if self.owner else []
        return [*messages, finish]

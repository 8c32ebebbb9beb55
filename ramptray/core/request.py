"""The state machine of one request, held by the entry that has its caller.

All safety towards the caller lives here: whatever schedulers say, late, twice
or in contradiction, the request is dispatched at most once, and ``not_run`` is
said only in a state from which it can never be dispatched.
"""

from __future__ import annotations

import enum

import msgspec

from ramptray.core import message


class State(enum.Enum):
    """Where a request stands."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ENDED = "ended"


class Claim(enum.Enum):
    """Whether the request may run as far as its idempotency key goes."""

    NOT_NEEDED = "not_needed"
    PENDING = "pending"
    HELD = "held"
    LOST = "lost"


class Dispatch(msgspec.Struct, frozen=True):
    """Effect: send the request's body to this backend server, once."""

    grant: message.Grant


class SendToOwner(msgspec.Struct, frozen=True):
    """Effect: send this message to the named scheduler."""

    owner: str
    message: message.EntryMessage


class Finish(msgspec.Struct, frozen=True):
    """Effect: give the caller its final outcome."""

    outcome: message.Outcome
    reason: message.Reason | None = None
    retry_after_s: float = 0.0


class Release(msgspec.Struct, frozen=True):
    """Effect: the claim on the idempotency key is no longer needed."""


class Cancel(msgspec.Struct, frozen=True):
    """Effect: cancel the stream on the backend server."""

    backend: str


Effect = Dispatch | SendToOwner | Finish | Release | Cancel


class RequestMachine:
    """Decides what happens to one request; performs nothing itself.

    Each method takes one event and returns the effects to perform, in order.
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
        """The backend server the request was dispatched to, if any."""
        dispatched = self.state is not State.WAITING and self._grant
        return self._grant.backend if dispatched and self._grant else None

    @property
    def grant(self) -> message.Grant | None:
        """The grant that is held or in use."""
        return self._grant

    def assign(
        self, owner: str, info: message.RequestInfo, elapsed_s: float = 0.0
    ) -> list[Effect]:
        """Moves the request to another owner.

        Args:
            owner: The scheduler that now owns the request's shard.
            info: The request's facts with its deadline as of now.
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
        """Uses a grant if, and only if, the request still waits for one."""
        decline = SendToOwner(
            grant.owner, message.Decline(grant.request_id, grant.grant_id)
        )
        if self.state is not State.WAITING or grant.owner != self.owner:
            return [] if grant == self._grant else [decline]
        if self._grant is not None:
            return [] if grant == self._grant else [decline]
        self._grant = grant
        return self._dispatch_if_allowed()

    def receive_reject(
        self, reject: message.Reject, owner: str
    ) -> list[Effect]:
        """Ends a waiting request that its owner gave up."""
        if self.state is not State.WAITING or owner != self.owner:
            return []
        return self._end_waiting(
            reject.reason, reject.retry_after_s, notify_owner=False
        )

    def decide_claim(
        self, held: bool, finish: Finish | None = None
    ) -> list[Effect]:
        """Takes the decision of the log on the claim.

        Args:
            held: Whether this attempt holds the idempotency key.
            finish: The outcome for the caller where it does not.
        """
        if self.claim is not Claim.PENDING or self.state is not State.WAITING:
            return []
        if held:
            self.claim = Claim.HELD
            return self._dispatch_if_allowed()
        self.claim = Claim.LOST
        self.state = State.ENDED
        final = finish or Finish(message.Outcome.NOT_RUN)
        # Its claim may yet land, so the key is freed by a release.  Where the
        # claim was read and did not hold, the release changes nothing.
        return [*self._withdraw(), Release(), final]

    def fail_connect(self, refused: bool = True) -> list[Effect]:
        """Returns to waiting: there is no connection, no byte was sent.

        The message goes to the present owner, not to the one that granted.

        Args:
            refused: Whether the backend server refused the connection; else
                it did not answer, perhaps to this VM only.
        """
        return self._return_grant(refused)

    def return_grant(self) -> list[Effect]:
        """Returns to waiting: the backend server wants nothing from this VM.

        That counts neither as an attempt nor as a failure of the server.
        """
        return self._return_grant(unreachable=False)

    def _return_grant(self, unreachable: bool) -> list[Effect]:
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
        )
        return [SendToOwner(self.owner or grant.owner, decline)]

    def fail_attempt(
        self,
        ended: message.Ended,
        not_run: bool,
        may_repeat: bool,
        finish: Finish,
    ) -> list[Effect]:
        """Ends an attempt without an answer; another one may follow.

        Only a request that may run more than once, or one whose backend server
        has said that it did not run, is ever sent to another.

        Args:
            ended: Sent to the owner.
            not_run: Whether the backend server has said that it did not run.
            may_repeat: Whether time and the retry budget allow another attempt.
            finish: The outcome for the caller where no attempt follows.
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
        return [
            SendToOwner(self.owner, ended),
            SendToOwner(self.owner, message.Enqueue(self.info)),
        ]

    def complete(self, ended: message.Ended) -> list[Effect]:
        """Ends a dispatched request whose whole answer has arrived."""
        return self._end_dispatched(Finish(message.Outcome.COMPLETE), ended)

    def end_refused(self, ended: message.Ended) -> list[Effect]:
        """Ends a request that its backend server says it did not admit."""
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
        """Ends a dispatched request whose answer cannot be had any more."""
        return self._end_dispatched(
            Finish(message.Outcome.UNKNOWN, reason), ended
        )

    def cancel(self, ended: message.Ended) -> list[Effect]:
        """Ends the request because its caller has gone."""
        if self.state is State.WAITING:
            return self._end_waiting(message.Reason.CALLER_GONE, 0.0)
        if self.state is not State.DISPATCHED or self._grant is None:
            return []
        backend = self._grant.backend
        finish = Finish(message.Outcome.UNKNOWN, message.Reason.CALLER_GONE)
        return [Cancel(backend), *self._end_dispatched(finish, ended)]

    def reject(
        self, reason: message.Reason, retry_after_s: float
    ) -> list[Effect]:
        """Ends a waiting request for the entry's own reasons."""
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
        reason: message.Reason,
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

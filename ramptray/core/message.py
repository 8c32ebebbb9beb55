"""Typed messages between an entry and a scheduler.

Durations are in seconds and relative to the moment the message is sent, since
two VMs share no clock.  Sizes are in tokens.
"""

from __future__ import annotations

import enum

import msgspec


class Outcome(enum.Enum):
    """What is certain about a request when it ends."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request ended without a whole answer (a closed set)."""

    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CUSTOMER_LIMIT = "customer_limit"
    NO_BACKEND = "no_backend"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_READY = "not_ready"
    CALLER_GONE = "caller_gone"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_DONE = "key_done"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_LOST = "backend_lost"
    STREAM_BROKEN = "stream_broken"
    BLOCKED = "blocked_content"


class ShardKey(msgspec.Struct, frozen=True):
    """The unit of ownership: part of a service within an availability zone."""

    zone: str
    service: str
    number: int = 0

    def format(self) -> str:
        """Returns the text form that rendezvous hashing works on."""
        return f"{self.zone}/{self.service}/{self.number}"

    def get_owner_key(self, shares_limits: bool) -> str:
        """Returns what decides who owns the shard.

        Args:
            shares_limits: Whether customers' limits hold over all services
                together: they then have one owner, who counts for all.
        """
        return self.zone if shares_limits else self.format()


class RequestInfo(msgspec.Struct, frozen=True):
    """What a scheduler knows of a request; never its body.

    Attributes:
        request_id: Unique over all entries.
        shard: The shard the request belongs to.
        customer: The customer's name in the bundle.
        tier: The tier's name in the bundle.
        prompt_tokens: Estimated size of the prompt.
        output_tokens: Estimated size of the answer.
        prefix: Chained block hashes of the prompt, the longest prefix last.
        deadline_s: Seconds left until the answer is of no more use.
        spilled_from: Zones that had no room for the request.
        limit_tokens: What the request counts against its customer's limit;
            None for its cost in the queue.
        repeatable: Whether it may run more than once.
        max_attempts: Backend servers that it may be sent to.
        avoid: Backend servers that it was sent to in vain.
        silent: Backend servers that its entry cannot reach at present.
        attempt: Backend servers that it was sent to before.
        objective_s: Seconds left until its answer begins too late; None where
            there is no such objective.
        wait_s: Seconds left that it may wait before it is refused; None for
            until its deadline.
        max_gap_s: Longest pause between two events of an answer in time, in
            seconds; None where there is no such limit.
        event_tokens: Tokens that an event of its answer holds.
        content: The same for requests of the same customer, path and body;
            empty where that is not known.
        prefix_tokens: Tokens that each block of the prefix covers; empty where
            all cover the usual number.
        route: The route that it came on; empty where there are none.
        regions: Regions whose backend servers may run it; None for any.
    """

    request_id: str
    shard: ShardKey
    customer: str
    tier: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    deadline_s: float
    spilled_from: tuple[str, ...] = ()
    limit_tokens: int | None = None
    repeatable: bool = False
    max_attempts: int = 1
    avoid: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    attempt: int = 0
    objective_s: float | None = None
    wait_s: float | None = None
    max_gap_s: float | None = None
    event_tokens: int = 1
    content: str = ""
    prefix_tokens: tuple[int, ...] = ()
    route: str = ""
    regions: tuple[str, ...] | None = None


class Enqueue(msgspec.Struct, frozen=True):
    """Entry to owner: this request waits for a grant."""

    request: RequestInfo


class Running(msgspec.Struct, frozen=True):
    """Entry to a new owner: this request already runs on a backend server.

    Attributes:
        request: The request.
        backend: The backend server.
        running_s: For how long, in seconds.
        output_tokens: Tokens of the answer that have arrived.
        run: The backend server's run, see ``Grant``.
    """

    request: RequestInfo
    backend: str
    running_s: float
    output_tokens: int
    run: int = 0


class Withdraw(msgspec.Struct, frozen=True):
    """Entry to owner: forget this request, it no longer waits or runs here."""

    request_id: str


class Decline(msgspec.Struct, frozen=True):
    """Entry to owner: this grant is not used.

    Attributes:
        request_id: The request.
        grant_id: The grant.
        unreachable: Whether the backend server refused the connection.
        avoid: Backend servers that the request was sent to in vain.
        silent: Backend servers that the entry cannot reach at present.
        waits: Whether the request still waits for another grant.
    """

    request_id: str
    grant_id: str
    unreachable: bool = False
    avoid: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    waits: bool = False


class FirstToken(msgspec.Struct, frozen=True):
    """Entry to owner: the answer has begun.

    Attributes:
        request_id: The request.
        elapsed_s: Seconds from the dispatch to the first token.
        prefilled_tokens: Prompt tokens the engine had to compute; None where it
            does not say.
        cached_tokens: Prompt tokens found in the engine's prefix cache.
    """

    request_id: str
    elapsed_s: float
    prefilled_tokens: int | None
    cached_tokens: int


class Ended(msgspec.Struct, frozen=True):
    """Entry to owner: the request has left its backend server.

    Attributes:
        request_id: The request.
        output_tokens: Tokens of the answer that arrived.
        decode_s: Seconds from the first event to the last.
        whole: Whether the end marker arrived.
        certain: Whether the backend server has surely freed its place.
        broken: Whether the backend server broke off or hung.
        first_tokens: Tokens that the first event held, which took no time
            within ``decode_s``.
        refused: Whether the backend server said that it did not run it.
        gone: Whether nothing listened at the backend server's address any more
            as the answer broke off.
        failed: Whether the backend server answered with a failure of its own.
    """

    request_id: str
    output_tokens: int
    decode_s: float
    whole: bool
    certain: bool = True
    broken: bool = False
    first_tokens: int = 1
    refused: bool = False
    gone: bool = False
    failed: bool = False


class SyncDone(msgspec.Struct, frozen=True):
    """Entry to owner: everything that waits or runs here has been sent."""

    entry: str


class Speed(msgspec.Struct, frozen=True):
    """How fast a backend server works, as an owner has learned it.

    Attributes:
        prefill_rate: Prompt tokens a second.
        step_s: Seconds between two tokens of an answer.
        fixed_s: Seconds to a first token besides those for the prompt.
    """

    prefill_rate: float
    step_s: float
    fixed_s: float = 0.0

    def estimate(self, tokens: float) -> float:
        """Returns the seconds to the first token of a prompt."""
        return self.fixed_s + tokens / self.prefill_rate


class SpeedLearned(msgspec.Struct, frozen=True):
    """Entry to the scheduler of its own VM: what another owner has learned.

    That scheduler may own the shard next, and would otherwise learn anew.

    Attributes:
        backend: The backend server.
        speed: How fast it works.
        run: In which of its runs, see ``Grant``; a later run may differ.
    """

    backend: str
    speed: Speed
    run: int = 0


class ServerHints(msgspec.Struct, frozen=True):
    """Entry to schedulers: what a backend server says of itself in answers.

    Attributes:
        backend: The backend server.
        run: In which of its runs, see ``Grant``; hints end with their run.
        limit_per_s: Requests a second that it accepts from all VMs together;
            None where it names no limit.
        is_leaving: Whether it is leaving; final for the run.
        pause_s: Seconds for which it wants nothing from the entry's VM.
    """

    backend: str
    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0

    def follow(self, former: ServerHints | None) -> ServerHints:
        """Returns these hints with what stays of the former ones."""
        if former is None or former.run != self.run:
            return self
        is_leaving = self.is_leaving or former.is_leaving
        return msgspec.structs.replace(self, is_leaving=is_leaving)


class Grant(msgspec.Struct, frozen=True):
    """Owner to entry: dispatch this request to this backend server.

    Attributes:
        request_id: The request.
        grant_id: Tells apart the grants of one owner.
        backend: Name of the backend server.
        owner: Address of the scheduler that grants.
        version: The model version to ask for; empty for none.
        url: Where the backend server listens, for an entry that does not know
            it; empty where it is in the bundle.
        speed: How fast it works; None where that is not learned yet.
        run: Which run of the backend server is meant: a larger number is a
            later one, which knows nothing of those before; 0 where that is not
            known.
        limit_per_s: The request limit of the backend server that the owner
            applied; None where it knows of none.
    """

    request_id: str
    grant_id: str
    backend: str
    owner: str
    version: str = ""
    url: str = ""
    speed: Speed | None = None
    run: int = 0
    limit_per_s: float | None = None


class Reject(msgspec.Struct, frozen=True):
    """Owner to entry: this request is given up; answer the caller now."""

    request_id: str
    reason: Reason
    retry_after_s: float


class Redirect(msgspec.Struct, frozen=True):
    """Owner to entry: no room here; ask the owner in another zone.

    Attributes:
        request_id: The request.
        zone: The zone that has room.
        owner: Address of the scheduler that owns the shard there.
    """

    request_id: str
    zone: str
    owner: str


class Queued(msgspec.Struct, frozen=True):
    """Owner to entry: this request waits here."""

    request_id: str


class StillWaiting(msgspec.Struct, frozen=True):
    """Owner to entry: the owner is alive, and requests of yours wait here."""

    count: int


EntryMessage = (
    Enqueue
    | Running
    | Withdraw
    | Decline
    | FirstToken
    | Ended
    | SyncDone
    | SpeedLearned
    | ServerHints
)
OwnerMessage = Grant | Reject | Redirect

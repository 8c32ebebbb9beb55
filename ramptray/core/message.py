"""Messages between an entry and a scheduler.

Durations are in seconds, relative to the time at which the message is sent,
since VMs share no clock.  Sizes are in tokens.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec


class Outcome(enum.Enum):
    """What is known for certain about a request when it ends."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request ended without a complete response; a closed set."""

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
    NO_RELEASE = "no_release"
    STOPPING = "stopping"


class GatewayFailure(enum.Enum):
    """Why no connection to a backend server was opened through a VM.

    Attributes:
        NOT_OPENED: The VM was not reached, or gateways none now.
        REFUSED: The server refused the VM's connection.
        SILENT: The server does not respond to the VM.
    """

    NOT_OPENED = "not_opened"
    REFUSED = "refused"
    SILENT = "silent"


class ShardKey(msgspec.Struct, frozen=True):
    """The unit of ownership: part of a service within an availability zone."""

    zone: str
    service: str
    number: int = 0

    def format(self) -> str:
        """Returns the text form used for rendezvous hashing."""
        return f"{self.zone}/{self.service}/{self.number}"

    def get_owner_key(self, shares_limits: bool) -> str:
        """Returns the key by which the owner of the shard is chosen.

        Args:
            shares_limits: Whether customers' limits apply to all services
                combined, which requires a single owner for all of them.
        """
        return self.zone if shares_limits else self.format()


class RequestInfo(msgspec.Struct, frozen=True):
    """What a scheduler knows about a request, which excludes its body.

    Attributes:
        request_id: Unique among all entries.
        shard: The shard the request belongs to.
        customer: The customer's name in the bundle.
        tier: The tier's name in the bundle.
        prompt_tokens: Estimated size of the prompt.
        output_tokens: Estimated size of the response.
        prefix: Chained block hashes of the prompt, the longest prefix last.
        deadline_s: Seconds left until the caller no longer needs the response.
        spilled_from: Zones that had no capacity for the request, and addresses
            of owners in other zones that did not reply.
        limit_tokens: What the request counts against its customer's limit;
            None for its queue cost.
        repeatable: Whether it may run more than once.
        max_attempts: How many backend servers it may be sent to.
        avoid: Backend servers that it was sent to without success.
        silent: Backend servers that its entry currently cannot reach.
        attempt: How many backend servers it was sent to before.
        objective_s: Seconds left to meet the objective for the first token;
            None if there is none.
        wait_s: Seconds left that it may wait before it is refused; None for
            until its deadline.
        max_gap_s: Longest pause between two events of a response that meets its
            objective, in seconds; None if there is no limit.
        event_tokens: Tokens per event of its response.
        content: Digest of customer, path and body; empty if unknown.
        parts: Digests of the parts of its prompt that it shares with others,
            independent of their order; empty if unknown.
        prefix_tokens: Tokens that each block of the prefix covers; empty if
            all cover the default number.
        route: The route that it matched; empty if there are none.
        regions: Regions whose backend servers may run it; None for any.
        release: Release whose backend servers may run it, as one of them began
            its stream; None for any.
        asks_again: Whether a refusal turns no caller away: another attempt
            runs, or the answer has begun, and the entry asks again.
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
    release: str | None = None
    parts: tuple[str, ...] = ()
    asks_again: bool = False

    @property
    def causes(self) -> frozenset[str]:
        """What may make it crash a server: its content or one of its parts."""
        return make_causes(self.content, self.parts)


def make_causes(content: str, parts: Iterable[str]) -> frozenset[str]:
    """Returns the digests of a content and of parts of a prompt, as one set.

    Args:
        content: The digest of the content; empty if unknown.
        parts: The digests of the parts.
    """
    return frozenset((content, *parts)) - {""}


class Enqueue(msgspec.Struct, frozen=True):
    """Entry to owner: this request waits for a grant."""

    request: RequestInfo


class Running(msgspec.Struct, frozen=True):
    """Entry to new owner: this request already runs on a backend server.

    Attributes:
        request: The request.
        backend: The backend server.
        running_s: For how long it has been running, in seconds.
        output_tokens: Tokens of the response that have arrived.
        run: The backend server's run, see ``Grant``.
    """

    request: RequestInfo
    backend: str
    running_s: float
    output_tokens: int
    run: int = 0


class Withdraw(msgspec.Struct, frozen=True):
    """Entry to owner: drop this request, it no longer waits or runs here."""

    request_id: str


class Decline(msgspec.Struct, frozen=True):
    """Entry to owner: this grant is not used.

    Attributes:
        request_id: The request.
        grant_id: The grant.
        unreachable: Whether the backend server refused the connection.
        avoid: Backend servers that the request was sent to without success.
        silent: Backend servers that the entry currently cannot reach.
        waits: Whether the request waits for another grant.
        failed_gateways: Why the gateways of the grant led to no connection, by
            address.
    """

    request_id: str
    grant_id: str
    unreachable: bool = False
    avoid: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    waits: bool = False
    failed_gateways: dict[str, GatewayFailure] = {}


class FirstToken(msgspec.Struct, frozen=True):
    """Entry to owner: the response has begun.

    Attributes:
        request_id: The request.
        elapsed_s: Seconds from the dispatch to the first token.
        prefilled_tokens: Prompt tokens the engine had to compute; None if not
            reported.
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
        output_tokens: Tokens of the response that arrived.
        decode_s: Seconds from the first event to the last.
        whole: Whether the end marker arrived.
        certain: Whether the backend server has certainly freed the slot.
        broken: Whether the backend server aborted the response or hung.
        first_tokens: Tokens in the first event, whose time ``decode_s`` does
            not include.
        refused: Whether the backend server reported that it did not run it.
        gone: Whether nothing was listening at the backend server's address any
            more when the response was aborted.
        failed: Whether the backend server responded with an error of its own.
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
    """Entry to owner: all waiting and running requests have been sent."""

    entry: str


class Speed(msgspec.Struct, frozen=True):
    """Speed of a backend server as measured by an owner.

    Attributes:
        prefill_rate: Prompt tokens per second.
        step_s: Seconds between two tokens of a response.
        fixed_s: Constant part of the seconds to the first token.
    """

    prefill_rate: float
    step_s: float
    fixed_s: float = 0.0

    def estimate(self, tokens: float) -> float:
        """Returns the estimated seconds to the first token of a prompt."""
        return self.fixed_s + tokens / self.prefill_rate


class SpeedLearned(msgspec.Struct, frozen=True):
    """Entry to the scheduler of its own VM: a speed from another owner.

    That scheduler may own the shard next and would otherwise have to measure
    the speed again.

    Attributes:
        backend: The backend server.
        speed: Its speed.
        run: The run it was measured in, see ``Grant``; later runs may differ.
    """

    backend: str
    speed: Speed
    run: int = 0


class ServerHints(msgspec.Struct, frozen=True):
    """Entry to schedulers: hints from the responses of a backend server.

    Attributes:
        backend: The backend server.
        run: The run they are from, see ``Grant``; hints expire with their run.
        limit_per_s: Requests per second that it accepts from all VMs together;
            None if it reports no limit.
        is_leaving: Whether it is leaving; final for the run.
        pause_s: Seconds for which it asks the entry's VM to send nothing.
        max_refusals_per_s: Refusals for want of room that it survives in a
            second; None if their number does not matter.
    """

    backend: str
    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    max_refusals_per_s: float | None = None

    def merge_previous(self, previous: ServerHints | None) -> ServerHints:
        """Returns these hints merged with the previous ones."""
        if previous is None or previous.run != self.run:
            return self
        is_leaving = self.is_leaving or previous.is_leaving
        return msgspec.structs.replace(self, is_leaving=is_leaving)


class LimitAmounts(msgspec.Struct, frozen=True, array_like=True):
    """Use of a customer's limits, by kind of limit."""

    requests: int = 0
    tokens: int = 0

    def add(self, other: LimitAmounts) -> LimitAmounts:
        """Returns the sum of both."""
        return LimitAmounts(
            self.requests + other.requests, self.tokens + other.tokens
        )

    def get(self, kind: str) -> float:
        """Returns the amount of a kind of limit, "requests" or "tokens"."""
        return float(self.requests if kind == "requests" else self.tokens)


class LimitTotal(msgspec.Struct, frozen=True):
    """What an owner knows of a customer's use when it grants a request.

    Attributes:
        epoch: Identifies the owner's record of use, which ends with its
            process.
        span_s: Span of the customer's limit.
        total: Use of all entries in the last span; None while other owners may
            be granting too.
    """

    epoch: int
    span_s: float
    total: LimitAmounts | None = None


class CustomerUse(msgspec.Struct, frozen=True):
    """What an entry was granted for a customer.

    Attributes:
        span_s: Span of the customer's limit.
        uses: Amounts by epoch of the granting owner, for each second of age,
            youngest first.
        total: The newest known use of all entries in a span, if any.
        total_epoch: Epoch of the owner that reported this total.
        total_age_s: Age of the total.
        base: The entry's own use in the span up to then.
    """

    span_s: float
    uses: dict[int, list[LimitAmounts]]
    total: LimitAmounts | None = None
    total_epoch: int = 0
    total_age_s: float = 0.0
    base: LimitAmounts = LimitAmounts()


class LimitUse(msgspec.Struct, frozen=True):
    """Entry to owner: recent use of the customers' limits that have a span.

    Attributes:
        entry: The entry's name.
        run: Identifies the entry's process.
        second_s: Seconds since the begin of the youngest second.
        known_s: Seconds for which the entry has recorded its use.
        customers: The use by customer.
    """

    entry: str
    run: int
    second_s: float
    known_s: float
    customers: dict[str, CustomerUse]


class Grant(msgspec.Struct, frozen=True):
    """Owner to entry: dispatch this request to this backend server.

    Attributes:
        request_id: The request.
        grant_id: Distinguishes the grants of one owner.
        backend: Name of the backend server.
        owner: Address of the granting scheduler.
        version: The model version to request; empty for none.
        url: URL of the backend server, for an entry that does not know it;
            empty if it is in the bundle.
        speed: Its speed; None if it was not measured yet.
        run: Run of the backend server.  A larger number is a later run, which
            has no state of earlier ones; 0 if unknown.
        limit_per_s: The request limit of the backend server that the owner
            applied; None if it knows none.
        limit_total: The customer's use of its limit; None if it has no span or
            the request was counted before.
        gateways: Addresses of VMs through which to connect to the backend
            server, as the entry reaches none itself; empty to connect directly.
        release: Release of the backend server, empty if it names none; None if
            not sent.
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
    limit_total: LimitTotal | None = None
    gateways: tuple[str, ...] = ()
    release: str | None = None


class Reject(msgspec.Struct, frozen=True):
    """Owner to entry: this request is rejected; respond to the caller now.

    Attributes:
        request_id: The request.
        reason: Why.
        retry_after_s: Seconds after which the caller should retry.
        asks_again: That of the request's info, by which it was judged.
    """

    request_id: str
    reason: Reason
    retry_after_s: float
    asks_again: bool = False


class Redirect(msgspec.Struct, frozen=True):
    """Owner to entry: no capacity here; ask the owner in another zone.

    Attributes:
        request_id: The request.
        zone: The zone that has capacity.
        owner: Address of the scheduler that owns the shard there.
        delay_s: One-way delay to that zone, in seconds.
        reason: Why, a value of ``redirection.Reason``; empty if not sent.
    """

    request_id: str
    zone: str
    owner: str
    delay_s: float = 0.0
    reason: str = ""


class Queued(msgspec.Struct, frozen=True):
    """Owner to entry: this request waits here."""

    request_id: str


class StillWaiting(msgspec.Struct, frozen=True):
    """Owner to entry: the owner is alive and your requests wait here."""

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
    | LimitUse
)
OwnerMessage = Grant | Reject | Redirect

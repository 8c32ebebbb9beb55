"""A shard owner's view of one backend server: its requests, speed and limits.

Capacity is counted in tokens.  The view is built from the owner's own grants
and response times; the engine's load reports lag behind and only correct it.
"""

from __future__ import annotations

import enum
import math
import statistics
from collections.abc import Iterable

import msgspec

from ramptray.core import (
    availability,
    message,
    pacer,
    pauses,
    prefix_cache,
    slot_growth,
)
from ramptray.core import rtt as rtts
from ramptray.core import speed as speeds

PREFILL_WINDOW_S = 0.5
"""Maximum prefill work queued on one engine, in seconds, for requests that have
no latency objective."""

CHUNK_TOKENS = 1024
"""Prompt tokens that an engine prefills between two decode steps: the usual
chunk size of engines with chunked prefill."""

SLOWDOWN_FACTOR = 1.5
"""A reported time between tokens that exceeds the learned one by this factor
replaces it immediately."""

MIN_OWN_SHARE = 0.5
"""Fraction of the free slots that an owner takes at least.  A new owner has
placed nothing yet, and other requests may be those of an owner that has gone.
"""

SOLE_OWNER_SHARE = 0.8
"""Fraction of a shard's placed requests from which an owner counts as the only
one: load reports lag, so some requests seem to be of others."""

OVERDUE_GRACE_S = 0.2
"""Delay of a first token, in seconds, that does not count as a slow engine."""

REORDER_WINDOW_S = 0.05
"""Requests granted within this many seconds of each other may arrive in another
order, because their entries run in different availability zones."""

MAX_RTT_S = 2.0
"""Maximum timeout for a grant and its first token, in seconds."""

MIN_LIMIT_PER_S = 0.25
"""Minimum rate for a server with a limit, in requests per second: only its
responses show that the limit has been lifted."""


class BackendState(enum.Enum):
    """Whether a backend server accepts new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


class BackendInfo(msgspec.Struct, frozen=True):
    """Facts on a backend server from the bundle.

    Attributes:
        name: The name in the bundle.
        max_running: Requests that the engine can batch (its slots).
        kv_tokens: Tokens that fit in the engine's KV cache.
        cache_blocks: Prefix blocks that the engine can cache.
        url: Address; empty if entries have it from the bundle.
        run: Number of the server's current run, see ``message.Grant``.
        warm_up_per_s: Requests per second that it accepts until it is warm; 0
            if it needs no warm-up.
        warm_at: Time at which it is warm, on the owner's clock.
        release: Software release; empty if unknown.
        region: Region of the server; empty if unknown.
    """

    name: str
    max_running: int
    kv_tokens: int
    cache_blocks: int
    url: str = ""
    run: int = 0
    warm_up_per_s: float = 0.0
    warm_at: float = 0.0
    release: str = ""
    region: str = ""

    def equals_except_warm_at(self, other: BackendInfo) -> bool:
        """Returns whether the two are equal apart from ``warm_at``."""
        return self == msgspec.structs.replace(other, warm_at=self.warm_at)


class PlacedRequest(msgspec.Struct):
    """A request that occupies a slot on a backend server."""

    request: message.RequestInfo
    entry: str
    grant_id: str
    started: float
    uncached: int
    expected_s: float
    orphaned_at: float | None = None
    asked_at: float = 0.0
    answers_since: float | None = None
    # Time to its first token, relative to the shard's latency line.
    first_ratio: float | None = None
    is_tunneled: bool = False

    @property
    def answering_entry(self) -> str:
        """The entry that the server answers; empty if it answers a gateway."""
        return "" if self.is_tunneled else self.entry

    @property
    def tokens(self) -> int:
        """Maximum number of KV tokens that the request needs."""
        return self.request.prompt_tokens + self.request.output_tokens


class Backend:
    """An owner's view of one backend server.

    Args:
        info: Facts on it from the bundle.
        report_due_at: Until then it gets no requests before its first load
            report, which shows whether it is leaving.
        line: Latency line shared by the engines of the shard.
        rtt: Round-trip time from a grant to the notice of a first token, less
            the engine's time; includes the entry's own delays.

    Attributes:
        own_limit: Requests that this owner may have there until the next load
            report; infinite if no other owner uses the server.
        used_at: When it last got a request or a first token; minus infinity if
            it never did.
    """

    __slots__ = (
        "cache",
        "availability",
        "foreign",
        "info",
        "pending",
        "placed",
        "prefill_tokens",
        "report_running",
        "state",
        "speed",
        "report_due_at",
        "held_tokens",
        "version",
        "used_at",
        "versions",
        "loaded",
        "first_at",
        "growth",
        "limit_per_s",
        "own_limit",
        "pauses",
        "_pacer",
        "_rtt",
    )

    def __init__(
        self,
        info: BackendInfo,
        report_due_at: float = 0.0,
        line: speeds.LatencyLine | None = None,
        rtt: rtts.RttEstimator | None = None,
    ) -> None:
        self.info = info
        self.report_due_at = report_due_at
        self.state = BackendState.ACTIVE
        self.placed: dict[str, PlacedRequest] = {}
        self.pending: dict[str, PlacedRequest] = {}
        self.prefill_tokens = 0
        self.held_tokens = 0
        self.speed = speeds.EngineSpeed(line or speeds.LatencyLine())
        self.cache = prefix_cache.PrefixCache(
            info.cache_blocks * prefix_cache.BLOCK_TOKENS
        )
        self.foreign = 0
        self.own_limit = math.inf
        self.report_running: int | None = None
        self.versions: tuple[str, ...] = ()
        self.version = ""
        self.loaded = True
        self.availability = availability.Availability()
        self.first_at = float("-inf")
        self.used_at = float("-inf")
        self.limit_per_s: float | None = None
        self.pauses = pauses.Pauses()
        self.growth = slot_growth.SlotGrowth()
        self._pacer = pacer.Pacer()
        self._rtt = rtt or rtts.RttEstimator(0.0, MAX_RTT_S)

    def inherit(self, former: Backend) -> None:
        """Inherits what an earlier view of the same run shows of the server.

        Without a number, a run may be a later one: failures do not count then,
        since they could keep requests away from a server that has recovered.
        Connections that its former address refused show nothing of a new one.
        """
        if self.info.run and former.info.url == self.info.url:
            self.availability = former.availability
        self.growth = former.growth
        self.pauses = former.pauses
        self._pacer = former._pacer

    @property
    def is_lost(self) -> bool:
        """Whether it is leaving or lost, so that no request waits for it."""
        leaving = self.state is BackendState.LEAVING
        return leaving or self.availability.is_lost

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free for another request."""
        running = len(self.placed) + self.foreign
        active = self.state is BackendState.ACTIVE
        return active and running < self.info.max_running

    @property
    def prefill_rate(self) -> float:
        """Prefill rate, in prompt tokens per second."""
        return 1 / self.speed.token_s

    @property
    def step_s(self) -> float:
        """Time between two tokens of a response, in seconds."""
        return self.speed.step_s

    def assume_speed_of(self, others: Iterable[Backend]) -> None:
        """Assumes the median speed of the others until its own is learned."""
        known = [o.speed.factor for o in others if o.speed.is_learned]
        if known:
            self.speed.factor = statistics.median_low(known)

    def has_old_speed(self, now: float) -> bool:
        """Returns whether it has shown its speed too long ago.

        Requests that only hold places, such as those of lost entries, do not
        count as use.
        """
        unused_s = now - self.used_at
        return not self.pending and unused_s > self.speed.max_idle_s

    def get_speed(self) -> message.Speed | None:
        """Returns the learned speed, or None."""
        return self.speed.to_message()

    def apply_speed(self, speed: message.Speed) -> None:
        """Applies a speed that another owner has learned."""
        self.speed.apply(speed)

    def choose_version(self, wanted: str) -> None:
        """Chooses the model version that new requests use.

        Until the wanted version is loaded, another loaded version of the same
        service is used; an engine that has none gets no new requests.
        """
        service = wanted.partition("@")[0] + "@"
        others = [v for v in self.versions if v.startswith(service)]
        if not self.versions or wanted in others:
            self.version, self.loaded = wanted, True
        elif others:
            self.version, self.loaded = others[-1], True
        else:
            self.loaded = False

    def is_open(self, now: float) -> bool:
        """Returns whether the server can get new requests now."""
        active = self.state is BackendState.ACTIVE and self.loaded
        return active and now >= max(
            self.availability.unreachable_until, self.report_due_at
        )

    def get_max_running(self, now: float) -> int:
        """Returns how many requests may run there now."""
        if self.availability.is_on_trial(now):
            return 1
        return int(min(self.info.max_running, self.growth.get_limit(now)))

    def get_rate_limit(self, now: float, part: float) -> float | None:
        """Returns the rate limit for this owner, in requests per second.

        Args:
            now: The owner's clock in seconds.
            part: This owner's share of each limit.

        Returns:
            The rate; None if the server has no limit.
        """
        if self.limit_per_s is None and now >= self.info.warm_at:
            return None
        rates: list[float] = []
        if self.info.warm_up_per_s and now < self.info.warm_at:
            rates.append(_round_down_rate(self.info.warm_up_per_s * part))
        if self.limit_per_s is not None:
            rates.append(max(self.limit_per_s, MIN_LIMIT_PER_S) * part)
        return min(rates, default=None)

    def get_rate_wait(self, now: float, part: float) -> float:
        """Returns the seconds until its rate limit allows one more request.

        Args:
            now: The owner's clock in seconds.
            part: This owner's share of each limit.
        """
        rate_per_s = self.get_rate_limit(now, part)
        if rate_per_s is None:
            return 0.0
        return self._pacer.get_wait(now, rate_per_s)

    def count_uncached(self, request: message.RequestInfo) -> int:
        """Returns the prompt tokens that are not in the prefix cache."""
        held = self.cache.count_tokens(request.prefix, request.prefix_tokens)
        return max(1, request.prompt_tokens - held)

    def estimate_first_token(self, uncached: int, now: float) -> float:
        """Estimates the time to a new request's first token, in seconds."""
        begins_in_s = max(self.speed.fixed_s, self._estimate_backlog(now))
        first_s = begins_in_s + uncached * self.speed.token_s
        return first_s * self.get_slowdown(now)

    def estimate_alone(self, uncached: int) -> float:
        """Estimates the time to first token on an idle engine, in seconds."""
        return self.speed.fixed_s + self.speed.token_s * uncached

    def estimate_pause(self, uncached: int, event_tokens: int) -> float:
        """Estimates the longest gap that a new prompt causes in other streams.

        Args:
            uncached: Prompt tokens that are not in the prefix cache.
            event_tokens: Tokens per event of the other streams.
        """
        prompts = self.prefill_tokens + uncached
        read = min(prompts, event_tokens * CHUNK_TOKENS)
        return event_tokens * self.step_s + read * self.speed.token_s

    def _estimate_backlog(self, now: float) -> float:
        """Estimates the remaining prefill time of the pending prompts."""
        if not self.pending:
            return 0.0
        head = next(iter(self.pending.values()))
        begins_at = max(head.started + self.speed.fixed_s, self.first_at)
        ends_at = begins_at + head.uncached * self.speed.token_s
        rest = self.prefill_tokens - head.uncached
        return max(0.0, ends_at - now) + rest * self.speed.token_s

    def get_slowdown(self, now: float) -> float:
        """Returns the factor by which the oldest first token is overdue."""
        if not self.pending:
            return 1.0
        oldest = next(iter(self.pending.values()))
        # Excludes the time that grants and notices take to and from entries.
        waited_s = now - oldest.started - self._rtt.timeout_s
        return max(1.0, waited_s / (oldest.expected_s + OVERDUE_GRACE_S))

    def has_room(
        self,
        request: message.RequestInfo,
        uncached: int,
        limit: int,
        limits_prefill: bool = True,
    ) -> bool:
        """Returns whether the server has capacity for the request.

        Args:
            request: The request to place.
            uncached: Its prompt tokens that are not in the prefix cache.
            limit: Slots that the tier of the request may use.
            limits_prefill: Whether ``PREFILL_WINDOW_S`` applies.
        """
        if len(self.placed) + self.foreign >= limit:
            return False
        if not self.placed:
            return True
        if self.availability.failures:
            return False  # One request at a time probes an unreachable server.
        if self.speed.is_expired and self.pending:
            return False  # One request shows whether it is still slow.
        tokens = request.prompt_tokens + request.output_tokens
        if self.held_tokens + tokens > self.info.kv_tokens:
            return False
        if not limits_prefill or not self.pending:
            return True
        window = PREFILL_WINDOW_S * self.prefill_rate
        return self.prefill_tokens + uncached <= window

    def place(
        self,
        request: message.RequestInfo,
        entry: str,
        grant_id: str,
        now: float,
    ) -> PlacedRequest:
        """Occupies a slot for the request."""
        uncached = self.count_uncached(request)
        expected_s = self.estimate_first_token(uncached, now)
        self.prefill_tokens += uncached
        placed = PlacedRequest(
            request,
            entry,
            grant_id,
            started=now,
            uncached=uncached,
            expected_s=expected_s,
        )
        self.placed[request.request_id] = placed
        self.pending[request.request_id] = placed
        self.held_tokens += placed.tokens
        self.used_at = now
        self._pacer.record_send(now)
        self.pauses.record_sent(entry, request.request_id, now)
        self.cache.add(request.prefix, request.prefix_tokens)
        return placed

    def record_first_token(self, first: message.FirstToken, now: float) -> None:
        """Learns the prefill speed from a first token.

        Prompts are prefilled one after the other, so a prompt's own time starts
        when the previous first token was sent; its fixed part may overlap with
        that.  Earlier prompts count as prefilled even without a notice.
        """
        if running := self.placed.get(first.request_id):
            self.pauses.record_response_start(
                running.entry, first.request_id, now
            )
            self.availability.record_answer(running.answering_entry, now)
            if self.growth.is_limited:
                self.growth.record_admitted(self._count_sent_before(running))
        placed = self.pending.get(first.request_id)
        if placed is None:
            return
        self.used_at = now
        self._rtt.observe(max(0.0, now - placed.started - first.elapsed_s))
        placed.answers_since = now
        if now >= self.info.warm_at:
            usual_s = self.speed.line.estimate(placed.uncached)
            placed.first_ratio = first.elapsed_s / max(usual_s, 1e-4)
        self._finish_earlier_prefills(placed)
        free_at = self.first_at - self.speed.fixed_s
        begun_at = max(now - first.elapsed_s, free_at)
        self._finish_prefill(placed)
        self.first_at = now
        took_s = now - begun_at
        prefilled = first.prefilled_tokens
        if prefilled is None:
            prefilled = self._estimate_prefilled(placed, took_s)
        self.speed.learn_first(prefilled, took_s)

    def _count_sent_before(self, placed: PlacedRequest) -> int:
        """Returns how many requests there were sent no later than this one.

        The server would have refused them by the time it responds to it.
        """
        return sum(
            other.started <= placed.started for other in self.placed.values()
        )

    def _estimate_prefilled(self, placed: PlacedRequest, took_s: float) -> int:
        """Estimates from the time taken how many prompt tokens were computed.

        Blocks that count as cached may have been evicted or never stored.
        """
        whole = placed.request.prompt_tokens
        if placed.uncached >= whole:
            return whole
        middle_s = self.estimate_alone((placed.uncached + whole) // 2)
        if took_s <= middle_s:
            return placed.uncached
        self.cache.evict(placed.request.prefix)
        return whole

    def end(
        self,
        ended: message.Ended,
        now: float,
        may_eject: bool = True,
        is_sole_entry: bool = True,
    ) -> None:
        """Frees the request's slot and learns the decode speed.

        Args:
            ended: How the request ended.
            now: The owner's clock in seconds.
            may_eject: See ``availability.Availability.record_end``.
            is_sole_entry: Whether no other entry uses the server.
        """
        placed = self.remove(ended.request_id)
        entry = placed.entry if placed else ""
        if placed and ended.whole:
            self.availability.record_answer(placed.answering_entry, now)
        pause_s = self.pauses.get_remaining_s(entry, now) if placed else 0.0
        self.availability.record_end(
            ended.refused,
            ended.broken,
            ended.whole,
            now,
            pause_s > 0.0,
            ended.failed,
            may_eject,
            entry,
            is_sole_entry,
        )
        if ended.refused and not pause_s:
            self.growth.record_refused(len(self.placed) + 1, now)
        decoded = ended.output_tokens - ended.first_tokens
        self.speed.learn_step(decoded, ended.decode_s)

    def remove(self, request_id: str) -> PlacedRequest | None:
        """Frees the request's slot, if it has one."""
        placed = self.placed.pop(request_id, None)
        if placed is None:
            return None
        self.held_tokens -= placed.tokens
        self._finish_prefill(placed)
        self.pauses.record_end(placed.entry, request_id)
        return placed

    def apply_load_report(
        self, running: int, step_s: float = 0.0, own_share: float = 1.0
    ) -> None:
        """Applies an engine's load report, which lags behind.

        The decode speed is otherwise learned only at the end of a response,
        which is late for an engine that has just slowed down.  A reported time
        between tokens that is much longer is therefore applied immediately.

        Requests of other owners are counted from the smaller of the last two
        reports, because a single report may still include requests that have
        ended.  A new owner has only one report and uses that.

        Args:
            running: Requests that run or wait there.
            step_s: Seconds between two tokens; 0 if not reported.
            own_share: Fraction of all requests on the shard's servers that
                this owner has placed.
        """
        if step_s > SLOWDOWN_FACTOR * self.step_s:
            self.speed.own_step_s = step_s
        before = self.report_running
        steady = running if before is None else min(running, before)
        self.report_running = running
        self.foreign = max(0, steady - len(self.placed))
        if self.foreign:
            own_share = min(own_share, len(self.placed) / steady)
        self.own_limit = self._divide_slots(running, own_share)

    def _divide_slots(self, running: int, own_share: float) -> float:
        """Returns how many requests this owner may have until the next report.

        Load pattern: several owners, unaware of each other, each fill the slots
        that the last report showed as free.  Servers then have more requests
        than slots, first tokens are late, and owners learn that delay as the
        servers' speed; this outlasts a burst by many seconds.  So an owner
        takes its share of the free slots, at least one, and gives up its share
        of the excess.
        """
        own_share = max(own_share, MIN_OWN_SHARE)
        if own_share >= SOLE_OWNER_SHARE:
            return math.inf
        free = (self.info.max_running - running) * own_share
        own = len(self.placed)
        return own + (
            max(1, int(free))
            if running < self.info.max_running
            else math.floor(free)
        )

    def cancel_prefill(self, request_id: str) -> None:
        """Stops waiting for the first token of a lost entry's request."""
        if placed := self.placed.get(request_id):
            self._finish_prefill(placed)

    def _finish_earlier_prefills(self, placed: PlacedRequest) -> None:
        earlier = [
            other
            for other in self.pending.values()
            if other.started < placed.started - REORDER_WINDOW_S
        ]
        for other in earlier:
            self._finish_prefill(other)

    def _finish_prefill(self, placed: PlacedRequest) -> None:
        if self.pending.pop(placed.request.request_id, None) is not None:
            self.prefill_tokens -= placed.uncached


def _round_down_rate(rate_per_s: float) -> float:
    """Rounds down to whole requests per second; rates below 1 are unchanged."""
    return float(int(rate_per_s)) if rate_per_s >= 1.0 else rate_per_s

"""A shard owner's view of one backend server: what runs there, and how fast.

Room is counted in tokens.  The view rests on the owner's own grants and on the
answers' timing; the engine's lagging load report only corrects it.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable

from ramptray.core import message

BLOCK_TOKENS = 64
"""Prompt tokens covered by one prefix hash."""

DEFAULT_PREFILL_RATE = 2000.0
"""Prefill speed assumed before the first answer, in tokens a second."""

DEFAULT_STEP_S = 0.03
"""Time between tokens assumed before the first answer, in seconds."""

PREFILL_WINDOW_S = 0.5
"""How much prefill work, in seconds, may stand on one engine at a time."""

LEARNING_RATE = 0.3
"""Weight of the newest sample in a learned speed."""

MIN_SAMPLE_TOKENS = 32
"""Prefills smaller than this say little about speed and are not learned."""

SLOWER_FACTOR = 1.5
"""A reported time between tokens this much longer is believed at once."""

OVERDUE_GRACE_S = 0.2
"""Lateness below this is never taken as a sign of a slow engine."""

UNREACHABLE_S = 0.5
"""How long the first refused connection keeps new work away, in seconds."""

MAX_UNREACHABLE_S = 8.0
"""How long a refused connection keeps new work away at most, in seconds."""

EJECT_BREAKS = 3
"""After so many answers in a row that broke off, new work stays away for a
while: a backend server that fails at once always has room and would get all."""

LOST_FAILURES = 4
"""After so many refused connections in a row nobody waits for the server."""


class BackendState(enum.Enum):
    """Whether a backend server may get new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendInfo:
    """What the bundle says of a backend server.

    Attributes:
        name: The name in the bundle.
        max_running: Requests the engine batches at a time.
        kv_tokens: Tokens that fit the engine's KV memory.
        cache_blocks: Prefix blocks the engine can keep.
        url: Where it listens; empty where the bundle tells entries.
    """

    name: str
    max_running: int
    kv_tokens: int
    cache_blocks: int
    url: str = ""


@dataclasses.dataclass(slots=True)
class Placed:
    """A request that occupies a place on a backend server."""

    request: message.RequestInfo
    entry: str
    grant_id: str
    started: float
    uncached: int
    work_ahead: int
    expected_s: float
    orphaned_at: float | None = None
    asked_at: float = 0.0

    @property
    def tokens(self) -> int:
        """KV tokens the request will need at most."""
        return self.request.prompt_tokens + self.request.output_tokens


class PrefixCache:
    """What an engine's prefix cache probably holds, least recent first out."""

    def __init__(self, blocks: int) -> None:
        self._limit = blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def add(self, prefix: tuple[int, ...]) -> None:
        """Notes that the engine has computed these blocks."""
        for block in prefix:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def drop(self, blocks: tuple[int, ...]) -> None:
        """Notes that the engine has evicted these blocks."""
        for block in blocks:
            self._blocks.pop(block, None)

    def count(self, prefix: tuple[int, ...]) -> int:
        """Returns how many leading blocks are held, by binary search.

        Blocks are chained, so a block is held only if the ones before it are.
        """
        known = self._blocks
        if not prefix or prefix[0] not in known:
            return 0
        low, high = 1, len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in known:
                low = middle
            else:
                high = middle - 1
        return low


class Backend:
    """What the owner believes of one backend server.

    Args:
        info: What the bundle says of it.
        hear_by: Until then no work goes there unless it has said something of
            itself: a new owner does not know yet whether it is leaving.
    """

    __slots__ = (
        "cache",
        "failures",
        "foreign",
        "info",
        "pending",
        "placed",
        "prefill_rate",
        "prefill_tokens",
        "report_running",
        "state",
        "step_s",
        "hear_by",
        "held_tokens",
        "unreachable_until",
        "version",
        "versions",
        "loaded",
        "has_learned",
        "has_learned_step",
        "breaks",
    )

    def __init__(self, info: BackendInfo, hear_by: float = 0.0) -> None:
        self.info = info
        self.hear_by = hear_by
        self.state = BackendState.ACTIVE
        self.placed: dict[str, Placed] = {}
        self.pending: dict[str, Placed] = {}
        self.prefill_tokens = 0
        self.held_tokens = 0
        self.prefill_rate = DEFAULT_PREFILL_RATE
        self.step_s = DEFAULT_STEP_S
        self.cache = PrefixCache(info.cache_blocks)
        self.foreign = 0
        self.report_running: int | None = None
        self.versions: tuple[str, ...] = ()
        self.version = ""
        self.loaded = True
        self.failures = 0
        self.unreachable_until = 0.0
        self.has_learned = False
        self.has_learned_step = False
        self.breaks = 0

    @property
    def is_lost(self) -> bool:
        """Whether no request should wait for this backend server."""
        leaving = self.state is BackendState.LEAVING
        return leaving or self.failures >= LOST_FAILURES

    @property
    def has_place(self) -> bool:
        """Whether another request may run there, as far as places go."""
        running = len(self.placed) + self.foreign
        active = self.state is BackendState.ACTIVE
        return active and running < self.info.max_running

    def note_unreachable(self, now: float) -> None:
        """Keeps new work away after a refused connection, longer each time.

        Requests refused at the same moment count as one failure.
        """
        if now < self.unreachable_until:
            return
        pause = min(UNREACHABLE_S * 2**self.failures, MAX_UNREACHABLE_S)
        self.failures += 1
        self.unreachable_until = now + pause

    def expect_speed_of(self, others: Iterable[Backend]) -> None:
        """Assumes the speed of the fastest of the others until it is learned.

        A backend server that is assumed to be slow would get no work, and so
        never show that it is not.
        """
        known = [other for other in others if other.has_learned]
        if not known:
            return
        self.prefill_rate = max(other.prefill_rate for other in known)
        self.step_s = min(other.step_s for other in known)

    def get_speed(self) -> message.Speed | None:
        """Returns the learned speed, if there is one."""
        if not self.has_learned:
            return None
        return message.Speed(self.prefill_rate, self.step_s)

    def take_speed(self, speed: message.Speed) -> None:
        """Takes a speed that another owner has learned."""
        self.prefill_rate = speed.prefill_rate
        self.step_s = speed.step_s
        self.has_learned = self.has_learned_step = True

    def choose_version(self, wanted: str) -> None:
        """Chooses the model version that new work there asks for.

        Until the wanted one is loaded, another version of the same service
        serves on; an engine with none gets no new work.
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
        """Tells whether new work may go there at all."""
        active = self.state is BackendState.ACTIVE and self.loaded
        return active and now >= max(self.unreachable_until, self.hear_by)

    def count_uncached(self, request: message.RequestInfo) -> int:
        """Returns the prompt tokens that the engine would have to compute."""
        held = self.cache.count(request.prefix) * BLOCK_TOKENS
        return max(1, request.prompt_tokens - held)

    def estimate_first_token(self, uncached: int, now: float) -> float:
        """Returns the seconds until a new request's first token."""
        base = (self.prefill_tokens + uncached) / self.prefill_rate
        return (base + self.step_s) * self.get_lateness(now)

    def get_lateness(self, now: float) -> float:
        """Returns how many times slower than learned the engine now seems."""
        if not self.pending:
            return 1.0
        oldest = next(iter(self.pending.values()))
        waited = now - oldest.started - OVERDUE_GRACE_S
        return max(1.0, waited / oldest.expected_s)

    def has_room(
        self, request: message.RequestInfo, uncached: int, limit: int
    ) -> bool:
        """Tells whether the request fits beside what runs there.

        Args:
            request: The request to place.
            uncached: Its prompt tokens that are not in the prefix cache.
            limit: How many requests may run there for this tier.
        """
        if len(self.placed) + self.foreign >= limit:
            return False
        if not self.placed:
            return True
        if self.failures:
            return False  # One request at a time tries whether it is back.
        tokens = request.prompt_tokens + request.output_tokens
        if self.held_tokens + tokens > self.info.kv_tokens:
            return False
        window = PREFILL_WINDOW_S * self.prefill_rate
        return not self.pending or self.prefill_tokens + uncached <= window

    def place(
        self,
        request: message.RequestInfo,
        entry: str,
        grant_id: str,
        now: float,
    ) -> Placed:
        """Occupies a place for the request."""
        uncached = self.count_uncached(request)
        self.prefill_tokens += uncached
        placed = Placed(
            request,
            entry,
            grant_id,
            started=now,
            uncached=uncached,
            work_ahead=self.prefill_tokens,
            expected_s=self.prefill_tokens / self.prefill_rate + self.step_s,
        )
        self.placed[request.request_id] = placed
        self.pending[request.request_id] = placed
        self.held_tokens += placed.tokens
        self.cache.add(request.prefix)
        return placed

    def begin_answer(self, first: message.FirstToken) -> None:
        """Learns the prefill speed from a first token."""
        placed = self.pending.get(first.request_id)
        if placed is None:
            return
        self.failures = 0
        self._finish_prefill(placed)
        work = placed.work_ahead - placed.uncached + first.prefilled_tokens
        elapsed = max(first.elapsed_s - self.step_s, 1e-3)
        if work >= MIN_SAMPLE_TOKENS:
            # What was assumed before the first sample is no knowledge.
            weight = LEARNING_RATE if self.has_learned else 1.0
            self.prefill_rate += weight * (work / elapsed - self.prefill_rate)
            self.has_learned = True

    def end(self, ended: message.Ended, now: float) -> None:
        """Frees the request's place and learns the decode speed."""
        self.remove(ended.request_id)
        if ended.broken:
            self.breaks += 1
            if self.breaks >= EJECT_BREAKS:
                self.note_unreachable(now)
        elif ended.whole:
            self.breaks = 0
        if ended.output_tokens > 1:
            step = ended.decode_s / (ended.output_tokens - 1)
            weight = LEARNING_RATE if self.has_learned_step else 1.0
            self.step_s += weight * (step - self.step_s)
            self.has_learned_step = True

    def remove(self, request_id: str) -> Placed | None:
        """Frees the request's place."""
        placed = self.placed.pop(request_id, None)
        if placed is None:
            return None
        self.held_tokens -= placed.tokens
        self._finish_prefill(placed)
        return placed

    def correct(self, running: int, step_s: float = 0.0) -> None:
        """Takes a lagging load report.

        Answers tell the speed of decoding only when they end, which on an
        engine that has just slowed down is late; so a reported time between
        tokens that is much longer than the learned one is believed at once.

        As to what runs there besides our own: a report is compared with the
        one before it, since a single one may still count requests that have
        ended here.  The first one is all that a new owner has.
        """
        if step_s > SLOWER_FACTOR * self.step_s:
            self.step_s = step_s
        before = self.report_running
        steady = running if before is None else min(running, before)
        self.report_running = running
        self.foreign = max(0, steady - len(self.placed))

    def _finish_prefill(self, placed: Placed) -> None:
        if self.pending.pop(placed.request.request_id, None) is not None:
            self.prefill_tokens -= placed.uncached

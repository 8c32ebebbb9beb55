"""The stand-in's model of an engine: continuous batching and prefix cache.

One step decodes one token for each running sequence and computes one chunk of
prompt.  A step takes longer the more sequences there are, and a prefill slows
the decoding of the others, as it does in a real engine.
"""

from __future__ import annotations

import collections
import hashlib
import random

import msgspec

from ramptray.core import prefix

CHUNK_TOKENS = 256
"""Prompt tokens that one step computes at most, where nothing else is said."""


class Speed(msgspec.Struct, frozen=True):
    """How fast an engine is.

    Attributes:
        prefill_tokens_per_s: Prompt tokens a second.
        step_s: Time of a step with one sequence.
        step_growth: Part by which each further sequence lengthens the step.
        chunk_tokens: Prompt tokens that one step computes at most.
    """

    prefill_tokens_per_s: float
    step_s: float
    step_growth: float
    chunk_tokens: int = CHUNK_TOKENS


class Sequence(msgspec.Struct):
    """A request in the engine."""

    request_id: str
    prompt: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    cached_tokens: int = 0
    prefilled: int = 0
    made: int = 0
    cancelled: bool = False
    delivered: bool = False

    @property
    def to_prefill(self) -> int:
        """Prompt tokens still to be computed."""
        return self.prompt_tokens - self.cached_tokens - self.prefilled

    @property
    def done(self) -> bool:
        """Whether the whole answer was made."""
        return self.made >= self.output_tokens

    @property
    def tag(self) -> str:
        """Marks the answer as the one to this prompt."""
        return tag_prompt(self.prompt)


def tag_prompt(prompt: str) -> str:
    """Returns the mark that an answer to the prompt carries."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def draw_output_tokens(prompt: str, max_tokens: int) -> int:
    """Returns how long the answer will be; nobody knows it beforehand."""
    rng = random.Random(prompt)
    return max(1, int(max_tokens * rng.uniform(0.3, 1.0)))


class BlockCache:
    """Prefix blocks in limited memory, least recently used first out."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count(self, blocks: tuple[int, ...]) -> int:
        """Returns how many leading blocks are held."""
        held = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            held += 1
        return held

    def store(self, blocks: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Keeps blocks; returns those newly stored and those evicted."""
        stored = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        surplus = max(0, len(self._blocks) - self._limit)
        evicted = [self._blocks.popitem(last=False)[0] for _ in range(surplus)]
        return stored, evicted

    def clear(self) -> None:
        """Drops everything."""
        self._blocks.clear()


class Ledger(msgspec.Struct):
    """What the engine has seen, for tests to judge promises by.

    Attributes:
        dispatches: Request id and monotonic time of each dispatch.
        completed: Requests whose whole answer was made.
        prefill_tokens: Prompt tokens computed.
        cached_tokens: Prompt tokens found in the cache.
        output_tokens: Tokens made.
        wasted_prefill_tokens: Prompt tokens computed and thrown away.
        cancelled_output_tokens: Tokens made and thrown away.
        orders: Orders, with whether they were stale or refused.
    """

    dispatches: list[tuple[str, float]] = msgspec.field(default_factory=list)
    completed: list[str] = msgspec.field(default_factory=list)
    prefill_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    wasted_prefill_tokens: int = 0
    cancelled_output_tokens: int = 0
    orders: list[dict[str, object]] = msgspec.field(default_factory=list)


class Batch:
    """The engine's sequences and its cache."""

    def __init__(
        self, speed: Speed, max_running: int, cache_blocks: int
    ) -> None:
        self.slowdown = 1.0
        self.ledger = Ledger()
        self.cache = BlockCache(cache_blocks)
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: dict[str, Sequence] = {}
        self.cache_changes: list[tuple[str, int]] = []
        self._speed = speed
        self._max_running = max_running

    def add(self, sequence: Sequence) -> None:
        """Admits a request as it arrives, behind the earlier ones."""
        self.waiting.append(sequence)

    def cancel(self, sequence: Sequence) -> None:
        """Ends a sequence early; what it computed is wasted."""
        if sequence.done or sequence.cancelled:
            return
        sequence.cancelled = True
        self.running.pop(sequence.request_id, None)
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        self.ledger.wasted_prefill_tokens += sequence.prefilled
        self.ledger.cancelled_output_tokens += sequence.made

    def crash(self) -> None:
        """Loses everything but the ledger."""
        for sequence in [*self.running.values(), *self.waiting]:
            self.cancel(sequence)
        self.cache.clear()
        self.cache_changes.clear()

    def get_step_s(self) -> float:
        """Returns the time between tokens at the present batch."""
        others = max(0, len(self.running) - 1)
        grown = 1 + self._speed.step_growth * others
        return self._speed.step_s * grown * self.slowdown

    def step(self) -> tuple[float, list[Sequence]]:
        """Performs one step.

        Returns:
            The seconds the step takes, and the sequences that got a token.
        """
        self._admit()
        if not self.running:
            return 0.0, []
        decoding = [s for s in self.running.values() if s.to_prefill <= 0]
        chunk = self._prefill()
        seconds = chunk / self._speed.prefill_tokens_per_s * self.slowdown
        if decoding:
            seconds += self.get_step_s()
        for sequence in decoding:
            self._decode(sequence)
        return seconds, decoding

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self._max_running:
            sequence = self.waiting.popleft()
            held = self.cache.count(sequence.blocks) * (
                prefix.BLOCK_CHARS // prefix.CHARS_PER_TOKEN
            )
            sequence.cached_tokens = min(held, sequence.prompt_tokens - 1)
            self.ledger.cached_tokens += sequence.cached_tokens
            self.running[sequence.request_id] = sequence

    def _prefill(self) -> int:
        whole = left = self._speed.chunk_tokens
        for sequence in self.running.values():
            tokens = min(left, sequence.to_prefill)
            if tokens <= 0:
                continue
            sequence.prefilled += tokens
            left -= tokens
            if sequence.to_prefill <= 0:
                self._store_blocks(sequence)
            if left == 0:
                break
        self.ledger.prefill_tokens += whole - left
        return whole - left

    def _store_blocks(self, sequence: Sequence) -> None:
        stored, evicted = self.cache.store(sequence.blocks)
        self.cache_changes.extend(("stored", block) for block in stored)
        self.cache_changes.extend(("removed", block) for block in evicted)

    def _decode(self, sequence: Sequence) -> None:
        sequence.made += 1
        self.ledger.output_tokens += 1
        if sequence.done:
            self.running.pop(sequence.request_id, None)
            self.ledger.completed.append(sequence.request_id)

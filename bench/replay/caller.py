"""Callers: what they ask, how long they wait, and when they come back."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from collections.abc import Iterator

from bench.replay import pattern

DEFAULT_RETRY_S = 0.5
"""When a caller comes back that was told nothing, in seconds."""

LEFT_PART = 1 / 3
"""Part of the time left that a caller waits at most because it is told to."""


@dataclasses.dataclass(slots=True)
class Call:
    """What a caller wants, over all its tries.

    Attributes:
        name: Its name.
        kind_name: Name of its kind.
        kind: Its kind.
        customer: Who asks.
        prompt_tokens: Size of the prompt.
        output_tokens: Size of the answer.
        guess_tokens: The caller's guess of that.
        asked_at: When it first asked.
        tries: How often it has asked.
        first_at: When the first event arrived.
        last_at: When the last event arrived.
        longest_gap_s: Longest pause between two events.
        is_done: Whether the whole answer has arrived.
        was_refused: Whether its last try was refused.
        refusals: How many of its tries were refused.
        idle_refusals: How many of those while the system was nearly idle.
        was_lost: Whether the server of its last try failed.
        vain_s: Total duration of the tries that gave no whole answer.
    """

    name: str
    kind_name: str
    kind: pattern.Kind
    customer: str
    prompt_tokens: int
    output_tokens: int
    guess_tokens: int
    asked_at: float
    tries: int = 0
    first_at: float = math.inf
    last_at: float = math.inf
    longest_gap_s: float = 0.0
    is_done: bool = False
    was_refused: bool = False
    refusals: int = 0
    idle_refusals: int = 0
    was_lost: bool = False
    vain_s: float = 0.0

    @property
    def deadline(self) -> float:
        """When the answer is of no more use."""
        return self.asked_at + self.kind.timeout_s

    @property
    def is_in_time(self) -> bool:
        """Whether the answer has full worth."""
        begun_in_s = self.first_at - self.asked_at
        return (
            self.is_done
            and begun_in_s <= self.kind.objective_s
            and self.longest_gap_s <= self.kind.max_gap_s
        )

    @property
    def is_in_vain(self) -> bool:
        """Whether a retry after a refusal was refused or failed as well.

        A failure of the retry's server does not count.
        """
        was_retried = self.tries > 1 and (
            self.refusals > 1 or (self.refusals == 1 and not self.was_refused)
        )
        return was_retried and not self.is_done and not self.was_lost

    def note_event(self, now: float) -> None:
        """Notes that an event has arrived."""
        if self.first_at == math.inf:
            self.first_at = now
        else:
            gap_s = now - self.last_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_at = now

    def get_retry_delay(
        self, now: float, told_s: float, impatient: bool
    ) -> float | None:
        """Returns when the caller comes back, in seconds; None for never."""
        left_s = self.deadline - now
        if self.tries >= self.kind.tries or left_s <= 0:
            return None
        if impatient:
            return 0.0
        return min(told_s or DEFAULT_RETRY_S, left_s * LEFT_PART)


def draw_calls(given: pattern.Pattern, seed: int) -> Iterator[Call]:
    """Yields all calls of a pattern in the order of their times."""
    streams = [
        _draw_kind(given, name, random.Random(f"{seed}/{name}"))
        for name in given.kinds
    ]
    return iter(
        sorted(itertools.chain.from_iterable(streams), key=lambda c: c.asked_at)
    )


def _draw_kind(
    given: pattern.Pattern, name: str, rng: random.Random
) -> Iterator[Call]:
    kind = given.kinds[name]
    loads = [e for e in given.events if e.kind is pattern.Trouble.LOAD]
    hot = [e for e in given.events if e.kind is pattern.Trouble.CUSTOMER]
    most = math.prod(e.times for e in loads) * (1 + sum(e.times for e in hot))
    most = max(most, 1.0)
    now = 0.0
    for number in itertools.count():
        now += rng.expovariate(kind.per_s * most)
        if now >= given.length_s:
            return
        load = math.prod(e.times for e in loads if e.covers(now))
        weights = _weigh_customers(given, hot, now)
        if rng.random() * most >= load * sum(weights):
            continue
        customer = rng.choices(range(len(weights)), weights)[0]
        output = _draw_size(
            rng, kind.output_tokens, kind.output_spread, kind.max_output_tokens
        )
        yield Call(
            f"{name}-{number}",
            name,
            kind,
            f"customer-{customer}",
            _draw_size(
                rng,
                kind.prompt_tokens,
                kind.prompt_spread,
                kind.max_prompt_tokens,
            ),
            output,
            max(1, int(output * rng.lognormvariate(0.0, kind.guess_spread))),
            now,
        )


def _weigh_customers(
    given: pattern.Pattern, hot: list[pattern.Event], now: float
) -> list[float]:
    """Returns each customer's part of the usual load; the last one gets hot."""
    halves = [0.5**n for n in range(given.customers.count)]
    weights = [half / sum(halves) for half in halves]
    weights[-1] *= math.prod(e.times for e in hot if e.covers(now))
    return weights


def _draw_size(
    rng: random.Random, median: float, spread: float, most: int
) -> int:
    size = rng.lognormvariate(math.log(median), spread)
    return max(1, min(most, int(size)))

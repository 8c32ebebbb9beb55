"""How fast a shard's engines are, learned from their answers.

Load pattern: backend servers of one service differ severalfold in speed, and
the slow ones always have places left.  A long request that goes there by
mistake is late, or does not end before its deadline, and holds its place all
the time.

The time to a first token is a fixed part and a part for each prompt token.  All
engines of a shard share that line (``Line``); each has a factor by which it is
slower (``EngineSpeed``).  So a short prompt tells as much of a factor as a long
one, and one answer is enough to place the next request.
"""

from __future__ import annotations

import math

import msgspec

from ramptray.core import message

DEFAULT_FIXED_S = 0.03
"""Fixed part of a first token's time before the first answer, in seconds."""

DEFAULT_TOKEN_S = 1 / 50_000
"""Time for a prompt token before the first answer, in seconds: that of a fast
engine, so that nothing is held back from one that is not known yet."""

DEFAULT_STEP_S = 0.03
"""Time between tokens assumed before the first answer, in seconds."""

LEARNING_RATE = 0.3
"""Weight of the newest first token in an engine's factor, on a log scale: noise
of a third in single answers then moves the factor by a tenth."""

SURPRISED_RATE = 0.7
"""Weight of a first token that confirms the surprise of the one before it: an
engine that has turned slow is known after two answers."""

SURPRISE = 2.0
"""A first token this many times off what was expected is a surprise."""

MAX_RATIO = 4.0
"""A first token is never counted as further off than this many times: it may
have waited for something that is not the engine's speed."""

FORGET = 0.98
"""Weight of what the line knows when another answer is added: it rests on some
fifty answers, a second or two of a busy shard."""

PRIOR_WEIGHT = 2.0
"""Answers that the line's assumed shape counts as."""

PRIOR_TOKENS = 4000.0
"""Prompt size at which the assumed shape is held, in tokens: a long one."""

NOISE_TOKENS = 2000.0
"""Prompt tokens whose time is about as long as what is random in a first token;
the weight of an answer falls with its size beyond that."""

STEP_TOKENS = 100.0
"""Tokens of an answer after which its pace counts for two thirds."""

LEAST_SPREAD = 1e-9
"""Prompt sizes that differ less than this, relative, tell of no slope."""

MIN_SPAN_S = 1e-4
"""Shortest time that is taken for a measurement, in seconds."""


LEAST_TOKEN_S = 1e-6
"""Least time for a prompt token of the line, in seconds: twenty times less than
a fast engine's.  It keeps noise from making the time 0."""

MAX_FACTOR = 100.0
"""An engine counts as at most so many times slower or faster than the line.
It keeps the line and the factors from drifting apart."""

LEAST_RATE = 0.1
"""Least rate that is told, in prompt tokens a second: 0 cannot be taken."""


class _Fit(msgspec.Struct):
    """Weighted sums from which a straight line is fitted by least squares."""

    count: float = 0.0
    xs: float = 0.0
    ys: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def fade(self, part: float) -> None:
        """Lets all that was added count for this part of it."""
        self.count *= part
        self.xs *= part
        self.ys *= part
        self.squares *= part
        self.products *= part

    def add(self, x: float, y: float, weight: float) -> None:
        """Adds a point."""
        self.count += weight
        self.xs += weight * x
        self.ys += weight * y
        self.squares += weight * x * x
        self.products += weight * x * y

    def find_slope(self) -> float | None:
        """Returns the slope; None where all points have one place."""
        spread = self.squares * self.count - self.xs * self.xs
        if spread <= LEAST_SPREAD * self.squares * self.count:
            return None
        return (self.products * self.count - self.xs * self.ys) / spread


class LatencyLine:
    """Time to a first token by prompt size, for an engine with factor 1.

    Attributes:
        fixed_s: Its fixed part, in seconds.
        token_s: Its part for each prompt token, in seconds.
        step_s: Time between two tokens of an answer; None until learned.
    """

    def __init__(self) -> None:
        self.fixed_s = 0.0
        self.token_s = 0.0
        self.step_s: float | None = None
        self._fit = _Fit()
        self._has_learned = False
        self._assume(DEFAULT_FIXED_S, DEFAULT_TOKEN_S)

    def estimate(self, tokens: float) -> float:
        """Returns the seconds to the first token of a prompt."""
        return self.fixed_s + self.token_s * tokens

    def apply(self, speed: message.Speed) -> None:
        """Takes another owner's line, unless this one rests on answers."""
        if not self._has_learned:
            self._has_learned = True
            self._assume(speed.fixed_s, 1 / speed.prefill_rate)

    def learn(self, tokens: float, seconds: float) -> None:
        """Takes a first token's time, divided by its engine's factor."""
        self._has_learned = True
        self._fit.fade(FORGET)
        self._add(tokens, seconds, 1.0)
        slope = self._fit.find_slope()
        if slope is None:
            return
        # Neither part can be negative; a line that says so is bent by noise.
        self.token_s = max(slope, self.token_s / SURPRISE, LEAST_TOKEN_S)
        rest = self._fit.ys - self.token_s * self._fit.xs
        self.fixed_s = max(rest / self._fit.count, 0.0)

    def learn_step(self, seconds: float, weight: float) -> None:
        """Takes a time between tokens, divided by its engine's factor."""
        if self.step_s is None:
            self.step_s = seconds
        else:
            self.step_s += weight * LEARNING_RATE * (seconds - self.step_s)

    def _assume(self, fixed_s: float, token_s: float) -> None:
        self.fixed_s = fixed_s
        self.token_s = token_s
        self._fit = _Fit()
        self._add(0.0, fixed_s, PRIOR_WEIGHT)
        self._add(PRIOR_TOKENS, self.estimate(PRIOR_TOKENS), PRIOR_WEIGHT)

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        weight *= (NOISE_TOKENS / (NOISE_TOKENS + tokens)) ** 2
        self._fit.add(tokens, seconds, weight)


class EngineSpeed(msgspec.Struct):
    """What is known of one engine's speed.

    Attributes:
        line: What all engines of the shard share.
        factor: How many times slower than the line it is with prompts.
        own_step_s: Its time between tokens; None until learned.
        is_learned: Whether any answer of its own, or word of another owner,
            stands behind the factor.
    """

    line: LatencyLine
    factor: float = 1.0
    own_step_s: float | None = None
    is_learned: bool = False
    _surprised: int = 0

    @property
    def fixed_s(self) -> float:
        """Fixed part of the time to a first token, in seconds."""
        return self.factor * self.line.fixed_s

    @property
    def token_s(self) -> float:
        """Time for each prompt token, in seconds."""
        return self.factor * self.line.token_s

    @property
    def step_s(self) -> float:
        """Time between two tokens of an answer, in seconds."""
        if self.own_step_s is not None:
            return self.own_step_s
        if self.line.step_s is not None:
            return self.factor * self.line.step_s
        return DEFAULT_STEP_S

    def learn_first(self, tokens: float, seconds: float) -> None:
        """Takes the time to a first token.

        Args:
            tokens: Prompt tokens that the engine had to compute.
            seconds: Time from its beginning, without waiting for others.
        """
        expected_s = self.factor * self.line.estimate(tokens)
        ratio = max(seconds, MIN_SPAN_S) / expected_s
        if not self.is_learned:
            self._set_factor(self.factor * ratio)
            self.is_learned = True
            return
        ratio = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
        self._set_factor(self.factor * math.pow(ratio, self._weigh(ratio)))
        self.line.learn(tokens, seconds / self.factor)

    def learn_step(self, tokens: int, seconds: float) -> None:
        """Takes an answer's pace.

        Args:
            tokens: Tokens that came after the first event.
            seconds: Time from the first event to the last.
        """
        if tokens <= 0:
            return
        step_s = max(seconds, MIN_SPAN_S) / tokens
        weight = 1.0 - math.exp(-tokens / STEP_TOKENS)
        if self.own_step_s is None:
            self.own_step_s = self.step_s if self.line.step_s else step_s
        self.own_step_s += weight * (step_s - self.own_step_s)
        if self.is_learned:
            self.line.learn_step(step_s / self.factor, weight)

    def apply(self, speed: message.Speed) -> None:
        """Takes what another owner has learned."""
        self.line.apply(speed)
        expected_s = self.line.estimate(PRIOR_TOKENS)
        self._set_factor(speed.estimate(PRIOR_TOKENS) / expected_s)
        self.own_step_s = speed.step_s
        self.is_learned = True

    def to_message(self) -> message.Speed | None:
        """Returns what is known, for other owners; None for nothing."""
        if not self.is_learned:
            return None
        return message.Speed(
            max(round(1 / self.token_s, 1), LEAST_RATE),
            round(self.step_s, 6),
            round(self.fixed_s, 6),
        )

    def _set_factor(self, factor: float) -> None:
        self.factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)

    def _weigh(self, ratio: float) -> float:
        """Returns the weight of a first token that was so many times off."""
        direction = (
            1 if ratio >= SURPRISE else -1 if ratio <= 1 / SURPRISE else 0
        )
        confirmed = direction != 0 and direction == self._surprised
        self._surprised = direction
        return SURPRISED_RATE if confirmed else LEARNING_RATE

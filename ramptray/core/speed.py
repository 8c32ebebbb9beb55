"""Speed of a shard's engines, learned from their responses.

Load pattern: backend servers of one service differ severalfold in speed, and
the slow ones always have free slots.  A long request that is placed there by
mistake is late or misses its deadline, and occupies its slot meanwhile.

The time to first token is modelled as a fixed time plus a time per prompt
token.  All engines of a shard share this line (``LatencyLine``); each engine
has a factor by which it is slower (``EngineSpeed``).  The factor can be learned
from short prompts as well as from long ones, so a single response suffices to
place the next request.
"""

from __future__ import annotations

import math

import msgspec

from ramptray.core import message

DEFAULT_FIXED_S = 0.03
"""Fixed part of the time to first token before any response, in seconds."""

DEFAULT_TOKEN_S = 1 / 50_000
"""Time per prompt token before any response, in seconds: that of a fast engine,
so that no request is withheld from an engine of unknown speed."""

DEFAULT_STEP_S = 0.03
"""Time between tokens before any response, in seconds."""

LEARNING_RATE = 0.3
"""Weight of a new first token in an engine's factor, on a log scale: noise of a
third in single responses then changes the factor by a tenth."""

CONFIRMED_OUTLIER_RATE = 0.7
"""Weight of a first token that confirms the preceding outlier: an engine that
has slowed down is recognised after two responses."""

OUTLIER_RATIO = 2.0
"""A first token that differs from the estimate by this factor is an outlier."""

MAX_OBSERVED_RATIO = 4.0
"""Upper bound for the deviation of a first token, as a factor: it may have
waited for something other than the engine."""

DECAY = 0.98
"""Decay of the line's data for each new response: the line rests on about fifty
responses, one or two seconds of a busy shard."""

PRIOR_WEIGHT = 2.0
"""Weight of each of the line's two prior points, in responses."""

PRIOR_TOKENS = 4000.0
"""Prompt size of the line's second prior point, in tokens: a long prompt."""

NOISE_TOKENS = 2000.0
"""Prompt tokens whose prefill takes about as long as a first token's noise; the
weight of a response decreases for longer prompts."""

STEP_TOKENS = 100.0
"""Response length, in tokens, at which its decode speed has a weight of 2/3."""

MIN_SPREAD = 1e-9
"""Minimum relative spread of prompt sizes for which a slope is computed."""

MIN_SPAN_S = 1e-4
"""Minimum duration used as a measurement, in seconds."""

MIN_TOKEN_S = 1e-6
"""Minimum time per prompt token of the line, in seconds: a twentieth of a fast
engine's.  It keeps noise from reducing the time to 0."""

MAX_FACTOR = 100.0
"""Maximum factor by which an engine is slower or faster than the line.  It
keeps the line and the factors from drifting apart."""

MAX_IDLE_S = 0.5
"""Time without new requests after which a slowness is not trusted any more, in
seconds.  A server that seems too slow for the latency objectives gets no
requests, and only responses show that a stall is over."""

MAX_CONFIRMED_IDLE_S = 64.0
"""The same time at most, in seconds.  It doubles each time that a response
confirms the slowness, as each trial costs a caller its objective."""

MIN_EXPIRED_RATIO = 4.0
"""Factor by which a server must seem slower than those in use for its slowness
not to be trusted.  Those that differ less keep all their places in a burst, in
which a trial would allow one request at a time."""

EXPIRED_FACTOR = 1.25
"""Factor by which a server whose slowness is no longer trusted counts as slower
than those in use, so that requests go to it only while those have no room."""

MIN_RATE = 0.1
"""Minimum rate in a ``message.Speed``, in prompt tokens per second: a receiver
divides by it."""


class _Fit(msgspec.Struct):
    """Weighted sums for a least-squares fit of a straight line."""

    count: float = 0.0
    xs: float = 0.0
    ys: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def decay(self, part: float) -> None:
        """Multiplies the weight of all points by a factor."""
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

    def compute_slope(self) -> float | None:
        """Returns the slope; None if the points have about the same x."""
        spread = self.squares * self.count - self.xs * self.xs
        if spread <= MIN_SPREAD * self.squares * self.count:
            return None
        return (self.products * self.count - self.xs * self.ys) / spread


class LatencyLine:
    """Time to first token by prompt size, for an engine with factor 1.

    Attributes:
        fixed_s: Fixed part, in seconds.
        token_s: Time per prompt token, in seconds.
        step_s: Time between two tokens of a response; None until learned.
    """

    def __init__(self) -> None:
        self.fixed_s = 0.0
        self.token_s = 0.0
        self.step_s: float | None = None
        self._fit = _Fit()
        self._has_learned = False
        self._reset(DEFAULT_FIXED_S, DEFAULT_TOKEN_S)

    def estimate(self, tokens: float) -> float:
        """Estimates the time to a prompt's first token, in seconds."""
        return self.fixed_s + self.token_s * tokens

    def apply(self, speed: message.Speed) -> None:
        """Applies another owner's speed, unless one is learned already."""
        if not self._has_learned:
            self._has_learned = True
            self._reset(speed.fixed_s, 1 / speed.prefill_rate)

    def learn(self, tokens: float, seconds: float) -> None:
        """Adds a time to first token, divided by its engine's factor."""
        self._has_learned = True
        self._fit.decay(DECAY)
        self._add(tokens, seconds, 1.0)
        slope = self._fit.compute_slope()
        if slope is None:
            return
        # Noise can make either part negative.
        self.token_s = max(slope, self.token_s / OUTLIER_RATIO, MIN_TOKEN_S)
        rest = self._fit.ys - self.token_s * self._fit.xs
        self.fixed_s = max(rest / self._fit.count, 0.0)

    def learn_step(self, seconds: float, weight: float) -> None:
        """Adds a time between tokens, divided by its engine's factor."""
        if self.step_s is None:
            self.step_s = seconds
        else:
            self.step_s += weight * LEARNING_RATE * (seconds - self.step_s)

    def _reset(self, fixed_s: float, token_s: float) -> None:
        self.fixed_s = fixed_s
        self.token_s = token_s
        self._fit = _Fit()
        self._add(0.0, fixed_s, PRIOR_WEIGHT)
        self._add(PRIOR_TOKENS, self.estimate(PRIOR_TOKENS), PRIOR_WEIGHT)

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        weight *= (NOISE_TOKENS / (NOISE_TOKENS + tokens)) ** 2
        self._fit.add(tokens, seconds, weight)


class EngineSpeed(msgspec.Struct):
    """Speed of one engine.

    Attributes:
        line: Latency line shared by all engines of the shard.
        factor: How many times slower than the line the engine prefills.
        own_step_s: Its time between tokens; None until learned.
        is_learned: Whether the factor is based on a response of the engine or
            on the speed that another owner learned.
        is_expired: Whether its slowness is no longer trusted and no response
            has shown its speed since.
        max_idle_s: Time without new requests after which its slowness is no
            longer trusted, in seconds.
    """

    line: LatencyLine
    factor: float = 1.0
    own_step_s: float | None = None
    is_learned: bool = False
    is_expired: bool = False
    max_idle_s: float = MAX_IDLE_S
    _surprised: int = 0

    @property
    def fixed_s(self) -> float:
        """Fixed part of the time to first token, in seconds."""
        return self.factor * self.line.fixed_s

    @property
    def token_s(self) -> float:
        """Time per prompt token, in seconds."""
        return self.factor * self.line.token_s

    @property
    def step_s(self) -> float:
        """Time between two tokens of a response, in seconds."""
        if self.own_step_s is not None:
            return self.own_step_s
        if self.line.step_s is not None:
            return self.factor * self.line.step_s
        return DEFAULT_STEP_S

    def learn_first(self, tokens: float, seconds: float) -> None:
        """Learns from a time to first token.

        Args:
            tokens: Prompt tokens that the engine had to compute.
            seconds: Time without waiting for other prompts.
        """
        expected_s = self.factor * self.line.estimate(tokens)
        ratio = max(seconds, MIN_SPAN_S) / expected_s
        if self.is_expired:
            self.is_expired = False
            is_confirmed = ratio >= OUTLIER_RATIO
            self.max_idle_s = (
                min(2 * self.max_idle_s, MAX_CONFIRMED_IDLE_S)
                if is_confirmed
                else MAX_IDLE_S
            )
        if not self.is_learned:
            self._set_factor(self.factor * ratio)
            self.is_learned = True
            return
        ratio = min(max(ratio, 1 / MAX_OBSERVED_RATIO), MAX_OBSERVED_RATIO)
        self._set_factor(
            self.factor * math.pow(ratio, self._choose_learning_rate(ratio))
        )
        self.line.learn(tokens, seconds / self.factor)

    def expire(self, usual_factor: float) -> None:
        """Stops trusting a learned slowness until the next response.

        Args:
            usual_factor: Factor of the engines that are in use.  An engine
                that is not much slower keeps its own.
        """
        if self.is_learned and self.factor > MIN_EXPIRED_RATIO * usual_factor:
            self._set_factor(EXPIRED_FACTOR * usual_factor)
            self.is_learned = False
            self.is_expired = True

    def learn_step(self, tokens: int, seconds: float) -> None:
        """Learns from the decode speed of a response.

        Args:
            tokens: Tokens after the first event.
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
        """Applies a speed that another owner has learned."""
        self.line.apply(speed)
        expected_s = self.line.estimate(PRIOR_TOKENS)
        self._set_factor(speed.estimate(PRIOR_TOKENS) / expected_s)
        self.own_step_s = speed.step_s
        self.is_learned = True
        self.is_expired = False

    def to_message(self) -> message.Speed | None:
        """Returns the learned speed for other owners, or None."""
        if not self.is_learned:
            return None
        return message.Speed(
            max(round(1 / self.token_s, 1), MIN_RATE),
            round(self.step_s, 6),
            round(self.fixed_s, 6),
        )

    def _set_factor(self, factor: float) -> None:
        self.factor = min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)

    def _choose_learning_rate(self, ratio: float) -> float:
        """Returns the weight of a first token by its ratio to the estimate."""
        direction = (
            1
            if ratio >= OUTLIER_RATIO
            else -1
            if ratio <= 1 / OUTLIER_RATIO
            else 0
        )
        confirmed = direction != 0 and direction == self._surprised
        self._surprised = direction
        return CONFIRMED_OUTLIER_RATE if confirmed else LEARNING_RATE

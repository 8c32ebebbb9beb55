"""Customers' rate limits, as token buckets in the zone's share.

A customer's limit is divided evenly among the zones.  What other zones leave
unused, by their own fresh word, a zone may use on top of its share; a zone that
hears nothing of the others keeps its share and no more.

Load pattern: a customer sends in bursts, or its limit was lowered to about what
it sends, while places are free.  Where the limit is a total over any span of
some seconds, a bucket of its rate and burst hands out much less than that: it
grants its burst once and then only the rate.  So the total is counted over the
span itself, and the bucket only keeps it from being used in one lump.  That
bucket refills at the total's own pace and is empty at first.  So an owner that
takes over, knowing nothing of what its predecessor handed out, adds no more in
the rest of the span than a steady use would have, however often owners change.
After a restart of everything each VM is its own owner for a moment: even a
little at the start would add up.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterable

import msgspec

from ramptray.core import meter

BURST_S = 2.0
"""How many seconds' worth of its rate a customer may use at once."""

USE_WINDOW_S = 3.0
"""Span over which a customer's use is measured, in seconds."""

MAX_RETRY_AFTER_S = 2.0
"""Longest advice on when to come back, in seconds: what a customer asks later
than that is not known, and many callers give up a request that is older."""

SPAN_USABLE_PART = 0.78
"""Part of a total over a span that is handed out in it.  With what may be used
at once and its overdraft it makes the whole: an owner that takes over within a
span does not know what was handed out before."""

SPAN_BURST_PART = 0.17
"""Part of a total over a span that may be used at once."""

OVERDRAFT_PART = 0.25
"""Part of what may be used at once by which one request may overdraw it."""

LENDING_MARGIN = 0.1
"""Part of a zone's share that is never lent, since words are late."""

STAND_IN_PART = 0.5
"""Part of its share of backend servers' rates that a stand-in hands out: the
owner may be granting as before, and servers have no slack for both."""

MAX_USES = 16
"""Customers whose use is sent to other zones."""


class RateLimit(msgspec.Struct, frozen=True):
    """A customer's limit in one zone; None where there is none.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Cost a second, as ``queue.compute_cost`` counts it.
        burst: What may be used at once; None for two seconds' worth.
        span_s: Span over which a total is held instead; None for none.
        span_total: Most of what is counted in any such span.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    burst: float | None = None
    span_s: float | None = None
    span_total: float = 0.0


class _BucketConfig(msgspec.Struct, frozen=True):
    """How a bucket fills and empties.

    Attributes:
        rate: What it gains a second.
        depth: The most it holds.
        start: What it holds at first.
        overdraft: By how much one request may overdraw it; None for any.
        span_s: Span over which a total is held beside it; None for none.
        span_total: The total.
    """

    rate: float
    depth: float
    start: float
    overdraft: float | None = None
    span_s: float | None = None
    span_total: float = 0.0


def _make_bucket_config(rate: RateLimit, per_s: float) -> _BucketConfig:
    """Returns the shape of a bucket for one kind of what is counted."""
    if rate.span_s is not None:
        total = rate.span_total * SPAN_USABLE_PART
        depth = rate.span_total * SPAN_BURST_PART
        return _BucketConfig(
            total / rate.span_s,
            depth,
            0.0,
            depth * OVERDRAFT_PART,
            rate.span_s,
            total,
        )
    depth = per_s * BURST_S if rate.burst is None else rate.burst
    return _BucketConfig(per_s, depth, depth)


class _SlidingWindow:
    """What was taken within a sliding span of time."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._taken: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Counts what is taken at this moment."""
        self._taken.append((now, amount))
        self._sum += amount

    def remove(self, amount: float, taken_at: float) -> None:
        """Takes back what was counted at a moment, if it still counts."""
        with contextlib.suppress(ValueError):
            self._taken.remove((taken_at, amount))
            self._sum -= amount

    def get_wait(self, amount: float, total: float, now: float) -> float:
        """Returns the seconds until the amount fits into the total."""
        while self._taken and self._taken[0][0] <= now - self._span_s:
            self._sum -= self._taken.popleft()[1]
        missing = self._sum + min(amount, total) - total
        if missing <= 0:
            return 0.0
        for taken_at, taken in self._taken:
            missing -= taken
            if missing <= 0:
                return taken_at + self._span_s - now
        return self._span_s


class _TokenBucket:
    """A token bucket that also measures what was asked of it."""

    def __init__(self, shape: _BucketConfig, part: float, now: float) -> None:
        self.share = shape.rate
        self.rate = shape.rate * part
        self._config = shape
        self._level = max(shape.start * part, 1.0)
        self._span = (
            _SlidingWindow(shape.span_s) if shape.span_s is not None else None
        )
        self._refused = 0.0
        self._filled_at = now
        self._demand = meter.RateMeter(USE_WINDOW_S)

    def get_size(self) -> float:
        """Returns the most that may be used at once."""
        return max(self._config.depth * self.rate / self.share, 1.0)

    def set_rate(self, rate: float) -> None:
        """Takes another rate; what is left grows or shrinks with it."""
        if self._level > 0:
            self._level *= rate / self.rate
        self.rate = rate

    def inherit(self, former: _TokenBucket) -> None:
        """Starts with what a bucket of the same customer has left.

        Without it, each change of the configuration would fill all buckets.
        """
        part = former._level / former.get_size()
        self._level = min(self.get_size(), max(0.0, part) * self.get_size())
        self._refused = former._refused
        self._filled_at = former._filled_at
        self._demand = former._demand
        if former._config.span_s == self._config.span_s:
            self._span = former._span

    def take(self, amount: float, now: float) -> None:
        """Takes what ``get_wait`` has just let through."""
        self._level -= amount
        if self._span is not None:
            self._span.add(amount, now)

    def refund(self, amount: float, taken_at: float) -> None:
        """Takes back what was not used in the end."""
        self._level = min(self.get_size(), self._level + amount)
        if self._span is not None:
            self._span.remove(amount, taken_at)

    def get_wait(self, amount: float, now: float) -> float:
        """Returns the seconds until the amount may be taken, 0 for now.

        Those that were refused come back, and the bucket serves one after the
        other: each gets the time by which those before it are through.
        """
        self._demand.add(int(amount), now)
        earned = (now - self._filled_at) * self.rate
        self._level = min(self.get_size(), self._level + earned)
        self._refused = max(0.0, self._refused - earned)
        self._filled_at = now
        missing = max(0.0, self._get_needed(amount) - self._level)
        span_wait_s = self._get_span_wait(amount, now)
        if missing <= 0 and span_wait_s <= 0:
            return 0.0
        wait_s = (missing + self._refused) / self.rate
        self._refused += amount
        return min(max(wait_s, span_wait_s), MAX_RETRY_AFTER_S)

    def _get_span_wait(self, amount: float, now: float) -> float:
        if self._span is None:
            return 0.0
        total = self._config.span_total * self.rate / self.share
        return self._span.get_wait(amount, total, now)

    def _get_needed(self, amount: float) -> float:
        """Returns the level at which a request is admitted.

        Tokens may be overdrawn by one request: were a request admitted only
        where it fits, a customer near its limit would get the small ones
        through and never a large one.
        """
        needed = min(amount, 1.0)
        if self._config.overdraft is not None:
            part = self.rate / self.share
            needed = max(needed, amount - self._config.overdraft * part)
        return min(needed, self.get_size())

    def get_use(self, now: float) -> float:
        """Returns what is asked, as a part of the zone's own share."""
        return self._demand.get_rate(now) / self.share


class Limits:
    """The token buckets of all customers of a shard.

    Attributes:
        part: The part of every limit that may be handed out here.
        server_part: The part of backend servers' rate limits likewise.
    """

    def __init__(self, rates: dict[str, RateLimit]) -> None:
        self._rates = rates
        self.part = 1.0
        self.server_part = 1.0
        self._buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._former_buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._wanted_elsewhere: frozenset[str] = frozenset()

    def set_rates(self, rates: dict[str, RateLimit]) -> None:
        """Takes the rates of the bundle in force; the same change nothing."""
        if rates != self._rates:
            self._rates = rates
            self._former_buckets = {**self._former_buckets, **self._buckets}
            self._buckets = {}

    def set_part(self, part: float, stands_in: bool = False) -> None:
        """Takes the part of every limit that this owner may hand out.

        Args:
            part: From 0 to 1; 1 where no other owner can be handing out.
            stands_in: Whether the owner is only believed to be lost.
        """
        self.server_part = part * (STAND_IN_PART if stands_in else 1.0)
        if part == self.part:
            return
        self.part = part
        for buckets in self._buckets.values():
            for _, bucket in buckets:
                bucket.set_rate(bucket.share * part)

    def try_acquire(self, customer: str, cost: int, now: float) -> float:
        """Takes a request from the customer's buckets if it fits.

        Returns:
            0 where the request fits, else the seconds until it would.
        """
        amounts = _make_amounts(cost)
        buckets = self._get_buckets(customer, now)
        wait_s = max(
            (bucket.get_wait(amounts[kind], now) for kind, bucket in buckets),
            default=0.0,
        )
        if wait_s == 0.0:
            for kind, bucket in buckets:
                bucket.take(amounts[kind], now)
        return wait_s

    def refund(self, customer: str, cost: int, taken_at: float) -> None:
        """Takes back what a request took that did not run.

        Args:
            customer: The customer.
            cost: What it was counted as.
            taken_at: When ``try_acquire`` let it through.
        """
        amounts = _make_amounts(cost)
        for kind, bucket in self._buckets.get(customer, []):
            bucket.refund(amounts[kind], taken_at)

    def list_uses(self, now: float) -> dict[str, float]:
        """Returns the use of those customers that some zone wants more for.

        Use is a part of the zone's own share; more than 1 wants more.
        """
        uses = {c: self._get_use(c, now) for c in self._buckets}
        wanted = [
            customer
            for customer in self._rates
            if uses.get(customer, 0.0) > 1.0
            or customer in self._wanted_elsewhere
        ]
        wanted.sort(key=lambda customer: -uses.get(customer, 0.0))
        return {c: round(uses.get(c, 0.0), 2) for c in wanted[:MAX_USES]}

    def borrow(self, elsewhere: Iterable[dict[str, float]]) -> None:
        """Takes the uses of the other zones.

        Args:
            elsewhere: A mapping for each zone with a fresh summary.
        """
        fresh = list(elsewhere)
        wanted: dict[str, int] = {}
        spare: dict[str, float] = {}
        for uses in fresh:
            for customer, use in uses.items():
                wanted[customer] = wanted.get(customer, 1) + (use > 1.0)
                left = max(0.0, 1.0 - LENDING_MARGIN - use)
                spare[customer] = spare.get(customer, 0.0) + left
        self._wanted_elsewhere = frozenset(
            customer
            for uses in fresh
            for customer, use in uses.items()
            if use > 1.0
        )
        for customer, buckets in self._buckets.items():
            part = spare.get(customer, 0.0) / wanted.get(customer, 1)
            for _, bucket in buckets:
                bucket.rate = bucket.share * self.part * (1.0 + part)

    def _get_use(self, customer: str, now: float) -> float:
        return max(
            (bucket.get_use(now) for _, bucket in self._buckets[customer]),
            default=0.0,
        )

    def _get_buckets(
        self, customer: str, now: float
    ) -> list[tuple[str, _TokenBucket]]:
        if customer not in self._buckets:
            rate = self._rates.get(customer, RateLimit())
            kinds = [
                ("requests", rate.requests_per_s),
                ("tokens", rate.tokens_per_s),
            ]
            made = [
                (
                    kind,
                    _TokenBucket(
                        _make_bucket_config(rate, per_s), self.part, now
                    ),
                )
                for kind, per_s in kinds
                if per_s is not None
            ]
            if not made:
                return []
            former = dict(self._former_buckets.pop(customer, []))
            for kind, bucket in made:
                if kind in former:
                    bucket.inherit(former[kind])
            self._buckets[customer] = made
        return self._buckets[customer]


def _make_amounts(cost: int) -> dict[str, float]:
    """Returns what a request counts, by the kind of what is counted."""
    return {"requests": 1.0, "tokens": float(cost)}

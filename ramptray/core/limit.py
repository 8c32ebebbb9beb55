"""Customers' rate limits, as token buckets of each zone's share.

A customer's limit is divided evenly among the zones.  A zone may borrow what
other zones leave unused according to their recent summaries; without recent
summaries it is restricted to its own share.

A limit may also be a total over any span of some seconds.  A token bucket of
its rate and burst would allow much less than that total, as it grants the burst
once and then only the rate.  This would refuse requests of a customer that
sends in bursts, or whose limit was lowered to about what it sends, while slots
are free.  So the total is counted over a sliding window, and the bucket only
limits how much of it may be used at once.

This bucket refills at the average rate of the total and starts empty.  A new
owner does not know what its predecessor granted; starting empty, it adds no
more in the rest of the span than steady use would, however often the owner
changes.  After a restart of all VMs each of them is briefly its own owner, so
that even a small initial level would add up.
"""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterable

import msgspec

from ramptray.core import meter

BURST_S = 2.0
"""Default burst, in seconds of the customer's rate."""

USE_WINDOW_S = 3.0
"""Window over which a customer's demand is measured, in seconds."""

MAX_RETRY_AFTER_S = 2.0
"""Longest Retry-After for a customer's limit, in seconds.  Demand beyond that
cannot be predicted, and many callers abandon requests that are older."""

SPAN_USABLE_PART = 0.78
"""Part of a span's total that one owner grants in a span.  Together with the
burst and its overdraft it makes up the whole total, as an owner that takes over
within a span does not know what was granted before."""

SPAN_BURST_PART = 0.17
"""Part of a span's total that may be used at once."""

OVERDRAFT_PART = 0.25
"""Part of a span's burst by which one request may overdraw the bucket."""

LENDING_MARGIN = 0.1
"""Part of a zone's share that is never lent, as summaries arrive late."""

STAND_IN_PART = 0.5
"""Part of its share of the backend servers' rate limits that a stand-in for a
lost owner uses.  The owner may still be granting, and servers tolerate no
excess by both."""

MAX_USES = 16
"""Largest number of customers whose use is sent to other zones."""


class RateLimit(msgspec.Struct, frozen=True):
    """A customer's limits in one zone; None means unlimited.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Cost a second, as ``queue.compute_cost`` counts it.
        burst: Bucket size; None for ``BURST_S`` seconds of the rate.
        span_s: Span of a total that applies instead of the rate and burst; None
            for no such total.
        span_total: Largest amount in any such span.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    burst: float | None = None
    span_s: float | None = None
    span_total: float = 0.0


class _BucketConfig(msgspec.Struct, frozen=True):
    """Parameters of a token bucket.

    Attributes:
        rate: Refill per second.
        depth: Capacity.
        start: Initial level.
        overdraft: Amount by which one request may overdraw it; None for no
            restriction.
        span_s: Span of an additional total; None for no such total.
        span_total: The total.
    """

    rate: float
    depth: float
    start: float
    overdraft: float | None = None
    span_s: float | None = None
    span_total: float = 0.0


def _make_bucket_config(rate: RateLimit, per_s: float) -> _BucketConfig:
    """Returns the parameters of the bucket for requests or for tokens."""
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
    """Sums the amounts taken within a sliding window."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._taken: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount that is taken now."""
        self._taken.append((now, amount))
        self._sum += amount

    def remove(self, amount: float, taken_at: float) -> None:
        """Removes an earlier amount, if it is still in the window."""
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
    """A token bucket that also measures the demand on it."""

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
        """Returns the capacity at the current rate."""
        return max(self._config.depth * self.rate / self.share, 1.0)

    def set_rate(self, rate: float) -> None:
        """Changes the rate and scales the level accordingly."""
        if self._level > 0:
            self._level *= rate / self.rate
        self.rate = rate

    def inherit(self, former: _TokenBucket) -> None:
        """Inherits the state of the customer's previous bucket.

        Otherwise each change of the configuration would refill all buckets.
        """
        part = former._level / former.get_size()
        self._level = min(self.get_size(), max(0.0, part) * self.get_size())
        self._refused = former._refused
        self._filled_at = former._filled_at
        self._demand = former._demand
        if former._config.span_s == self._config.span_s:
            self._span = former._span

    def take(self, amount: float, now: float) -> None:
        """Takes an amount for which ``get_wait`` has just returned 0."""
        self._level -= amount
        if self._span is not None:
            self._span.add(amount, now)

    def refund(self, amount: float, taken_at: float) -> None:
        """Returns an amount to the bucket that was not used."""
        self._level = min(self.get_size(), self._level + amount)
        if self._span is not None:
            self._span.remove(amount, taken_at)

    def get_wait(self, amount: float, now: float) -> float:
        """Returns the seconds until the amount may be taken, 0 for now.

        Refused requests are retried, and the bucket serves them one after the
        other.  So the time includes that of those refused before.
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

        One request may overdraw the bucket.  Otherwise, the small requests of a
        customer near its limit would be admitted, but never a large one.
        """
        needed = min(amount, 1.0)
        if self._config.overdraft is not None:
            part = self.rate / self.share
            needed = max(needed, amount - self._config.overdraft * part)
        return min(needed, self.get_size())

    def get_use(self, now: float) -> float:
        """Returns the demand in relation to the zone's own share."""
        return self._demand.get_rate(now) / self.share


class Limits:
    """The token buckets of all customers of a shard.

    Attributes:
        part: The part of each customer's limit that this owner may grant.
        server_part: The part of each backend server's rate limit likewise.
    """

    def __init__(self, rates: dict[str, RateLimit]) -> None:
        self._rates = rates
        self.part = 1.0
        self.server_part = 1.0
        self._buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._former_buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._wanted_in_other_zones: frozenset[str] = frozenset()

    def set_rates(self, rates: dict[str, RateLimit]) -> None:
        """Applies the rates of the bundle in force if they have changed."""
        if rates != self._rates:
            self._rates = rates
            self._former_buckets = {**self._former_buckets, **self._buckets}
            self._buckets = {}

    def set_part(self, part: float, stands_in: bool = False) -> None:
        """Sets the part of each limit that this owner may grant.

        Args:
            part: From 0 to 1; 1 if no other owner can be granting.
            stands_in: Whether this owner stands in for one that is only
                suspected to be lost.
        """
        self.server_part = part * (STAND_IN_PART if stands_in else 1.0)
        if part == self.part:
            return
        self.part = part
        for buckets in self._buckets.values():
            for _, bucket in buckets:
                bucket.set_rate(bucket.share * part)

    def try_acquire(self, customer: str, cost: int, now: float) -> float:
        """Takes a request's amounts from the customer's buckets if it fits.

        Returns:
            0 if the request fits, else the seconds until it would.
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
        """Refunds the amounts of a request that did not run.

        Args:
            customer: The customer.
            cost: The cost it was counted with.
            taken_at: When ``try_acquire`` admitted it.
        """
        amounts = _make_amounts(cost)
        for kind, bucket in self._buckets.get(customer, []):
            bucket.refund(amounts[kind], taken_at)

    def list_uses(self, now: float) -> dict[str, float]:
        """Returns the use of customers for which some zone needs more.

        Use is the demand in relation to the zone's own share; a zone with a
        use above 1 needs more.
        """
        uses = {c: self._get_use(c, now) for c in self._buckets}
        wanted = [
            customer
            for customer in self._rates
            if uses.get(customer, 0.0) > 1.0
            or customer in self._wanted_in_other_zones
        ]
        wanted.sort(key=lambda customer: -uses.get(customer, 0.0))
        return {c: round(uses.get(c, 0.0), 2) for c in wanted[:MAX_USES]}

    def borrow(self, remote_uses: Iterable[dict[str, float]]) -> None:
        """Borrows what other zones do not use.

        Args:
            remote_uses: The use by customer of each zone with a recent summary.
        """
        fresh = list(remote_uses)
        wanted: dict[str, int] = {}
        spare: dict[str, float] = {}
        for uses in fresh:
            for customer, use in uses.items():
                wanted[customer] = wanted.get(customer, 1) + (use > 1.0)
                left = max(0.0, 1.0 - LENDING_MARGIN - use)
                spare[customer] = spare.get(customer, 0.0) + left
        self._wanted_in_other_zones = frozenset(
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
            buckets = [
                (
                    kind,
                    _TokenBucket(
                        _make_bucket_config(rate, per_s), self.part, now
                    ),
                )
                for kind, per_s in kinds
                if per_s is not None
            ]
            if not buckets:
                return []
            former = dict(self._former_buckets.pop(customer, []))
            for kind, bucket in buckets:
                if kind in former:
                    bucket.inherit(former[kind])
            self._buckets[customer] = buckets
        return self._buckets[customer]


def _make_amounts(cost: int) -> dict[str, float]:
    """Returns a request's amounts by kind of limit."""
    return {"requests": 1.0, "tokens": float(cost)}

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
owner that does not know what its predecessor granted thereby adds no more in
the rest of the span than steady use would, however often the owner changes.
After a restart of all VMs each of them is briefly its own owner, so that even a
small initial level would add up.  A new owner to which entries report their use
starts with the level that this use leaves; see ``limit_share``.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection, Iterable

import msgspec

from ramptray.core import limit_share, message, meter, zone_use

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
within a span may not know what was granted before."""

STAND_IN_FACTOR = 1.1
"""Factor of the total that a stand-in divides.  It serves few entries, whose
use varies more than that of all; the reserve of each total covers the rest."""

MAX_REPORT_AGE_S = 30.0
"""Age up to which a report is applied to a new bucket, in seconds; longer than
any span."""

RECENT_S = 0.5
"""Time since a request of an entry in which it counts as using this owner even
if its VM is not known to be live, in seconds; shorter than the time in which a
lost VM is detected."""

REUNION_S = 1.0
"""Time for which owners remain divided after a partition has ended, in seconds.
Meanwhile the entries of the other side report their use."""

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

NEW_BUCKET_S = 2.0
"""Time after a bucket's creation in which reports of use set its level, in
seconds.  By then all entries have reported to a new owner."""

MAX_USES = 16
"""Largest number of customers whose use is sent to other zones."""


MAX_FORMER_CUSTOMERS = 256
"""Largest number of removed customers whose limits an owner remembers."""


class RateLimit(msgspec.Struct, frozen=True):
    """A customer's limits in one zone; None means unlimited.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Cost a second, as ``queue.compute_cost`` counts it.
        burst: Bucket size; None for ``BURST_S`` seconds of the rate.
        span_s: Span of a total that applies instead of the rate and burst; None
            for no such total.
        span_total: Largest amount in any such span.
        zones: Number of scheduling zones; each has an equal share in
            ``span_total``, which may be exceeded by what others leave.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    burst: float | None = None
    span_s: float | None = None
    span_total: float = 0.0
    zones: int = 1


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
        zones: Number of scheduling zones that share a limit with a span.
    """

    rate: float
    depth: float
    start: float
    overdraft: float | None = None
    span_s: float | None = None
    span_total: float = 0.0
    zones: int = 1


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
            rate.zones,
        )
    depth = per_s * BURST_S if rate.burst is None else rate.burst
    return _BucketConfig(per_s, depth, depth)


class _TokenBucket:
    """A token bucket that also measures the demand on it."""

    def __init__(self, shape: _BucketConfig, part: float, now: float) -> None:
        self.share = shape.rate
        self.rate = shape.rate * part
        self._config = shape
        self._level = max(shape.start * part, 1.0)
        self._created_at = now
        self._must_set_level = False
        self._knows_span = False
        self.span = (
            limit_share.SharedSpan(shape.span_s)
            if shape.span_s is not None
            else None
        )
        self._refused = 0.0
        self._filled_at = now
        self._demand = meter.RateMeter(USE_WINDOW_S)

    @property
    def whole_total(self) -> float:
        """What all zones may use of a limit with a span, in a span."""
        return self._config.span_total * self._config.zones

    def get_size(self) -> float:
        """Returns the capacity at the current rate."""
        return max(self._config.depth * self._get_rate() / self.share, 1.0)

    def _get_rate(self) -> float:
        """Returns the refill per second.

        If the use before the owners were divided is known, the window divides
        the total.  A bucket of this owner's fraction would also refuse large
        requests.
        """
        if self.span is None:
            return self.rate
        rate = self.share if self.span.has_basis else self.rate
        # With the use of a whole span known, the window divides the total
        # among the zones.  A share's bucket is small for a burst in one zone.
        return rate * self._config.zones if self._knows_span else rate

    def set_rate(self, rate: float) -> None:
        """Changes the rate and scales the level accordingly."""
        if self._level > 0:
            self._level *= rate / self.rate
        self.rate = rate

    def fill(self) -> None:
        """Fills the bucket: the entries report no use of it in a whole span.

        This is no restart of all VMs, after which a new bucket starts empty.
        """
        self._knows_span = True
        self._level = self.get_size()

    def inherit(self, former: _TokenBucket) -> None:
        """Inherits the state of the customer's previous bucket.

        Otherwise each change of the configuration would refill all buckets.
        """
        part = former._level / former.get_size()
        self._level = min(self.get_size(), max(0.0, part) * self.get_size())
        self._refused = former._refused
        self._filled_at = former._filled_at
        self._demand = former._demand
        self._created_at = former._created_at
        self._knows_span = former._knows_span
        if former._config.span_s == self._config.span_s:
            self.span = former.span

    def take(self, amount: float, entry: str, now: float) -> None:
        """Takes an amount for which ``get_wait`` has just returned 0."""
        self._level -= amount
        if self.span is not None:
            self.span.add(amount, entry, now)

    def apply_report(self, report: limit_share.Report) -> None:
        """Applies an entry's report of what other owners granted to it."""
        if self.span is None:
            return
        self.span.apply_report(report)
        if report.at < self._created_at + NEW_BUCKET_S:
            self._must_set_level = True

    def refund(self, amount: float, taken_at: float) -> None:
        """Returns an amount to the bucket that was not used."""
        self._level = min(self.get_size(), self._level + amount)
        if self.span is not None:
            self.span.remove(amount, taken_at)

    def get_wait(
        self,
        amount: float,
        division: limit_share.Division,
        now: float,
        remote: zone_use.RemoteUse | None = None,
    ) -> float:
        """Returns the seconds until the amount may be taken, 0 for now.

        Refused requests are retried, and the bucket serves them one after the
        other.  So the time includes that of those refused before.

        Args:
            amount: The amount.
            division: This owner's part of the limit.
            now: The owner's clock in seconds.
            remote: Use of the limit in other zones; None for a single zone.
        """
        self._demand.add(int(amount), now)
        if self.span is not None and now - self._created_at > self.span.span_s:
            self._knows_span = True
        earned = (now - self._filled_at) * self._get_rate()
        self._level = min(self.get_size(), self._level + earned)
        self._refused = max(0.0, self._refused - earned)
        self._filled_at = now
        self._set_level_by_reports(division, now)
        missing = max(0.0, self._get_needed(amount) - self._level)
        span_wait_s = self._get_span_wait(amount, division, now, remote)
        if missing <= 0 and span_wait_s <= 0:
            return 0.0
        wait_s = (missing + self._refused) / self._get_rate()
        self._refused += amount
        return min(max(wait_s, span_wait_s), MAX_RETRY_AFTER_S)

    def _set_level_by_reports(
        self, division: limit_share.Division, now: float
    ) -> None:
        """Sets the level of a new bucket by what other owners granted."""
        if not self._must_set_level or self.span is None:
            return
        self._must_set_level = False
        if self.span.has_basis:
            self._level = self.span.get_level(
                self.get_size(), self.share, division, now
            )

    def _get_span_wait(
        self,
        amount: float,
        division: limit_share.Division,
        now: float,
        remote: zone_use.RemoteUse | None,
    ) -> float:
        if self.span is None:
            return 0.0
        total = self._config.span_total
        if division.stands_in and self.span.has_basis:
            total *= STAND_IN_FACTOR
        return self.span.get_wait(amount, total, division, now, remote)

    def _get_needed(self, amount: float) -> float:
        """Returns the level at which a request is admitted.

        One request may overdraw the bucket.  Otherwise, the small requests of a
        customer near its limit would be admitted, but never a large one.
        """
        needed = min(amount, 1.0)
        if self._config.overdraft is not None:
            part = self._get_rate() / self.share
            needed = max(needed, amount - self._config.overdraft * part)
        return min(needed, self.get_size())

    def get_use(self, now: float) -> float:
        """Returns the demand in relation to the zone's own share."""
        return self._demand.get_rate(now) / self.share


class Limits:
    """The token buckets of all customers of a shard.

    Args:
        rates: The customers' limits.
        epoch: Identifies this record of use, which is lost with the process.

    Attributes:
        epoch: The same as the argument.
        part: The part of each customer's limit that this owner may grant.
        server_part: The part of each backend server's rate limit likewise.
        stands_in: Whether this owner stands in for one that is only suspected
            to be lost.
    """

    def __init__(self, rates: dict[str, RateLimit], epoch: int = 0) -> None:
        self._declared = rates
        self._rates = rates
        self.epoch = epoch
        self._served_at: dict[str, float] = {}
        self._live_entries: Collection[str] | None = None
        self._has_history = False
        self._zone_uses = zone_use.ZoneUses()
        self._reports: dict[
            tuple[str, int], tuple[float, message.LimitUse]
        ] = {}
        self._divided_part = 1.0
        self._divided_until = -math.inf
        self.stands_in = False
        self.part = 1.0
        self.server_part = 1.0
        self._buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._former_buckets: dict[str, list[tuple[str, _TokenBucket]]] = {}
        self._wanted_in_other_zones: frozenset[str] = frozenset()

    def set_rates(self, rates: dict[str, RateLimit]) -> None:
        """Applies the rates of the bundle in force if they have changed.

        A customer that is no longer declared keeps its limit, because entries
        whose bundle is older still admit its requests.

        Args:
            rates: The limits of all customers; one without any limit has an
                empty ``RateLimit``.
        """
        if rates == self._declared:
            return
        self._declared = rates
        former = [name for name in self._rates if name not in rates]
        kept = former[-MAX_FORMER_CUSTOMERS:]
        self._rates = {name: self._rates[name] for name in kept} | rates
        self._former_buckets = {
            name: buckets
            for name, buckets in (self._former_buckets | self._buckets).items()
            if name in self._rates
        }
        self._buckets = {}

    def list_former_customers(self) -> list[str]:
        """Returns the removed customers whose limits still apply."""
        return [name for name in self._rates if name not in self._declared]

    def set_part(self, part: float, stands_in: bool = False) -> None:
        """Sets the part of each limit that this owner may grant.

        Args:
            part: From 0 to 1; 1 if no other owner can be granting.
            stands_in: Whether this owner stands in for one that is only
                suspected to be lost.
        """
        self.server_part = part * (STAND_IN_PART if stands_in else 1.0)
        self.stands_in = stands_in
        if part == self.part:
            return
        self.part = part
        for buckets in self._buckets.values():
            for _, bucket in buckets:
                bucket.set_rate(bucket.share * part)

    def set_live_entries(self, entries: Collection[str]) -> None:
        """Sets the entries whose VMs are live; others use other owners."""
        self._live_entries = entries

    def try_acquire(
        self, customer: str, cost: int, now: float, entry: str = ""
    ) -> float:
        """Takes a request's amounts from the customer's buckets if it fits.

        Args:
            customer: The customer.
            cost: The tokens that the request counts.
            now: The owner's clock in seconds.
            entry: The entry that sent the request.

        Returns:
            0 if the request fits, else the seconds until it would.
        """
        self._served_at[entry] = now
        amounts = _make_amounts(cost)
        buckets = self._get_buckets(customer, now)
        division = self._make_division(customer, buckets, now)
        wait_s = max(
            (
                bucket.get_wait(
                    amounts[kind],
                    division,
                    now,
                    self._sum_remote(customer, kind, division.zones, now),
                )
                for kind, bucket in buckets
            ),
            default=0.0,
        )
        if wait_s == 0.0:
            for kind, bucket in buckets:
                bucket.take(amounts[kind], entry, now)
        return wait_s

    def apply_report(self, report: message.LimitUse, now: float) -> None:
        """Applies an entry's report of its use of limits with a span."""
        span_s = max(
            (used.span_s for used in report.customers.values()), default=0.0
        )
        self._has_history |= report.known_s >= span_s
        key = (report.entry, report.run)
        known = self._reports.get(key)
        if known is not None and known[1].known_s > report.known_s:
            return  # An older report, from a link that was replaced.
        self._reports[key] = (now, report)
        for customer in report.customers:
            if customer in self._buckets:
                self._apply_report(customer, report, now)

    def _apply_report(
        self, customer: str, report: message.LimitUse, at: float
    ) -> None:
        used = report.customers[customer]
        for kind, bucket in self._buckets[customer]:
            bucket.apply_report(
                limit_share.make_report(report, used, kind, self.epoch, at)
            )

    def _apply_known_reports(self, customer: str, now: float) -> None:
        """Applies to new buckets the reports received before the request.

        A stand-in also knows no limits until the first request arrives.
        """
        self._reports = {
            key: (at, report)
            for key, (at, report) in self._reports.items()
            if at > now - MAX_REPORT_AGE_S
        }
        for at, report in self._reports.values():
            if customer in report.customers:
                self._apply_report(customer, report, at)

    def make_total(
        self, customer: str, now: float
    ) -> message.LimitTotal | None:
        """Returns a customer's use for an entry; None without a span."""
        span_s = self._rates.get(customer, RateLimit()).span_s
        if span_s is None:
            return None
        if self._get_part(now) < 1.0:
            return message.LimitTotal(self.epoch, span_s)
        spans = [
            (kind, bucket.span)
            for kind, bucket in self._get_buckets(customer, now)
            if bucket.span is not None
        ]
        return message.LimitTotal(
            self.epoch,
            span_s,
            limit_share.sum_amounts(
                (k, span.get_use(now)) for k, span in spans
            ),
        )

    def list_zone_uses(self, now: float) -> dict[str, message.LimitAmounts]:
        """Returns the use in the last span by customer, for other zones.

        Only limits with a span count, and of them those that are used by more
        than a small part; see ``zone_use``.
        """
        parts: dict[str, float] = {}
        uses: dict[str, message.LimitAmounts] = {}
        for customer, buckets in self._buckets.items():
            spans = [
                (kind, bucket.span.get_use(now), bucket.whole_total)
                for kind, bucket in buckets
                if bucket.span is not None
            ]
            parts[customer] = max(
                (used / total for _, used, total in spans), default=0.0
            )
            uses[customer] = limit_share.sum_amounts(
                (kind, used) for kind, used, _ in spans
            )
        most = heapq.nlargest(
            zone_use.MAX_REPORTED, parts, key=lambda customer: parts[customer]
        )
        return {
            customer: uses[customer]
            for customer in most
            if parts[customer] >= zone_use.MIN_REPORTED_PART
        }

    def set_zone_use(
        self, zone: str, uses: dict[str, message.LimitAmounts], now: float
    ) -> None:
        """Sets the use in another zone, as reported by its owner."""
        self._zone_uses.update(zone, uses, now)

    def _sum_remote(
        self, customer: str, kind: str, zones: int, now: float
    ) -> zone_use.RemoteUse | None:
        if zones == 1:
            return None
        return self._zone_uses.sum(customer, kind, zones, now)

    def _make_division(
        self,
        customer: str,
        buckets: list[tuple[str, _TokenBucket]],
        now: float,
    ) -> limit_share.Division:
        """Returns this owner's part of a customer's limit.

        An entry uses this owner if it is live and has sent a request within a
        span, or has just sent one.  Others may have been counted by the owner
        that they use now.
        """
        spans = [b.span.span_s for _, b in buckets if b.span is not None]
        part = self._get_part(now)
        if part >= 1.0 or not spans:
            zones = self._rates.get(customer, RateLimit()).zones
            return limit_share.Division(zones=zones)
        entries = frozenset(
            entry
            for entry, served_at in self._served_at.items()
            if served_at > now - RECENT_S
            or (
                served_at > now - max(spans)
                and (self._live_entries is None or entry in self._live_entries)
            )
        )
        return limit_share.Division(part, entries, self.stands_in)

    def _get_part(self, now: float) -> float:
        """Returns the part of each limit with a span that may be granted."""
        if self.part < 1.0:
            self._divided_part = self.part
            self._divided_until = now + REUNION_S
        return self._divided_part if now < self._divided_until else 1.0

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
                # Limits with a span are divided by use, see ``zone_use``.
                if bucket.span is None:
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
            if self._has_history:
                for _, bucket in buckets:
                    bucket.fill()
            for kind, bucket in buckets:
                if kind in former:
                    bucket.inherit(former[kind])
            self._buckets[customer] = buckets
            self._apply_known_reports(customer, now)
        return self._buckets[customer]


def _make_amounts(cost: int) -> dict[str, float]:
    """Returns a request's amounts by kind of limit."""
    return {"requests": 1.0, "tokens": float(cost)}

"""Customers' rate limits, as token buckets in the zone's share.

A customer's limit is divided evenly among the zones.  What other zones leave
unused, by their own fresh word, a zone may use on top of its share; a zone that
hears nothing of the others keeps its share and no more.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from ramptray.core import meter

BURST_S = 2.0
"""How many seconds' worth of its rate a customer may use at once."""

USE_WINDOW_S = 3.0
"""Span over which a customer's use is measured, in seconds."""

MAX_WAIT_S = 10.0
"""Longest advice on when to come back, in seconds: nobody knows what a customer
asks later than that."""

MARGIN = 0.1
"""Part of a zone's share that is never lent, since words are late."""

MAX_USES = 16
"""Customers whose use is told to other zones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """A customer's limit in one zone; None where there is none.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Cost a second, as ``queue.weigh`` counts it.
        burst: What may be used at once; None for two seconds' worth.
    """

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    burst: float | None = None


class _Bucket:
    """A token bucket that also measures what was asked of it."""

    def __init__(self, rate: float, burst: float | None, now: float) -> None:
        self.share = rate
        self.rate = rate
        self._burst = burst
        self.level = self.get_size()
        self._refused = 0.0
        self._filled_at = now
        self._asked = meter.RateMeter(USE_WINDOW_S)

    def get_size(self) -> float:
        """Returns the most that may be used at once."""
        if self._burst is not None:
            return max(self._burst * self.rate / self.share, 1.0)
        return max(self.rate * BURST_S, 1.0)

    def set_rate(self, rate: float) -> None:
        """Takes another rate; what is left grows or shrinks with it."""
        if self.level > 0:
            self.level *= rate / self.rate
        self.rate = rate

    def take_over(self, former: _Bucket) -> None:
        """Starts with what a bucket of the same customer has left.

        Without it, each change of the configuration would fill all buckets.
        """
        part = former.level / former.get_size()
        self.level = min(self.get_size(), max(0.0, part) * self.get_size())
        self._refused = former._refused
        self._filled_at = former._filled_at
        self._asked = former._asked

    def get_wait(self, amount: float, now: float) -> float:
        """Returns the seconds until the amount may be taken, 0 for now.

        Those that were refused come back, and the bucket serves one after the
        other: each is told the time when those before it will be through.
        """
        self._asked.add(int(amount), now)
        earned = (now - self._filled_at) * self.rate
        self.level = min(self.get_size(), self.level + earned)
        self._refused = max(0.0, self._refused - earned)
        self._filled_at = now
        # Tokens may be overdrawn by one request: were a request admitted only
        # where it fits, a customer near its limit would get the small ones
        # through and never a large one.
        missing = 1.0 - self.level if amount > 1.0 else amount - self.level
        if missing <= 0:
            return 0.0
        wait_s = (missing + self._refused) / self.rate
        self._refused += amount
        return min(wait_s, MAX_WAIT_S)

    def get_use(self, now: float) -> float:
        """Returns what is asked, as a part of the zone's own share."""
        return self._asked.get_rate(now) / self.share


class Limits:
    """The token buckets of all customers of a shard.

    Attributes:
        part: The part of every limit that may be handed out here.
    """

    def __init__(self, rates: dict[str, Rate]) -> None:
        self._rates = rates
        self.part = 1.0
        self._buckets: dict[str, list[tuple[str, _Bucket]]] = {}
        self._former: dict[str, list[tuple[str, _Bucket]]] = {}
        self._wanted_elsewhere: frozenset[str] = frozenset()

    def set_rates(self, rates: dict[str, Rate]) -> None:
        """Takes the rates of the bundle in force; the same change nothing."""
        if rates != self._rates:
            self._rates = rates
            self._former = {**self._former, **self._buckets}
            self._buckets = {}

    def set_part(self, part: float) -> None:
        """Takes the part of every limit that this owner may hand out.

        Args:
            part: From 0 to 1; 1 where no other owner can be handing out.
        """
        if part == self.part:
            return
        self.part = part
        for buckets in self._buckets.values():
            for _, bucket in buckets:
                bucket.set_rate(bucket.share * part)

    def check(self, customer: str, cost: int, now: float) -> float:
        """Takes a request from the customer's buckets if it fits.

        Returns:
            0 where the request fits, else the seconds until it would.
        """
        amounts = {"requests": 1.0, "tokens": float(cost)}
        buckets = self._get(customer, now)
        wait_s = max(
            (bucket.get_wait(amounts[kind], now) for kind, bucket in buckets),
            default=0.0,
        )
        if wait_s == 0.0:
            for kind, bucket in buckets:
                bucket.level -= amounts[kind]
        return wait_s

    def list_uses(self, now: float) -> dict[str, float]:
        """Returns the use of those customers that some zone wants more for.

        Use is a part of the zone's own share; more than 1 wants more.
        """
        uses = {c: self._get_use(c, now) for c in self._buckets}
        told = [
            customer
            for customer in self._rates
            if uses.get(customer, 0.0) > 1.0
            or customer in self._wanted_elsewhere
        ]
        told.sort(key=lambda customer: -uses.get(customer, 0.0))
        return {c: round(uses.get(c, 0.0), 2) for c in told[:MAX_USES]}

    def borrow(self, elsewhere: Iterable[dict[str, float]]) -> None:
        """Takes what the other zones have told of their uses.

        Args:
            elsewhere: A mapping for each zone that was heard of lately.
        """
        told = list(elsewhere)
        wanted: dict[str, int] = {}
        spare: dict[str, float] = {}
        for uses in told:
            for customer, use in uses.items():
                wanted[customer] = wanted.get(customer, 1) + (use > 1.0)
                left = max(0.0, 1.0 - MARGIN - use)
                spare[customer] = spare.get(customer, 0.0) + left
        self._wanted_elsewhere = frozenset(
            customer
            for uses in told
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

    def _get(self, customer: str, now: float) -> list[tuple[str, _Bucket]]:
        if customer not in self._buckets:
            rate = self._rates.get(customer, Rate())
            kinds = [
                ("requests", rate.requests_per_s),
                ("tokens", rate.tokens_per_s),
            ]
            made = [
                (kind, _Bucket(share, rate.burst, now))
                for kind, share in kinds
                if share is not None
            ]
            if not made:
                return []
            former = dict(self._former.pop(customer, []))
            for kind, bucket in made:
                bucket.rate = bucket.share * self.part
                bucket.level = bucket.get_size()
                if kind in former:
                    bucket.take_over(former[kind])
            self._buckets[customer] = made
        return self._buckets[customer]

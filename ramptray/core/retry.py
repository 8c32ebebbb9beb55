"""How many requests may be sent to a further backend server."""

from __future__ import annotations

import collections

import msgspec

from ramptray.core import meter


class BudgetRules(msgspec.Struct, frozen=True):
    """The budget of one VM for one service.

    Attributes:
        ratio: Further attempts for each request of the window.
        extra: Further attempts in a window beyond that.
        window_s: The window's length in seconds.
    """

    ratio: float = 0.1
    extra: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """Counts requests and further attempts of each service over a window.

    Each VM keeps to its own part, so the sum over all VMs holds without a word
    between them, also across a cut.
    """

    def __init__(self, rules: BudgetRules | None = None) -> None:
        self.rules = rules or BudgetRules()
        self._requests: dict[str, meter.RateMeter] = collections.defaultdict(
            self._make_meter
        )
        self._retries: dict[str, meter.RateMeter] = collections.defaultdict(
            self._make_meter
        )

    def count_request(self, service: str, now: float) -> None:
        """Counts a request of a service."""
        self._requests[service].add(1, now)

    def has_attempts_left(self, service: str, now: float) -> bool:
        """Returns whether the budget has a further attempt left."""
        requests = self._requests[service].get_sum(now)
        allowed = self.rules.extra + self.rules.ratio * requests
        return self._retries[service].get_sum(now) + 1 <= allowed

    def try_take(self, service: str, now: float) -> bool:
        """Takes one further attempt, if the budget has any left."""
        if not self.has_attempts_left(service, now):
            return False
        self._retries[service].add(1, now)
        return True

    def _make_meter(self) -> meter.RateMeter:
        return meter.RateMeter(self.rules.window_s)

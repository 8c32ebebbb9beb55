"""Retry budgets: how many requests may be sent to another backend server."""

from __future__ import annotations

import collections

import msgspec

from ramptray.core import meter


class BudgetRules(msgspec.Struct, frozen=True):
    """The retry budget of one VM for one service.

    Attributes:
        ratio: Retries per request in the window.
        extra: Additional retries per window.
        window_s: Length of the window in seconds.
    """

    ratio: float = 0.1
    extra: float = 10.0
    window_s: float = 10.0


def divide_rules(whole: BudgetRules, part: float, vms: int) -> BudgetRules:
    """Returns the budget of one VM.

    Args:
        whole: The budget of the deployment.
        part: Fraction of it that is used.  The rest is for VMs that restart,
            which do not know what they used before.
        vms: Number of VMs, with those that are lost: they may be retrying on
            the other side of a partition.
    """
    return BudgetRules(
        whole.ratio * part, whole.extra * part / vms, whole.window_s
    )


class RetryBudget:
    """Counts requests and retries of each service over a sliding window.

    A retry that is reserved counts as made until it is sent or released, so
    that one reservation is never promised to two requests.

    Each VM enforces its own budget, so the total over all VMs holds without
    communication, also during a network partition.
    """

    def __init__(self, rules: BudgetRules | None = None) -> None:
        self.rules = rules or BudgetRules()
        self._requests: dict[str, meter.RateMeter] = collections.defaultdict(
            self._make_meter
        )
        self._retries: dict[str, meter.RateMeter] = collections.defaultdict(
            self._make_meter
        )
        self._reserved: collections.Counter[str] = collections.Counter()

    def count_request(self, service: str, now: float) -> None:
        """Counts a request of a service."""
        self._requests[service].add(1, now)

    def has_attempts_left(self, service: str, now: float) -> bool:
        """Returns whether the budget allows another retry."""
        requests = self._requests[service].get_sum(now)
        allowed = self.rules.extra + self.rules.ratio * requests
        used = self._retries[service].get_sum(now) + self._reserved[service]
        return used + 1 <= allowed

    def try_take(self, service: str, now: float) -> bool:
        """Takes one retry from the budget and returns whether it allowed it."""
        if not self.has_attempts_left(service, now):
            return False
        self._retries[service].add(1, now)
        return True

    def reserve(self, service: str, now: float) -> bool:
        """Reserves one retry and returns whether the budget allowed it."""
        if not self.has_attempts_left(service, now):
            return False
        self._reserved[service] += 1
        return True

    def use_reserved(self, service: str, now: float) -> None:
        """Counts a reserved retry as sent."""
        self._reserved[service] -= 1
        self._retries[service].add(1, now)

    def return_used(self, service: str, used_at: float) -> None:
        """Reserves a retry again that was counted but not sent.

        Args:
            service: Its service.
            used_at: When ``use_reserved`` counted it.
        """
        self._retries[service].remove(1, used_at)
        self._reserved[service] += 1

    def release(self, service: str) -> None:
        """Returns a reserved retry that was not sent."""
        self._reserved[service] -= 1

    def _make_meter(self) -> meter.RateMeter:
        return meter.RateMeter(self.rules.window_s)

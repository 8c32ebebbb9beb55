"""How a shard owner chooses the backend server for a request.

Every policy is a subclass of ``Policy``.  The baselines stand beside the one
in use so that a benchmark can compare them in one run.
"""

from __future__ import annotations

import abc
import itertools
from collections.abc import Callable, Sequence

from ramptray.core import backend as backends
from ramptray.core import message

DECODE_WEIGHT_TOKENS = 16
"""Tokens of decode that count beside the first token in a placement."""

LATE_WEIGHT = 2.0
"""How much worse a second past the deadline is than one of waiting."""


class Policy(abc.ABC):
    """Chooses a backend server, or none to keep the request waiting."""

    name: str
    looks_at_all = False
    """Whether it must be given every backend server of the shard."""

    @abc.abstractmethod
    def choose(
        self,
        request: message.RequestInfo,
        share: float,
        candidates: Sequence[backends.Backend],
        now: float,
        deadline: float,
    ) -> backends.Backend | None:
        """Returns the backend server for the request, or None to wait.

        Args:
            request: The request at the head of the queue.
            share: The part of each engine's places that its tier may use.
            candidates: Backend servers to choose from.
            now: The owner's clock in seconds.
            deadline: When the answer is of no more use, on the same clock.
        """


class TokenPolicy(Policy):
    """Late binding: the earliest first token among the engines with room."""

    name = "token"

    def choose(
        self,
        request: message.RequestInfo,
        share: float,
        candidates: Sequence[backends.Backend],
        now: float,
        deadline: float,
    ) -> backends.Backend | None:
        """See the base class."""
        best: backends.Backend | None = None
        best_s = float("inf")
        for candidate in candidates:
            if not candidate.is_open(now):
                continue
            limit = max(1, int(candidate.info.max_running * share))
            if len(candidate.placed) + candidate.foreign >= limit:
                continue
            uncached = candidate.count_uncached(request)
            if not candidate.has_room(request, uncached, limit):
                continue
            cost = candidate.estimate_first_token(uncached, now)
            cost += candidate.step_s * DECODE_WEIGHT_TOKENS
            decode_s = candidate.step_s * request.output_tokens
            late_s = now + cost + decode_s - deadline
            cost += max(0.0, late_s) * LATE_WEIGHT
            if cost < best_s:
                best, best_s = candidate, cost
        return best


class BaselinePolicy(Policy):
    """Base of the baselines: they place at once, on any open engine."""

    looks_at_all = True

    @abc.abstractmethod
    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """Returns one of the open backend servers; there is at least one."""

    def choose(
        self,
        request: message.RequestInfo,
        share: float,
        candidates: Sequence[backends.Backend],
        now: float,
        deadline: float,
    ) -> backends.Backend | None:
        """See the base class."""
        usable = [found for found in candidates if found.is_open(now)]
        return self.pick(usable) if usable else None


class RoundRobinPolicy(BaselinePolicy):
    """Baseline: each backend server in turn."""

    name = "round_robin"

    def __init__(self) -> None:
        self._turn = itertools.count()

    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """See the base class."""
        return usable[next(self._turn) % len(usable)]


class LeastReportedPolicy(BaselinePolicy):
    """Baseline: the smallest running count in the engines' stale reports."""

    name = "least_reported"

    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """See the base class."""
        return min(usable, key=lambda found: found.report_running or 0)


class LeastOutstandingPolicy(BaselinePolicy):
    """Baseline: the fewest requests this owner has running there."""

    name = "least_outstanding"

    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """See the base class."""
        return min(usable, key=lambda found: len(found.placed))


POLICIES: dict[str, Callable[[], Policy]] = {
    policy.name: policy
    for policy in (
        TokenPolicy,
        RoundRobinPolicy,
        LeastReportedPolicy,
        LeastOutstandingPolicy,
    )
}


def make_policy(name: str = TokenPolicy.name) -> Policy:
    """Returns a new policy of the given name.

    Raises:
        KeyError: There is no such policy.
    """
    return POLICIES[name]()

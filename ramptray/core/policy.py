"""Placement policies: how a shard owner chooses a request's backend server.

Every policy is a subclass of ``Policy``.  ``TokenPolicy`` is the one in use;
the baselines exist for comparison in benchmarks.
"""

from __future__ import annotations

import abc
import itertools
import math
from collections.abc import Callable, Sequence

import msgspec

from ramptray.core import backend as backends
from ramptray.core import message

DECODE_WEIGHT_TOKENS = 16
"""Decode steps that are added to the time to first token in a cost."""

FAILURE_COST_S = 1.0
"""Cost of a failure on a backend server, in seconds: about the time that a
caller loses by a retry.

Load pattern: some servers refuse many requests, break their responses off or
respond with errors while their slots seem free, and would otherwise keep
getting their share of the load."""

LATENESS_WEIGHT = 2.0
"""Cost of a second past the deadline, relative to a second of waiting."""

FIRST_MARGIN = 1.2
"""Safety factor on the expected time to a first token."""

TRANSIT_S = 0.01
"""Time from an entry to an engine and back to the caller, in seconds; not
included in an engine's learned speed."""


class Demand(msgspec.Struct, frozen=True):
    """A request to place, with its limits and deadlines.

    Attributes:
        request: The request at the head of the queue.
        share: Fraction of each engine's slots that its tier may use.
        now: The owner's clock in seconds.
        deadline: Deadline of the response, on the same clock.
        late_at: Time until which the response must begin to meet its
            objective; infinite without an objective.
        part: This owner's share of the limits that all owners share.
        is_late: Whether no server can meet its objective any more.
        wait_s: Seconds that it has to wait before it may be placed.
        entry: The entry that serves its caller.
    """

    request: message.RequestInfo
    share: float
    now: float
    deadline: float
    late_at: float = math.inf
    is_late: bool = False
    part: float = 1.0
    wait_s: float = 0.0
    entry: str = ""

    @property
    def has_objective(self) -> bool:
        """Whether there is a latency objective that may still be met."""
        return self.late_at < math.inf and not self.is_late

    def meets_objective(self, first_s: float, wait_s: float = 0.0) -> bool:
        """Returns whether a first token would meet the objective.

        Args:
            first_s: Seconds from the placement to the first token.
            wait_s: Seconds until the placement.
        """
        placed_at = self.now + wait_s
        return placed_at + first_s * FIRST_MARGIN + TRANSIT_S <= self.late_at


class Policy(abc.ABC):
    """Chooses a backend server, or none to keep the request queued."""

    name: str
    needs_all_backends = False
    """Whether ``choose`` needs every backend server of the shard."""

    @abc.abstractmethod
    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """Returns the backend server for a request, or None to wait.

        Args:
            demand: The request to place.
            candidates: Backend servers to choose from.
        """

    def can_meet_objective(
        self, demand: Demand, candidate: backends.Backend
    ) -> bool:
        """Returns whether an idle server would meet the objective."""
        return True


class TokenPolicy(Policy):
    """Late binding: the lowest cost among engines that meet the objective.

    Load pattern: nearly all slots are occupied, and the free ones belong to
    slow engines.  As long as some engine can meet its objective, a request
    waits for a slot where it does so without delaying other streams too long.
    """

    name = "token"

    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """See the base class."""
        costs = [
            (cost, candidate)
            for candidate in candidates
            if (cost := self._compute_cost(demand, candidate)) is not None
        ]
        if not costs:
            return None
        return min(costs, key=lambda pair: pair[0])[1]

    def can_meet_objective(
        self, demand: Demand, candidate: backends.Backend
    ) -> bool:
        """See the base class."""
        if not demand.has_objective:
            return True
        uncached = candidate.count_uncached(demand.request)
        alone_s = candidate.estimate_alone(uncached)
        wait_s = candidate.get_rate_wait(demand.now, demand.part)
        pause_s = candidate.pauses.get_remaining_s(demand.entry, demand.now)
        return demand.meets_objective(
            alone_s, max(demand.wait_s + wait_s, pause_s)
        )

    def _compute_cost(
        self, demand: Demand, candidate: backends.Backend
    ) -> float | None:
        """Returns the cost of a placement in seconds; None if not possible."""
        request, now = demand.request, demand.now
        if not candidate.is_open(now):
            return None
        if candidate.get_rate_wait(now, demand.part) > 0.0:
            return None
        limit = max(
            1, int(candidate.get_max_running(demand.now) * demand.share)
        )
        if len(candidate.placed) + candidate.foreign >= limit:
            return None
        if len(candidate.placed) >= candidate.own_limit:
            return None
        uncached = candidate.count_uncached(request)
        limits_prefill = not demand.has_objective
        if not candidate.has_room(request, uncached, limit, limits_prefill):
            return None
        first_s = candidate.estimate_first_token(uncached, now)
        if demand.has_objective:
            if not demand.meets_objective(first_s):
                return None
            if self._exceeds_max_gap(request, candidate, uncached):
                return None
        cost = first_s + candidate.step_s * DECODE_WEIGHT_TOKENS
        cost += candidate.availability.get_failure_rate(now) * FAILURE_COST_S
        decode_s = candidate.step_s * request.output_tokens
        late_s = now + cost + decode_s - demand.deadline
        return cost + max(0.0, late_s) * LATENESS_WEIGHT

    @staticmethod
    def _exceeds_max_gap(
        request: message.RequestInfo,
        candidate: backends.Backend,
        uncached: int,
    ) -> bool:
        """Returns whether a prompt would delay other streams too long."""
        if request.max_gap_s is None or not candidate.placed:
            return False
        pause_s = candidate.estimate_pause(uncached, request.event_tokens)
        return pause_s > request.max_gap_s


class BaselinePolicy(Policy):
    """Base class of baselines, which place immediately on any open engine."""

    needs_all_backends = True

    @abc.abstractmethod
    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """Returns one of the open backend servers; the list is not empty."""

    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """See the base class."""
        usable = [
            backend
            for backend in candidates
            if backend.is_open(demand.now)
            and backend.get_rate_wait(demand.now, demand.part) == 0.0
        ]
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
    """Baseline: the fewest running requests in the engines' stale reports."""

    name = "least_reported"

    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """See the base class."""
        return min(usable, key=lambda backend: backend.report_running or 0)


class LeastOutstandingPolicy(BaselinePolicy):
    """Baseline: the fewest requests of this owner on the server."""

    name = "least_outstanding"

    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """See the base class."""
        return min(usable, key=lambda backend: len(backend.placed))


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

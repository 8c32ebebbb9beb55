"""How a shard owner chooses the backend server for a request.

Every policy is a subclass of ``Policy``.  The baselines stand beside the one
in use so that a benchmark can compare them in one run.
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
"""Tokens of decode that count beside the first token in a placement."""

REFUSED_S = 1.0
"""What a refusal by a backend server costs a request, in seconds: about what
its caller loses that has to come back.

Load pattern: some servers turn much of their work away while their places look
free; without this they go on getting their part of it."""

LATE_WEIGHT = 2.0
"""How much worse a second past the deadline is than one of waiting."""

FIRST_MARGIN = 1.2
"""Safety factor on the expected time to a first token."""

WAY_S = 0.01
"""Time from an entry to an engine and back to the caller, in seconds, which no
engine's speed holds."""


class Demand(msgspec.Struct, frozen=True):
    """What is to be placed.

    Attributes:
        request: The request at the head of the queue.
        share: The part of each engine's places that its tier may use.
        now: The owner's clock in seconds.
        deadline: When the answer is of no more use, on the same clock.
        late_at: When the answer begins too late; infinite where never.
        part: The part of limits held over all owners that is this owner's.
        is_late: Whether it can begin in time nowhere any more.
        wait_s: Seconds that it has to wait before it may be placed.
        entry: The entry that has its caller.
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
        """Whether the answer may still begin in time."""
        return self.late_at < math.inf and not self.is_late

    def is_met(self, first_s: float, wait_s: float = 0.0) -> bool:
        """Returns whether a first token would be in time.

        Args:
            first_s: Seconds that it takes once the request is placed.
            wait_s: Seconds until the request is placed.
        """
        placed_at = self.now + wait_s
        return placed_at + first_s * FIRST_MARGIN + WAY_S <= self.late_at


class Policy(abc.ABC):
    """Chooses a backend server, or none to keep the request waiting."""

    name: str
    needs_all_backends = False
    """Whether it must be given every backend server of the shard."""

    @abc.abstractmethod
    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """Returns the backend server for a request, or None to wait.

        Args:
            demand: What is to be placed.
            candidates: Backend servers to choose from.
        """

    def can_meet_objective(
        self, demand: Demand, candidate: backends.Backend
    ) -> bool:
        """Returns whether a request would be in time on an idle server."""
        return True


class TokenPolicy(Policy):
    """Late binding: the earliest answer among the engines that are in time.

    Load pattern: nearly all places are taken, and those that are free belong to
    slow engines.  A request waits for a place where its answer begins in time
    and does not hold up those beside it, as long as there is such an engine.
    """

    name = "token"

    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """See the base class."""
        costs = [
            (cost, candidate)
            for candidate in candidates
            if (cost := self._find_cost(demand, candidate)) is not None
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
        return demand.is_met(alone_s, max(demand.wait_s + wait_s, pause_s))

    def _find_cost(
        self, demand: Demand, candidate: backends.Backend
    ) -> float | None:
        """Returns the cost of a place in seconds; None where it has none."""
        request, now = demand.request, demand.now
        if not candidate.is_open(now):
            return None
        if candidate.get_rate_wait(now, demand.part) > 0.0:
            return None
        limit = max(1, int(candidate.info.max_running * demand.share))
        if len(candidate.placed) + candidate.foreign >= limit:
            return None
        uncached = candidate.count_uncached(request)
        windowed = not demand.has_objective
        if not candidate.has_room(request, uncached, limit, windowed):
            return None
        first_s = candidate.estimate_first_token(uncached, now)
        if demand.has_objective:
            if not demand.is_met(first_s):
                return None
            if self._holds_up(request, candidate, uncached):
                return None
        cost = first_s + candidate.step_s * DECODE_WEIGHT_TOKENS
        cost += candidate.availability.get_refusal_rate(now) * REFUSED_S
        decode_s = candidate.step_s * request.output_tokens
        late_s = now + cost + decode_s - demand.deadline
        return cost + max(0.0, late_s) * LATE_WEIGHT

    @staticmethod
    def _holds_up(
        request: message.RequestInfo,
        candidate: backends.Backend,
        uncached: int,
    ) -> bool:
        """Returns whether a prompt makes other answers pause too long."""
        if request.max_gap_s is None or not candidate.placed:
            return False
        pause_s = candidate.estimate_pause(uncached, request.event_tokens)
        return pause_s > request.max_gap_s


class BaselinePolicy(Policy):
    """Base of the baselines: they place at once, on any open engine."""

    needs_all_backends = True

    @abc.abstractmethod
    def pick(self, usable: list[backends.Backend]) -> backends.Backend:
        """Returns one of the open backend servers; there is at least one."""

    def choose(
        self, demand: Demand, candidates: Sequence[backends.Backend]
    ) -> backends.Backend | None:
        """See the base class."""
        usable = [
            found
            for found in candidates
            if found.is_open(demand.now)
            and found.get_rate_wait(demand.now, demand.part) == 0.0
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

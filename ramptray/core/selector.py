"""Selection of the backend server for a queued request."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ramptray.core import (
    anti_affinity,
    fleet,
    limit,
    message,
    policy,
    queue,
    release,
    suspicion,
    symptom_filter,
)
from ramptray.core import backend as backends


class Selector:
    """Chooses among the backend servers that a request may go to.

    Args:
        servers: The shard's backend servers.
        chosen: The policy.
        limits: The limits, with this owner's share of them.
        releases: Which releases may get requests.
        suspicions: What is suspected of crashing servers.
    """

    def __init__(
        self,
        servers: fleet.Fleet,
        chosen: policy.Policy,
        limits: limit.Limits,
        releases: release.ReleaseGate,
        suspicions: suspicion.Suspicions,
    ) -> None:
        self._fleet = servers
        self._policy = chosen
        self._limits = limits
        self._releases = releases
        self._suspicions = suspicions

    def next_window(self) -> list[backends.Backend]:
        """Returns the backend servers that the next decision considers."""
        if self._policy.needs_all_backends:
            return self._fleet.list_all()
        return self._fleet.next_window()

    def add_holders(
        self, window: list[backends.Backend], request: message.RequestInfo
    ) -> list[backends.Backend]:
        """Adds the servers that may hold the request's prefix to a window."""
        if self._policy.needs_all_backends:
            return window
        return self._fleet.add_holders(window, request)

    def select(
        self,
        waiting: queue.QueuedRequest,
        share: float,
        now: float,
        candidates: list[backends.Backend],
        ahead: Sequence[queue.QueuedRequest],
    ) -> backends.Backend | None:
        """Returns the backend server for a request; None to keep it queued.

        Args:
            waiting: The request.
            share: Fraction of each engine's slots that its tier may use.
            now: The owner's clock in seconds.
            candidates: Backend servers to choose from.
            ahead: Queued requests of higher tiers; servers that they may go to
                are reserved for them.
        """
        usable = self._fleet.eligibility.filter_eligible(
            candidates, waiting, now
        )
        if waiting.request.release is None:
            usable = self._releases.filter_allowed(usable)
        elif not self._releases.may_continue(waiting.request.release):
            usable = []
        usable = anti_affinity.separate_suspects(
            usable, waiting.request, self._suspicions
        )
        usable = symptom_filter.exclude_symptom(
            usable, waiting, self._fleet, now
        )
        return self._releases.choose(
            self._make_demand(waiting, share, now),
            self._exclude_reserved(usable, ahead, now),
        )

    def cannot_meet_objective(
        self, waiting: queue.QueuedRequest, now: float, wait_s: float = 0.0
    ) -> bool:
        """Returns whether no server can meet the latency objective any more.

        Args:
            waiting: The request.
            now: The owner's clock in seconds.
            wait_s: Seconds until its turn, given the rate limit.
        """
        if waiting.late_at == math.inf:
            return False
        demand = self._make_demand(waiting, 1.0, now, wait_s)
        fastest = self._fleet.list_fastest(waiting, now)
        return not any(
            self._policy.can_meet_objective(demand, known) for known in fastest
        )

    def _exclude_reserved(
        self,
        candidates: list[backends.Backend],
        ahead: Sequence[queue.QueuedRequest],
        now: float,
    ) -> list[backends.Backend]:
        """Returns the candidates that no request ahead may go to.

        During a network partition, those are the servers on the other side;
        during an entry's pause, the servers that requested it; for a further
        attempt, the servers that fail like its last one.
        """
        if not ahead or not candidates:
            return candidates
        reserved = {
            candidate.info.name
            for waiting in ahead
            for candidate in symptom_filter.exclude_symptom(
                self._fleet.eligibility.filter_eligible(
                    candidates, waiting, now
                ),
                waiting,
                self._fleet,
                now,
            )
        }
        return [c for c in candidates if c.info.name not in reserved]

    def _make_demand(
        self,
        waiting: queue.QueuedRequest,
        share: float,
        now: float,
        wait_s: float = 0.0,
    ) -> policy.Demand:
        return policy.Demand(
            waiting.request,
            share,
            now,
            waiting.deadline,
            waiting.late_at,
            waiting.is_late,
            self._limits.server_part,
            wait_s,
            waiting.entry,
        )

"""Grants the queued requests of a shard slots on backend servers."""

from __future__ import annotations

import functools
import itertools
import math

from ramptray.core import (
    anti_affinity,
    fleet,
    limit,
    message,
    owner_effect,
    queue,
    release,
    selector,
    shedding,
    wait_estimator,
)
from ramptray.core import backend as backends
from ramptray.core import rules as shard_rules

MAX_HEADS_TRIED = 4
"""Customers of a tier whose first requests are tried in each round."""


class Granter:
    """Grants slots on backend servers to queued requests, highest tier first.

    Args:
        address: The owner's address, which is sent in its grants.
        rules: The configuration of the shard.
        shard_queue: The queue.
        servers: The shard's backend servers.
        limits: The rate limits, of which this owner hands out a part.
        server_selector: Chooses a backend server.
        estimator: Measures the rate of grants.
        releases: Counts the requests of each release.
        counters: Numbers of decisions, which are updated here.
        trials: Holds back requests that may crash servers.

    Attributes:
        rules: The configuration of the shard; replaced with each bundle.
    """

    def __init__(
        self,
        address: str,
        rules: shard_rules.ShardRules,
        shard_queue: queue.ShardQueue,
        servers: fleet.Fleet,
        limits: limit.Limits,
        server_selector: selector.Selector,
        estimator: wait_estimator.WaitEstimator,
        releases: release.ReleaseGate,
        counters: shedding.Counters,
        trials: anti_affinity.TrialGate,
    ) -> None:
        self.rules = rules
        self._address = address
        self._queue = shard_queue
        self._fleet = servers
        self._limits = limits
        self._selector = server_selector
        self._wait_estimator = estimator
        self._releases = releases
        self._counters = counters
        self._trials = trials
        self._grant_ids = itertools.count(1)

    def grant(
        self, now: float, only: list[backends.Backend] | None = None
    ) -> list[owner_effect.SendToEntry]:
        """Grants as many requests as fit, highest tier first.

        Args:
            now: The owner's clock in seconds.
            only: The backend servers on which a slot became free; None for any.
        """
        out = self._grant_once(now, only)
        if out and only is not None and self._queue:
            # The next requests in the queue may fit on other servers.
            out += self._grant_once(now, None)
        return out

    def _grant_once(
        self, now: float, only: list[backends.Backend] | None
    ) -> list[owner_effect.SendToEntry]:
        out: list[owner_effect.SendToEntry] = []
        ahead: list[queue.QueuedRequest] = []
        for rank, tier in enumerate(self._queue.tiers):
            share = 1.0 if rank == 0 else 1.0 - self.rules.headroom
            while granted := self._grant_one(tier, share, now, only, ahead):
                out.append(granted)
            if not tier.count:
                continue
            ahead.extend(self._list_heads(tier, now))
            pauses = self._fleet.eligibility.has_pauses(now)
            # Those that only some servers may run leave the others to lower
            # tiers.
            unbound = sum(each.binding == queue.UNBOUND for each in ahead)
            if unbound >= MAX_HEADS_TRIED and not pauses:
                break
        return out

    def _list_heads(
        self, tier: queue.TierQueue, now: float
    ) -> list[queue.QueuedRequest]:
        """Returns the requests that are tried first.

        Requests of an entry that every server has asked for a pause do not
        block those of other entries, nor do those that wait for a trial.
        """

        def is_held(waiting: queue.QueuedRequest) -> bool:
            return self._trials.is_held(waiting.request, now)

        if not self._fleet.eligibility.has_pauses(now):
            return tier.list_heads(MAX_HEADS_TRIED, is_held)
        is_paused = functools.cache(
            lambda entry: self._fleet.eligibility.is_paused(entry, now)
        )
        return tier.list_heads(MAX_HEADS_TRIED, is_held, is_paused)

    def _grant_one(
        self,
        tier: queue.TierQueue,
        share: float,
        now: float,
        only: list[backends.Backend] | None,
        ahead: list[queue.QueuedRequest],
    ) -> owner_effect.SendToEntry | None:
        """Grants one request of a tier, if a slot is available.

        Args:
            tier: The tier.
            share: The part of each engine's slots that the tier may use.
            now: The owner's clock in seconds.
            only: The backend servers on which a slot became free; None for any.
            ahead: Queued requests of higher tiers; slots that they could use
                are reserved for them.
        """
        if not tier.count:
            return None
        self._demote_late_heads(tier, now)
        window = self._selector.next_window() if only is None else only
        skipped: list[queue.QueuedRequest] = []
        for waiting in self._list_heads(tier, now):
            candidates = window
            if only is None:
                candidates = self._selector.add_holders(window, waiting.request)
            chosen = self._selector.select(
                waiting, share, now, candidates, ahead
            )
            if chosen is not None:
                for other in skipped:
                    other.passed_over += waiting.cost
                return self._place(tier, waiting, chosen, now)
            if waiting.is_starved:
                # Reserve the slots that a starved request could use.
                ahead = [*ahead, waiting]
            skipped.append(waiting)
        return None

    def _demote_late_heads(self, tier: queue.TierQueue, now: float) -> None:
        """Demotes head requests that can no longer meet their objective."""
        while late := [
            waiting
            for waiting in self._list_heads(tier, now)
            if not waiting.is_late
            and self._selector.cannot_meet_objective(waiting, now)
        ]:
            for waiting in late:
                self._queue.demote(waiting)

    def _place(
        self,
        tier: queue.TierQueue,
        waiting: queue.QueuedRequest,
        chosen: backends.Backend,
        now: float,
    ) -> owner_effect.SendToEntry:
        request = waiting.request
        grant_id = f"{self._address}#{next(self._grant_ids)}"
        uncached = chosen.count_uncached(request)
        expected_s = chosen.estimate_first_token(uncached, now)
        gateways = self._fleet.eligibility.list_gateways(waiting, chosen, now)
        self._queue.remove(waiting)
        tier.charge(waiting, self.rules.shares.get(request.customer, 1.0))
        self._fleet.place(
            request, chosen, waiting.entry, grant_id, now, waiting.since
        )
        chosen.placed[request.request_id].is_tunneled = bool(gateways)
        self._wait_estimator.count_grant(waiting, now)
        self._counters.granted += 1
        self._releases.count_request(chosen)
        self._trials.record_grant(request, now)
        return owner_effect.SendToEntry(
            waiting.entry,
            message.Grant(
                request.request_id,
                grant_id,
                chosen.info.name,
                self._address,
                chosen.version,
                chosen.info.url,
                chosen.get_speed(),
                chosen.info.run,
                chosen.limit_per_s,
                self._make_limit_total(request, now),
                gateways,
                chosen.info.release,
            ),
            owner_effect.DecisionInputs(
                len(self._queue),
                len(chosen.placed),
                chosen.info.max_running,
                round(expected_s, 4),
                round(chosen.step_s, 5),
                _get_remaining_s(waiting, now),
                chosen.get_rate_limit(now, self._limits.server_part),
            ),
        )

    def _make_limit_total(
        self, request: message.RequestInfo, now: float
    ) -> message.LimitTotal | None:
        """Returns the customer's use, unless it was counted elsewhere."""
        if request.spilled_from or request.attempt:
            return None
        return self._limits.make_total(request.customer, now)

    def demote_late(self, now: float) -> None:
        """Demotes all requests that can no longer meet their objective.

        When all backend servers announce a rate limit at the same time,
        requests are served at a known rate, and those beyond it are late from
        the start.
        """
        rate_per_s = self._wait_estimator.get_rate_limit(now)
        pause_s = 1.0 / rate_per_s if rate_per_s else 0.0
        ahead = 0
        for waiting in sorted(
            self._queue.list_all(), key=lambda each: each.rank
        ):
            if waiting.is_late:
                continue
            if self._selector.cannot_meet_objective(
                waiting, now, ahead * pause_s
            ):
                self._queue.demote(waiting)
            else:
                ahead += 1


def _get_remaining_s(waiting: queue.QueuedRequest, now: float) -> float | None:
    """Returns the seconds until a response would be late, for the logs."""
    if waiting.late_at == math.inf:
        return None
    return round(waiting.late_at - now, 4)

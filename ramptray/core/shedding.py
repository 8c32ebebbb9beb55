"""Load shedding: refuses queued requests or redirects them to other zones."""

from __future__ import annotations

import functools
from collections.abc import Collection, Iterable

import msgspec

from ramptray.core import (
    fleet,
    limit,
    message,
    meter,
    owner_effect,
    queue,
    redirection,
    refusal_log,
    release,
    stream_origin,
    wait_estimator,
)

SHED_WINDOW_S = 60.0
"""Window of the refusal counts shown to operators, in seconds."""

STARTUP_GRACE_S = 3.0
"""Seconds that a new owner waits for the summaries of other zones."""

MIN_RETRY_AFTER_S = 0.5
"""Shortest Retry-After, in seconds."""

UNREACHABLE_RETRY_AFTER_S = 1.0
"""Shortest Retry-After if no backend server is reachable, in seconds.  By then
the load balancer may route the caller to a VM that can reach one."""

RELEASE_GRACE_S = 0.5
"""Time for which a stream that goes on waits for a server of its release to
become known, in seconds: records reach VMs at different times."""

RELEASE_RETURN_S = stream_origin.RETENTION_MARGIN_S
"""Time for which a release without servers may come back, in seconds, from when
it was last listed, or first asked for if this owner has never seen it: until
then VMs may not have read the same records."""

MAX_RETRY_AFTER_S = 30.0
"""Longest Retry-After, in seconds."""

REDIRECT_REASONS = {
    message.Reason.OVERLOADED: redirection.Reason.OVERLOADED,
    message.Reason.DEADLINE: redirection.Reason.DEADLINE,
    message.Reason.NO_BACKEND: redirection.Reason.NO_SERVER,
    message.Reason.NO_RELEASE: redirection.Reason.NO_SERVER,
}
"""Reason of a redirect for the reason of the refusal that it avoids."""
OVERLOAD_RETRY_AFTER_S = 5.0
"""Shortest Retry-After while arriving requests leave no capacity, in seconds:
the length of long bursts.  Retries within a burst are refused again."""

HONORED_PART = 1 / 3
"""Fraction of its remaining time that a caller waits at most before a retry; a
longer Retry-After would be ignored."""


class Counters(msgspec.Struct):
    """Numbers of decisions since the shard's owner took over.

    ``returned`` counts the requests recognized as retries of refused ones, and
    ``attempts_refused`` refusals that turned no caller away.  ``shed`` counts
    the other refusals.
    """

    enqueued: int = 0
    granted: int = 0
    shed: int = 0
    declined: int = 0
    returned: int = 0
    attempts_refused: int = 0


class Shedder:
    """Removes requests from a shard's queue that must not stay there.

    Args:
        shard_queue: The queue.
        servers: The shard's backend servers.
        limits: The customers' limits.
        estimator: Estimates waiting times.
        redirector: Redirects requests to other zones.
        entries: The entries that send requests to this owner.
        releases: Which releases may get requests.
        started_at: When the owner took over, on its clock in seconds.

    Attributes:
        counters: Numbers of decisions since the owner took over.
        queue_cost: Capacity of the queue, as a cost.
    """

    def __init__(
        self,
        shard_queue: queue.ShardQueue,
        servers: fleet.Fleet,
        limits: limit.Limits,
        estimator: wait_estimator.WaitEstimator,
        redirector: redirection.Redirector,
        entries: Collection[str],
        releases: release.ReleaseGate,
        started_at: float,
    ) -> None:
        self.counters = Counters()
        self.queue_cost = 0
        self._queue = shard_queue
        self._fleet = servers
        self._limits = limits
        self._wait_estimator = estimator
        self._redirector = redirector
        self._entries = entries
        self._releases = releases
        self._started_at = started_at
        self._refusals = refusal_log.RefusalLog()
        # When each release was last listed, or first asked for.
        self._release_seen_at: dict[str, float] = {}
        self._shed: dict[str, meter.RateMeter] = {}

    def list_shed(self, now: float) -> dict[str, int]:
        """Returns the number of recently refused requests of each tier."""
        return {tier: shed.get_sum(now) for tier, shed in self._shed.items()}

    def observe_releases(self, now: float) -> None:
        """Records which releases have servers; called at each tick."""
        listed = self._fleet.eligibility.list_releases()
        oldest = now - stream_origin.SPAN_S
        self._release_seen_at = {
            **{r: at for r, at in self._release_seen_at.items() if at > oldest},
            **dict.fromkeys(listed, now),
        }

    def admit(
        self, waiting: queue.QueuedRequest, now: float
    ) -> owner_effect.SendToEntry | None:
        """Counts a request against its customer's limit.

        A request that has already been admitted, here or in another zone, is
        not counted again.

        Returns:
            The refusal if the request exceeds the limit, else None.
        """
        request = waiting.request
        if not request.asks_again:
            self._recognize_retry(waiting)
            if not waiting.is_retry:
                self._wait_estimator.count_arrival(waiting, now)
        if request.spilled_from or request.attempt:
            return None
        counted = _get_limit_cost(request)
        wait_s = self._limits.try_acquire(
            request.customer, counted, now, waiting.entry
        )
        if wait_s == 0.0:
            waiting.counted_at = now
            return None
        self._count_refusal(request, now)
        return self._make_reject(waiting, message.Reason.CUSTOMER_LIMIT, wait_s)

    def refund(
        self, request: message.RequestInfo, counted_at: float | None
    ) -> None:
        """Refunds what a request was counted that does not run.

        Args:
            request: The request.
            counted_at: When this owner counted it; None if it did not.
        """
        if counted_at is not None:
            self._limits.refund(
                request.customer, _get_limit_cost(request), counted_at
            )

    def refuse_blocked(
        self, causes: frozenset[str], left_s: float
    ) -> list[owner_effect.SendToEntry]:
        """Refuses the queued requests that a new block covers.

        Args:
            causes: What the covered requests have in common.
            left_s: Duration of the block, in seconds.
        """
        blocked = [
            waiting
            for waiting in self._queue.list_all()
            if causes <= waiting.request.causes
        ]
        for waiting in blocked:
            self._queue.remove(waiting)
        return [
            self._make_reject(waiting, message.Reason.BLOCKED, left_s)
            for waiting in blocked
        ]

    def refuse_expired(self, now: float) -> list[owner_effect.SendToEntry]:
        """Refuses the requests past their deadline or refusal time."""
        return [
            self._refuse(waiting, _get_expiry_reason(waiting, now), now)
            for waiting in self._queue.list_expired(now)
        ]

    def refuse_late(self, now: float) -> list[owner_effect.SendToEntry]:
        """Refuses late requests that would wait in vain.

        Load pattern: a burst beyond capacity of some seconds.  Late requests
        are served after all that can still meet their objective.  They wait if
        the capacity that those leave suffices to serve them before they must be
        refused; otherwise an early refusal costs their callers less time.  A
        request that has already been attempted is not refused, as it may be
        resumed elsewhere.
        """
        in_time = self._queue.list_in_time()
        if not in_time:
            return []
        return [
            self._refuse(waiting, message.Reason.OVERLOADED, now)
            for waiting in self._list_in_vain(in_time, now)
            if not waiting.request.attempt
        ]

    def _list_in_vain(
        self, in_time: list[queue.QueuedRequest], now: float
    ) -> list[queue.QueuedRequest]:
        """Returns the late requests whose turn would come too late."""
        late = self._queue.list_late()
        spare = self._wait_estimator.estimate_spare(now)
        if not late or spare <= 0.0:
            return late
        estimate = self._wait_estimator.estimate_work
        ahead_s = sum(estimate(waiting.request) for waiting in in_time)
        in_vain: list[queue.QueuedRequest] = []
        for waiting in late:
            work_s = estimate(waiting.request)
            last_begin = min(waiting.refuse_at, waiting.deadline - work_s)
            if now + ahead_s / spare < last_begin:
                ahead_s += work_s
            else:
                in_vain.append(waiting)
        return in_vain

    def refuse_unreachable(
        self, waiting: queue.QueuedRequest, now: float
    ) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses a request whose entry can reach no server.

        Its caller may retry at another VM.  A stream whose release has no
        server is left to ``spill_over``, as the record of one may come late.
        """
        if self._lacks_release(waiting.request):
            return []
        if not self._fleet.eligibility.has_no_reachable_backend(
            waiting.request
        ) or self._fleet.eligibility.has_gateway(waiting, now):
            return []
        if self._may_find_zone(waiting, now):
            return []
        return [
            self._redirect_or_refuse(waiting, now, message.Reason.NO_BACKEND)
        ]

    def refuse_paused(
        self, candidates: Iterable[queue.QueuedRequest], now: float
    ) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses requests that cannot wait for a pause to end.

        This applies when all servers of a service refuse requests and ask the
        same VM for a pause.
        """
        return [
            self._redirect_or_refuse(waiting, now)
            for waiting in candidates
            if waiting.request.request_id in self._queue
            and now + self._fleet.eligibility.get_pause(waiting, now)
            > min(waiting.refuse_at, waiting.deadline)
        ]

    def make_room(
        self, newest: queue.QueuedRequest, now: float
    ) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses the excess after a request was queued."""
        out: list[owner_effect.SendToEntry] = []
        while self._queue.cost > self.queue_cost:
            victim = self._queue.pick_victim()
            if victim is None or len(self._queue) == 1:
                break
            out.append(self._redirect_or_refuse(victim, now))
        if newest.request.request_id not in self._queue:
            return out
        if self._cannot_meet_deadline(newest, now):
            reason = message.Reason.DEADLINE
            out.append(self._redirect_or_refuse(newest, now, reason))
        return [*out, *self.spill_over(now)]

    def spill_over(self, now: float) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses all requests if no backend server is usable.

        A new owner only redirects until it has had time to receive the
        summaries of the other zones.
        """
        if self._fleet.has_usable:
            return [
                *self._spill_restricted(now),
                *self._spill_without_release(now),
            ]
        is_starting = now - self._started_at <= STARTUP_GRACE_S
        lowest_first = sorted(self._queue.list_all(), key=lambda w: -w.rank)
        return [
            self._redirect_or_refuse(waiting, now, message.Reason.NO_BACKEND)
            for waiting in lowest_first
            if self._redirector.can_redirect(waiting)
            or not (
                is_starting or self._redirector.has_come_back(waiting.request)
            )
        ]

    def _spill_restricted(self, now: float) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses requests that no server's region allows."""
        return [
            effect
            for waiting in self._queue.list_all()
            if waiting.request.regions is not None
            for effect in self.refuse_unreachable(waiting, now)
        ]

    def _spill_without_release(
        self, now: float
    ) -> list[owner_effect.SendToEntry]:
        """Redirects or refuses streams whose release has no server left."""
        may_continue = functools.cache(self._may_continue)
        return [
            self._redirect_or_refuse(waiting, now, message.Reason.NO_RELEASE)
            for waiting in self._queue.list_all()
            if waiting.request.release is not None
            and now - waiting.since >= RELEASE_GRACE_S
            and not may_continue(waiting.request.release)
        ]

    def _lacks_release(self, request: message.RequestInfo) -> bool:
        return (
            request.release is not None
            and not self._fleet.eligibility.has_release(request.release)
        )

    def _may_continue(self, release_name: str) -> bool:
        """Returns whether some server may continue a release's streams."""
        return self._fleet.eligibility.has_release(
            release_name
        ) and self._releases.may_continue(release_name)

    def _is_release_gone(
        self, request: message.RequestInfo, now: float
    ) -> bool:
        """Returns whether a stream can no longer go on at its release.

        Without a server of any release, nothing has replaced it, and it comes
        back with its service.
        """
        name = request.release
        if name is None or not self._fleet.has_usable:
            return False
        if self._releases.is_rolled_back(name):
            return True
        if self._fleet.eligibility.has_release(name):
            return False
        seen_at = self._release_seen_at.setdefault(name, now)
        return (
            now - seen_at >= RELEASE_RETURN_S
            and not self._redirector.may_run_elsewhere(request, now)
        )

    def _may_find_zone(self, waiting: queue.QueuedRequest, now: float) -> bool:
        """Returns whether a summary of another zone is waited for."""
        if self._redirector.can_redirect(waiting):
            return False
        if self._redirector.has_come_back(waiting.request):
            return True
        is_starting = now - self._started_at <= STARTUP_GRACE_S
        return is_starting and self._redirector.may_find_zone(waiting.request)

    def _cannot_meet_deadline(
        self, waiting: queue.QueuedRequest, now: float
    ) -> bool:
        """Returns whether a request cannot meet its deadline.

        While requests of a lower tier are queued, a request is never refused
        early: it goes before all of them as soon as any engine has a free slot.
        Without a usable server there is nothing to estimate; ``spill_over``
        decides then.
        """
        if self._queue.has_lower(waiting.rank) or not self._fleet.has_usable:
            return False
        wait_s = self._wait_estimator.estimate_wait(waiting, now)
        return now + wait_s > waiting.deadline

    def _redirect_or_refuse(
        self,
        waiting: queue.QueuedRequest,
        now: float,
        reason: message.Reason = message.Reason.OVERLOADED,
    ) -> owner_effect.SendToEntry:
        """Redirects a request to a zone with capacity, or refuses it."""
        redirected = self._redirector.redirect(
            waiting, now, REDIRECT_REASONS[reason]
        )
        return redirected or self._refuse(waiting, reason, now)

    def _refuse(
        self, waiting: queue.QueuedRequest, reason: message.Reason, now: float
    ) -> owner_effect.SendToEntry:
        self._queue.remove(waiting)
        self._count_refusal(waiting.request, now)
        self.refund(waiting.request, waiting.counted_at)
        if not self._fleet.has_usable:
            reason = message.Reason.NO_BACKEND
        min_wait_s = MIN_RETRY_AFTER_S
        if reason in (message.Reason.NO_BACKEND, message.Reason.NO_RELEASE):
            min_wait_s = UNREACHABLE_RETRY_AFTER_S
        if not waiting.request.asks_again:
            self._refusals.add(waiting)
            self._wait_estimator.count_refusal(waiting, now)
        if self._is_release_gone(waiting.request, now):
            # It stays so for as long as the stream could be taken up.
            return self._make_reject(
                waiting, message.Reason.NO_RELEASE, stream_origin.SPAN_S
            )
        # During a pause of all entries, the queue is served after its end.
        pause_s = self._fleet.eligibility.get_shortest_pause(
            len(self._entries), now
        )
        wait_s = max(
            pause_s + self._wait_estimator.estimate_wait(waiting, now),
            pause_s + self._wait_estimator.estimate_retry_after(waiting, now),
        )
        is_overload = reason is message.Reason.OVERLOADED
        if is_overload and self._wait_estimator.is_overloaded(now):
            wait_s = max(wait_s, OVERLOAD_RETRY_AFTER_S)
        honored_s = (waiting.deadline - now) * HONORED_PART
        wait_s = max(min_wait_s, min(wait_s, honored_s))
        return self._make_reject(
            waiting, reason, min(wait_s, MAX_RETRY_AFTER_S)
        )

    def _recognize_retry(self, waiting: queue.QueuedRequest) -> None:
        first_try_at = self._refusals.take_first_try(waiting)
        if first_try_at is not None:
            waiting.count_from(first_try_at)
            self.counters.returned += 1

    def _make_reject(
        self,
        waiting: queue.QueuedRequest,
        reason: message.Reason,
        retry_s: float,
    ) -> owner_effect.SendToEntry:
        return owner_effect.SendToEntry(
            waiting.entry,
            message.Reject(
                waiting.request.request_id,
                reason,
                retry_s,
                waiting.request.asks_again,
            ),
            self._make_inputs(),
        )

    def _make_inputs(self) -> owner_effect.DecisionInputs:
        usable = [b for b in self._fleet.list_all() if not b.is_lost]
        return owner_effect.DecisionInputs(
            len(self._queue),
            sum(len(server.placed) for server in usable),
            sum(server.info.max_running for server in usable),
        )

    def _count_refusal(self, request: message.RequestInfo, now: float) -> None:
        if request.asks_again:
            self.counters.attempts_refused += 1
            return
        self.counters.shed += 1
        shed = self._shed.setdefault(
            request.tier, meter.RateMeter(SHED_WINDOW_S)
        )
        shed.add(1, now)


def _get_limit_cost(request: message.RequestInfo) -> int:
    """Returns the tokens a request uses of its customer's limit."""
    counted = request.limit_tokens
    return queue.compute_cost(request) if counted is None else counted


def _get_expiry_reason(
    waiting: queue.QueuedRequest, now: float
) -> message.Reason:
    """Returns the reason for refusing an expired request."""
    if waiting.deadline <= now:
        return message.Reason.DEADLINE
    return message.Reason.OVERLOADED

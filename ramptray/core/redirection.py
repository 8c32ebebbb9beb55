"""Decides which requests are redirected to other zones.

Load pattern: a region gets several times its usual load for seconds, or loses
its servers, while other regions have free slots.  A request that would miss its
objective here but meet it elsewhere is redirected; all others stay, as a
redirect costs several delays and bytes between regions.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable

import msgspec

from ramptray.core import (
    backend,
    fleet,
    message,
    meter,
    owner_effect,
    queue,
    remote_shards,
    selector,
    summary,
)

FAST_FACTOR = 1.5
"""Servers that are slower than the fastest one by more than this factor are not
offered to other zones: most requests would miss their objective on them."""

CAPACITY_MAX_AGE_S = 0.1
"""Time for which the local capacity is kept, in seconds, as computing it takes
a look at each server."""

GRANT_WINDOW_S = 3.0
"""Window over which the grants of each tier are counted, in seconds."""

WAIT_MARGIN = 6.0
"""Safety factor on the expected wait in the own zone.  Single waits vary by
several times, and a request that waits here until it is clear that it will be
late cannot be in time elsewhere any more."""

MAX_TIERS = 16
"""Most tiers whose waits are in a summary; lower ones wait as the last one."""

MAX_WAIT_S = 60.0
"""Longest wait in a summary, in seconds."""

MAX_REGIONS = 8
"""Most regions in a summary."""

MAX_RELEASES = 8
"""Most releases in a summary."""


class Reason(enum.Enum):
    """Why a request is redirected."""

    OBJECTIVE = "objective"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    NO_SERVER = "no_server"


class Capacity(msgspec.Struct, frozen=True):
    """Slots and speed of a shard's faster servers.

    Attributes:
        slots: Their slots.
        free_slots: Their free slots.
        prefill_rate: Prompt tokens per second of one; 0 if there is none.
        fixed_s: Fixed part of the time to a first token, in seconds.
        step_s: Time between two tokens, in seconds.
        regions: Regions of all usable servers.
        releases: Releases of all usable servers.
    """

    slots: int = 0
    free_slots: int = 0
    prefill_rate: float = 0.0
    fixed_s: float = 0.0
    step_s: float = 0.0
    regions: tuple[str, ...] = ()
    releases: tuple[str, ...] = ()

    def estimate_slot_wait(self, request: message.RequestInfo) -> float:
        """Estimates the seconds until one of the slots gets free."""
        if not self.slots or not self.prefill_rate:
            return 0.0
        first_s = self.fixed_s + request.prompt_tokens / self.prefill_rate
        return (first_s + self.step_s * request.output_tokens) / self.slots


def measure_capacity(
    servers: Iterable[backend.Backend], now: float
) -> Capacity:
    """Returns the capacity of a shard's faster servers.

    Args:
        servers: The shard's servers.
        now: The owner's clock in seconds.
    """
    usable = [s for s in servers if not s.is_lost and s.is_open(now)]
    if not usable:
        return Capacity()
    fastest = min(server.speed.factor for server in usable)
    fast = [s for s in usable if s.speed.factor <= FAST_FACTOR * fastest]
    taken = sum(len(s.placed) + s.foreign for s in fast)
    slots = sum(s.info.max_running for s in fast)
    return Capacity(
        slots,
        max(0, slots - taken),
        len(fast) / sum(s.speed.token_s for s in fast),
        sum(s.speed.fixed_s for s in fast) / len(fast),
        sum(s.step_s for s in fast) / len(fast),
        tuple(sorted({s.info.region for s in usable})[:MAX_REGIONS]),
        tuple(sorted({s.info.release for s in usable})[:MAX_RELEASES]),
    )


class Redirector:
    """Redirects queued requests of a shard to other zones.

    Args:
        zone: The shard's zone.
        shard_queue: The queue.
        servers: The shard's backend servers.
        server_selector: Knows which servers meet an objective.
        remotes: The same shard in other zones.
        started_at: When the owner took over, on its clock in seconds.

    Attributes:
        zones: Number of scheduling zones.
        counts: Requests redirected so far, by zone and reason.
    """

    def __init__(
        self,
        zone: str,
        shard_queue: queue.ShardQueue,
        servers: fleet.Fleet,
        server_selector: selector.Selector,
        remotes: remote_shards.RemoteShards,
        started_at: float,
    ) -> None:
        self.zones = 1
        self.counts: collections.Counter[tuple[str, Reason]] = (
            collections.Counter()
        )
        self._zone = zone
        self._queue = shard_queue
        self._fleet = servers
        self._started_at = started_at
        self._selector = server_selector
        self._remote = remotes
        self._granted: dict[int, meter.RateMeter] = {}
        self._capacity = Capacity()
        self._measured_at = -math.inf

    def redirect(
        self, waiting: queue.QueuedRequest, now: float, reason: Reason
    ) -> owner_effect.SendToEntry | None:
        """Redirects a request that cannot be served here, if possible.

        A request that was redirected here stays, unless there is no usable
        server for it: two overloaded zones would send it back and forth.
        """
        if reason is Reason.NO_SERVER:
            target = self._remote.pick(waiting)
        elif waiting.request.spilled_from:
            return None
        elif reason is Reason.OBJECTIVE:
            target = self._remote.pick_for_objective(waiting, now)
        else:
            target = self._remote.pick_for_deadline(waiting, now)
        return self._send(waiting, target, now, reason) if target else None

    def can_redirect(self, waiting: queue.QueuedRequest) -> bool:
        """Returns whether some zone has capacity for a request."""
        return self._remote.has_room(waiting)

    def list_remotes(self, now: float) -> list[summary.ShardSummary]:
        """Returns the summaries of the other zones with their present ages."""
        return self._remote.list_summaries(now)

    def may_find_zone(self, request: message.RequestInfo) -> bool:
        """Returns whether a zone not heard from yet may serve a request."""
        return self.zones > 1 and request.regions != ()

    def may_run_elsewhere(
        self, request: message.RequestInfo, now: float
    ) -> bool:
        """Returns whether another zone may have a server for a request.

        The zone may have no room now, or may not have been heard from yet.
        """
        remotes = self.list_remotes(now)
        return len(remotes) < self.zones - 1 or any(
            remote.allows(request) for remote in remotes
        )

    def has_come_back(self, request: message.RequestInfo) -> bool:
        """Returns whether a request was redirected from here in vain.

        The other zone's owner did not reply, and a new one may be known soon.
        """
        return self._zone in request.spilled_from

    def redirect_late(
        self,
        candidates: Iterable[queue.QueuedRequest],
        now: float,
        has_waited: bool = True,
    ) -> list[owner_effect.SendToEntry]:
        """Redirects requests that miss their objective here only.

        Higher tiers come first, as the capacity of other zones is limited; of
        a tier, the newest request does, which waits longest here.

        Args:
            candidates: Queued requests.
            now: The owner's clock in seconds.
            has_waited: Whether they remained in the queue when requests were
                granted last.
        """
        if not (self._remote.has_delays and self._fleet.has_usable):
            return []
        ordered = sorted(
            (w for w in candidates if not w.request.spilled_from),
            key=lambda waiting: (waiting.tier_rank, -waiting.since),
        )
        return [
            redirected
            for waiting in ordered
            if self._misses_here(waiting, now, has_waited)
            and (redirected := self.redirect(waiting, now, Reason.OBJECTIVE))
        ]

    def measure(self, now: float) -> Capacity:
        """Returns the capacity of this zone's faster servers."""
        if now - self._measured_at > CAPACITY_MAX_AGE_S:
            self._capacity = measure_capacity(self._fleet.list_all(), now)
            self._measured_at = now
        return self._capacity

    def count_grant(self, request: message.RequestInfo, now: float) -> None:
        """Counts a granted request."""
        rank = self._queue.get_rank(request)
        granted = self._granted.setdefault(
            rank, meter.RateMeter(GRANT_WINDOW_S)
        )
        granted.add(queue.compute_cost(request), now)

    def list_waits(self, now: float) -> tuple[float, ...]:
        """Returns the expected wait of a new request of each tier."""
        return tuple(
            round(min(MAX_WAIT_S, self._estimate_wait(rank, 0, now)), 3)
            for rank in range(min(MAX_TIERS, self._queue.tier_count))
        )

    def _estimate_wait(self, rank: int, own_cost: int, now: float) -> float:
        """Estimates the seconds until the requests before one are granted.

        Load pattern: an overload in which higher tiers take nearly all slots.
        By the cost queued before it, a request of a lower tier would be granted
        soon, but requests of higher tiers that arrive later go first.  So its
        tier's queue is divided by what its tier was granted lately.

        Args:
            rank: The request's tier.
            own_cost: The request's cost, if it is queued.
            now: The owner's clock in seconds.

        Returns:
            The time; infinite if requests of its tier wait and none is granted.
        """
        total = sum(
            granted.get_sum(now) / GRANT_WINDOW_S
            for granted in self._granted.values()
        )
        own = self._granted.get(rank)
        own_rate = own.get_sum(now) / GRANT_WINDOW_S if own else 0.0
        higher = sum(tier.cost for tier in self._queue.tiers[:rank])
        ahead = self._queue.tiers[rank].cost - own_cost
        wait_s = _divide(higher, total) + _divide(ahead, own_rate)
        if self._started_at + GRANT_WINDOW_S > now and wait_s == math.inf:
            return 0.0
        return wait_s

    def _misses_here(
        self, waiting: queue.QueuedRequest, now: float, has_waited: bool
    ) -> bool:
        if waiting.late_at <= now or waiting.late_at == math.inf:
            return False
        if waiting.is_late:
            return True
        wait_s = 0.0
        if has_waited:
            wait_s = self._estimate_wait(waiting.tier_rank, waiting.cost, now)
            wait_s += self.measure(now).estimate_slot_wait(waiting.request)
            wait_s *= WAIT_MARGIN
        return self._selector.cannot_meet_objective(waiting, now, wait_s)

    def _send(
        self,
        waiting: queue.QueuedRequest,
        target: summary.ShardSummary,
        now: float,
        reason: Reason,
    ) -> owner_effect.SendToEntry:
        self._queue.remove(waiting)
        self._remote.record_redirect(target.shard.zone, now)
        self.counts[target.shard.zone, reason] += 1
        capacity = self.measure(now)
        left_s = waiting.late_at - now
        return owner_effect.SendToEntry(
            waiting.entry,
            message.Redirect(
                waiting.request.request_id,
                target.shard.zone,
                target.owner,
                target.delay_s or 0.0,
                reason.value,
            ),
            owner_effect.DecisionInputs(
                len(self._queue),
                capacity.slots - capacity.free_slots,
                capacity.slots,
                left_s=None if left_s == math.inf else round(left_s, 4),
            ),
        )


def _divide(cost: int, rate: float) -> float:
    """Returns the seconds for a cost at a rate; infinite if none is served."""
    if cost <= 0:
        return 0.0
    return cost / rate if rate else math.inf

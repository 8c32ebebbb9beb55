"""A shard's queue: priority tiers with fair queueing by tokens in each."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from ramptray.core import message

OUTPUT_WEIGHT = 4
"""Cost of an output token in prompt tokens, as decoding is slower."""

MAX_SCANNED_REQUESTS = 64
"""Requests of a customer that are scanned for the first one that is not held,
of each entry, and of each binding."""

MAX_SCANNED_CUSTOMERS = 32
"""Customers of a tier that are scanned for requests that any server may run."""

MAX_ENTRY_HEADS = 4
"""Entries per customer whose first request is listed."""


class Binding(msgspec.Struct, frozen=True):
    """The servers that may run a request.

    Requests of different bindings wait for different servers, so they do not
    block each other.

    Attributes:
        release: The only release; None for any.
        regions: The only regions; None for any.
    """

    release: str | None
    regions: tuple[str, ...] | None


UNBOUND = Binding(None, None)


def compute_cost(request: message.RequestInfo) -> int:
    """Returns a request's cost in prompt tokens, for queueing and fairness."""
    return request.prompt_tokens + OUTPUT_WEIGHT * request.output_tokens


class QueuedRequest(msgspec.Struct):
    """A request in the queue.

    Attributes:
        request: The request's properties.
        entry: The entry that holds the caller's connection.
        rank: Its tier's rank.
        deadline: Time after which its response is useless.
        cost: Its cost, see ``compute_cost``.
        since: When it was queued.
        passed_over: Cost of the requests granted before it while it was first.
        late_at: When it misses its objective for the first token; infinite if
            it has none.
        refuse_at: When it is refused if it is still queued.
        is_late: Whether it was demoted behind all requests that can still meet
            their objective.
        counted_at: When this owner counted it against its customer's limit;
            None if it did not.
        tier_rank: Its tier's rank, also after it was demoted.
        asked_at: When its caller tried first, as far as this owner knows.
        is_retry: Whether this owner refused its caller before.
    """

    request: message.RequestInfo
    entry: str
    rank: int
    deadline: float
    cost: int
    since: float
    passed_over: int = 0
    late_at: float = math.inf
    refuse_at: float = math.inf
    is_late: bool = False
    counted_at: float | None = None
    tier_rank: int = 0
    asked_at: float = 0.0
    is_retry: bool = False

    def count_from(self, first_try_at: float) -> None:
        """Counts the objective of a retry from its caller's first try."""
        self.late_at -= self.asked_at - first_try_at
        self.asked_at = first_try_at
        self.is_retry = True

    @property
    def binding(self) -> Binding:
        """The servers that may run it."""
        return Binding(self.request.release, self.request.regions)

    @property
    def is_starved(self) -> bool:
        """Whether no other request may be granted before it any more.

        Requests of at least its own cost have then been granted before it.
        """
        return self.passed_over >= self.cost


class TierQueue:
    """The queued requests of one tier, scheduled fairly among customers.

    Start-time fair queueing over customers: the one that has used the fewest
    tokens relative to its weight goes first.  A customer that was idle starts
    at the current virtual time, so it cannot accumulate credit while idle.
    """

    def __init__(self) -> None:
        self.cost = 0
        self.count = 0
        self._queues: dict[
            str, collections.OrderedDict[str, QueuedRequest]
        ] = {}
        self._used: dict[str, float] = {}
        self._virtual_time = 0.0
        self._heap: list[tuple[float, str]] = []

    def push(self, waiting: QueuedRequest) -> None:
        """Adds a request behind its customer's others."""
        customer = waiting.request.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = collections.OrderedDict()
            used = max(self._used.get(customer, 0.0), self._virtual_time)
            self._used[customer] = used
            heapq.heappush(self._heap, (used, customer))
        queue[waiting.request.request_id] = waiting
        self.cost += waiting.cost
        self.count += 1

    def push_front(self, waiting: QueuedRequest) -> None:
        """Puts a request back at the head of its customer's queue."""
        self.push(waiting)
        queue = self._queues[waiting.request.customer]
        queue.move_to_end(waiting.request.request_id, last=False)

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request at any position."""
        customer = waiting.request.customer
        queue = self._queues[customer]
        del queue[waiting.request.request_id]
        if not queue:
            del self._queues[customer]
        self.cost -= waiting.cost
        self.count -= 1

    def charge(self, waiting: QueuedRequest, weight: float) -> None:
        """Charges a granted request to its customer.

        Args:
            waiting: The request.
            weight: The customer's weight.
        """
        customer = waiting.request.customer
        used = self._used.get(customer, self._virtual_time)
        self._virtual_time = max(self._virtual_time, used)
        self._used[customer] = used + waiting.cost / weight
        if customer in self._queues:
            heapq.heappush(self._heap, (self._used[customer], customer))
        if len(self._used) > 4 * len(self._queues) + 64:
            self._forget_idle()

    def list_heads(
        self,
        max_customers: int,
        is_held: Callable[[QueuedRequest], bool] | None = None,
        is_paused: Callable[[str], bool] | None = None,
    ) -> list[QueuedRequest]:
        """Returns the first requests of up to ``max_customers`` customers.

        They are in scheduling order, those bound to a release before others.
        Requests that are bound to a release or regions do not block those that
        other servers may run: of each customer, the first request of each
        binding is listed, up to the first one that any server may run.

        Args:
            max_customers: How many customers, for each binding.
            is_held: Returns whether a request may not be granted now; those
                behind it may.
            is_paused: Returns whether every server has asked an entry for a
                pause.  If given, up to ``MAX_ENTRY_HEADS`` unbound requests
                are listed per customer, the first of each entry that is not
                paused.
        """
        heads: list[QueuedRequest] = []
        listed: collections.Counter[Binding] = collections.Counter()
        taken: list[tuple[float, str]] = []
        while (
            self._heap
            and listed[UNBOUND] < max_customers
            and len(taken) < MAX_SCANNED_CUSTOMERS
        ):
            used, customer = heapq.heappop(self._heap)
            stale = used != self._used.get(customer)
            if stale or customer not in self._queues:
                continue
            if (used, customer) in taken:
                continue
            taken.append((used, customer))
            queued: Iterable[QueuedRequest] = itertools.islice(
                self._queues[customer].values(), MAX_SCANNED_REQUESTS
            )
            if is_held is not None:
                queued = itertools.filterfalse(is_held, queued)
            if is_paused is None:
                first = _list_binding_heads(queued)
            else:
                first = _list_entry_heads(queued, is_paused)
            heads += [w for w in first if listed[w.binding] < max_customers]
            listed.update({waiting.binding for waiting in first})
        for item in taken:
            heapq.heappush(self._heap, item)
        # A stream that goes on can use one release only, the others any.
        return sorted(heads, key=lambda head: head.request.release is None)

    def list_all(self) -> list[QueuedRequest]:
        """Returns every queued request, in order within each customer."""
        return [w for queue in self._queues.values() for w in queue.values()]

    def pick_victim(self) -> QueuedRequest | None:
        """Returns the request to shed first, or None.

        It is the newest one of the customer that has used the most tokens
        relative to its weight.
        """
        if not self._queues:
            return None
        customer = max(
            self._queues, key=lambda name: (self._used.get(name, 0.0), name)
        )
        return next(reversed(self._queues[customer].values()))

    def _forget_idle(self) -> None:
        self._used = {
            customer: used
            for customer, used in self._used.items()
            if customer in self._queues or used > self._virtual_time
        }


class ShardQueue:
    """All queued requests of a shard by tier, highest tier first.

    Args:
        ranks: Rank of each tier by name; 0 is the highest.
    """

    def __init__(self, ranks: dict[str, int]) -> None:
        self._waiting: dict[str, QueuedRequest] = {}
        self.tiers: list[TierQueue] = []
        self.set_ranks(ranks)

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    @property
    def cost(self) -> int:
        """Total cost of the queued requests."""
        return sum(tier.cost for tier in self.tiers)

    def set_ranks(self, ranks: dict[str, int]) -> None:
        """Applies the tiers of the bundle in force."""
        self._ranks = ranks
        count = max(ranks.values(), default=0) + 1
        ordered = [w for tier in self.tiers for w in tier.list_all()]
        self._tier_count = count
        self.tiers = [TierQueue() for _ in range(count)]
        for waiting in ordered:
            waiting.rank = self._get_rank(waiting.request)
            waiting.tier_rank = waiting.rank
            if waiting.is_late:
                waiting.rank = self._open_late_rank(waiting.rank)
            self.tiers[waiting.rank].push(waiting)

    def demote(self, waiting: QueuedRequest) -> None:
        """Moves a late request behind all requests that are not late.

        Late requests are ordered by tier among themselves.
        """
        self.tiers[waiting.rank].remove(waiting)
        waiting.is_late = True
        waiting.rank = self._open_late_rank(waiting.rank)
        self.tiers[waiting.rank].push(waiting)

    def _open_late_rank(self, rank: int) -> int:
        if len(self.tiers) == self._tier_count:
            self.tiers.extend(TierQueue() for _ in range(self._tier_count))
        return rank + self._tier_count

    def make(
        self, request: message.RequestInfo, entry: str, now: float
    ) -> QueuedRequest:
        """Returns a queue item for a request, without queueing it."""
        return QueuedRequest(
            request,
            entry,
            self._get_rank(request),
            deadline=now + request.deadline_s,
            cost=compute_cost(request),
            since=now,
            late_at=_add_optional(now, request.objective_s),
            refuse_at=_add_optional(now, request.wait_s),
            tier_rank=self._get_rank(request),
            asked_at=now,
        )

    @property
    def tier_count(self) -> int:
        """Number of tiers."""
        return self._tier_count

    def get_rank(self, request: message.RequestInfo) -> int:
        """Returns the rank of a request's tier."""
        return self._get_rank(request)

    def push(self, waiting: QueuedRequest) -> None:
        """Adds a request behind its customer's others."""
        self._waiting[waiting.request.request_id] = waiting
        self.tiers[waiting.rank].push(waiting)

    def push_front(self, waiting: QueuedRequest) -> None:
        """Puts a request back at the head of its customer's queue."""
        self._waiting[waiting.request.request_id] = waiting
        self.tiers[waiting.rank].push_front(waiting)

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request."""
        del self._waiting[waiting.request.request_id]
        self.tiers[waiting.rank].remove(waiting)

    def discard(self, request_id: str) -> QueuedRequest | None:
        """Removes and returns a request if it is queued."""
        if waiting := self._waiting.get(request_id):
            self.remove(waiting)
        return waiting

    def discard_entry(self, entry: str) -> list[QueuedRequest]:
        """Removes and returns all queued requests of an entry."""
        found = [w for w in self.list_all() if w.entry == entry]
        for waiting in found:
            self.remove(waiting)
        return found

    def list_all(self) -> list[QueuedRequest]:
        """Returns every queued request, in order of arrival."""
        return list(self._waiting.values())

    def list_late(self) -> list[QueuedRequest]:
        """Returns the late requests, highest tier first."""
        late = self.tiers[self._tier_count :]
        return [waiting for tier in late for waiting in tier.list_all()]

    def list_in_time(self) -> list[QueuedRequest]:
        """Returns the requests that are not late, highest tier first."""
        in_time = self.tiers[: self._tier_count]
        return [waiting for tier in in_time for waiting in tier.list_all()]

    def list_expired(self, now: float) -> list[QueuedRequest]:
        """Returns the requests that are past a deadline or refusal time."""
        return [
            w
            for w in self._waiting.values()
            if min(w.deadline, w.refuse_at) <= now
        ]

    def pick_victim(self) -> QueuedRequest | None:
        """Returns the request to shed first: one of the lowest tier."""
        victims = (tier.pick_victim() for tier in reversed(self.tiers))
        return next((v for v in victims if v is not None), None)

    def get_cost_ahead(self, waiting: QueuedRequest) -> int:
        """Returns an upper bound of the cost queued before a request."""
        ahead = sum(tier.cost for tier in self.tiers[: waiting.rank + 1])
        return ahead - waiting.cost

    def get_count_ahead(self, waiting: QueuedRequest) -> int:
        """Returns how many requests that are not late go before a request."""
        in_time = self.tiers[: self._tier_count]
        ahead = sum(tier.count for tier in in_time[: waiting.rank + 1])
        counted = not waiting.is_late and waiting.request.request_id in self
        return ahead - counted

    def has_lower(self, rank: int) -> bool:
        """Returns whether a request of a lower tier is queued."""
        return any(tier.count for tier in self.tiers[rank + 1 :])

    def _get_rank(self, request: message.RequestInfo) -> int:
        return self._ranks.get(request.tier, self._tier_count - 1)


def _list_binding_heads(queued: Iterable[QueuedRequest]) -> list[QueuedRequest]:
    """Returns a customer's first request of each binding.

    None is listed behind one that any server may run.
    """
    first: dict[Binding, QueuedRequest] = {}
    for waiting in queued:
        first.setdefault(waiting.binding, waiting)
        if UNBOUND in first:
            break
    return list(first.values())


def _list_entry_heads(
    queued: Iterable[QueuedRequest], is_paused: Callable[[str], bool]
) -> list[QueuedRequest]:
    """Returns the first request of each of a few entries of a customer.

    Of each entry these are the first one of each binding.
    """
    first: dict[tuple[str, Binding], QueuedRequest] = {}
    unbound = 0
    for waiting in queued:
        key = waiting.entry, waiting.binding
        if key in first or is_paused(waiting.entry):
            continue
        first[key] = waiting
        unbound += waiting.binding == UNBOUND
        if unbound >= MAX_ENTRY_HEADS:
            break
    return list(first.values())


def _add_optional(now: float, left_s: float | None) -> float:
    return math.inf if left_s is None else now + left_s

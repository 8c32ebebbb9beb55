"""Requests that wait in a shard: by tier, and fair by tokens within a tier."""

from __future__ import annotations

import collections
import dataclasses
import heapq

from ramptray.core import message

OUTPUT_WEIGHT = 4
"""Cost of an output token in prompt tokens: decoding is the slower part."""


def weigh(request: message.RequestInfo) -> int:
    """Returns a request's cost in prompt tokens, for queues and fairness."""
    return request.prompt_tokens + OUTPUT_WEIGHT * request.output_tokens


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in the queue.

    Attributes:
        request: Its facts.
        entry: The entry that has its caller.
        rank: Its tier's rank.
        arrived: When it arrived here.
        deadline: When its answer is of no more use.
        cost: Its cost.
        passed_over: Cost of requests that went before it since it was first.
    """

    request: message.RequestInfo
    entry: str
    rank: int
    arrived: float
    deadline: float
    cost: int
    passed_over: int = 0

    @property
    def is_starved(self) -> bool:
        """Whether no other may go before it any more."""
        return self.passed_over >= self.cost


class TierQueue:
    """The waiting requests of one tier, shared fairly among customers.

    Start-time fair queueing over customers: the one that has used the fewest
    tokens for its share goes first.  A customer that was idle starts at the
    current virtual time, so it cannot save up a claim on the whole service.
    """

    def __init__(self) -> None:
        self.cost = 0
        self.count = 0
        self._queues: dict[str, collections.OrderedDict[str, Waiting]] = {}
        self._used: dict[str, float] = {}
        self._virtual = 0.0
        self._heap: list[tuple[float, str]] = []

    def push(self, waiting: Waiting) -> None:
        """Adds a request behind its customer's others."""
        customer = waiting.request.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = collections.OrderedDict()
            used = max(self._used.get(customer, 0.0), self._virtual)
            self._used[customer] = used
            heapq.heappush(self._heap, (used, customer))
        queue[waiting.request.request_id] = waiting
        self.cost += waiting.cost
        self.count += 1

    def restore(self, waiting: Waiting) -> None:
        """Puts a request back at the head of its customer's queue."""
        self.push(waiting)
        queue = self._queues[waiting.request.customer]
        queue.move_to_end(waiting.request.request_id, last=False)

    def remove(self, waiting: Waiting) -> None:
        """Takes a request out, wherever it stands."""
        customer = waiting.request.customer
        queue = self._queues[customer]
        del queue[waiting.request.request_id]
        if not queue:
            del self._queues[customer]
        self.cost -= waiting.cost
        self.count -= 1

    def charge(self, waiting: Waiting, share: float) -> None:
        """Counts a granted request against its customer's share."""
        customer = waiting.request.customer
        used = self._used.get(customer, self._virtual)
        self._virtual = max(self._virtual, used)
        self._used[customer] = used + waiting.cost / share
        if customer in self._queues:
            heapq.heappush(self._heap, (self._used[customer], customer))
        if len(self._used) > 4 * len(self._queues) + 64:
            self._forget_idle()

    def list_heads(self, most: int) -> list[Waiting]:
        """Returns the first request of up to ``most`` customers, in order."""
        heads: list[Waiting] = []
        taken: list[tuple[float, str]] = []
        while self._heap and len(heads) < most:
            used, customer = heapq.heappop(self._heap)
            stale = used != self._used.get(customer)
            if stale or customer not in self._queues:
                continue
            if (used, customer) in taken:
                continue
            taken.append((used, customer))
            heads.append(next(iter(self._queues[customer].values())))
        for item in taken:
            heapq.heappush(self._heap, item)
        return heads

    def list_all(self) -> list[Waiting]:
        """Returns every waiting request, each customer's in order."""
        return [w for queue in self._queues.values() for w in queue.values()]

    def pick_victim(self) -> Waiting | None:
        """Returns the request to shed first, or None.

        It is the newest one of the customer furthest over its share.
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
            if customer in self._queues or used > self._virtual
        }

"""Memory and connections of an entry's callers."""

from __future__ import annotations

import abc
from collections.abc import Iterator

import anyio
from starlette import types

from ramptray import resources, steadyclock

COPIES = 3
"""How often an entry holds a body: as it came, decoded, and as it is sent."""

STEP_BYTES = 64 * 1024
"""Steps in which room is found for a body whose head names no length."""

_SCOPE_KEY = "ramptray.memory"

_ELEMENT_BYTES = {b",": 16, b"[": 56, b"{": 184, b'"': 25}
"""Memory that a decoded body takes for each of some characters, in bytes: a
place in a list or an object, a list, an object, and half of a string."""


class CrowdedError(Exception):
    """Others need the memory that a request takes or needs."""


class Connection(abc.ABC):
    """A caller's connection.

    Attributes:
        waits_since: Since when no request is being served on it, in seconds of
            the steady clock; None if one is.
        has_served: Whether it has carried a request.
    """

    waits_since: float | None
    has_served: bool

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection at once."""


class CallerPool(resources.ConnectionPool):
    """The connections and requests of an entry's callers.

    Args:
        budget: Divides the descriptors and the memory of the process.
    """

    def __init__(self, budget: resources.ResourceBudget) -> None:
        self._budget = budget
        self._connections: set[Connection] = set()
        self._requests: set[RequestMemory] = set()
        self._buffered_bytes = 0
        budget.add_pool("callers", self)

    @property
    def connection_count(self) -> int:
        """See the base class."""
        return len(self._connections)

    @property
    def buffered_bytes(self) -> int:
        """See the base class."""
        return self._buffered_bytes

    def list_resting(self) -> Iterator[resources.Resting]:
        """See the base class."""
        for connection in self._connections:
            if connection.waits_since is not None:
                yield resources.Resting(
                    resources.RestKind.KEPT
                    if connection.has_served
                    else resources.RestKind.INCOMPLETE,
                    connection.waits_since,
                    connection.abort,
                )

    def list_holders(self) -> Iterator[resources.Holder]:
        """See the base class."""
        return (
            resources.Holder(each.since, each.buffered_bytes, True, each.refuse)
            for each in self._requests
            if each.is_reading
        )

    def add(self, connection: Connection) -> bool:
        """Adds a connection; returns whether there is room for it."""
        self._budget.make_room_for_callers()
        self._connections.add(connection)
        return self.connection_count <= self._budget.max_connections

    def discard(self, connection: Connection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def open_request(self, scope: types.Scope) -> RequestMemory:
        """Returns the memory of a request, which counts until it is closed."""
        memory = RequestMemory(self)
        scope[_SCOPE_KEY] = memory
        self._requests.add(memory)
        return memory

    def close_request(self, memory: RequestMemory) -> None:
        """Counts the memory of a request as free."""
        self.release(memory)
        self._requests.discard(memory)

    def hold(self, memory: RequestMemory, size: int) -> None:
        """Counts memory that a request is about to take.

        Args:
            memory: What it takes already.
            size: How much that is going to be, in bytes.

        Raises:
            CrowdedError: There is no room.
        """
        added = size - memory.buffered_bytes
        if memory.is_refused or (
            added > 0
            and not self._budget.make_room_for_bytes(
                memory.buffered_bytes, added
            )
        ):
            raise CrowdedError
        if added > 0:
            memory.buffered_bytes += added
            self._buffered_bytes += added

    def release(self, memory: RequestMemory) -> None:
        """Counts the memory of a request as free, as it is refused."""
        self._buffered_bytes -= memory.buffered_bytes
        memory.buffered_bytes = 0


class RequestMemory:
    """What a request takes in memory.

    Args:
        pool: Where it counts.

    Attributes:
        buffered_bytes: How much it is, in bytes.
        since: When something last arrived, in seconds of the steady clock.
        is_reading: Whether its body is being read, so that it can be refused.
        is_refused: Whether it has been.
    """

    def __init__(self, pool: CallerPool) -> None:
        self.buffered_bytes = 0
        self.since = steadyclock.read()
        self.is_reading = False
        self.is_refused = False
        self._pool = pool
        self._head_cost = 0
        self._reading = anyio.CancelScope()

    def hold_head(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Counts a head.

        Raises:
            CrowdedError: There is no room.
        """
        size = sum(len(name) + len(value) for name, value in headers)
        self._head_cost = resources.compute_request_bytes(size, len(headers), 0)
        self._pool.hold(self, self._head_cost)

    def hold_body(self, size: int, decoded_bytes: int = 0) -> None:
        """Counts a body.

        Args:
            size: Its length as far as it is known, in bytes.
            decoded_bytes: What it takes beyond that when it is decoded.

        Raises:
            CrowdedError: There is no room.
        """
        self.since = steadyclock.read()
        cost = self._head_cost + COPIES * size + decoded_bytes
        self._pool.hold(self, cost)

    def begin_reading(self) -> anyio.CancelScope:
        """Returns a scope that is cancelled if the request is refused."""
        self.is_reading = True
        return self._reading

    def end_reading(self) -> None:
        """Marks that the whole body has arrived."""
        self.is_reading = False

    def refuse(self) -> None:
        """Refuses the request, whose memory others need."""
        self.is_refused = True
        self._pool.release(self)
        self._reading.cancel()


def get_memory(scope: types.Scope) -> RequestMemory:
    """Returns the memory of a request that was admitted."""
    memory: RequestMemory = scope[_SCOPE_KEY]
    return memory


def estimate_decoded_bytes(body: bytes) -> int:
    """Returns about what a JSON text takes when decoded, in bytes."""
    return sum(
        body.count(character) * size
        for character, size in _ELEMENT_BYTES.items()
    )

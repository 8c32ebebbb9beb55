"""Descriptors and memory of this process, and what may use them.

Connections on which nothing happens hold descriptors and memory that others
need.  When either runs short, those that have rested longest are closed first:
a connection at rest never keeps the process from accepting callers, from
reaching servers, other VMs and the store, or from answering probes.

A request counts with what it takes in memory, not with its bytes on the wire
(``compute_request_bytes``), and before these are read where its head names
them.  When memory runs short, the requests that take most are refused first.
"""

from __future__ import annotations

import abc
import contextlib
import ctypes
import enum
import gc
import heapq
import itertools
import logging
import os
import pathlib
import resource
from collections.abc import Callable, Iterable, Iterator

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

MAX_FILE_DESCRIPTORS = 200
"""Descriptors kept for files, or an eighth of all if that is less."""

PROCESS_DESCRIPTORS = 32
"""Descriptors for listening sockets, the event loop, probes and the store."""

LINK_PART = 4
"""One in this many descriptors is kept for links to other VMs."""

INCOMING_LINK_PART = 0.75
"""Part of these that links from other VMs may take: all VMs of a zone have one
to the VM that schedules for it."""

MIN_CONNECTIONS = 16
"""Connections that are allowed however few descriptors there are."""

HEADROOM_PART = 8
"""One in this many connections is kept for those to servers, and for callers
that are refused."""

MEGABYTE = 1_000_000

MEMORY_PART = 4
"""One in this many bytes of memory may hold callers' requests.  The program
takes about a sixth of a small VM, and connections up to a half."""

CONNECTION_MEMORY_PART = 2
"""One in this many bytes of memory may be taken by connections."""

CONNECTION_BYTES = 64 * 1024
"""Memory that a connection may take beside larger requests, in bytes: its
task and parser, bytes that nobody has read yet, here and in the kernel, and a
small request."""

SMALL_BYTES = 16 * 1024
"""Cost up to which a request is read however much memory others take, in
bytes, as it counts as part of its connection."""

HEADER_BYTES = 256
"""Memory that a header takes beside its characters, in bytes."""

COPY_BYTES = 128 * 1024
"""Part of a body that may exist twice, in bytes, while it is read or sent."""

SPARE_PART = 8
"""One in this many bytes that requests may take is used for what callers send
ahead beyond the usual, as it may as well stay in the kernel."""

RESIDENT_PART = 0.85
"""Part of the memory beyond which no room is left, whatever is counted: memory
that is free inside the process is not free for others."""

MIN_REQUESTS_PART = 16
"""One in this many bytes of memory may hold requests however much the rest of
the process takes."""

RESIDENT_INTERVAL_S = 0.1
"""Least time between two looks at the memory in use, in seconds."""

BATCH_PART = 64
"""One in this many connections is closed at a time, as finding those that have
rested longest takes a look at each."""

MIN_REST_S = 0.2
"""Time without an event from which on a connection rests, in seconds.  A caller
sends its request as soon as its connection is open."""

MAX_WAIT_S = 0.5
"""Time for which further callers wait while all connections serve others, in
seconds, before they are refused.  Requests often end sooner."""

WAIT_CHECK_INTERVAL_S = 0.02
"""Time between two looks for a free connection meanwhile, in seconds."""

CROWDED_S = 1.0
"""Time for which other callers are to be sent elsewhere after one had to be
refused, in seconds."""

LOG_INTERVAL_S = 1.0
"""Least time between two log lines about closed connections, in seconds."""

LARGE_BLOCK_BYTES = 128 * 1024
"""Size from which on blocks are returned as soon as they are free, in bytes."""

TRIM_PART = 0.5
"""Part of the memory from which on what is free inside the process is returned
to the system."""

TRIM_INTERVAL_S = 0.5
"""How often that is done, in seconds; it takes some milliseconds."""

_M_MMAP_THRESHOLD = -3
"""Option of ``mallopt``, see ``malloc.h``."""

_DESCRIPTORS = pathlib.Path("/proc/self/fd")
_MEMORY = pathlib.Path("/proc/self/statm")


class RestKind(enum.IntEnum):
    """Why a connection rests, in the order in which they are closed.

    Attributes:
        ANSWERED: It was closed after its last answer, and its other end has
            not closed it yet.
        INCOMPLETE: A request has not arrived, or not completely.
        KEPT: It is kept open after an answer.
        UNREAD: An answer is not read.
    """

    ANSWERED = 0
    INCOMPLETE = 1
    KEPT = 2
    UNREAD = 3


class Resting(msgspec.Struct, frozen=True):
    """A connection that waits for its other end.

    Attributes:
        kind: Why it rests.
        since: Time of the last event on it, in seconds of the steady clock.
        close: Closes it; it no longer counts from then on.
    """

    kind: RestKind
    since: float
    close: Callable[[], None]


class Holder(msgspec.Struct, frozen=True):
    """A request that takes memory and may have to give it up.

    Attributes:
        since: Time of the last event on its connection, in seconds of the
            steady clock.
        buffered_bytes: Memory that it takes, in bytes.
        is_incomplete: Whether it has not arrived completely, so that it can be
            refused; else its answer is not read.
        refuse: Refuses it, or cuts its answer; its memory no longer counts from
            then on.
    """

    since: float
    buffered_bytes: int
    is_incomplete: bool
    refuse: Callable[[], None]


class ConnectionPool(abc.ABC):
    """Connections of one kind."""

    @property
    @abc.abstractmethod
    def connection_count(self) -> int:
        """Number of descriptors that the connections hold."""

    @property
    def buffered_bytes(self) -> int:
        """Memory that requests take, in bytes."""
        return 0

    def list_resting(self) -> Iterable[Resting]:
        """Returns the connections that may be closed for others."""
        return ()

    def list_holders(self) -> Iterable[Holder]:
        """Returns the requests that may be refused for others' memory."""
        return ()


class ResourceBudget:
    """Divides the descriptors and the memory of the process.

    Args:
        max_descriptors: Descriptors that the process may have open.
        memory_mb: Memory that it may use, in megabytes.

    Attributes:
        max_buffered_bytes: Bytes that callers' requests may take.
        max_incoming_links: Number of links that other VMs may open.
        max_connections: Number of connections that all pools may have.
        max_with_callers: Number of connections up to which callers are
            accepted.
    """

    def __init__(self, max_descriptors: int, memory_mb: int) -> None:
        self.max_buffered_bytes = memory_mb * MEGABYTE // MEMORY_PART
        files = min(MAX_FILE_DESCRIPTORS, max_descriptors // 8)
        links = max_descriptors // LINK_PART
        self.max_incoming_links = int(INCOMING_LINK_PART * links)
        fitting = memory_mb * MEGABYTE // CONNECTION_MEMORY_PART
        self.max_connections = max(
            MIN_CONNECTIONS,
            min(
                max_descriptors - files - PROCESS_DESCRIPTORS - links,
                fitting // CONNECTION_BYTES,
            ),
        )
        headroom = self.max_connections // HEADROOM_PART
        self.max_with_callers = self.max_connections - headroom
        self._max_descriptors = max_descriptors
        self._memory_mb = memory_mb
        self._pools: dict[str, ConnectionPool] = {}
        self._closed = 0
        self._logged_at = -LOG_INTERVAL_S
        # Since when callers wait and too few connections rest; None if none do.
        self._waiting_since: float | None = None
        self._refusing_at = -CROWDED_S
        self._resident_bytes = 0
        self._resident_read_at = -RESIDENT_INTERVAL_S

    def add_pool(self, name: str, pool: ConnectionPool) -> None:
        """Adds connections that share the budget.

        Args:
            name: Their name in logs and metrics.
            pool: The connections.
        """
        self._pools[name] = pool

    @property
    def is_short(self) -> bool:
        """Whether further callers need descriptors of present ones."""
        return self._count_connections() >= self.max_with_callers

    @property
    def is_exceeded(self) -> bool:
        """Whether there are more callers than there is room for."""
        return self._count_connections() > self.max_with_callers

    def make_room_for_callers(self) -> float:
        """Closes resting connections if there are too many for one more caller.

        Returns:
            Seconds after which to call this again before the next caller is
            accepted; 0 if it may be accepted now, be it to be refused.
        """
        excess = self._count_connections() + 1 - self.max_with_callers
        if excess <= 0:
            return 0.0
        if self._close_longest_resting(excess) >= excess:
            self._waiting_since = None
            return 0.0
        now = steadyclock.read()
        if self._waiting_since is None:
            self._waiting_since = now
        if now - self._waiting_since >= MAX_WAIT_S:
            self._record_refusing(now)
            # Each that is to be refused holds a connection for a moment.
            if self._count_connections() < self.max_connections:
                return 0.0
        return WAIT_CHECK_INTERVAL_S

    def end_wait_of_callers(self) -> None:
        """Notes that all callers that were waiting have been accepted."""
        self._waiting_since = None

    def make_room_for_server(self) -> bool:
        """Closes resting connections if there are too many for one more.

        Returns:
            Whether a connection to a server may be opened.
        """
        excess = self._count_connections() + 1 - self.max_connections
        return excess <= 0 or self._close_longest_resting(excess) >= excess

    def relieve(self) -> None:
        """Closes resting connections, as no descriptor is left."""
        self._close_longest_resting(1)

    def is_crowded(self) -> bool:
        """Returns whether callers have to be refused for want of descriptors.

        Those that waited got none in time, neither one that rested nor one
        whose request had ended.
        """
        if steadyclock.read() - self._refusing_at >= CROWDED_S:
            return False
        resting = sum(1 for _ in self._list_old())
        return self._count_connections() - resting >= self.max_with_callers

    def make_room_for_bytes(self, held_bytes: int, added_bytes: int) -> bool:
        """Refuses the costliest requests if all take too much memory.

        Incomplete ones that take more than the one that asks are refused, and
        all that rest.

        Args:
            held_bytes: Memory that a request takes already.
            added_bytes: Memory that it needs beyond that.

        Returns:
            Whether the request may take it.
        """
        cost = held_bytes + added_bytes
        if cost <= SMALL_BYTES:
            return True
        buffered = self._count_buffered()
        excess = buffered + added_bytes - self._compute_room(buffered)
        if excess <= 0:
            return True
        latest = steadyclock.read() - MIN_REST_S
        holders = sorted(
            (
                each
                for each in self._list_holders()
                if each.buffered_bytes > SMALL_BYTES
                and (
                    each.since <= latest
                    or (each.is_incomplete and each.buffered_bytes > cost)
                )
            ),
            key=_get_refusal_order,
        )
        if sum(each.buffered_bytes for each in holders) < excess:
            return self._is_only_large(held_bytes, cost)
        excess += self.max_buffered_bytes // BATCH_PART
        refused = 0
        for each in holders:
            if excess <= 0:
                break
            excess -= each.buffered_bytes
            refused += 1
            each.refuse()
        self._record_closed(refused, "memory")
        return True

    def has_spare_room(self, added_bytes: int) -> bool:
        """Returns whether a connection may take more than it has to."""
        buffered = self._count_buffered()
        spare = self._compute_room(buffered) // SPARE_PART
        return buffered + added_bytes <= spare

    def _is_only_large(self, held_bytes: int, cost: int) -> bool:
        """Returns whether a request may exceed the part of requests.

        It may while all others together are small, as far as the process has
        memory left.

        Args:
            held_bytes: Memory that it takes already.
            cost: Memory that it is going to take.
        """
        buffered = self._count_buffered()
        others = buffered - held_bytes
        rest = max(0, self._resident_bytes - held_bytes)
        return (
            others <= self.max_buffered_bytes // BATCH_PART
            and rest + cost <= RESIDENT_PART * self._memory_mb * MEGABYTE
        )

    def _compute_room(self, buffered: int) -> int:
        """Returns how many bytes requests may take altogether.

        Args:
            buffered: How many they take.
        """
        now = steadyclock.read()
        if now - self._resident_read_at >= RESIDENT_INTERVAL_S:
            self._resident_read_at = now
            self._resident_bytes = _read_resident_bytes() or 0
        memory = self._memory_mb * MEGABYTE
        rest = max(0, self._resident_bytes - buffered)
        room = min(self.max_buffered_bytes, int(RESIDENT_PART * memory) - rest)
        return max(memory // MIN_REQUESTS_PART, room)

    async def run(self) -> None:
        """Returns free memory to the system while much is in use.

        Buffers that were freed lie between objects that stay, so that the
        allocator does not return them by itself.
        """
        while True:
            await anyio.sleep(TRIM_INTERVAL_S)
            resident = _read_resident_bytes() or 0
            if resident >= TRIM_PART * self._memory_mb * MEGABYTE:
                with contextlib.suppress(OSError, AttributeError):
                    ctypes.CDLL(None).malloc_trim(0)

    def describe(self) -> dict[str, int]:
        """Returns the limits and what each pool holds, for logs."""
        return {
            "max_connections": self.max_connections,
            "buffered_bytes": self._count_buffered(),
            **self._count_by_pool(),
        }

    def list_gauges(self) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        counts = self._count_by_pool()
        total = _count_descriptors()
        if total is not None:
            counts["other"] = max(0, total - sum(counts.values()))
        for name, count in counts.items():
            yield metrics.Gauge("descriptors", {"user": name}, count)
        yield metrics.Gauge("max_descriptors", {}, self._max_descriptors)
        yield metrics.Gauge("max_connections", {}, self.max_connections)
        yield metrics.Gauge("resting_connections_closed", {}, self._closed)
        yield metrics.Gauge("buffered_bytes", {}, self._count_buffered())
        yield metrics.Gauge("max_buffered_bytes", {}, self.max_buffered_bytes)
        resident = _read_resident_bytes()
        if resident is not None:
            yield metrics.Gauge("resident_bytes", {}, resident)
        yield metrics.Gauge("max_memory_bytes", {}, self._memory_mb * MEGABYTE)

    def _count_by_pool(self) -> dict[str, int]:
        return {
            name: pool.connection_count for name, pool in self._pools.items()
        }

    def _count_connections(self) -> int:
        return sum(pool.connection_count for pool in self._pools.values())

    def _count_buffered(self) -> int:
        return sum(pool.buffered_bytes for pool in self._pools.values())

    def _list_resting(self) -> Iterator[Resting]:
        return itertools.chain.from_iterable(
            pool.list_resting() for pool in self._pools.values()
        )

    def _list_holders(self) -> Iterator[Holder]:
        return itertools.chain.from_iterable(
            pool.list_holders() for pool in self._pools.values()
        )

    def _list_old(self) -> Iterator[Resting]:
        """Yields the connections that have rested for long enough."""
        latest = steadyclock.read() - MIN_REST_S
        return (each for each in self._list_resting() if each.since <= latest)

    def _close_longest_resting(self, needed: int) -> int:
        """Closes connections, some more than needed; returns how many."""
        batch = max(needed, self.max_connections // BATCH_PART)
        chosen = heapq.nsmallest(
            batch, self._list_old(), key=_get_closing_order
        )
        for each in chosen:
            each.close()
        self._record_closed(len(chosen), "descriptors")
        return len(chosen)

    def _record_refusing(self, now: float) -> None:
        """Notes that callers are refused; logs the first one of a series."""
        if now - self._refusing_at >= CROWDED_S:
            LOG.warning(
                "callers refused, all connections serve others",
                extra=self.describe(),
            )
        self._refusing_at = now

    def _record_closed(self, count: int, short_of: str) -> None:
        """Counts closed connections and logs them, at most once a second."""
        self._closed += count
        now = steadyclock.read()
        if count and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            LOG.warning(
                "resting connections closed",
                extra={
                    "short_of": short_of,
                    "closed": self._closed,
                    **self.describe(),
                },
            )


def _get_closing_order(resting: Resting) -> tuple[int, float]:
    return resting.kind, resting.since


def _get_refusal_order(holder: Holder) -> tuple[int, float]:
    return -holder.buffered_bytes, holder.since


def compute_request_bytes(
    head_bytes: int, header_count: int, body_bytes: int
) -> int:
    """Returns the memory that a request takes until it has been answered.

    Args:
        head_bytes: Size of its head, in bytes.
        header_count: Number of its headers.
        body_bytes: Size of its body, in bytes.
    """
    head = head_bytes + header_count * HEADER_BYTES
    return head + body_bytes + min(body_bytes, COPY_BYTES)


def raise_descriptor_limit(configured: int) -> int:
    """Allows this process as many descriptors as its settings do.

    Args:
        configured: Limit of its machine's settings.

    Returns:
        How many it may have open; less if the system allows fewer.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = configured
    if hard != resource.RLIM_INFINITY:
        wanted = min(configured, hard)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        return wanted
    return soft


def prepare_heap() -> None:
    """Has what callers leave behind freed soon; called once all is loaded.

    Collections that leave out the objects of the loaded program are short and
    come more often: asyncio's closed connections are cycles.

    glibc raises its limit for blocks of their own with each that is freed, so
    that bodies of requests would come to lie between objects that stay.
    """
    gc.freeze()
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)


def _count_descriptors() -> int | None:
    """Returns how many descriptors are open; None if it cannot be read."""
    try:
        return sum(1 for _ in _DESCRIPTORS.iterdir())
    except OSError:
        return None


def _read_resident_bytes() -> int | None:
    """Returns the memory in use; None if it cannot be read."""
    try:
        pages = int(_MEMORY.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")

"""Remembers which release began a stream, on several VMs.

A VM that forwards a stream's first event tells some other VMs and the store
before, and a VM at which a caller resumes the stream asks them.  Without an
answer the origin is unknown; it is never guessed.
"""

from __future__ import annotations

import collections
import logging
from collections.abc import Iterable, Iterator, Sequence

import anyio
import anyio.abc
import msgspec

from ramptray import deadline, steadyclock
from ramptray.caller import metrics
from ramptray.core import (
    membership,
    release_history,
    route_history,
    stream_origin,
)
from ramptray.entry import origin_backup, origin_search
from ramptray.log import originlog
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.1
"""How long a first event is held back until other VMs and the store keep its
origin, in seconds.  In one region VMs confirm within a few milliseconds."""

MIN_CONFIRMATIONS = 2
"""Number of VMs that must keep the origin before the first event is forwarded:
with the VM that serves the stream, two may be lost at once."""

ASK_TIMEOUT_S = 0.5
"""Timeout of a message to another VM, in seconds."""

RETRY_SILENT_S = 1.0
"""Time after which a VM that did not answer is tried again, in seconds."""

RESEND_INTERVAL_S = 1.0
"""Interval of the checks for origins that too few VMs keep, in seconds."""

MAX_BATCH = 256
"""Number of origins in one message."""

MAX_PENDING = 2048
"""Number of origins that wait for one VM; the oldest are dropped."""


class Finding(msgspec.Struct, frozen=True):
    """What is known of how a stream began.

    Attributes:
        source: How it is known, or why it is not.
        origin: What began the stream; None if that is not known for certain.
        is_complete: Whether all VMs that might know have answered.
    """

    source: stream_origin.Source
    origin: stream_origin.Origin | None = None
    is_complete: bool = True


class _Outbox(msgspec.Struct):
    """Origins for one VM.

    Attributes:
        pending: Keys of the origins to send.
        is_sending: Whether a message is under way.
        sent_at: When it was sent.
        silent_since: When the VM first failed to answer; None if it answers.
    """

    pending: dict[bytes, None] = msgspec.field(default_factory=dict)
    is_sending: bool = False
    sent_at: float = 0.0
    silent_since: float | None = None

    def is_responsive(self, now: float) -> bool:
        """Returns whether an answer may be expected within milliseconds."""
        if self.silent_since is not None:
            return False
        return not self.is_sending or now - self.sent_at < CONFIRM_TIMEOUT_S


class _Run(msgspec.Struct, frozen=True):
    """A run of a VM's program; what it keeps ends with it."""

    address: str
    incarnation: int


class _OwnStream(msgspec.Struct):
    """A stream that this VM serves or has served.

    Attributes:
        origin: Its origin.
        until: When its origin need not be kept any more.
        keepers: The runs of VMs that keep its origin.
        changed: Set when a VM confirms that it does, or a write has ended.
        is_backed_up: Whether it was given to the backup, too.
    """

    origin: stream_origin.Origin
    until: float
    keepers: set[_Run] = msgspec.field(default_factory=set)
    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)
    is_backed_up: bool = False


class OriginStore:
    """Keeps the origins of streams here and at other VMs.

    Origins are not sent while one release alone is certain to have served:
    other VMs can tell as well, and each message costs processor time.

    Args:
        address: Address of this VM's scheduler.
        client: Sends requests to other VMs.
        history: The releases that have served.
        log: Keeps origins when all VMs are lost; None for nothing.
        routes: The services that routes have led to; None if they never lead
            to others.
    """

    def __init__(
        self,
        address: str,
        client: peer_link.Asker,
        history: release_history.ReleaseHistory,
        log: originlog.OriginLog | None = None,
        routes: route_history.RouteHistory | None = None,
    ) -> None:
        self._address = address
        self._client = client
        self._history = history
        self._routes = routes or route_history.RouteHistory()
        self._table = stream_origin.OriginTable()
        self._backup = (
            None
            if log is None
            else origin_backup.OriginBackup(log, self._merge_stored, self._wake)
        )
        self._keepers: list[membership.Member] = []
        self._others: dict[str, str] = {}
        # The runs of the live members, by address.
        self._runs: dict[str, _Run] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._own: dict[bytes, _OwnStream] = {}
        self._searcher = origin_search.OriginSearcher(client)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Sends origins to other VMs until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._searcher.run)
                if self._backup is not None:
                    tasks.start_soon(self._backup.run)
                while True:
                    await anyio.sleep(RESEND_INTERVAL_S)
                    self._resend(steadyclock.read())
        finally:
            self._tasks = None

    def update_members(
        self,
        members: Sequence[membership.Member],
        others: Sequence[membership.Member],
    ) -> None:
        """Applies a view of the membership.

        Origins are sent to VMs that keep them in place of lost ones.

        Args:
            members: Live members of the scheduling zone.
            others: Some live members of each other zone.
        """
        if self._backup is not None:
            self._backup.set_vms(len(members))
        keepers = stream_origin.list_keepers(members)
        self._others = {member.zone: member.address for member in others}
        if keepers == self._keepers:
            return
        self._keepers = keepers
        self._runs = {
            member.address: _Run(member.address, member.incarnation)
            for member in members
        }
        self._outboxes = {
            address: outbox
            for address, outbox in self._outboxes.items()
            if address in self._runs
        }
        self._resend(steadyclock.read())

    def update_releases(self) -> None:
        """Sends what was not sent so far if further releases are listed."""
        self._resend(steadyclock.read())

    def save_all(self) -> None:
        """Has the store keep all origins again, as it may have lost some."""
        now = steadyclock.read()
        for key, own in self._own.items():
            if own.is_backed_up:
                own.is_backed_up = False
                self._back_up(key, own, now)

    async def record(
        self, key: bytes, origin: stream_origin.Origin, retention_s: float
    ) -> bool:
        """Records what begins a stream, before its first event is forwarded.

        Args:
            key: The stream's key.
            origin: Its origin.
            retention_s: Seconds for which it is kept.

        Returns:
            Whether enough other VMs keep it.
        """
        own = self._add(key, origin, retention_s)
        now = steadyclock.read()
        if self._is_only(origin, now):
            return True
        targets = self._send_to_keepers(key, own, now)
        with deadline.move_on_after(CONFIRM_TIMEOUT_S):
            while len(own.keepers) < min(
                MIN_CONFIRMATIONS, targets
            ) or self._is_write_awaited(key):
                own.changed = anyio.Event()
                await own.changed.wait()
        others = sum(m.address != self._address for m in self._keepers)
        is_confirmed = len(own.keepers) >= min(MIN_CONFIRMATIONS, others)
        self._counts["confirmed" if is_confirmed else "unconfirmed"] += 1
        if self._backup is not None and not self._backup.is_stored(key):
            self._counts["unstored"] += 1
        return is_confirmed

    def prolong(
        self, key: bytes, origin: stream_origin.Origin, retention_s: float
    ) -> None:
        """Keeps the origin of a stream that goes on for longer.

        Args:
            key: The stream's key.
            origin: Its origin.
            retention_s: Seconds for which it is kept.
        """
        own = self._add(key, origin, retention_s)
        now = steadyclock.read()
        if not self._is_only(origin, now):
            self._send_to_keepers(key, own, now)

    async def find(self, key: bytes) -> Finding:
        """Returns what this VM and others know of how a stream began."""
        is_kept = bool(self._table.find(key, steadyclock.read()))
        origins, is_complete = await self._search(key)
        if len(origins) > 1:
            return Finding(
                stream_origin.Source.AMBIGUOUS, is_complete=is_complete
            )
        if not origins:
            return Finding(
                stream_origin.Source.UNKNOWN, is_complete=is_complete
            )
        source = stream_origin.Source.PEER
        if is_kept:
            source = stream_origin.Source.KEPT
        return Finding(source, origins[0])

    async def _search(
        self, key: bytes
    ) -> tuple[tuple[stream_origin.Origin, ...], bool]:
        """Returns a stream's origins, and whether all VMs have answered."""
        kept = self._table.find(key, steadyclock.read())
        addresses = [
            member.address
            for member in stream_origin.rank_keepers(key, self._keepers)
            if member.address != self._address
        ]
        search = await self._searcher.search(
            addresses[: stream_origin.ASKED_COPIES], key, bool(kept)
        )
        origins = stream_origin.join_answers([kept, *search.found])
        return origins, search.is_complete

    def keep(
        self, request: peer_message.KeepOrigins
    ) -> peer_message.OriginsKept:
        """Keeps the origins that another VM sends.

        Returns:
            The records whose keys have several origins.
        """
        now = steadyclock.read()
        ambiguous = [
            record.key
            for record in request.records
            if len(self._table.merge(record, now)) > 1
        ]
        return peer_message.OriginsKept(
            self._table.list_records(now, ambiguous)
        )

    async def answer(
        self, request: peer_message.FindOrigin
    ) -> peer_message.FoundOrigin:
        """Returns what this VM, or its zone, knows of a stream."""
        if request.asks_zone:
            origins, _ = await self._search(request.key)
            return peer_message.FoundOrigin(origins)
        return peer_message.FoundOrigin(
            self._table.find(request.key, steadyclock.read())
        )

    async def find_in_other_zones(self, key: bytes) -> Finding:
        """Returns what one VM of each other zone finds out about a stream."""
        search = await self._searcher.search_zones(
            list(self._others.values()), key
        )
        origins = stream_origin.join_answers(search.found)
        if len(origins) == 1:
            return Finding(stream_origin.Source.PEER, origins[0])
        source = stream_origin.Source.UNKNOWN
        if origins:
            source = stream_origin.Source.AMBIGUOUS
        return Finding(source, is_complete=search.is_complete)

    async def find_stored(self, key: bytes) -> Finding:
        """Returns what the store knows of a stream that no VM knows."""
        if self._backup is None:
            return Finding(stream_origin.Source.UNKNOWN)
        has_answered = await self._backup.read()
        origins = self._table.find(key, steadyclock.read())
        if len(origins) == 1:
            return Finding(stream_origin.Source.STORED, origins[0])
        source = stream_origin.Source.UNKNOWN
        if origins:
            source = stream_origin.Source.AMBIGUOUS
        return Finding(source, is_complete=has_answered)

    async def hand_over(self) -> None:
        """Sends all origins kept here to the VMs that keep them from now on."""
        now = steadyclock.read()
        for record in self._table.list_records(now):
            for address in self._pick_keepers(record.key, now):
                self._enqueue(address, record.key)
        with anyio.move_on_after(ASK_TIMEOUT_S):
            while any(box.is_sending for box in self._outboxes.values()):
                await anyio.sleep(CONFIRM_TIMEOUT_S / 4)

    def list_gauges(self) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        yield metrics.Gauge("stream_origins", {}, len(self._table))
        yield metrics.Gauge("stream_origins_dropped", {}, self._table.dropped)
        for state in ("confirmed", "unconfirmed", "unstored"):
            labels = {"state": state}
            yield metrics.Gauge("streams_recorded", labels, self._counts[state])
        for source in stream_origin.Source:
            labels = {"source": source.value}
            yield metrics.Gauge(
                "streams_resumed", labels, self._counts[source.value]
            )

    def count_resumed(self, source: stream_origin.Source) -> None:
        """Counts a resumed stream by how its origin is known."""
        self._counts[source.value] += 1

    def _add(
        self, key: bytes, origin: stream_origin.Origin, retention_s: float
    ) -> _OwnStream:
        """Keeps the origin of a stream that this VM serves."""
        now = steadyclock.read()
        record = stream_origin.OriginRecord(key, (origin,), retention_s)
        self._table.merge(record, now)
        own = self._own[key] = _OwnStream(origin, now + retention_s)
        return own

    def _merge_stored(self, record: stream_origin.OriginRecord) -> None:
        self._table.merge(record, steadyclock.read())

    def _back_up(self, key: bytes, own: _OwnStream, now: float) -> None:
        """Has the store keep an origin, once."""
        if self._backup is None or own.is_backed_up:
            return
        own.is_backed_up = True
        for record in self._table.list_records(now, [key]):
            self._backup.enqueue(record)

    def _is_write_awaited(self, key: bytes) -> bool:
        return self._backup is not None and self._backup.is_awaited(key)

    def _wake(self, keys: Iterable[bytes]) -> None:
        """Continues the streams that wait for the store."""
        for key in keys:
            if own := self._own.get(key):
                own.changed.set()

    def _is_only(self, origin: stream_origin.Origin, now: float) -> bool:
        """Returns whether no other release or service can have begun a stream.

        Other VMs then know it without being told.
        """
        if self._routes.has_moved(origin.service, stream_origin.SPAN_S, now):
            return False
        only = self._history.find_only(
            origin.service, stream_origin.SPAN_S, now
        )
        return only == origin.release

    def _pick_keepers(self, key: bytes, now: float) -> list[str]:
        """Returns the addresses of the VMs that are to keep an origin.

        VMs that do not answer are passed over for a while.
        """
        ranked = (
            member.address
            for member in stream_origin.rank_keepers(key, self._keepers)
            if member.address != self._address
        )
        responsive = [
            address
            for address in ranked
            if self._get_outbox(address).is_responsive(now)
        ]
        return responsive[: stream_origin.COPIES]

    def _send_to_keepers(self, key: bytes, own: _OwnStream, now: float) -> int:
        """Sends an origin to its keepers that do not have it yet.

        Returns:
            The number of VMs that are to keep it.
        """
        self._back_up(key, own, now)
        chosen = self._pick_keepers(key, now)
        for address in chosen:
            if self._get_run(address) not in own.keepers:
                self._enqueue(address, key)
        return len(chosen)

    def _resend(self, now: float) -> None:
        """Sends origins of own streams that their keepers do not have."""
        for outbox in self._outboxes.values():
            since = outbox.silent_since
            if since is not None and now - since > RETRY_SILENT_S:
                outbox.silent_since = None
        self._own = {
            key: own for key, own in self._own.items() if own.until > now
        }
        live = set(self._runs.values())
        for key, own in self._own.items():
            is_kept = len(own.keepers & live) >= stream_origin.COPIES
            if not is_kept and not self._is_only(own.origin, now):
                self._send_to_keepers(key, own, now)

    def _get_run(self, address: str) -> _Run:
        return self._runs.get(address, _Run(address, 0))

    def _get_outbox(self, address: str) -> _Outbox:
        return self._outboxes.setdefault(address, _Outbox())

    def _enqueue(self, address: str, key: bytes) -> None:
        outbox = self._get_outbox(address)
        outbox.pending[key] = None
        if len(outbox.pending) > MAX_PENDING:
            del outbox.pending[next(iter(outbox.pending))]
        if not outbox.is_sending and self._tasks is not None:
            outbox.is_sending = True
            self._tasks.start_soon(self._send_pending, address, outbox)

    async def _send_pending(self, address: str, outbox: _Outbox) -> None:
        """Sends what is pending for a VM; at most one message at a time."""
        try:
            await self._send_batches(address, outbox)
        finally:
            outbox.is_sending = False

    async def _send_batches(self, address: str, outbox: _Outbox) -> None:
        while outbox.pending:
            now = outbox.sent_at = steadyclock.read()
            keys = list(outbox.pending)[:MAX_BATCH]
            for key in keys:
                del outbox.pending[key]
            request = peer_message.KeepOrigins(
                self._table.list_records(now, keys)
            )
            try:
                answer = await self._client.ask(address, request, ASK_TIMEOUT_S)
            except peer_link.LinkError as error:
                LOG.debug("origins not sent: %s", error)
                answer = None
            if not isinstance(answer, peer_message.OriginsKept):
                outbox.silent_since = steadyclock.read()
                outbox.pending.clear()
                break
            self._confirm(address, keys, answer)

    def _confirm(
        self,
        address: str,
        keys: list[bytes],
        answer: peer_message.OriginsKept,
    ) -> None:
        now = steadyclock.read()
        run = self._get_run(address)
        for record in answer.ambiguous:
            self._table.merge(record, now)
        for key in keys:
            if own := self._own.get(key):
                own.keepers.add(run)
                own.changed.set()

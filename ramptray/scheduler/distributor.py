"""Distributes the log's keyed streams from VM to VM.

Load pattern: hundreds of VMs need each change within one or two seconds.  If
every VM read the log, each change would cost one call per VM and would transfer
large values in full, even over the slowest link.  Instead a few VMs read the
log (``core.distribution``) and send changes on to the others as differences.  A
VM that receives no updates for a while reads the log itself; the VMs of a zone
start doing so one after the other.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence

import anyio
import anyio.abc
import msgspec

from ramptray import deadline, steadyclock
from ramptray.core import distribution, membership, propagation
from ramptray.log import keyedstream
from ramptray.log import mirror as mirrors
from ramptray.log import reader as log_reader
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

POLL_WAIT_S = 1.3
"""How long a request to another VM may wait for updates, in seconds.  That VM
learns the log's state once a second and answers at once."""

ANSWER_MARGIN_S = 0.4
"""Time allowed for an answer beyond its wait, in seconds: enough to transfer
200 KB over a link of 5 Mbit/s, or for a VM that is short of CPU time."""

RETRY_PAUSE_S = 0.3
"""Pause after an answer without anything new, in seconds, so that a VM that
lags behind or sends wrong data is not polled in a tight loop.  The other source
is polled meanwhile."""

SECOND_SOURCE_AGE_S = 1.2
"""Age of the last update at which the second source is polled too, in seconds.
The first one sends an update once a second.  Polling both all the time would
double the requests of an idle VM."""

SECOND_SOURCE_LAG_S = 0.1
"""How long known records may be missing before the second source is polled too,
in seconds: short enough for its answer to arrive before this VM reads the log
itself."""

MAX_LAG_S = 0.4
"""How long known records may be missing before a VM reads the log itself, in
seconds.  Reading the log transfers whole values, while another VM sends only
the differences.  A replica may be kept for 1.6 s after its record's removal is
learned, and must get no more work two seconds after the removal."""

MIN_AGE_GAIN_S = 0.5
"""By how much the log's state must be more recent than the requester's for an
answer without records, in seconds.  Readers learn the state once a second."""

UNKNOWN_AGE_S = 1e6
"""Age that is sent while the log's state is unknown, in seconds."""

MAX_CHECK_INTERVAL_S = 1.0
"""Longest such interval, in seconds; nothing becomes due sooner."""

FIRST_START_WAIT_S = 3.0
"""How long a VM waits for updates from another one when the whole deployment
starts for the first time, in seconds.  There are no callers yet, and if every
VM read the log, these would be most of the calls of a quiet day."""

ChangesReader = log_reader.StreamReader[keyedstream.Changes]


class LogOutage(msgspec.Struct, frozen=True):
    """The most recent outage of the log, as its readers saw it.

    Attributes:
        ago_s: Seconds since the log last failed to answer; None for never.
        returned_s: Seconds since it answered again; None for never.
    """

    ago_s: float | None = None
    returned_s: float | None = None


class FollowedStream(msgspec.Struct, frozen=True):
    """A stream that is followed, with its local copy.

    Attributes:
        reader: Reads the stream from the log.
        mirror: Local copy of the stream.
    """

    reader: ChangesReader
    mirror: mirrors.Mirror


class StreamDistributor:
    """Receives updates from other VMs and serves them to its followers.

    Args:
        me: This VM.
        seeds: Addresses of VMs to follow until other members are known.
        first_start: Whether the whole deployment starts for the first time.
        client: Sends requests to other VMs.
        streams: Streams to follow.
        limits: How long a change may take to be in force on this VM.

    Attributes:
        get_outage: Returns the log's last outage, given the current time.
        on_outage: Called with the last outage that another VM reported, and the
            time of the report.
    """

    def __init__(
        self,
        me: membership.Member,
        seeds: Iterable[str],
        first_start: bool,
        client: peer_link.PeerClient,
        streams: Sequence[FollowedStream],
        limits: propagation.PropagationLimits | None = None,
    ) -> None:
        self.get_outage: Callable[[float], LogOutage] = _report_no_outage
        self.on_outage: Callable[[LogOutage, float], None] = _ignore_outage
        self._me = me
        self._client = client
        self._limits = limits or propagation.PropagationLimits()
        self._streams = {each.reader.stream: each for each in streams}
        self._position: distribution.Position | None = None
        all_seeds = list(seeds)
        self._seeds = tuple(s for s in all_seeds if s != me.address)
        waits = first_start and me.address not in all_seeds and self._seeds
        # Until then there are no callers that need the streams.
        self._first_start_until = (
            steadyclock.read() + FIRST_START_WAIT_S * bool(waits)
        )
        self._updated_at = dict.fromkeys(self._streams, float("-inf"))
        self._wanted_sources: frozenset[str] = frozenset()
        self._primary_source = ""
        self._followed_sources: set[str] = set()
        self._damaged_streams: set[str] = set()
        self._is_late = False
        self._changed = anyio.Event()
        self._wake_event = anyio.Event()
        for each in streams:
            each.reader.on_answer = self._notify_followers

    async def run(self) -> None:
        """Follows the streams until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._start_following(tasks)
                now = steadyclock.read()
                self._update_watching(now)
                due_s = self._get_next_check_at() - now
                due_at = steadyclock.read_loop() + max(
                    propagation.CHECK_INTERVAL_S,
                    min(due_s, MAX_CHECK_INTERVAL_S),
                )
                await self._wait_until_due(due_s)
                # Updates that came while this process stood still are unread.
                await deadline.look_if_late(due_at)

    def wake(self) -> None:
        """Checks without delay whom to follow and whether to read the log."""
        self._wake_event.set()
        self._wake_event = anyio.Event()

    async def _wait_until_due(self, due_s: float) -> None:
        """Waits until the given time has passed or ``wake`` is called.

        Compared with a fixed short interval, this reduces the wake-ups of an
        idle VM from about twenty to four a second; there are hundreds of VMs,
        and an idle one does little else.
        """
        # Taken before the sleep, so that a call of wake() during it counts.
        wake_event = self._wake_event
        await anyio.sleep(propagation.CHECK_INTERVAL_S)
        with anyio.move_on_after(
            min(due_s, MAX_CHECK_INTERVAL_S) - propagation.CHECK_INTERVAL_S
        ):
            await wake_event.wait()

    def update_members(self, members: Iterable[membership.Member]) -> None:
        """Recomputes this VM's position in the tree from the live VMs."""
        others = [m for m in members if m.vm != self._me.vm]
        # Without other members it may only not have discovered them yet.
        position = (
            distribution.find_position(self._me, others) if others else None
        )
        if position == self._position:
            return
        self._position = position
        # At once: a read that is pending longer than needed may transfer a
        # whole value over a slow link.
        self._update_watching(steadyclock.read())
        self.wake()
        LOG.info(
            "place in the distribution",
            extra=msgspec.to_builtins(position)
            if position
            else {"alone": True},
        )

    async def serve_updates(
        self, request: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """Answers a follower as soon as there are updates or its wait ends."""
        received_at = steadyclock.read()
        known_at = received_at - request.known_s
        with deadline.move_on_after(request.wait_s):
            while not self._has_updates(request, known_at):
                await self._changed.wait()
        now = steadyclock.read()
        outage = self.get_outage(now)
        updates = []
        for name, each in self._streams.items():
            if each.reader.end is None:
                continue
            update = each.mirror.make_update(name, request.ends.get(name, -1))
            update = msgspec.structs.replace(
                update,
                age_s=now - each.reader.fresh_at,
                trouble_s=outage.ago_s,
                returned_s=outage.returned_s,
            )
            updates.append(update)
        return peer_message.ToldStreams(updates, now - received_at)

    def _notify_followers(self) -> None:
        """Wakes the requests that wait for updates."""
        self._changed.set()
        self._changed = anyio.Event()

    def _has_updates(
        self, request: peer_message.FollowStreams, known_at: float
    ) -> bool:
        """Returns whether a request can be answered before its wait ends.

        Args:
            request: The request.
            known_at: Time of the log's state that the requester has.
        """
        if self._get_fresh_at() > known_at + MIN_AGE_GAIN_S:
            return True
        return any(
            (each.reader.end or 0) > request.ends.get(name, -1)
            for name, each in self._streams.items()
        )

    def _get_fresh_at(self) -> float:
        """Returns the time of the oldest of the streams' known states."""
        return min(each.reader.fresh_at for each in self._streams.values())

    def _start_following(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets the sources by this VM's position and follows new ones."""
        wanted = self._seeds[: distribution.MAX_SOURCES]
        if self._position is not None:
            wanted = self._position.sources
        self._wanted_sources = frozenset(wanted)
        self._primary_source = next(iter(wanted), "")
        for address in self._wanted_sources - self._followed_sources:
            self._followed_sources.add(address)
            tasks.start_soon(self._follow, address)

    async def _follow(self, address: str) -> None:
        """Polls a source for as long as it is one.

        Sources other than the primary one are polled only while it is late.

        The last request is not cancelled: cancelling it would make the channel
        raise a cancellation that belongs to none of the cancel scopes here.
        """
        try:
            while address in self._wanted_sources:
                due_s = self._get_second_source_delay_s()
                if address != self._primary_source and due_s > 0:
                    await self._wait_until_due(due_s)
                elif not await self.fetch_updates(address, POLL_WAIT_S):
                    await anyio.sleep(RETRY_PAUSE_S)
        finally:
            self._followed_sources.discard(address)

    def _get_second_source_delay_s(self) -> float:
        """Returns after how many seconds to poll the second source."""
        now = steadyclock.read()
        updated_at = min(self._updated_at.values())
        due = updated_at + SECOND_SOURCE_AGE_S
        lag_s = self._get_lag_s(now)
        if lag_s > 0:
            due = min(due, now - lag_s + SECOND_SOURCE_LAG_S)
        return due - now

    def _get_lag_s(self, now: float) -> float:
        """Returns for how many seconds known records have been missing."""
        return max(e.reader.get_lag_s(now) for e in self._streams.values())

    async def fetch_updates(self, address: str, wait_s: float = 0.0) -> bool:
        """Requests updates from a VM and applies them.

        Args:
            address: Address of the VM.
            wait_s: How long it may wait for updates, in seconds.

        Returns:
            Whether the answer held anything new.
        """
        request = self._make_request(wait_s)
        asked_at = steadyclock.read()
        try:
            answer = await self._client.ask(
                address, request, wait_s + ANSWER_MARGIN_S
            )
        except peer_link.LinkError as error:
            LOG.debug("no updates from another VM: %s", error)
            return False
        # The time on the way counts as age, since nothing tells how long it
        # took in either direction.
        answered_at = (
            steadyclock.read()
            if answer.held_s is None
            else asked_at + answer.held_s
        )
        results = [
            await self._apply(address, update, answered_at)
            for update in answer.news
        ]
        return any(results)

    def _make_request(self, wait_s: float) -> peer_message.FollowStreams:
        ends = {
            name: -1
            if each.reader.end is None or name in self._damaged_streams
            else each.reader.end
            for name, each in self._streams.items()
        }
        # Only updates from other VMs count, not this VM's own reads, which
        # say nothing about the sources.
        updated_at = min(self._updated_at.values())
        known_s = min(steadyclock.read() - updated_at, UNKNOWN_AGE_S)
        return peer_message.FollowStreams(ends, known_s, wait_s)

    async def _apply(
        self, address: str, update: peer_message.StreamNews, answered_at: float
    ) -> bool:
        """Applies an update of a stream and returns whether it was new.

        Args:
            address: The VM that sent it.
            update: The update.
            answered_at: The earliest time at which that VM can have answered.
        """
        each = self._streams.get(update.stream)
        if each is None or update.end < (each.reader.end or 0):
            return False
        try:
            changes = each.mirror.unpack(update)
        except mirrors.MirrorError as error:
            self._record_damage(address, update.stream, str(error))
            return False
        self._damaged_streams.discard(update.stream)
        self.on_outage(
            LogOutage(update.trouble_s, update.returned_s), answered_at
        )
        fresh_at = answered_at - max(0.0, update.age_s)
        held_end = each.reader.end
        await each.reader.apply_peer_page(
            changes, update.whole, fresh_at, address
        )
        is_new = (
            each.reader.end != held_end
            or fresh_at > self._updated_at[update.stream]
        )
        self._updated_at[update.stream] = max(
            self._updated_at[update.stream], fresh_at
        )
        self._notify_followers()
        return is_new

    def _record_damage(self, address: str, stream: str, detail: str) -> None:
        """Makes the next requests, to any source, ask for the whole stream."""
        if stream not in self._damaged_streams:
            LOG.warning(
                "news of another VM not taken",
                extra={"peer": address, "stream": stream, "detail": detail},
            )
        self._damaged_streams.add(stream)

    def _log_lateness(self, now: float, watching: bool) -> None:
        """Logs when the copy becomes late, and what this VM waits for."""
        if self._position is None or self._position.reads:
            return
        age_s = now - min(self._updated_at.values())
        lag_s = self._get_lag_s(now)
        is_late = age_s > SECOND_SOURCE_AGE_S or lag_s > SECOND_SOURCE_LAG_S
        if is_late == self._is_late:
            return
        self._is_late = is_late
        LOG.info(
            "copy of the log is late"
            if is_late
            else "copy of the log is fresh",
            extra={
                "age_s": round(min(age_s, UNKNOWN_AGE_S), 3),
                "lag_s": round(lag_s, 3),
                "reads": watching,
                "reads_in_s": round(max(0.0, self._get_takeover_at() - now), 3),
                "turn": self._position.turn,
                "sources": self._position.sources,
                "ends": {
                    name: each.reader.end
                    for name, each in self._streams.items()
                },
            },
        )

    def _update_watching(self, now: float) -> None:
        watching = self._should_watch(now)
        self._log_lateness(now, watching)
        for each in self._streams.values():
            each.reader.set_watching(watching)

    def _should_watch(self, now: float) -> bool:
        """Returns whether this VM reads the log itself."""
        position = self._position
        if now < self._first_start_until and (
            position is None or not position.reads
        ):
            return False
        if position is None or position.reads:
            return True
        if self._get_lag_s(now) > MAX_LAG_S:
            return True
        return now > self._get_takeover_at()

    def _get_next_check_at(self) -> float:
        """Returns when to check again whether to read the log itself."""
        if any(e.reader.is_behind for e in self._streams.values()):
            return 0.0
        return self._get_takeover_at()

    def _get_takeover_at(self) -> float:
        """Returns when to read the log itself if no update arrives."""
        if self._position is None or self._position.reads:
            return self._first_start_until
        age_s = self._limits.get_takeover_age_s(
            self._position.turn, self._position.zone_vms
        )
        updated_at = min(self._updated_at.values())
        return max(updated_at, self._first_start_until) + age_s


def _report_no_outage(now: float) -> LogOutage:
    """Default until a source of outages is set."""
    return LogOutage()


def _ignore_outage(outage: LogOutage, reported_at: float) -> None:
    """Default until a listener is set."""

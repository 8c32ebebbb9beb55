"""Tells VMs what the log's keyed streams have, from VM to VM.

Load pattern: hundreds of VMs want each change within a second or two, and each
reading the log costs a call a VM a change, and the whole of a large value over
the slowest link.  Here a few read (``core.tree``), and a change travels as its
difference.  A VM that is not told anything for a while reads the log itself,
one of a zone after the other.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence

import anyio
import anyio.abc
import msgspec

from ramptray import steadyclock
from ramptray.core import membership, tree
from ramptray.log import keyedstream
from ramptray.log import mirror as mirrors
from ramptray.log import reader as log_reader
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

POLL_WAIT_S = 1.3
"""How long a VM waits for news of another one, in seconds: that one hears of
the log's state once a second, and tells at once."""

ANSWER_MARGIN_S = 0.4
"""How much longer than it waits an answer may take, in seconds: 200 KB on a
link of 5 Mbit/s, or a VM that is short of processor time."""

RETRY_PAUSE_S = 0.3
"""Pause after a VM told nothing new, in seconds, so that one that is behind or
lies is not asked on and on; the other source goes on."""

MAX_AGE_S = 1.5
"""Age of what is known from which on a VM reads the log itself, in seconds:
readers learn its state once a second, and a change must be in force two seconds
after it was made."""

TAKEOVER_STEP_S = 0.1
"""Time between two VMs of a zone that begin to read the log themselves, in
seconds: the first ones tell the others."""

MAX_TAKEOVER_DELAY_S = 2.0
"""Longest time that such a VM leaves to those before it, in seconds."""

SECOND_SOURCE_AGE_S = 1.2
"""Age of what is known from which on the second source is asked too, in
seconds: the first one tells once a second.  Asking both all the time would
double the questions of an idle VM."""

SECOND_SOURCE_LAG_S = 0.1
"""How long records that there are may be missing before the second source is
asked too, in seconds: soon enough that it answers before this VM reads."""

MAX_LAG_S = 0.4
"""How long they may be missing before a VM reads the log itself, in seconds: it
then takes whole values, where another VM tells what has changed.  A replica
whose record went may be kept for 1.6 s from then on, and must get no more work
two seconds after."""

MIN_AGE_GAIN_S = 0.5
"""By how much knowledge must be younger to be told without a record, in
seconds: readers learn the log's state once a second."""

UNKNOWN_AGE_S = 1e6
"""Age that is told for knowledge that there is not, in seconds."""

MIN_CHECK_INTERVAL_S = 0.1
"""Shortest pause between two looks at how old that is, in seconds."""

MAX_CHECK_INTERVAL_S = 1.0
"""Longest such pause, in seconds: nothing is due before."""

FIRST_START_WAIT_S = 3.0
"""How long a VM waits for another one to tell it anything when the whole
deployment starts for the first time, in seconds: no caller waits yet, and each
VM reading the log would be most of a quiet day's calls."""

ChangesReader = log_reader.StreamReader[keyedstream.Changes]


class LogOutage(msgspec.Struct, frozen=True):
    """How the log has failed whoever reads it.

    Attributes:
        ago_s: How long ago it last gave no answer, in seconds; None for never.
        returned_s: How long ago it answered again, in seconds; likewise.
    """

    ago_s: float | None = None
    returned_s: float | None = None


class FollowedStream(msgspec.Struct, frozen=True):
    """A stream that is followed.

    Attributes:
        reader: Reads it.
        mirror: What is held of it.
    """

    reader: ChangesReader
    mirror: mirrors.Mirror


class StreamDistributor:
    """Follows other VMs, and tells those that follow this one.

    Args:
        me: This VM.
        seeds: Addresses of VMs to follow while no other was met.
        first_start: Whether all VMs start for the first time.
        client: Asks other VMs.
        streams: What is followed.

    Attributes:
        get_outage: Returns how the log has failed, as of a moment.
        on_outage: Called with how it has failed other VMs.
    """

    def __init__(
        self,
        me: membership.Member,
        seeds: Iterable[str],
        first_start: bool,
        client: peer_link.PeerClient,
        streams: Sequence[FollowedStream],
    ) -> None:
        self.get_outage: Callable[[float], LogOutage] = _report_no_outage
        self.on_outage: Callable[[LogOutage], None] = _ignore_outage
        self._me = me
        self._client = client
        self._streams = {each.reader.stream: each for each in streams}
        self._position: tree.Place | None = None
        all_seeds = list(seeds)
        self._seeds = tuple(s for s in all_seeds if s != me.address)
        waits = first_start and me.address not in all_seeds and self._seeds
        # Until then nobody misses what is not known yet.
        self._first_start_until = (
            steadyclock.read() + FIRST_START_WAIT_S * bool(waits)
        )
        self._updated_at = dict.fromkeys(self._streams, float("-inf"))
        self._wanted_sources: frozenset[str] = frozenset()
        self._primary_source = ""
        self._followed_sources: set[str] = set()
        self._damaged_streams: set[str] = set()
        self._changed = anyio.Event()
        self._wake_event = anyio.Event()
        for each in streams:
            each.reader.on_answer = self._notify_followers

    async def run(self) -> None:
        """Follows until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._start_following(tasks)
                now = steadyclock.read()
                self._update_watching(now)
                await self._wait_until_due(self._get_next_check_at() - now)

    def wake(self) -> None:
        """Has this VM look at once at what it follows and whether it reads."""
        self._wake_event.set()
        self._wake_event = anyio.Event()

    async def _wait_until_due(self, due_s: float) -> None:
        """Waits until something is due, or until there is reason to look.

        So an idle VM is woken for this some four times a second instead of
        twenty: there are hundreds, and they do little else.
        """
        # A reason that comes during the short pause counts as well.
        wake_event = self._wake_event
        await anyio.sleep(MIN_CHECK_INTERVAL_S)
        with anyio.move_on_after(
            min(due_s, MAX_CHECK_INTERVAL_S) - MIN_CHECK_INTERVAL_S
        ):
            await wake_event.wait()

    def update_members(self, members: Iterable[membership.Member]) -> None:
        """Takes the VMs that are alive."""
        others = [m for m in members if m.vm != self._me.vm]
        # Alone, it may just not have met the others yet.
        position = tree.find_place(self._me, others) if others else None
        if position == self._position:
            return
        self._position = position
        self.wake()
        LOG.info(
            "place in the distribution",
            extra=msgspec.to_builtins(position)
            if position
            else {"alone": True},
        )

    # Telling others.

    async def serve_updates(
        self, request: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """Returns what another VM lacks, as soon as there is anything."""
        known_at = steadyclock.read() - request.known_s
        with anyio.move_on_after(request.wait_s):
            while not self._has_updates(request, known_at):
                await self._changed.wait()
        now = steadyclock.read()
        outage = self.get_outage(now)
        updates = []
        for name, each in self._streams.items():
            if each.reader.end is None:
                continue
            update = each.mirror.tell(name, request.ends.get(name, -1))
            update = msgspec.structs.replace(
                update,
                age_s=now - each.reader.fresh_at,
                trouble_s=outage.ago_s,
                returned_s=outage.returned_s,
            )
            updates.append(update)
        return peer_message.ToldStreams(updates)

    def _notify_followers(self) -> None:
        """Has those answered that wait for news."""
        self._changed.set()
        self._changed = anyio.Event()

    def _has_updates(
        self, request: peer_message.FollowStreams, known_at: float
    ) -> bool:
        """Returns whether an answer is due.

        Args:
            request: The request.
            known_at: As of when the asker knows the log.
        """
        if self._get_fresh_at() > known_at + MIN_AGE_GAIN_S:
            return True
        return any(
            (each.reader.end or 0) > request.ends.get(name, -1)
            for name, each in self._streams.items()
        )

    def _get_fresh_at(self) -> float:
        """Returns as of when the log is known here."""
        return min(each.reader.fresh_at for each in self._streams.values())

    # Following others.

    def _start_following(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins and ends following, by this VM's place."""
        wanted = self._seeds[: tree.SOURCES]
        if self._position is not None:
            wanted = self._position.sources
        self._wanted_sources = frozenset(wanted)
        self._primary_source = next(iter(wanted), "")
        for address in self._wanted_sources - self._followed_sources:
            self._followed_sources.add(address)
            tasks.start_soon(self._follow, address)

    async def _follow(self, address: str) -> None:
        """Follows a VM as long as that is wanted.

        Those beside the first one are asked while it tells nothing.

        The last request is not cancelled: that would leave the channel's own
        cancellation behind, which no scope here takes for its own.
        """
        while address in self._wanted_sources:
            due_s = self._get_second_source_delay_s()
            if address != self._primary_source and due_s > 0:
                await self._wait_until_due(due_s)
            elif not await self.fetch_updates(address, POLL_WAIT_S):
                await anyio.sleep(RETRY_PAUSE_S)
        self._followed_sources.discard(address)

    def _get_second_source_delay_s(self) -> float:
        """Returns in how many seconds the first source has told too little."""
        now = steadyclock.read()
        updated_at = min(self._updated_at.values())
        due = updated_at + SECOND_SOURCE_AGE_S
        lag_s = self._get_lag_s(now)
        if lag_s > 0:
            due = min(due, now - lag_s + SECOND_SOURCE_LAG_S)
        return due - now

    def _get_lag_s(self, now: float) -> float:
        """Returns for how long records have been missing here, in seconds."""
        return max(e.reader.get_lack_s(now) for e in self._streams.values())

    async def fetch_updates(self, address: str, wait_s: float = 0.0) -> bool:
        """Asks a VM for news.

        Args:
            address: The VM.
            wait_s: How long it may wait for news, in seconds.

        Returns:
            Whether it told anything that is new.
        """
        request = self._make_request(wait_s)
        try:
            answer = await self._client.ask(
                address, request, wait_s + ANSWER_MARGIN_S
            )
        except peer_link.LinkError as error:
            LOG.debug("no news from another VM: %s", error)
            return False
        received_at = steadyclock.read()
        results = [
            await self._apply(address, update, received_at)
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
        # What this VM reads itself says nothing of those that it follows.
        updated_at = min(self._updated_at.values())
        known_s = min(steadyclock.read() - updated_at, UNKNOWN_AGE_S)
        return peer_message.FollowStreams(ends, known_s, wait_s)

    async def _apply(
        self, address: str, update: peer_message.StreamNews, received_at: float
    ) -> bool:
        """Takes news of a stream; tells whether they are new."""
        each = self._streams.get(update.stream)
        if each is None or update.end < (each.reader.end or 0):
            return False
        try:
            changes = each.mirror.unpack(update)
        except mirrors.MirrorError as error:
            self._record_damage(address, update.stream, str(error))
            return False
        self._damaged_streams.discard(update.stream)
        self.on_outage(LogOutage(update.trouble_s, update.returned_s))
        fresh_at = received_at - max(0.0, update.age_s)
        await each.reader.take_told(changes, update.whole, fresh_at, address)
        is_new = fresh_at > self._updated_at[update.stream]
        self._updated_at[update.stream] = max(
            self._updated_at[update.stream], fresh_at
        )
        self._notify_followers()
        return is_new

    def _record_damage(self, address: str, stream: str, detail: str) -> None:
        """Asks for the whole stream next, by whomever it is told."""
        if stream not in self._damaged_streams:
            LOG.warning(
                "news of another VM not taken",
                extra={"peer": address, "stream": stream, "detail": detail},
            )
        self._damaged_streams.add(stream)

    # Reading the log.

    def _update_watching(self, now: float) -> None:
        watching = self._should_watch(now)
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
        """Returns when this VM may have to read the log itself."""
        if any(e.reader.lacks_records for e in self._streams.values()):
            return 0.0
        return self._get_takeover_at()

    def _get_takeover_at(self) -> float:
        """Returns when this VM reads the log itself if it is told nothing."""
        if self._position is None or self._position.reads:
            return self._first_start_until
        delay_s = min(
            self._position.turn * TAKEOVER_STEP_S, MAX_TAKEOVER_DELAY_S
        )
        updated_at = min(self._updated_at.values())
        return max(updated_at, self._first_start_until) + MAX_AGE_S + delay_s


def _report_no_outage(now: float) -> LogOutage:
    """Stands in until somebody knows."""
    return LogOutage()


def _ignore_outage(outage: LogOutage) -> None:
    """Stands in until somebody listens."""

"""Gets the history of releases that this VM has not seen itself.

It comes from the store, where one VM keeps a record of it, or from other VMs.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Sequence

import anyio

from ramptray import steadyclock
from ramptray.core import (
    membership,
    release_history,
    release_record,
    stream_origin,
)
from ramptray.log import error as log_error
from ramptray.log import releaselog
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 0.5
"""Timeout of a request for another VM's history, in seconds."""

FIRST_PAUSE_S = 0.25
"""Pause after a history that was of no use, in seconds; it doubles up to
``MAX_PAUSE_S``."""

MAX_PAUSE_S = 4.0
"""Longest such pause, in seconds."""


RESTORE_TIMEOUT_S = 10.0
"""Timeout of all reads of the store for one attempt to restore the history, in
seconds.  Meanwhile, no other VM is asked."""

FIRST_STORE_PAUSE_S = 0.5
"""Pause after a call of the store that failed, in seconds; it doubles up to
``MAX_STORE_PAUSE_S``."""

MAX_STORE_PAUSE_S = 15.0
"""Longest such pause, in seconds.  Refused calls have a price too, and hundreds
of VMs may start at once."""

MIN_RESTORE_INTERVAL_S = 1.0
"""Shortest time between two attempts to restore the history, in seconds.  Many
replicas that come and go unseen let it begin anew many times."""

WRITE_CHECK_INTERVAL_S = 2.0
"""Interval between checks whether to write the release record, in seconds.  The
first one comes late enough for a VM that starts to have found the others."""


class _Pause:
    """Pauses between calls of the store, which grow while they fail.

    Args:
        min_s: Pause after a call that succeeded, in seconds.
    """

    def __init__(self, min_s: float = 0.0) -> None:
        self._min_s = min_s
        self._next_s = FIRST_STORE_PAUSE_S
        self._until = -math.inf

    def is_over(self, now: float) -> bool:
        """Returns whether the store may be called."""
        return now >= self._until

    def record_success(self, now: float) -> None:
        """Starts a short pause; the next one after a failure is short too."""
        self._until = now + self._min_s
        self._next_s = FIRST_STORE_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Starts the next pause."""
        self._until = now + self._next_s * random.uniform(0.8, 1.2)
        self._next_s = min(2 * self._next_s, MAX_STORE_PAUSE_S)


class ReleaseSync:
    """Extends the history of releases from the store and from other VMs.

    A VM that has just started knows only what is listed now.  Until it knows
    what served before, streams of unknown origin cannot go on here.

    Args:
        address: Address of this VM's scheduler.
        client: Sends requests to other VMs.
        history: The history to extend.
        get_position: Returns the end of the stream of replicas that is known
            here; 0 if unknown.
        list_releases: Returns the releases of all known replicas by service,
            also of those that have gone and may still be granted.
        release_log: Storage of the release record.
    """

    def __init__(
        self,
        address: str,
        client: peer_link.Asker,
        history: release_history.ReleaseHistory,
        get_position: Callable[[], int],
        list_releases: Callable[[], release_record.Releases],
        release_log: releaselog.ReleaseLog,
    ) -> None:
        self._address = address
        self._client = client
        self._history = history
        self._get_position = get_position
        self._list_releases = list_releases
        self._release_log = release_log
        self._members: list[membership.Member] = []
        self._gap = anyio.Event()
        self._begin = 0
        self._schedule = release_record.WriteSchedule()
        self._restore_pause = _Pause(MIN_RESTORE_INTERVAL_S)

    def update_members(self, members: Sequence[membership.Member]) -> None:
        """Applies a view of the membership."""
        self._members = list(members)

    def begin(self, since: float, position: int) -> None:
        """Begins the history anew, see ``ReleaseHistory.begin``."""
        self._history.begin(since, position)
        self._begin = position
        self._gap.set()

    def serve(self) -> peer_message.ReleaseHistoryUpdate:
        """Returns this VM's history for another one."""
        return peer_message.ReleaseHistoryUpdate(self._make_page())

    async def run(self) -> None:
        """Extends the history whenever it began anew, until cancelled.

        Meanwhile, writes the release record when it is this VM's turn.
        """
        if self._begin:
            # A former run may have failed while it extended the history.
            self._gap.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_writes)
            while True:
                await self._gap.wait()
                self._gap = anyio.Event()
                await self._extend()

    async def _extend(self) -> None:
        """Extends the history until it is complete or begins anew."""
        asks_store = True
        pause_s = FIRST_PAUSE_S
        while self._is_short() and not self._gap.is_set():
            if asks_store and self._restore_pause.is_over(steadyclock.read()):
                try:
                    await self._restore()
                    asks_store = False
                    self._restore_pause.record_success(steadyclock.read())
                except log_error.LogError as error:
                    LOG.warning(
                        "could not read the release record",
                        extra={"detail": str(error)},
                    )
                    self._restore_pause.record_failure(steadyclock.read())
                continue
            if await self._fetch():
                continue
            await anyio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _restore(self) -> None:
        """Completes the history from the store, as far as that shows it.

        Raises:
            LogError: The store could not be read.
        """
        stream = None
        record = None
        with anyio.move_on_after(RESTORE_TIMEOUT_S):
            record = await self._release_log.load()
            stream = await self._release_log.read_replicas(
                release_record.get_read_start(record), self._begin
            )
        if stream is None:
            raise log_error.LogTimeoutError("the reads took too long")
        now = steadyclock.read()
        self._schedule.observe_stored(record, now)
        if self._gap.is_set():
            # Releases may have come and gone after the records read.
            return
        found = release_record.conclude(record, stream, self._list_releases())
        if found is None:
            LOG.warning(
                "the store does not show which releases served before",
                extra={
                    "position": record.position if record else None,
                    "end": self._begin,
                },
            )
            return
        self._history.restore(found.releases, found.evidence, now)
        LOG.info(
            "history of releases restored",
            extra={
                "evidence": found.evidence.value,
                "releases": found.releases,
            },
        )

    async def _run_writes(self) -> None:
        pause = _Pause()
        while True:
            await anyio.sleep(WRITE_CHECK_INTERVAL_S)
            if not pause.is_over(steadyclock.read()):
                continue
            try:
                await self._write_if_due()
                pause.record_success(steadyclock.read())
            except log_error.LogError as error:
                LOG.warning(
                    "release record not written",
                    extra={"detail": str(error)},
                )
                pause.record_failure(steadyclock.read())

    async def _write_if_due(self) -> None:
        """Writes the release record, unless another VM has.

        Raises:
            LogError: The record may not have been stored.
        """
        if self._find_due_record() is None:
            return
        # A VM of another scheduling zone or before this one may have written.
        stored = await self._release_log.load()
        self._schedule.observe_stored(stored, steadyclock.read())
        record = self._find_due_record()
        if record is None:
            return
        await self._release_log.save(record)
        self._schedule.observe_stored(record, steadyclock.read())
        LOG.info(
            "release record written",
            extra={"position": record.position, "releases": record.releases},
        )

    def _find_due_record(self) -> release_record.ReleaseRecord | None:
        """Returns the record that this VM has to write now, if any."""
        rank = release_record.find_rank(self._address, self._members)
        if rank is None:
            return None
        record = release_record.make_record(
            self._make_page(), self._list_releases()
        )
        if record is None:
            return None
        now = steadyclock.read()
        return record if self._schedule.is_due(record, rank, now) else None

    def _make_page(self) -> release_history.HistoryPage:
        return self._history.make_page(self._get_position(), steadyclock.read())

    def _is_short(self) -> bool:
        length_s = self._history.get_length_s(steadyclock.read())
        return length_s < stream_origin.SPAN_S

    async def _fetch(self) -> bool:
        """Asks one VM; returns whether its history extends this VM's."""
        others = [
            member.address
            for member in self._members
            if member.address != self._address
        ]
        if not others:
            return False
        address = random.choice(others)
        try:
            answer = await self._client.ask(
                address, peer_message.FetchReleaseHistory(), FETCH_TIMEOUT_S
            )
        except peer_link.LinkError as error:
            LOG.debug("no history of releases: %s", error)
            return False
        if not isinstance(answer, peer_message.ReleaseHistoryUpdate):
            return False
        now = steadyclock.read()
        adopted = self._history.adopt(answer.page, now)
        if adopted:
            LOG.info(
                "history of releases extended",
                extra={
                    "peer": address,
                    "length_s": round(self._history.get_length_s(now), 1),
                },
            )
        return adopted

"""Follows one stream of the log on and on, and notices lost reads.

A read that waits for records looks the same while nothing changes and when the
log will never answer it: the connection stays sound.  Three things tell them
apart.  Of all VMs a few watch: their reads wait shortly, so that one that was
lost is found soon.  Peers tell how far they have read; who waits at an earlier
record was lost.  And a call that need not wait is repeated until one answers.
"""

from __future__ import annotations

import abc
import contextlib
import logging
import random
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.caller import metrics
from ramptray.log import error as log_error
from ramptray.log import hedging

LOG = logging.getLogger(__name__)

RETRY_S = 0.25
"""Pause after a call that was turned away, in seconds; it doubles up to the
longest."""

MAX_RETRY_S = 1.0
"""Longest pause between two such calls, in seconds: what the log has must be
in force about two seconds after it answers again."""

BATCH_DELAY_S = 0.4
"""Pause after an answer with records, in seconds, so that changes that come
together cost one call: a fifth of the time in which a change must be in
force."""

WATCH_WAIT_S = 1.0
"""How long a watcher's read waits, in seconds.  With ``RESPONSE_MARGIN_S`` a
lost read is found within 1.6 s; a VM is held to changes 3 s after an outage.
It costs the log a call a second a stream, too much for all VMs."""

RESPONSE_MARGIN_S = 0.6
"""How much longer than it waits a read may take, in seconds: on the slowest
days of the log an answer takes 0.4 s."""

CALL_TIMEOUT_S = 3.0
"""Longest time for a call that need not wait, in seconds.  It is repeated long
before, so this only bounds how many are underway."""

LOST_READ_AFTER_S = 0.4
"""Time after which a read that waits would have been answered if there were
records, in seconds: what a slow log takes."""

LOG_ORIGIN = "log"
"""What log lines name as the origin of what the log itself told."""

PageT = TypeVar("PageT")


class _Underway(msgspec.Struct):
    """A read that waits.

    Attributes:
        sent_at: When it was sent.
        scope: Ends it.
    """

    sent_at: float
    scope: anyio.CancelScope


class StreamReader(abc.ABC, Generic[PageT]):
    """Follows one stream: its beginning first, then each change as it comes.

    Args:
        stream: The stream's name.
        longest_wait_s: How long a read waits on VMs that do not watch, in
            seconds.
        batch_delay_s: Pause after an answer with records, in seconds.
        follows_peers: Whether VMs that do not watch are told by other VMs what
            there is, and do not read.

    Attributes:
        stream: The stream's name.
        in_outage: Whether the log does not answer.
        answered_at: When it last answered, or another VM told of its answer;
            None before the first time.
        fresh_at: When the log had no more than what is known here.
        origin: Who told what is taken at present: the log, or a peer.
        on_advance: Called when others may not have read what is known here.
        on_answer: Called with each answer of the log.
    """

    def __init__(
        self,
        stream: str,
        longest_wait_s: float,
        batch_delay_s: float = BATCH_DELAY_S,
        follows_peers: bool = False,
    ) -> None:
        self.stream = stream
        self.in_outage = False
        self.answered_at: float | None = None
        self.fresh_at = float("-inf")
        self.origin = LOG_ORIGIN
        self.on_advance: Callable[[], None] = _tell_nobody
        self.on_answer: Callable[[], None] = _tell_nobody
        self._longest_wait_s = longest_wait_s
        self._gather_s = batch_delay_s
        self._watching = False
        self._is_told = follows_peers
        self._watched = anyio.Event()
        self._end: int | None = None
        self._told = 0
        self._told_at = 0.0
        self._calls = hedging.HedgedCall[PageT](self._begin_outage)
        self._doubted = False
        self._asked_at: float | None = None
        self._lost_at = 0.0
        self._underway: _Underway | None = None

    @abc.abstractmethod
    async def read_first(self) -> PageT:
        """Returns what a reader begins with, without waiting.

        Raises:
            log_error.LogError: There is no answer.
        """

    @abc.abstractmethod
    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> PageT:
        """Returns the records from an offset on.

        Args:
            offset: Offset of the first record wanted.
            wait_s: How long to wait for one, in seconds; 0 for not at all.
            timeout_s: How long the whole call may take, in seconds.

        Raises:
            log_error.LogTimeoutError: There is no answer in time.
            log_error.LogTrimmedError: Some records are not kept any more.
            log_error.LogError: The log turned the call away.
        """

    @abc.abstractmethod
    async def apply_page(self, page: PageT, first: bool) -> None:
        """Takes what was read; ``first`` tells that a reader began with it."""

    @abc.abstractmethod
    def get_end(self, page: PageT) -> int:
        """Returns the offset from which to read on."""

    @abc.abstractmethod
    def count_records(self, page: PageT) -> int:
        """Returns how many records were read."""

    def record_outage(self) -> None:
        """Called each time that the log does not answer."""

    def record_progress(self) -> None:
        """Notes that bytes of an answer have come."""
        self._calls.record_progress()

    @property
    def known_end(self) -> int:
        """The stream reaches at least to this offset, 0 while none is known."""
        return max(self._end or 0, self._told)

    async def run(self) -> None:
        """Follows until cancelled."""
        pause_s = RETRY_S
        while True:
            if self._is_told and not self._watching:
                self._asked_at = None
                await self._watched.wait()
            try:
                self._asked_at = steadyclock.read()
                found = await self._read()
            except log_error.LogTrimmedError as error:
                LOG.info("history was dropped: %s", error)
                self._end = None
            except log_error.LogError as error:
                self._begin_outage(str(error))
                await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, MAX_RETRY_S)
            else:
                pause_s = RETRY_S
                if found is not None and self.count_records(found):
                    await self._gather()

    def set_watching(self, watching: bool) -> None:
        """Sets whether this VM watches the stream for the others."""
        if watching == self._watching:
            return
        self._watching = watching
        LOG.info(
            "watching a stream" if watching else "watching a stream no more",
            extra={"stream": self.stream, "end": self._end},
        )
        if watching:
            # Others wait for word of how the log stands now.
            self._doubted = self._doubted or self._is_told
            self._watched.set()
        else:
            self._watched = anyio.Event()
        if self._underway and watching:
            self._doubt("this VM watches from now on")
        elif self._underway and self._is_told:
            self._underway.scope.cancel()

    @property
    def watching(self) -> bool:
        """Whether this VM reads the stream for the others."""
        return self._watching

    @property
    def is_behind(self) -> bool:
        """Whether there are records that are not known here yet."""
        return self._told > (self._end or 0)

    def get_lag_s(self, now: float) -> float:
        """Returns for how many seconds known records have been missing here."""
        return now - self._told_at if self.is_behind else 0.0

    @property
    def end(self) -> int | None:
        """Up to which offset the stream is known here; None for nothing."""
        return self._end

    async def apply_peer_page(
        self, page: PageT, whole: bool, fresh_at: float, peer: str
    ) -> None:
        """Takes what another VM has read.

        Args:
            page: The records.
            whole: Whether they are all there are.
            fresh_at: When the log had no more than that.
            peer: Address of the other VM.
        """
        end = self.get_end(page)
        if end < (self._end or 0):
            return
        if self._end is None or end > self._end:
            self.origin = f"peer {peer}"
            await self.apply_page(page, whole)
            self._end = end
            self._told = max(self._told, end)
            self.on_advance()
        self.fresh_at = max(self.fresh_at, fresh_at)
        self.answered_at = steadyclock.read()
        if not self._watching:
            self.in_outage = False

    def update_known_end(self, end: int) -> None:
        """Takes how far the stream reaches as somebody else knows."""
        if self._end is None or end <= self.known_end:
            return
        if self._told <= self._end:
            self._told_at = steadyclock.read()
        self._told = end
        self.on_advance()

    def check_pending_read(self) -> None:
        """Gives a read up that waits for records which are there."""
        underway = self._underway
        if underway is None or self._told <= (self._end or 0):
            return
        due_since = max(underway.sent_at, self._told_at)
        if (
            steadyclock.read() - due_since < LOST_READ_AFTER_S
            or self._calls.is_arriving
        ):
            return
        self._doubt("there are records that it should have told")

    def list_gauges(self, now: float) -> list[metrics.Gauge]:
        """Returns how far and how old the reads of the stream are.

        An old read underway beside an old answer is a read that was lost; an
        old answer alone is a stream in which nothing changes.
        """
        # No read underway, and no outage, is an age of 0; no answer yet has no
        # age.
        values = {
            "log_read_underway_seconds": _round_age(self._asked_at, now) or 0.0,
            "log_lost_seconds": now - self._lost_at if self.in_outage else 0.0,
            "log_watching": float(self._watching),
        }
        if self.answered_at is not None:
            values["log_answer_age_seconds"] = now - self.answered_at
        if self._end is not None:
            values["log_end"] = self._end
        labels = {"stream": self.stream}
        return [
            metrics.Gauge(name, labels, round(value, 3))
            for name, value in values.items()
        ]

    # Reads.

    async def _read(self) -> PageT | None:
        """Returns the next records; None if the read was given up."""
        offset = self._end
        if offset is None:
            found = await self._calls.ask(self.read_first)
        elif self.in_outage or self._doubted:
            found = await self._calls.ask(
                lambda: self.read_from(offset, 0.0, CALL_TIMEOUT_S)
            )
        else:
            waited = await self._wait(offset)
            if waited is None:
                return None
            found = waited
        if self.get_end(found) < (self._end or 0) and self.count_records(found):
            # Another VM told more while the answer was on its way.
            return None
        self.origin = LOG_ORIGIN
        await self.apply_page(found, offset is None)
        self._note_answer(offset, found)
        return found

    async def _wait(self, offset: int) -> PageT | None:
        """Waits for records; returns None if the read was lost."""
        wait_s = WATCH_WAIT_S if self._watching else self._longest_wait_s
        try:
            with self._note_underway():
                return await self.read_from(
                    offset, wait_s, wait_s + RESPONSE_MARGIN_S
                )
        except log_error.LogTimeoutError as error:
            self._doubt(str(error))
        return None

    @contextlib.contextmanager
    def _note_underway(self) -> Iterator[None]:
        with anyio.CancelScope() as scope:
            self._underway = _Underway(steadyclock.read(), scope)
            try:
                yield
            finally:
                self._underway = None

    async def _gather(self) -> None:
        await anyio.sleep(self._gather_s)
        if self._watching:
            # By now everybody whose read was not lost has read it too.
            self.on_advance()

    # What is believed of the log.

    def _doubt(self, reason: str) -> None:
        """Gives the read that waits up; the next one need not wait."""
        self._doubted = True
        LOG.info(
            "read given up",
            extra={
                "stream": self.stream,
                "reason": reason,
                "end": self._end,
                "told": self._told,
                "waited_s": _round_age(self._asked_at, steadyclock.read()),
            },
        )
        if self._underway:
            self._underway.scope.cancel()

    def _begin_outage(self, detail: str) -> None:
        self.record_outage()
        if self.in_outage:
            return
        now = steadyclock.read()
        self.in_outage = True
        self._lost_at = now
        LOG.warning(
            "log lost",
            extra={
                "stream": self.stream,
                "detail": detail,
                "waited_s": _round_age(self._asked_at, now),
                "answer_age_s": _round_age(self.answered_at, now),
            },
        )

    def _note_answer(self, offset: int | None, found: PageT) -> None:
        now = steadyclock.read()
        end = self.get_end(found)
        records = self.count_records(found)
        if records or self._doubted or self.in_outage:
            LOG.info(
                "log read",
                extra={
                    "stream": self.stream,
                    "offset": offset,
                    "end": end,
                    "records": records,
                    "waited_s": _round_age(self._asked_at, now),
                },
            )
        if self.in_outage:
            self.in_outage = False
            away_s = round(now - self._lost_at, 3)
            LOG.info(
                "log regained",
                extra={"stream": self.stream, "away_s": away_s},
            )
        self._end = end
        # The log's word goes before a peer's.
        self._told = min(self._told, end)
        self._doubted = False
        self._asked_at = None
        self.answered_at = self.fresh_at = now
        self.on_answer()


def _round_age(since: float | None, now: float) -> float | None:
    """Returns the seconds since a moment, None where there was none."""
    return None if since is None else round(now - since, 3)


def _tell_nobody() -> None:
    """Stands in until the peers are known."""

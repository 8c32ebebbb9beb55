"""Follows one stream of the log, and detects lost reads.

A long poll looks the same while nothing changes and when the log will never
answer it, since the connection stays open.  Three mechanisms tell these apart:
a few VMs watch the stream with short polls, which time out soon after a loss;
peers report how far they have read, so a poll that waits at an earlier record
was lost; and calls that need not wait are hedged.
"""

from __future__ import annotations

import abc
import contextlib
import logging
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Generic, TypeVar

import anyio
import msgspec

from ramptray import steadyclock
from ramptray.caller import metrics
from ramptray.core import propagation
from ramptray.log import error as log_error
from ramptray.log import hedging

LOG = logging.getLogger(__name__)

RETRY_S = 0.25
"""Pause after a rejected call, in seconds; it doubles up to
``MAX_RETRY_S``."""

MAX_RETRY_S = 1.0
"""Longest pause between two such calls, in seconds: the log's records must be
in force about two seconds after it answers again."""

BATCH_DELAY_S = 0.4
"""Pause after an answer with records, in seconds, so that changes in quick
succession cost one call.  It is a fifth of the time in which a change must be
in force."""

CALL_TIMEOUT_S = 3.0
"""Timeout of a call that need not wait, in seconds.  It is repeated long
before, so this only limits the number of concurrent calls."""

LOST_READ_AFTER_S = 0.4
"""Time after which a pending read is lost if the log has records that it has
not returned, in seconds: the response time of a slow log."""

LOG_ORIGIN = "log"
"""Value of ``StreamReader.origin`` for records that the log returned."""

PageT = TypeVar("PageT")


class _Answer(msgspec.Struct, Generic[PageT], frozen=True):
    """An answer of the log.

    Attributes:
        as_of: Time whose records it holds at least.  It is not the time of
            arrival, as an answer may be late.
        page: The records.
        is_late: Whether this process read it late, as it stood still.
    """

    as_of: float
    page: PageT
    is_late: bool = False


class _PendingRead(msgspec.Struct):
    """A long poll in progress.

    Attributes:
        sent_at: When it was sent.
        scope: Cancels it.
    """

    sent_at: float
    scope: anyio.CancelScope


class StreamReader(abc.ABC, Generic[PageT]):
    """Follows one stream: first its existing records, then each change.

    Args:
        stream: The stream's name.
        longest_wait_s: Long-poll wait of a VM that does not watch, in seconds.
        batch_delay_s: Pause after an answer with records, in seconds.
        follows_peers: Whether a VM that does not watch gets the records from
            other VMs instead of reading the log.

    Attributes:
        stream: The stream's name.
        in_outage: Whether the log does not answer.
        answered_at: When the log last answered this VM or another one that
            passed its answer on; None before the first time.
        fresh_at: When the log had no records beyond those known here.
        origin: Source of the records being applied: the log or a peer.
        fresh_origin: Source of the answer that ``fresh_at`` comes from.
        on_advance: Called when this VM may know records that others have not
            read.
        on_answer: Called after each answer of the log.
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
        self.fresh_origin = LOG_ORIGIN
        self.on_advance: Callable[[], None] = _do_nothing
        self.on_answer: Callable[[], None] = _do_nothing
        self._longest_wait_s = longest_wait_s
        self._batch_delay_s = batch_delay_s
        self._watching = False
        self._follows_peers = follows_peers
        self._watching_started = anyio.Event()
        self._end: int | None = None
        self._peer_end = 0
        self._peer_end_at = 0.0
        self._hedged_call = hedging.HedgedCall[_Answer[PageT]](
            self._begin_outage
        )
        self._poll_at_once = False
        self._read_started_at: float | None = None
        self._outage_began_at = 0.0
        self._pending_read: _PendingRead | None = None

    @abc.abstractmethod
    async def read_first(self) -> PageT:
        """Returns the existing records, without waiting.

        Raises:
            log_error.LogError: The log did not answer.
        """

    @abc.abstractmethod
    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> PageT:
        """Returns the records from an offset on.

        Args:
            offset: Offset of the first record.
            wait_s: How long to wait for a record, in seconds; 0 for no wait.
            timeout_s: Timeout of the whole call, in seconds.

        Raises:
            log_error.LogTimeoutError: The log did not answer in time.
            log_error.LogTrimmedError: Some records are no longer retained.
            log_error.LogError: The log rejected the call.
        """

    @abc.abstractmethod
    async def apply_page(self, page: PageT, first: bool) -> None:
        """Applies records; ``first`` if they came from ``read_first``."""

    @abc.abstractmethod
    def get_end(self, page: PageT) -> int:
        """Returns the offset from which to continue after a page."""

    @abc.abstractmethod
    def count_records(self, page: PageT) -> int:
        """Returns the number of records in a page."""

    def record_outage(self) -> None:
        """Called each time the log does not answer; does nothing here."""

    def record_progress(self) -> None:
        """Records that bytes of an answer have arrived."""
        self._hedged_call.record_progress()

    @property
    def known_end(self) -> int:
        """Highest end of the stream known from any VM; 0 if there is none."""
        return max(self._end or 0, self._peer_end)

    async def run(self) -> None:
        """Reads the stream until cancelled."""
        pause_s = RETRY_S
        while True:
            if self._follows_peers and not self._watching:
                self._read_started_at = None
                await self._watching_started.wait()
            try:
                self._read_started_at = steadyclock.read()
                page = await self._read()
            except log_error.LogTrimmedError as error:
                LOG.info("records no longer retained: %s", error)
                self._end = None
            except log_error.LogError as error:
                self._begin_outage(str(error))
                await anyio.sleep(pause_s * random.uniform(0.7, 1.3))
                pause_s = min(pause_s * 2, MAX_RETRY_S)
            else:
                pause_s = RETRY_S
                if page is not None and self.count_records(page):
                    await self._wait_for_batch()
                    # The records came at an unknown time of a long poll.
                    self._poll_at_once |= self._watching and self._follows_peers

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
            # Other VMs wait for this one to report the log's current state.
            self._poll_at_once = self._poll_at_once or self._follows_peers
            self._watching_started.set()
        else:
            self._watching_started = anyio.Event()
        if self._pending_read and watching:
            self._abandon_read("this VM started to watch the stream")
        elif self._pending_read and self._follows_peers:
            self._pending_read.scope.cancel()

    @property
    def watching(self) -> bool:
        """Whether this VM reads the stream for the others."""
        return self._watching

    @property
    def is_behind(self) -> bool:
        """Whether the stream has records that are not known here yet."""
        return self._peer_end > (self._end or 0)

    def get_lag_s(self, now: float) -> float:
        """Returns for how many seconds this VM has been behind."""
        return now - self._peer_end_at if self.is_behind else 0.0

    @property
    def end(self) -> int | None:
        """Offset up to which records are known here; None before any are."""
        return self._end

    async def apply_peer_page(
        self, page: PageT, whole: bool, fresh_at: float, peer: str
    ) -> None:
        """Applies records that another VM has read.

        Args:
            page: The records.
            whole: Whether they are the whole stream.
            fresh_at: When the log had no records beyond these.
            peer: Address of the other VM.
        """
        end = self.get_end(page)
        if end < (self._end or 0):
            return
        if self._end is None or end > self._end:
            self.origin = f"peer {peer}"
            await self.apply_page(page, whole)
            self._end = end
            self._peer_end = max(self._peer_end, end)
            self.on_advance()
        if fresh_at > self.fresh_at:
            self.fresh_at = fresh_at
            self.fresh_origin = f"peer {peer}"
        self.answered_at = steadyclock.read()
        if not self._watching:
            self.in_outage = False

    def update_known_end(self, end: int) -> None:
        """Updates the end of the stream as reported by another VM."""
        if self._end is None or end <= self.known_end:
            return
        if self._peer_end <= self._end:
            self._peer_end_at = steadyclock.read()
        self._peer_end = end
        self.on_advance()

    def check_pending_read(self) -> None:
        """Abandons a pending read that should have returned by now.

        Such a read waits for records that another VM already knows.
        """
        pending = self._pending_read
        if pending is None or self._peer_end <= (self._end or 0):
            return
        due_since = max(pending.sent_at, self._peer_end_at)
        if (
            steadyclock.read() - due_since < LOST_READ_AFTER_S
            or self._hedged_call.is_receiving
        ):
            return
        self._abandon_read("the log has records that it should have returned")

    def list_gauges(self, now: float) -> list[metrics.Gauge]:
        """Returns the stream's end and the ages of its reads.

        An old pending read together with an old answer is a lost read; an old
        answer alone means that the stream does not change.
        """
        # Without a pending read or an outage the age is 0.  Before the first
        # answer there is no answer age.
        values = {
            "log_read_underway_seconds": _round_age(self._read_started_at, now)
            or 0.0,
            "log_lost_seconds": now - self._outage_began_at
            if self.in_outage
            else 0.0,
            "log_watching": float(self._watching),
        }
        if self.answered_at is not None:
            values["log_answer_age_seconds"] = now - self.answered_at
        if self._end is not None:
            values["log_end"] = self._end
            values["log_copy_age_seconds"] = now - self.fresh_at
            values["log_copy_lag_seconds"] = self.get_lag_s(now)
        labels = {"stream": self.stream}
        return [
            metrics.Gauge(name, labels, round(value, 3))
            for name, value in values.items()
        ]

    async def _read(self) -> PageT | None:
        """Returns the next records; None if there is nothing to apply."""
        offset = self._end
        answer = await self._call(offset)
        if answer is None:
            return None
        end = self.get_end(answer.page)
        if (offset or 0) <= end < (self._end or 0):
            # Another VM sent later records before the answer arrived.
            self._record_answer(offset, answer, self._end or 0)
            return None
        self.origin = LOG_ORIGIN
        await self.apply_page(answer.page, offset is None)
        self._record_answer(offset, answer, end)
        return answer.page

    async def _call(self, offset: int | None) -> _Answer[PageT] | None:
        """Returns the log's answer; None if the read was abandoned."""
        if offset is None:
            return await self._hedged_call.run(
                lambda: _date_answer(self.read_first())
            )
        if self.in_outage or self._poll_at_once:
            return await self._hedged_call.run(
                lambda: _date_answer(
                    self.read_from(offset, 0.0, CALL_TIMEOUT_S)
                )
            )
        return await self._long_poll(offset)

    async def _long_poll(self, offset: int) -> _Answer[PageT] | None:
        """Waits for records; returns None if the read was abandoned."""
        wait_s = (
            propagation.WATCH_WAIT_S if self._watching else self._longest_wait_s
        )
        try:
            with self._track_pending_read():
                answer = await _date_answer(
                    self.read_from(
                        offset, wait_s, wait_s + propagation.RESPONSE_MARGIN_S
                    )
                )
                if self.count_records(answer.page):
                    return answer
                # The log waited for records until then.
                now = steadyclock.read()
                as_of = min(answer.as_of + wait_s, now)
                is_late = now - as_of > propagation.RESPONSE_MARGIN_S
                return msgspec.structs.replace(
                    answer, as_of=as_of, is_late=is_late
                )
        except log_error.LogTimeoutError as error:
            self._abandon_read(str(error))
        return None

    @contextlib.contextmanager
    def _track_pending_read(self) -> Iterator[None]:
        with anyio.CancelScope() as scope:
            self._pending_read = _PendingRead(steadyclock.read(), scope)
            try:
                yield
            finally:
                self._pending_read = None

    async def _wait_for_batch(self) -> None:
        await anyio.sleep(self._batch_delay_s)
        if self._watching:
            # By now all VMs whose read was not lost have these records too.
            self.on_advance()

    def _abandon_read(self, reason: str) -> None:
        """Abandons the pending read; the next one polls without a wait."""
        self._poll_at_once = True
        LOG.info(
            "read given up",
            extra={
                "stream": self.stream,
                "reason": reason,
                "end": self._end,
                "told": self._peer_end,
                "waited_s": _round_age(
                    self._read_started_at, steadyclock.read()
                ),
            },
        )
        if self._pending_read:
            self._pending_read.scope.cancel()

    def _begin_outage(self, detail: str) -> None:
        self.record_outage()
        if self.in_outage:
            return
        now = steadyclock.read()
        self.in_outage = True
        self._outage_began_at = now
        LOG.warning(
            "log lost",
            extra={
                "stream": self.stream,
                "detail": detail,
                "waited_s": _round_age(self._read_started_at, now),
                "answer_age_s": _round_age(self.answered_at, now),
            },
        )

    def _record_answer(
        self, offset: int | None, answer: _Answer[PageT], end: int
    ) -> None:
        """Records an answer.

        Args:
            offset: Offset from which on records were read; None for all.
            answer: The answer.
            end: End of the stream that is known now.
        """
        now = steadyclock.read()
        records = self.count_records(answer.page)
        if records or self._poll_at_once or self.in_outage:
            LOG.info(
                "log read",
                extra={
                    "stream": self.stream,
                    "offset": offset,
                    "end": end,
                    "records": records,
                    "waited_s": _round_age(self._read_started_at, now),
                },
            )
        if self.in_outage:
            self.in_outage = False
            away_s = round(now - self._outage_began_at, 3)
            LOG.info(
                "log regained",
                extra={"stream": self.stream, "away_s": away_s},
            )
        self._end = end
        if answer.as_of >= self._peer_end_at:
            # The log's answer takes precedence over what peers have reported.
            self._peer_end = min(self._peer_end, end)
        # VMs that follow this one would otherwise have to read the log.
        self._poll_at_once = (
            answer.is_late and self._watching and self._follows_peers
        )
        self._read_started_at = None
        self.answered_at = now
        if answer.as_of > self.fresh_at:
            self.fresh_at = answer.as_of
            self.fresh_origin = LOG_ORIGIN
        self.on_answer()


async def _date_answer(call: Awaitable[PageT]) -> _Answer[PageT]:
    """Returns an answer with the time at which its call was sent."""
    sent_at = steadyclock.read()
    return _Answer(sent_at, await call)


def _round_age(since: float | None, now: float) -> float | None:
    """Returns the rounded seconds since a time; None if there is none."""
    return None if since is None else round(now - since, 3)


def _do_nothing() -> None:
    """Default callback."""

"""Log output that is rate limited and never blocks the program."""

from __future__ import annotations

import collections
import errno
import logging
import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

from ramptray import steadyclock, wallclock

MAX_LINES_PER_S = 500
"""Maximum number of lines per second below warnings: five per request at a
hundred requests per second, about the load of a small entry VM."""

MIN_LINES_PER_KIND = 20
"""Lines per second that each kind of line may have beyond that, so that the
events of requests do not displace changes of what the program believes."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes that are buffered for a slow reader; further lines are dropped."""

REPORT_INTERVAL_S = 1.0
"""Shortest time between two reports of dropped lines, in seconds."""

MAX_BATCH_BYTES = 16 * 1024
"""Buffered bytes beyond which a batch is written at once."""

Schedule = Callable[[Callable[[], None]], object]
"""Calls a function once, at the end of the current event loop iteration."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        lines_per_s: Maximum number of lines per second; warnings, errors and
            the first ``MIN_LINES_PER_KIND`` lines of each kind, but no more
            than this, are exempt.
    """

    def __init__(
        self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._min_lines_per_kind = min(MIN_LINES_PER_KIND, lines_per_s)
        self._pending = bytearray()
        self._second = 0
        self._lines = 0
        self._lines_by_kind: collections.Counter[str] = collections.Counter()
        self._reported_lines = 0
        self._reported_at = 0.0
        self._schedule: Schedule | None = None
        self._is_scheduled = False
        self._encoder = msgspec.json.Encoder()
        self._timestamp_second = 0
        self._timestamp = ""
        os.set_blocking(descriptor, False)

    def set_batch_schedule(self, schedule: Schedule | None) -> None:
        """Batches the lines of one event loop iteration, except urgent ones.

        Each write costs a system call, and a request has five lines.  Lines
        are not held longer, as they would be lost when the process is killed.

        Args:
            schedule: Schedules the write; None to write each line at once.
        """
        self._schedule = schedule
        self._is_scheduled = False
        self.flush()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        urgent = record.levelno >= logging.WARNING
        if not (self._may_write(str(record.msg)) or urgent):
            self.dropped_lines += 1
            return
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._write(line, urgent)

    def write_event(self, name: str, text: str, event: dict[str, Any]) -> None:
        """Writes a line for an event, in the format of the formatter.

        It bypasses the formatter, whose records and templates cost several
        times as much as encoding the line itself.

        Args:
            name: Name of the logger.
            text: Message of the line.
            event: Fields of the event, JSON values; its ``kind`` is counted
                as the kind of the line.
        """
        if not self._may_write(event["kind"]):
            self.dropped_lines += 1
            return
        line = {
            "time": self._make_timestamp(),
            "level": "INFO",
            "name": name,
            "message": text,
            "event": event,
            **getattr(self.formatter, "static_fields", {}),
        }
        self._write(self._encoder.encode(line) + b"\n", False)

    def flush(self) -> None:
        """Writes as much of the buffer as is possible without blocking."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno != errno.EPIPE:
                raise
            # The reader is gone; that must not end the program.
            self._pending.clear()

    def _make_timestamp(self) -> str:
        """Returns the date and time in UTC, to the millisecond."""
        second, micros = divmod(wallclock.read(), 1_000_000)
        if second != self._timestamp_second:
            self._timestamp_second = second
            parts = time.gmtime(second)
            self._timestamp = time.strftime("%Y-%m-%d %H:%M:%S", parts)
        return f"{self._timestamp},{micros // 1000:03}"

    def _write(self, line: bytes, urgent: bool) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
        else:
            self._pending += line
        batches = self._schedule is not None and not urgent
        if not batches or len(self._pending) > MAX_BATCH_BYTES:
            self.flush()
        elif not self._is_scheduled and self._schedule is not None:
            self._is_scheduled = True
            self._schedule(self._flush_batch)

    def _flush_batch(self) -> None:
        self._is_scheduled = False
        self.flush()

    def _may_write(self, kind: str) -> bool:
        """Counts a line; returns whether the limits leave room for it.

        Args:
            kind: What the line is about: its message without arguments, or the
                type of its event.
        """
        now = steadyclock.read()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
            self._lines_by_kind.clear()
        if (
            self.dropped_lines > self._reported_lines
            and now - self._reported_at >= REPORT_INTERVAL_S
        ):
            self._reported_at = now
            self._report_dropped_lines()
        self._lines += 1
        self._lines_by_kind[kind] += 1
        return (
            self._lines <= self._lines_per_s
            or self._lines_by_kind[kind] <= self._min_lines_per_kind
        )

    def _report_dropped_lines(self) -> None:
        """Writes how many lines were dropped since the last report."""
        count = self.dropped_lines - self._reported_lines
        self._reported_lines = self.dropped_lines
        report = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines left out", None, None
        )
        report.count = count
        self._write(self.format(report).encode() + b"\n", True)


def write_event(name: str, text: str, event: dict[str, Any]) -> bool:
    """Writes a line for an event; returns False if no handler can write it."""
    root = logging.getLogger()
    if not root.isEnabledFor(logging.INFO):
        return True
    for handler in root.handlers:
        if isinstance(handler, BoundedHandler):
            handler.write_event(name, text, event)
            return True
    return False


def set_batch_schedule(schedule: Schedule | None) -> None:
    """Batches log lines; see ``BoundedHandler.set_batch_schedule``."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            handler.set_batch_schedule(schedule)

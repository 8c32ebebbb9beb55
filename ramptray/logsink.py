"""Where log lines go: bounded in number, and never blocking the program."""

from __future__ import annotations

import errno
import logging
import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

from ramptray import steadyclock, wallclock

LINES_PER_S = 500
"""Lines a second below warnings: five a request at a hundred requests a second,
about what a small entry VM serves."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes that may wait for a slow reader; beyond it lines are left out."""

REPORT_INTERVAL_S = 1.0
"""How often it is told how many lines were left out, in seconds."""

GATHER_BYTES = 16 * 1024
"""Bytes that are written without waiting for more."""

Schedule = Callable[[Callable[[], None]], object]
"""Calls back once, at the end of the event loop's turn."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    Args:
        descriptor: Where the lines go.
        lines_per_s: Lines a second that are written at most, warnings and
            errors aside.
    """

    def __init__(self, descriptor: int, lines_per_s: int = LINES_PER_S) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._pending = bytearray()
        self._second = 0
        self._lines = 0
        self._told = 0
        self._told_at = 0.0
        self._schedule: Schedule | None = None
        self._is_scheduled = False
        self._encoder = msgspec.json.Encoder()
        self._stamp_second = 0
        self._stamp = ""
        os.set_blocking(descriptor, False)

    def set_batch_schedule(self, schedule: Schedule | None) -> None:
        """Writes the lines of one turn together, where they are not urgent.

        Each write costs a system call, and a request has five lines.  Lines
        that waited longer would be missing where a process is killed.

        Args:
            schedule: Calls back later; None to write each line at once.
        """
        self._schedule = schedule
        self._is_scheduled = False
        self.flush()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as left out."""
        urgent = record.levelno >= logging.WARNING
        if not self._may_write(urgent):
            self.dropped_lines += 1
            return
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._write(line, urgent)

    def write_event(self, name: str, text: str, event: dict[str, Any]) -> None:
        """Writes a line of an event; it looks like those of the formatter.

        The formatter's way through records and templates costs several times
        as much as the line itself.

        Args:
            name: The logger's name.
            text: The message.
            event: Its facts, JSON values.
        """
        if not self._may_write(False):
            self.dropped_lines += 1
            return
        line = {
            "time": self._make_stamp(),
            "level": "INFO",
            "name": name,
            "message": text,
            "event": event,
            **getattr(self.formatter, "static_fields", {}),
        }
        self._write(self._encoder.encode(line) + b"\n", False)

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it now."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno != errno.EPIPE:
                raise
            # Nobody reads the log any more; that must not end the program.
            self._pending.clear()

    def _make_stamp(self) -> str:
        """Returns the time of day in UTC, to the millisecond."""
        second, micros = divmod(wallclock.read(), 1_000_000)
        if second != self._stamp_second:
            self._stamp_second = second
            moment = time.gmtime(second)
            self._stamp = time.strftime("%Y-%m-%d %H:%M:%S", moment)
        return f"{self._stamp},{micros // 1000:03}"

    def _write(self, line: bytes, urgent: bool) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
        else:
            self._pending += line
        gathers = self._schedule is not None and not urgent
        if not gathers or len(self._pending) > GATHER_BYTES:
            self.flush()
        elif not self._is_scheduled and self._schedule is not None:
            self._is_scheduled = True
            self._schedule(self._flush_gathered)

    def _flush_gathered(self) -> None:
        self._is_scheduled = False
        self.flush()

    def _may_write(self, urgent: bool) -> bool:
        now = steadyclock.read()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        if (
            self.dropped_lines > self._told
            and now - self._told_at >= REPORT_INTERVAL_S
        ):
            self._told_at = now
            self._tell()
        self._lines += 1
        return urgent or self._lines <= self._lines_per_s

    def _tell(self) -> None:
        """Writes how many lines were left out since this was told last."""
        count = self.dropped_lines - self._told
        self._told = self.dropped_lines
        told = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines left out", None, None
        )
        told.count = count
        self._write(self.format(told).encode() + b"\n", True)


def write_event(name: str, text: str, event: dict[str, Any]) -> bool:
    """Writes a line of an event; tells whether there is where to write it."""
    root = logging.getLogger()
    if not root.isEnabledFor(logging.INFO):
        return True
    for handler in root.handlers:
        if isinstance(handler, BoundedHandler):
            handler.write_event(name, text, event)
            return True
    return False


def set_batch_schedule(schedule: Schedule | None) -> None:
    """Has lines written together; see ``BoundedHandler.set_batch_schedule``."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, BoundedHandler):
            handler.set_batch_schedule(schedule)

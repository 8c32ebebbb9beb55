"""Where log lines go: bounded in number, and never blocking the program."""

from __future__ import annotations

import errno
import logging
import os

from ramptray import steadyclock

LINES_PER_S = 500
"""Lines a second below warnings: five a request at a hundred requests a second,
about what a small entry VM serves."""

MAX_PENDING_BYTES = 256 * 1024
"""Bytes that may wait for a slow reader; beyond it lines are left out."""

REPORT_S = 1.0
"""How often it is told how many lines were left out, in seconds."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    Args:
        descriptor: Where the lines go.
        lines_per_s: Lines a second that are written at most, warnings and
            errors aside.
    """

    def __init__(self, descriptor: int, lines_per_s: int = LINES_PER_S) -> None:
        super().__init__()
        self.left_out = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._pending = bytearray()
        self._second = 0
        self._lines = 0
        self._told = 0
        self._told_at = 0.0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as left out."""
        if not self._may_write(record):
            self.left_out += 1
            return
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._write(line)

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

    def _write(self, line: bytes) -> None:
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.left_out += 1
        else:
            self._pending += line
        self.flush()

    def _may_write(self, record: logging.LogRecord) -> bool:
        now = steadyclock.read()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        if self.left_out > self._told and now - self._told_at >= REPORT_S:
            self._told_at = now
            self._tell()
        self._lines += 1
        urgent = record.levelno >= logging.WARNING
        return urgent or self._lines <= self._lines_per_s

    def _tell(self) -> None:
        """Writes how many lines were left out since this was told last."""
        count = self.left_out - self._told
        self._told = self.left_out
        told = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines left out", None, None
        )
        told.count = count
        self._write(self.format(told).encode() + b"\n")

"""Tests that logging is rate limited and never blocks the program."""

from __future__ import annotations

import logging
import os
import time

from ramptray import logsink, steadyclock


def make_record(level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("n", level, "", 0, "line", None, None)


def read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


def make_handler() -> tuple[int, logsink.BoundedHandler]:
    """Returns a handler of 10 lines a second at the start of a second.

    The first element is the descriptor from which its lines are read.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = logsink.BoundedHandler(writer, lines_per_s=10)
    time.sleep(1.0 - steadyclock.read() % 1.0)
    return reader, handler


def test_dropped_lines_are_counted_and_reported() -> None:
    reader, handler = make_handler()
    for _ in range(50):
        handler.emit(make_record())
    handler.emit(make_record(logging.ERROR))
    lines = read(reader).splitlines()
    assert handler.dropped_lines == 40
    assert lines.count(b"line") == 11
    time.sleep(logsink.REPORT_INTERVAL_S)
    handler.emit(make_record())
    assert b"log lines left out" in read(reader)


def test_frequent_lines_do_not_displace_rare_ones() -> None:
    # The owner of a busy service logged so many events of requests that no line
    # told which backend servers had left.
    reader, handler = make_handler()
    for _ in range(50):
        handler.write_event("n", "event", {"kind": "granted"})
    handler.write_event("n", "event", {"kind": "blocked"})
    for _ in range(50):
        handler.emit(make_record())
    written = read(reader)
    assert written.count(b"granted") == 10
    assert written.count(b"blocked") == 1
    assert written.splitlines().count(b"line") == 10


def test_stalled_reader_does_not_block() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = logsink.BoundedHandler(writer, lines_per_s=10**9)
    started_at = steadyclock.read()
    for _ in range(100_000):
        handler.emit(make_record())
    assert steadyclock.read() - started_at < 10
    assert handler.dropped_lines > 0
    read(reader)
    handler.flush()
    assert read(reader)


def test_closed_reader_does_not_end_the_program() -> None:
    reader, writer = os.pipe()
    handler = logsink.BoundedHandler(writer)
    os.close(reader)
    handler.emit(make_record())

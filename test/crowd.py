"""Callers that do not behave: a crowd that presses a process from outside."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import os
import pathlib
import random
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator

from test import node

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 15.0
TRICKLE_INTERVAL_S = 0.1
SAMPLE_INTERVAL_S = 0.02
KERNEL_SAMPLE_INTERVAL_S = 0.2
MB = 1e6

TRIES = 8
"""How often an ordinary caller sends its request, as refusals advise it to."""

MAX_PAUSE_S = 2.0
"""Longest pause of a caller before it sends again, in seconds."""


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What each caller of a crowd does on a connection.

    Attributes:
        opening: Bytes that it sends first.
        repeated: Bytes that it then sends without end; empty for none.
        trickled: Bytes that it then sends now and then; empty for none.
        reads: Whether it reads what it is sent.
    """

    opening: bytes
    repeated: bytes = b""
    trickled: bytes = b""
    reads: bool = True


class _Caller:
    """A connection of a caller.

    Args:
        opened: The connection.
        behaviour: What the caller does on it.
    """

    def __init__(self, opened: socket.socket, behaviour: Behaviour) -> None:
        self.connection = opened
        self._behaviour = behaviour
        self._unsent = memoryview(behaviour.opening)
        self._trickle_at = 0.0

    def find_events(self, now: float) -> int:
        """Returns what it waits for, and adds what it sends next."""
        if not self._unsent and self._behaviour.repeated:
            self._unsent = memoryview(self._behaviour.repeated)
        if not self._unsent and now >= self._trickle_at:
            self._unsent = memoryview(self._behaviour.trickled)
            self._trickle_at = now + TRICKLE_INTERVAL_S
        events = selectors.EVENT_READ if self._behaviour.reads else 0
        return events | (selectors.EVENT_WRITE if self._unsent else 0)

    def exchange(self, events: int) -> bool:
        """Sends and reads; returns whether the connection is still open."""
        try:
            if events & selectors.EVENT_READ and not self._read():
                return False
            if events & selectors.EVENT_WRITE:
                sent = self.connection.send(self._unsent)
                self._unsent = self._unsent[sent:]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def _read(self) -> bool:
        return bool(self.connection.recv(65_536))


class Crowd:
    """Callers of one address; each opens its connection again once it ends.

    Args:
        address: Where they connect to.
        behaviour: What each of them does.
        count: Number of callers.
        seed: Seed of the order in which they send.
    """

    def __init__(
        self, address: str, behaviour: Behaviour, count: int, seed: int
    ) -> None:
        host, port = address.split(":")
        self._address = (host, int(port))
        self._behaviour = behaviour
        self._count = count
        self._rng = random.Random(seed)
        self._callers: list[_Caller] = []

    def press(self, span_s: float) -> None:
        """Opens the connections, and closes them after some seconds."""
        ends_at = time.monotonic() + span_s
        try:
            while time.monotonic() < ends_at:
                self._open_missing(ends_at)
                self._exchange_all()
        finally:
            for caller in self._callers:
                caller.connection.close()

    def _open_missing(self, ends_at: float) -> None:
        while len(self._callers) < self._count and time.monotonic() < ends_at:
            try:
                opened = socket.create_connection(
                    self._address, CONNECT_TIMEOUT_S
                )
            except OSError:
                return
            opened.setblocking(False)
            self._callers.append(_Caller(opened, self._behaviour))

    def _exchange_all(self) -> None:
        now = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for caller in self._callers:
                if events := caller.find_events(now):
                    selector.register(caller.connection, events, caller)
            ready = selector.select(SAMPLE_INTERVAL_S)
        self._rng.shuffle(ready)
        ended = {
            id(key.data)
            for key, events in ready
            if not key.data.exchange(events)
        }
        for caller in self._callers:
            if id(caller) in ended:
                caller.connection.close()
        self._callers = [
            caller for caller in self._callers if id(caller) not in ended
        ]


@dataclasses.dataclass
class Usage:
    """The most that a process took.

    Attributes:
        memory_mb: Resident memory, and bytes that wait unread at its ports, in
            megabytes.
        descriptors: Open descriptors.
    """

    memory_mb: float = 0.0
    descriptors: int = 0


@contextlib.contextmanager
def measure_usage(pid: int, addresses: list[str]) -> Iterator[Usage]:
    """Measures a process until the context ends.

    Args:
        pid: The process.
        addresses: Where it listens.
    """
    usage = Usage()
    ended = threading.Event()

    def sample() -> None:
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        unread_mb = 0.0
        kernel_at = 0.0
        while not ended.wait(SAMPLE_INTERVAL_S):
            if time.monotonic() >= kernel_at:
                unread_mb = _read_unread_mb(ports)
                kernel_at = time.monotonic() + KERNEL_SAMPLE_INTERVAL_S
            with contextlib.suppress(OSError):  # The process has ended.
                usage.memory_mb = max(
                    usage.memory_mb, _read_resident_mb(pid) + unread_mb
                )
                usage.descriptors = max(
                    usage.descriptors, len(os.listdir(f"/proc/{pid}/fd"))
                )

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield usage
    finally:
        ended.set()
        thread.join()


def _read_resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def _read_unread_mb(ports: set[int]) -> float:
    """Returns the bytes that wait unread at some local ports."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = (line.split() for line in lines)
    return (
        sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if int(row[1].partition(":")[2], 16) in ports and row[3] != "0A"
        )
        / MB
    )


def make_chunk(size: int, extension: str = "") -> bytes:
    """Returns a chunk of a body."""
    return b"%x%s\r\n%s\r\n" % (size, extension.encode(), b"x" * size)


def exchange(address: str, data: bytes) -> node.Answer:
    """Sends bytes on a connection of their own; returns the answer."""
    host, port = address.split(":")
    with socket.create_connection(
        (host, int(port)), ANSWER_TIMEOUT_S
    ) as opened:
        # A refusal may come before all has been sent.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            opened.sendall(data)
        return _read_answer(opened)


def is_answered(ask: Callable[[], node.Answer]) -> bool:
    """Returns whether an ordinary caller gets its answer in the end.

    Args:
        ask: Sends its request once.
    """
    for _ in range(TRIES):
        try:
            answer = ask()
        except OSError:
            continue
        if answer.status == 200:
            return True
        advised_s = float(answer.headers.get("retry-after", 0.0))
        time.sleep(min(advised_s, MAX_PAUSE_S))
    return False


def collect_answers(address: str, data: bytes, count: int) -> list[node.Answer]:
    """Returns what callers get that send the same and wait for a second.

    Args:
        address: Where they connect to.
        data: What each of them sends.
        count: Number of callers.
    """
    host, port = address.split(":")
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(socket.create_connection((host, int(port))))
            for _ in range(count)
        ]
        for connection in opened:
            connection.sendall(data)
        time.sleep(1.0)
        with selectors.DefaultSelector() as selector:
            for connection in opened:
                selector.register(connection, selectors.EVENT_READ)
            answered = [key.fileobj for key, _ in selector.select(0.0)]
        return [_read_answer(connection) for connection in answered]


def _read_answer(connection: object) -> node.Answer:
    assert isinstance(connection, socket.socket)
    response = http.client.HTTPResponse(connection)
    response.begin()
    return node.Answer(response)

"""A loopback proxy that delays, resets, cuts and silences connections.

It runs in a thread of the soak, between real programs.  What it does to open
connections it does to those only; a cut holds for new ones too.  A partition
also shows what a program's kernel reports of one: attempts that time out or are
refused, and connections that fail.
"""

from __future__ import annotations

import contextlib
import enum
import math
import selectors
import socket
import struct
import threading
import time
from collections.abc import Iterable

from bench import ports

READ_BYTES = 65536
TURN_S = 0.02
"""Longest pause between two looks at what was asked for, in seconds."""

STRAND_S = 0.05
"""Time in which proxies have stranded their connections, in seconds."""

_LINGER_NONE = struct.pack("ii", 1, 0)
"""Socket option with which a close sends a reset."""


USER_TIMEOUT_S = 0.6
"""How long a caller's unacknowledged bytes are left on a partitioned connection
before its kernel ends it, in seconds."""

KEEPALIVE_TIMEOUT_S = 2.0
"""The same for a connection on which the caller sends nothing."""


class Partition(enum.Enum):
    """How connections behave during a network partition.

    Attributes:
        HANG: Nothing passes, and new connections are not answered.
        RESET: Open connections are reset, and new ones are refused.
        REFUSE: Open connections live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class _Pair:
    """One connection from a caller and the one made for it.

    Attributes:
        silent: Whether nothing passes any more, though both stay open.
        fails_at: When the caller's kernel ends a partitioned connection.
        due_at: When the last piece read from each end is passed on.
    """

    def __init__(self, caller: socket.socket, target: socket.socket) -> None:
        self.caller = caller
        self.target = target
        self.silent = False
        self.fails_at = math.inf
        self.due_at = dict.fromkeys((caller, target), 0.0)

    def get_other(self, side: socket.socket) -> socket.socket:
        """Returns the other end."""
        return self.target if side is self.caller else self.caller

    def close(self, reset: bool = False) -> None:
        """Closes both ends."""
        for side in (self.caller, self.target):
            if reset:
                side.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
                )
            side.close()


class Proxy:
    """Passes connections on to one address.

    Args:
        target: IP number and port of the program behind it.
        bytes_per_s: What the link to the program carries towards its callers;
            0 for as much as comes.

    Attributes:
        address: Where it listens.
        passed_bytes: What has passed towards callers.
        delay_s: How long each piece is held back, in seconds.
        cut: Whether nothing passes: neither way, nor on new connections.
        cut_answers: The same for what comes from the program behind it.
    """

    def __init__(self, target: str, bytes_per_s: float = 0.0) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        # A port of outgoing connections could be taken while it is closed.
        self._listener = socket.create_server((host, ports.reserve_port()))
        self._listener.setblocking(False)
        self._listen_on = self._listener.getsockname()
        self._partition: Partition | None = None
        self._wanted_partition: Partition | None = None
        # Connections that fill the backlog, and ends of failed connections.
        self._held_open: list[socket.socket] = []
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.delay_s = 0.0
        self.passed_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.cut = False
        self.cut_answers = False
        self._reset = threading.Event()
        self._silence = threading.Event()
        self._strand = threading.Event()
        self._ended = threading.Event()
        self._selector = selectors.DefaultSelector()
        self._pairs: dict[socket.socket, _Pair] = {}
        self._held: list[tuple[float, _Pair, socket.socket, bytes]] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def reset(self) -> None:
        """Resets all open connections."""
        self._reset.set()

    def silence(self) -> None:
        """Lets nothing pass on those that are open now, for good."""
        self._silence.set()

    def strand(self) -> None:
        """Leaves the program behind it with connections that have no caller.

        So it sees a caller's machine that lost power: nothing is closed.
        """
        self._strand.set()

    def partition(self, how: Partition | None) -> None:
        """Begins a network partition; None ends it."""
        self._wanted_partition = how

    def close(self) -> None:
        """Ends the proxy and its connections."""
        self._ended.set()
        self._thread.join()
        self._listener.close()

    def _run(self) -> None:
        self._selector.register(self._listener, selectors.EVENT_READ)
        while not self._ended.is_set():
            for key, _ in self._selector.select(TURN_S):
                if key.fileobj is self._listener:
                    self._accept()
                elif isinstance(key.fileobj, socket.socket):
                    self._pass_on(key.fileobj)
            self._obey()
            self._send_held()
        for pair in set(self._pairs.values()):
            self._drop(pair)
        for held in self._held_open:
            held.close()

    def _obey(self) -> None:
        """Does once to open connections what was asked for."""
        if self._reset.is_set():
            self._reset.clear()
            for pair in set(self._pairs.values()):
                self._drop(pair, reset=True)
        if self._silence.is_set():
            self._silence.clear()
            for pair in set(self._pairs.values()):
                pair.silent = True
        if self._strand.is_set():
            self._strand.clear()
            for pair in set(self._pairs.values()):
                self._held_open.append(pair.target.dup())
                self._drop(pair, reset=True)
        if self._wanted_partition is not self._partition:
            if self._partition is not None:
                self._end_partition()
            self._partition = self._wanted_partition
            if self._partition is not None:
                self._begin_partition(self._partition)
        self._fail_partitioned()

    def _begin_partition(self, how: Partition) -> None:
        self._selector.unregister(self._listener)
        if how is Partition.HANG:
            # With a full backlog, the kernel ignores further attempts.
            self._listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self._listen_on)
                self._held_open.append(filler)
        else:
            self._listener.close()
        for pair in set(self._pairs.values()):
            if how is Partition.RESET:
                self._drop(pair, reset=True)
            elif how is Partition.HANG:
                pair.silent = True
                pair.fails_at = time.monotonic() + KEEPALIVE_TIMEOUT_S

    def _end_partition(self) -> None:
        for held in self._held_open:
            held.close()
        self._held_open.clear()
        if self._partition is Partition.HANG:
            self._listener.listen()
        else:
            self._listener = socket.create_server(self._listen_on)
            self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)

    def _fail_partitioned(self) -> None:
        """Resets the callers' ends whose kernel would give them up."""
        now = time.monotonic()
        for pair in set(self._pairs.values()):
            if pair.fails_at <= now:
                self._held_open.append(pair.target.dup())
                self._drop(pair, reset=True)

    def _accept(self) -> None:
        try:
            caller, _ = self._listener.accept()
        except OSError:
            return  # The caller has given up.
        try:
            target = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            # The program is down: its caller sees what it would see there.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            caller.close()
            return
        pair = _Pair(caller, target)
        for side in (caller, target):
            self._pairs[side] = pair
            self._selector.register(side, selectors.EVENT_READ)

    def _pass_on(self, side: socket.socket) -> None:
        pair = self._pairs.get(side)
        if pair is None:
            return
        try:
            data = side.recv(READ_BYTES)
        except OSError:
            self._drop(pair, reset=True)
            return
        answers = side is pair.target
        if self.cut or pair.silent or (self.cut_answers and answers):
            # What was lost once makes the rest worthless; it stays open.
            pair.silent = True
            if not data:
                self._drop(pair)
            elif pair.fails_at < math.inf:
                fails_at = time.monotonic() + USER_TIMEOUT_S
                pair.fails_at = min(pair.fails_at, fails_at)
            return
        if not data:
            due = max(time.monotonic() + self.delay_s, pair.due_at[side])
            self._held.append((due, pair, side, b""))
            self._selector.unregister(side)
            return
        # A link whose delay ends does not reorder what it carries.
        due = max(time.monotonic() + self.delay_s, pair.due_at[side])
        if answers:
            due = max(due, self._occupy(len(data)))
            self.passed_bytes += len(data)
        pair.due_at[side] = due
        self._held.append((due, pair, pair.get_other(side), data))
        self._send_held()

    def _occupy(self, count: int) -> float:
        """Returns when the link has carried so many bytes more."""
        if not self._bytes_per_s:
            return 0.0
        begins_at = max(self._free_at, time.monotonic())
        self._free_at = begins_at + count / self._bytes_per_s
        return self._free_at

    def _send_held(self) -> None:
        now = time.monotonic()
        due = [held for held in self._held if held[0] <= now]
        self._held = [held for held in self._held if held[0] > now]
        for _, pair, side, data in due:
            if side not in self._pairs or pair.silent:
                continue
            if not data:
                self._drop(pair)
                continue
            try:
                side.settimeout(1.0)
                side.sendall(data)
            except OSError:
                self._drop(pair, reset=True)

    def _drop(self, pair: _Pair, reset: bool = False) -> None:
        for side in (pair.caller, pair.target):
            if self._pairs.pop(side, None) is not None:
                with contextlib.suppress(KeyError, ValueError):
                    self._selector.unregister(side)
        pair.close(reset)


def strand_all(links: Iterable[Proxy]) -> None:
    """Strands the connections of several proxies, and waits until it is done.

    A caller that ended sooner would still close some of them.
    """
    for link in links:
        link.strand()
    time.sleep(STRAND_S)

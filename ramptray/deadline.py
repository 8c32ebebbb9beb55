"""Timers that look once more at what has arrived before they end a wait.

After the process stood still, or after a long turn of the event loop, asyncio
runs due timers before it has read its sockets.  A scope of anyio then ends a
wait for something that has already arrived.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterator

import anyio
import anyio.lowlevel

from ramptray import steadyclock

LOOK_TURNS = 16
"""Turns of the event loop between the timer and the end of the wait.  Each one
reads the sockets.  A response of 256 KB takes four reads, of three turns
each."""

MIN_LATE_S = 0.02
"""Delay of a timer, in seconds, from which on what has arrived may be unread.
On a VM with processor time to spare timers are a few milliseconds late."""

LATE_LOOK_S = 0.05
"""Further time after a late timer, in seconds.  gRPC reads its sockets in
threads of its own, which stood still as well."""


async def look() -> None:
    """Lets the event loop read what has arrived and handle it."""
    for _ in range(LOOK_TURNS):
        await anyio.lowlevel.checkpoint()


async def look_if_late(due_at: float) -> None:
    """Lets the event loop read what has arrived if a timer is late.

    Args:
        due_at: When the timer was due, in seconds of the event loop's clock.
    """
    if _is_late(due_at):
        await anyio.sleep(LATE_LOOK_S)
        await look()


class Timeout:
    """Cancels a scope some turns of the event loop after its time is over.

    Args:
        scope: The scope.
        timeout_s: The time, in seconds; None for no limit.
    """

    def __init__(
        self, scope: anyio.CancelScope, timeout_s: float | None
    ) -> None:
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._due_at = math.inf
        self._turns_left = LOOK_TURNS
        self._handle: asyncio.Handle | None = None
        if timeout_s is not None:
            self._due_at = steadyclock.read_loop() + timeout_s
            self._start()

    @property
    def cancelled_caught(self) -> bool:
        """Whether the time was over and nothing had arrived."""
        return self._scope.cancelled_caught

    def extend(self, timeout_s: float) -> None:
        """Lets the block go on for at least some further seconds."""
        extended_to = steadyclock.read_loop() + timeout_s
        self._due_at = max(self._due_at, extended_to)

    def stop(self) -> None:
        """Leaves the scope as it is."""
        if self._handle is not None:
            self._handle.cancel()

    def _start(self) -> None:
        self._turns_left = LOOK_TURNS
        left_s = self._due_at - steadyclock.read_loop()
        self._handle = self._loop.call_later(max(0.0, left_s), self._on_due)

    def _on_due(self) -> None:
        if _is_late(self._due_at):
            self._handle = self._loop.call_later(LATE_LOOK_S, self._look)
        else:
            self._look()

    def _look(self) -> None:
        if self._due_at > steadyclock.read_loop():
            self._start()
        elif not self._turns_left:
            self._scope.cancel()
        else:
            self._turns_left -= 1
            self._handle = self._loop.call_soon(self._look)


def _is_late(due_at: float) -> bool:
    return steadyclock.read_loop() - due_at >= MIN_LATE_S


@contextlib.contextmanager
def move_on_after(timeout_s: float | None) -> Iterator[Timeout]:
    """Leaves its block after a timeout and a last look at the sockets.

    Args:
        timeout_s: The timeout, in seconds; None for none.
    """
    with anyio.CancelScope() as scope:
        timeout = Timeout(scope, timeout_s)
        try:
            yield timeout
        finally:
            timeout.stop()


@contextlib.contextmanager
def fail_after(timeout_s: float | None) -> Iterator[Timeout]:
    """Does the same as ``move_on_after``, but tells that it left its block.

    Args:
        timeout_s: The timeout, in seconds; None for none.

    Raises:
        TimeoutError: The time was over and nothing had arrived.
    """
    with move_on_after(timeout_s) as timeout:
        yield timeout
    if timeout.cancelled_caught:
        raise TimeoutError

"""Events for the one that owns a piece of state, handled one at a time.

An event is handled by whoever posts it, unless another one is being handled:
then it waits until that is done.  A task of its own for the events would cost a
switch of tasks for each.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

import anyio


class Mailbox:
    """Takes events and has them handled in their order.

    Args:
        handle: Handles one event.
    """

    def __init__(self, handle: Callable[[Any], None]) -> None:
        self._handle = handle
        self._waiting: collections.deque[Any] = collections.deque()
        self._is_open = False
        self._is_handling = False
        self._error: Exception | None = None
        self._failed = anyio.Event()

    def post(self, event: Any) -> None:
        """Has an event handled, at once if it can be."""
        self._waiting.append(event)
        if self._is_open and not self._is_handling:
            self._handle_waiting()

    def drain(self) -> list[Any]:
        """Returns the events that wait, and handles them no more."""
        waiting = list(self._waiting)
        self._waiting.clear()
        return waiting

    async def run(self) -> None:
        """Handles events until cancelled.

        Raises:
            Exception: What the handling of an event raised, whoever posted it.
        """
        self._is_open = True
        try:
            self._handle_waiting()
            await self._failed.wait()
        finally:
            self._is_open = False
        if self._error is not None:
            raise self._error

    def _handle_waiting(self) -> None:
        self._is_handling = True
        try:
            while self._waiting and self._error is None:
                self._handle(self._waiting.popleft())
        except Exception as error:
            # It is no mistake of whoever happened to post the event.
            self._error = error
            self._failed.set()
        finally:
            self._is_handling = False

"""Event queue of an object that owns state: handles one event at a time.

An event is handled in the task that posts it, unless another event is being
handled: then it is queued until that is done.  A separate task for the events
would cost a task switch for each of them.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

import anyio


class Mailbox:
    """Queues events and handles them in order.

    Args:
        handle: Called with each event.
    """

    def __init__(self, handle: Callable[[Any], None]) -> None:
        self._handle = handle
        self._queue: collections.deque[Any] = collections.deque()
        self._is_open = False
        self._is_handling = False
        self._error: Exception | None = None
        self._failed = anyio.Event()

    def post(self, event: Any) -> None:
        """Queues an event, and handles it at once if possible."""
        self._queue.append(event)
        if self._is_open and not self._is_handling:
            self._handle_queue()

    def drain(self) -> list[Any]:
        """Removes and returns the queued events, which are not handled."""
        events = list(self._queue)
        self._queue.clear()
        return events

    async def run(self) -> None:
        """Handles events until cancelled.

        Raises:
            Exception: The handler raised it, for an event of any caller.
        """
        self._is_open = True
        try:
            self._handle_queue()
            await self._failed.wait()
        finally:
            self._is_open = False
        if self._error is not None:
            raise self._error

    def _handle_queue(self) -> None:
        self._is_handling = True
        try:
            while self._queue and self._error is None:
                self._handle(self._queue.popleft())
        except Exception as error:
            # Raised in run(): whoever posted the event did not cause it.
            self._error = error
            self._failed.set()
        finally:
            self._is_handling = False

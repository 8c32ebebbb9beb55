"""A read of the store that all share who ask for it at the same time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from ramptray import steadyclock


class SharedRead:
    """Makes one read for all calls that wait, and not too many reads.

    Args:
        read: Makes the read; returns whether the store has answered.
        min_interval_s: Shortest time between the starts of two reads, in
            seconds.  Callers cause them.
    """

    def __init__(
        self, read: Callable[[], Awaitable[bool]], min_interval_s: float
    ) -> None:
        self._read = read
        self._min_interval_s = min_interval_s
        self._lock = anyio.Lock()
        # When the last read that ended, and the last one of all, began.
        self._began_at = float("-inf")
        self._tried_at = float("-inf")
        self._has_answered = False

    async def get_answer(self) -> bool:
        """Waits for a read that began after this call.

        Returns:
            Whether the store has answered it.
        """
        asked_at = steadyclock.read()
        async with self._lock:
            if self._began_at < asked_at:
                due_at = self._tried_at + self._min_interval_s
                await anyio.sleep(max(0.0, due_at - steadyclock.read()))
                began_at = self._tried_at = steadyclock.read()
                self._has_answered = await self._read()
                # A read that was cancelled with its caller answers nobody.
                self._began_at = began_at
            return self._has_answered

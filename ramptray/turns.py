"""Turns at work that would hold up the event loop."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from ramptray import deadline, steadyclock

Turn = asyncio.Future[None]
"""Done when it is the turn of whoever waits for it."""


class TurnQueue:
    """Lets one task work in each pass of the event loop.

    A connection whose bytes take long to parse shares the event loop with all
    others, which may be thousands.  With one of them in each pass, what costs
    little is not held up by what costs much, however many send it.  Of those
    that wait, the one that has worked least is next.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, Turn]] = []
        self._numbers = itertools.count()
        self._is_scheduled = False
        self._is_closed = False

    def enqueue(self, used_turns: int) -> Turn:
        """Returns a turn to wait for.

        Args:
            used_turns: How many the task has had for the same request.
        """
        turn: Turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (used_turns, next(self._numbers), turn))
        if self._is_closed:
            withdraw(turn)
        self._schedule()
        return turn

    def close(self) -> None:
        """Withdraws all turns, also later ones."""
        self._is_closed = True
        for _, _, turn in self._waiting:
            withdraw(turn)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._pass_on)

    def _pass_on(self) -> None:
        """Gives the next turn; those that wait no longer get none."""
        self._is_scheduled = False
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                break
        self._schedule()


async def wait(turn: Turn, ends_at: float) -> None:
    """Waits for a turn.

    Args:
        turn: The turn.
        ends_at: When to wait no longer, in seconds of the steady clock.

    Raises:
        TimeoutError: It did not come in time, or was withdrawn.
    """
    with deadline.fail_after(max(0.0, ends_at - steadyclock.read())):
        await turn


def withdraw(turn: Turn) -> None:
    """Ends the wait for a turn as if its time were over."""
    if not turn.done():
        turn.set_exception(TimeoutError("the turn was withdrawn"))

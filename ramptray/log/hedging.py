"""Repeats a call to the log until one answers, but none that is answering.

A call that a silent log took is never answered, also when the log is back; a
slow log answers the earlier ones, so they go on.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio

from ramptray import steadyclock
from ramptray.log import error as log_error

LOG = logging.getLogger(__name__)

HEDGE_DELAY_S = 0.8
"""Time after which a call that need not wait is repeated, in seconds: twice
what an answer takes on the slowest days of the log."""

STALL_TIMEOUT_S = 1.0
"""An answer of which bytes came within this time is on its way, in seconds.  A
large one takes long on a slow link, and repeating it makes the link slower: by
older versions 93 and 87 requests were refused or served too late with repeats,
6 without (88 VMs, 1,317 routes, the same load played again)."""

AnswerT = TypeVar("AnswerT")


class HedgedCall(Generic[AnswerT]):
    """Calls that need not wait, of which one answer is wanted.

    Args:
        on_overdue: Called with each account of a call without an answer.
    """

    def __init__(self, on_overdue: Callable[[str], None]) -> None:
        self._on_overdue = on_overdue
        self._progress_at = float("-inf")

    def record_progress(self) -> None:
        """Notes that bytes of an answer have come."""
        self._progress_at = steadyclock.read()

    @property
    def is_arriving(self) -> bool:
        """Whether an answer is on its way, if a slow one."""
        return steadyclock.read() - self._progress_at < STALL_TIMEOUT_S

    async def ask(self, call: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
        """Repeats a call until one of them answers.

        Raises:
            log_error.LogError: The log turned a call away.
        """
        send, receive = anyio.create_memory_object_stream[
            AnswerT | log_error.LogError
        ](1)

        async def attempt() -> None:
            try:
                outcome: AnswerT | log_error.LogError = await call()
            except log_error.LogTimeoutError as error:
                # Whoever waits has logged "log lost" and repeats the call.
                LOG.debug("call given up: %s", error)
                return
            except log_error.LogError as error:
                outcome = error
            with contextlib.suppress(anyio.WouldBlock):
                send.send_nowait(outcome)

        self._progress_at = float("-inf")
        async with send, receive, anyio.create_task_group() as tasks:
            while True:
                if not self.is_arriving:
                    tasks.start_soon(attempt)
                with anyio.move_on_after(HEDGE_DELAY_S):
                    outcome = await receive.receive()
                    break
                if not self.is_arriving:
                    self._on_overdue(f"no answer within {HEDGE_DELAY_S} s")
            tasks.cancel_scope.cancel()
        if isinstance(outcome, log_error.LogError):
            raise outcome
        return outcome

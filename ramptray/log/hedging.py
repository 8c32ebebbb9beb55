"""Hedges calls to the log: repeats a call while none is being answered.

An unresponsive log never answers the calls that it received, even after it has
recovered.  A slow log still answers the earlier calls, so these continue.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import anyio

from ramptray import deadline, steadyclock
from ramptray.log import error as log_error

LOG = logging.getLogger(__name__)

HEDGE_DELAY_S = 0.8
"""Time after which a call that need not wait is repeated, in seconds: twice
the log's response time on its slowest days."""

STALL_TIMEOUT_S = 1.0
"""Time without bytes after which an answer counts as stalled, in seconds.  A
large answer takes long on a slow link, and repeating the call slows the link
further: with 88 VMs and 1,317 routes, older versions refused 93 and 87 requests
or served them too late with repeats, 6 without, under the same load."""

AnswerT = TypeVar("AnswerT")


class HedgedCall(Generic[AnswerT]):
    """A call that need not wait, repeated until the first answer.

    Args:
        on_overdue: Called with a description when an answer is overdue.
    """

    def __init__(self, on_overdue: Callable[[str], None]) -> None:
        self._on_overdue = on_overdue
        self._progress_at = float("-inf")

    def record_progress(self) -> None:
        """Records that bytes of an answer have arrived."""
        self._progress_at = steadyclock.read()

    @property
    def is_receiving(self) -> bool:
        """Whether an answer is being received, however slowly."""
        return steadyclock.read() - self._progress_at < STALL_TIMEOUT_S

    async def run(self, call: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
        """Repeats a call until the log answers one of them.

        Raises:
            log_error.LogError: The log rejected a call.
        """
        send, receive = anyio.create_memory_object_stream[
            AnswerT | log_error.LogError
        ](1)

        async def attempt() -> None:
            try:
                outcome: AnswerT | log_error.LogError = await call()
            except log_error.LogTimeoutError as error:
                # The loop below reports the missing answer, which logs "log
                # lost", and repeats the call.
                LOG.debug("call timed out: %s", error)
                return
            except log_error.LogError as error:
                outcome = error
            with contextlib.suppress(anyio.WouldBlock):
                send.send_nowait(outcome)

        self._progress_at = float("-inf")
        async with send, receive, anyio.create_task_group() as tasks:
            while True:
                if not self.is_receiving:
                    tasks.start_soon(attempt)
                with deadline.move_on_after(HEDGE_DELAY_S):
                    outcome = await receive.receive()
                    break
                if not self.is_receiving:
                    self._on_overdue(f"no answer within {HEDGE_DELAY_S} s")
            tasks.cancel_scope.cancel()
        if isinstance(outcome, log_error.LogError):
            raise outcome
        return outcome

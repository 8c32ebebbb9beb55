"""Runs the long-lived tasks of a process, and runs them again if they fail.

A task that reads what other programs wrote may meet an error of this program
for it.  Without a supervisor the error would end the process, which would read
the same again at its next start.
"""

from __future__ import annotations

import collections
import logging
from collections.abc import Awaitable, Callable

import anyio

from ramptray import steadyclock
from ramptray.caller import metrics

LOG = logging.getLogger(__name__)

MIN_PAUSE_S = 0.1
"""Pause before a task that failed runs again, in seconds; it doubles with each
failure up to ``MAX_PAUSE_S``."""

MAX_PAUSE_S = 5.0
"""Longest such pause, in seconds."""

SOUND_S = 10.0
"""Time after which a task that runs again counts as sound, in seconds."""

Run = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs the long-lived tasks of a process."""

    def __init__(self) -> None:
        self._failures: collections.Counter[str] = collections.Counter()

    async def keep_running(self, name: str, run: Run) -> None:
        """Runs a task until it returns; runs it again whenever it fails.

        Args:
            name: Name of the task, for logs and metrics.
            run: The task; it keeps its state in its object.
        """
        pause_s = MIN_PAUSE_S
        while True:
            began_at = steadyclock.read()
            if await self.attempt(name, run):
                return
            if steadyclock.read() - began_at >= SOUND_S:
                pause_s = MIN_PAUSE_S
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def attempt(self, name: str, run: Run) -> bool:
        """Runs a task once; returns whether it ended without an error.

        Args:
            name: Name of the task, for logs and metrics.
            run: The task.
        """
        try:
            await run()
        except Exception:
            self._failures[name] += 1
            LOG.exception("task failed", extra={"task": name})
            return False
        return True

    async def run_critical(self, name: str, run: Run) -> None:
        """Runs a task whose failure ends the process.

        Args:
            name: Name of the task, for logs.
            run: The task.

        Raises:
            Exception: The task failed.
        """
        try:
            await run()
        except Exception as error:
            LOG.critical(
                "task failed; the process ends",
                extra={"task": name, "detail": repr(error)},
            )
            raise

    def list_gauges(self) -> list[metrics.Gauge]:
        """Returns how often each task has failed."""
        return [
            metrics.Gauge("task_failures", {"task": name}, count)
            for name, count in sorted(self._failures.items())
        ]

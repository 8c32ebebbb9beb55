"""Names the tasks of a process, so that a failure tells which one it was."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

LOG = logging.getLogger(__name__)

Run = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs the long-lived tasks of a process."""

    async def run(self, name: str, run: Run) -> None:
        """Runs a task; logs the task's name if it fails.

        Args:
            name: Name of the task, for logs and metrics.
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

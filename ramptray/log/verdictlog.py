"""Where it is kept what was decided on rollouts."""

from __future__ import annotations

import abc

from ramptray.core import rollout


class VerdictLog(abc.ABC):
    """Keeps one verdict on each release of a service."""

    @abc.abstractmethod
    async def save(self, verdict: rollout.Verdict) -> rollout.Verdict:
        """Keeps a verdict, unless a final one is kept already.

        Returns:
            The verdict that is kept.

        Raises:
            LogError: It may not have been kept; it may be tried again.
        """

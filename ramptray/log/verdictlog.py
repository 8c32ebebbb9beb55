"""Storage of verdicts on rollouts."""

from __future__ import annotations

import abc

from ramptray.core import rollout


class VerdictLog(abc.ABC):
    """Stores one verdict for each release of a service."""

    @abc.abstractmethod
    async def save(self, verdict: rollout.Verdict) -> rollout.Verdict:
        """Stores a verdict, unless a final one is stored already.

        Returns:
            The stored verdict.

        Raises:
            LogError: It may not have been stored; the call may be retried.
        """

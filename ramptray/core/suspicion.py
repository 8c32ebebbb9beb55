"""What is suspected of crashing backend servers, as placement needs it."""

from __future__ import annotations

import abc


class Suspicions(abc.ABC):
    """Knows the causes that may make a request crash its backend server.

    The causes of a request are the digests of its content and of the parts of
    its prompt, see ``message.RequestInfo.causes``.
    """

    @abc.abstractmethod
    def find_suspects(self, causes: frozenset[str]) -> frozenset[str]:
        """Returns those causes of a request that a crash may be due to."""

    @abc.abstractmethod
    def find_on_trial(self, causes: frozenset[str]) -> frozenset[str]:
        """Returns those causes of a request that one request tries at a time.

        A cause that has completed before is tried only after several crashes,
        as a frequent one runs on every server.
        """


class NoSuspicions(Suspicions):
    """Suspects nothing."""

    def find_suspects(self, causes: frozenset[str]) -> frozenset[str]:
        """See the base class."""
        return frozenset()

    def find_on_trial(self, causes: frozenset[str]) -> frozenset[str]:
        """See the base class."""
        return frozenset()

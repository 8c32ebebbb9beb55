"""Which backend servers a waiting request may go to."""

from __future__ import annotations

from collections.abc import Mapping

from ramptray.core import backend as backends
from ramptray.core import message, queue

TRIAL_S = 2.0
"""Time after the last pause in which trials may be under way, in seconds."""


class Eligibility:
    """Filters a shard's backend servers for a request.

    Args:
        known: The backend servers by their names, as they are at any time.
    """

    def __init__(self, known: Mapping[str, backends.Backend]) -> None:
        self._backends = known
        self._paused_until = 0.0

    def note_pause(self, until: float) -> None:
        """Notes a pause that an entry was asked for.

        Args:
            until: When it ends, on the owner's clock in seconds.
        """
        self._paused_until = max(until, self._paused_until)

    def filter_eligible(
        self,
        candidates: list[backends.Backend],
        waiting: queue.QueuedRequest,
        now: float,
    ) -> list[backends.Backend]:
        """Returns the candidates that a request may be sent to now."""
        return [
            candidate
            for candidate in self.filter_reachable(candidates, waiting.request)
            if candidate.pauses.allows(waiting.entry, now)
        ]

    def filter_reachable(
        self,
        candidates: list[backends.Backend],
        request: message.RequestInfo,
    ) -> list[backends.Backend]:
        """Returns the candidates that a request may go to.

        A request that was sent everywhere within its entry's reach may go
        anywhere there again, but never outside its regions.
        """
        if not (request.avoid or request.silent or request.regions is not None):
            return candidates
        never = set(request.silent) | self._list_barred(request)
        left_out = never | set(request.avoid)
        if not self._list_usable() - left_out:
            left_out = never
        return [c for c in candidates if c.info.name not in left_out]

    def has_no_reachable_backend(self, request: message.RequestInfo) -> bool:
        """Returns whether the request's entry can reach none of them."""
        never = set(request.silent) | self._list_barred(request)
        return bool(self._backends) and not set(self._backends) - never

    def has_pauses(self, now: float) -> bool:
        """Returns whether servers may want some entries to wait."""
        return now < self._paused_until + TRIAL_S

    def is_paused(self, entry: str, now: float) -> bool:
        """Returns whether an entry may send to no server now."""
        usable = [
            known for known in self._backends.values() if not known.is_lost
        ]
        return bool(usable) and not any(
            known.pauses.allows(entry, now) for known in usable
        )

    def get_pause(self, waiting: queue.QueuedRequest, now: float) -> float:
        """Returns the seconds for which all servers want a request to wait.

        Args:
            waiting: The request.
            now: The owner's clock in seconds.

        Returns:
            The time until the first pause ends, 0 where there is none.
        """
        if now >= self._paused_until:
            return 0.0
        usable = (
            known for known in self._backends.values() if not known.is_lost
        )
        return min(
            (
                known.pauses.get_remaining_s(waiting.entry, now)
                for known in self.filter_reachable(
                    list(usable), waiting.request
                )
            ),
            default=0.0,
        )

    def get_shortest_pause(self, entries: int, now: float) -> float:
        """Returns the seconds until some entry may send to some server.

        Args:
            entries: How many entries ask for them.
            now: The owner's clock in seconds.
        """
        if now >= self._paused_until:
            return 0.0
        return min(
            (
                known.pauses.get_earliest_end(entries, now)
                for known in self._backends.values()
                if not known.is_lost
            ),
            default=0.0,
        )

    def _list_usable(self) -> set[str]:
        """Returns the backend servers that may get new work."""
        return {
            name for name, known in self._backends.items() if not known.is_lost
        }

    def _list_barred(self, request: message.RequestInfo) -> set[str]:
        """Returns the backend servers outside the request's regions."""
        if request.regions is None:
            return set()
        return {
            name
            for name, known in self._backends.items()
            if known.info.region not in request.regions
        }

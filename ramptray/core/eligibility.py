"""Filter for the backend servers that a queued request may go to."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ramptray.core import availability, gateways, message, queue
from ramptray.core import backend as backends

MAX_TRIAL_S = 2.0
"""Time after the last pause in which trials may be in progress, in seconds."""


class Eligibility:
    """Filters a shard's backend servers for a request.

    Args:
        known: The backend servers by name; a live view.
        gateway_directory: The entries through which others reach servers.
    """

    def __init__(
        self,
        known: Mapping[str, backends.Backend],
        gateway_directory: gateways.GatewayDirectory | None = None,
    ) -> None:
        self._backends = known
        self._gateways = gateway_directory or gateways.GatewayDirectory()
        self._paused_until = 0.0
        self._entries_ejected_until = 0.0

    def record_pause(self, until: float) -> None:
        """Records a pause that a server requested from an entry.

        Args:
            until: End of the pause, on the owner's clock in seconds.
        """
        self._paused_until = max(until, self._paused_until)

    def record_failure(self, now: float) -> None:
        """Records that a server may be ejected for a single entry."""
        self._entries_ejected_until = now + availability.ENTRY_EJECTION_S

    def filter_eligible(
        self,
        candidates: list[backends.Backend],
        waiting: queue.QueuedRequest,
        now: float,
    ) -> list[backends.Backend]:
        """Returns the candidates to which a request may be sent now."""
        unreachable = self._list_unreachable(waiting, now)
        if self._is_cut_off(waiting.request, unreachable):
            return [
                candidate
                for candidate in self._exclude(
                    candidates, waiting.request, set()
                )
                if candidate.pauses.may_send(waiting.entry, now)
                and self._gateways.list_gateways(waiting.entry, candidate, now)
            ]
        # A server that the request has tried is better than one that refuses.
        return [
            candidate
            for candidate in self._exclude(
                candidates, waiting.request, unreachable
            )
            if candidate.pauses.may_send(waiting.entry, now)
        ]

    def filter_reachable(
        self,
        candidates: list[backends.Backend],
        request: message.RequestInfo,
    ) -> list[backends.Backend]:
        """Returns the candidates that may run it and that its entry can reach.

        Servers that the request has tried are excluded, unless it has tried all
        the reachable ones; servers outside its regions or of another release
        are always excluded.
        """
        return self._exclude(candidates, request, set(request.silent))

    def list_gateways(
        self, waiting: queue.QueuedRequest, server: backends.Backend, now: float
    ) -> tuple[str, ...]:
        """Returns the gateways from a request's entry to a server.

        Returns:
            The addresses; empty if the entry can reach some server itself.
        """
        if not self._reaches_none(waiting, now):
            return ()
        return self._gateways.list_gateways(waiting.entry, server, now)

    def has_gateway(self, waiting: queue.QueuedRequest, now: float) -> bool:
        """Returns whether a gateway leads to a server for a request."""
        return self._reaches_none(waiting, now) and any(
            self._gateways.list_gateways(waiting.entry, server, now)
            for server in self._iterate_allowed(waiting.request)
        )

    def _reaches_none(self, waiting: queue.QueuedRequest, now: float) -> bool:
        """Returns whether its entry reaches no server a request may go to."""
        unreachable = self._list_unreachable(waiting, now)
        return self._is_cut_off(waiting.request, unreachable)

    def _list_unreachable(
        self, waiting: queue.QueuedRequest, now: float
    ) -> set[str]:
        """Returns the servers that are silent or ejected for its entry."""
        unreachable = set(waiting.request.silent)
        if now < self._entries_ejected_until:
            unreachable.update(
                known.info.name
                for known in self._backends.values()
                if known.availability.is_ejected_for(waiting.entry, now)
            )
        return unreachable

    def _is_cut_off(
        self, request: message.RequestInfo, unreachable: set[str]
    ) -> bool:
        """Returns whether all servers a request may go to are unreachable."""
        if not unreachable:
            return False
        allowed = {known.info.name for known in self._iterate_allowed(request)}
        return bool(allowed) and allowed <= unreachable

    def _iterate_allowed(
        self, request: message.RequestInfo
    ) -> Iterator[backends.Backend]:
        """Yields the servers that may run a request and are not lost."""
        return (
            known
            for known in self._backends.values()
            if not known.is_lost and _is_allowed(known, request)
        )

    def _exclude(
        self,
        candidates: list[backends.Backend],
        request: message.RequestInfo,
        unreachable: set[str],
    ) -> list[backends.Backend]:
        """Returns the candidates that may run the request and can be reached.

        Servers that it has tried are excluded if there are others.
        """
        if not (request.avoid or unreachable or _is_restricted(request)):
            return candidates
        allowed = [
            candidate
            for candidate in candidates
            if candidate.info.name not in unreachable
            and _is_allowed(candidate, request)
        ]
        excluded = unreachable | set(request.avoid)
        if not request.avoid or all(
            known.info.name in excluded
            for known in self._iterate_allowed(request)
        ):
            return allowed
        return [c for c in allowed if c.info.name not in excluded]

    def has_no_reachable_backend(self, request: message.RequestInfo) -> bool:
        """Returns whether every server is unreachable for the request."""
        unreachable = set(request.silent) | self._list_disallowed(request)
        return bool(self._backends) and not set(self._backends) - unreachable

    def has_pauses(self, now: float) -> bool:
        """Returns whether a pause or a trial may be in progress."""
        return now < self._paused_until + MAX_TRIAL_S

    def is_paused(self, entry: str, now: float) -> bool:
        """Returns whether an entry may send to no server now."""
        usable = [
            known for known in self._backends.values() if not known.is_lost
        ]
        return bool(usable) and not any(
            known.pauses.may_send(entry, now) for known in usable
        )

    def get_pause(self, waiting: queue.QueuedRequest, now: float) -> float:
        """Returns the seconds until the first server ends a request's pause.

        Args:
            waiting: The request.
            now: The owner's clock in seconds.

        Returns:
            The time; 0 if some server has not asked its entry for a pause.
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
        """Returns the seconds until any entry may send to any server.

        Args:
            entries: Number of entries that use the servers.
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
        """Returns the names of the servers that are not lost."""
        return {
            name for name, known in self._backends.items() if not known.is_lost
        }

    def has_release(self, release: str) -> bool:
        """Returns whether some server of a release is not leaving."""
        return any(
            known.info.release == release
            and known.state is not backends.BackendState.LEAVING
            for known in self._backends.values()
        )

    def list_releases(self) -> set[str]:
        """Returns the releases of the servers that are not leaving."""
        return {
            known.info.release
            for known in self._backends.values()
            if known.state is not backends.BackendState.LEAVING
        }

    def _list_disallowed(self, request: message.RequestInfo) -> set[str]:
        """Returns the backend servers that may not run a request."""
        if not _is_restricted(request):
            return set()
        return {
            name
            for name, known in self._backends.items()
            if not _is_allowed(known, request)
        }


def _is_restricted(request: message.RequestInfo) -> bool:
    """Returns whether only some regions or one release may run a request."""
    return request.regions is not None or request.release is not None


def _is_allowed(server: backends.Backend, request: message.RequestInfo) -> bool:
    """Returns whether a server's region and release may run a request."""
    return (
        request.regions is None or server.info.region in request.regions
    ) and (request.release is None or server.info.release == request.release)

"""The same shard in other zones, as known from their summaries."""

from __future__ import annotations

from collections.abc import Iterable

from ramptray.core import message, queue, summary


class RemoteShards:
    """Finds other zones with capacity for a request.

    Args:
        shard: The shard in this zone.
    """

    def __init__(self, shard: message.ShardKey) -> None:
        self._zone = shard.zone
        self._summaries: dict[str, summary.ShardSummary] = {}

    def set_summaries(self, summaries: Iterable[summary.ShardSummary]) -> None:
        """Replaces the summaries with the newest one of each zone."""
        self._summaries = {remote.shard.zone: remote for remote in summaries}

    def has_room(self, waiting: queue.QueuedRequest) -> bool:
        """Returns whether some zone would accept a request."""
        return bool(self._list_with_room(waiting))

    def pick(self, waiting: queue.QueuedRequest) -> summary.ShardSummary | None:
        """Returns the least loaded zone with capacity, or None.

        The load is the cost of the zone's queued requests.
        """
        with_room = self._list_with_room(waiting)
        return min(
            with_room, key=lambda remote: sum(remote.waiting), default=None
        )

    def _list_with_room(
        self, waiting: queue.QueuedRequest
    ) -> list[summary.ShardSummary]:
        excluded = (*waiting.request.spilled_from, self._zone)
        return [
            remote
            for zone, remote in self._summaries.items()
            if zone not in excluded
            and remote.has_room(waiting.rank, waiting.cost)
        ]

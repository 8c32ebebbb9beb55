"""Summaries of shards of all zones, exchanged between schedulers."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import msgspec

from ramptray.core import message, summary

SUMMARIES_PER_MESSAGE = 8

MAX_SUMMARY_AGE_S = 8.0
"""Age from which on a shard's summary is ignored, in seconds."""


class Summaries:
    """The newest known summary of each shard."""

    def __init__(self) -> None:
        self._known: dict[str, tuple[float, summary.ShardSummary]] = {}
        self._next_index = 0

    def put(self, own: Iterable[summary.ShardSummary], now: float) -> None:
        """Stores the summaries of this scheduler's own shards."""
        for own_summary in own:
            self._known[own_summary.shard.format()] = (now, own_summary)

    def merge(
        self, summaries: Iterable[summary.ShardSummary], now: float
    ) -> None:
        """Stores a peer's summaries that are newer than the known ones."""
        for other in summaries:
            key = other.shard.format()
            known = self._known.get(key)
            if known is None or other.version > known[1].version:
                self._known[key] = (now, other)

    def list_remote(
        self, key: message.ShardKey, now: float
    ) -> list[summary.ShardSummary]:
        """Returns fresh summaries of the same shard in the other zones."""
        return [
            msgspec.structs.replace(found, age_s=now - seen)
            for seen, found in self._known.values()
            if now - seen < MAX_SUMMARY_AGE_S
            and found.shard != key
            and found.shard.service == key.service
            and found.shard.number == key.number
        ]

    def pick(
        self, now: float, zone: str | None = None
    ) -> list[summary.ShardSummary]:
        """Returns the next few summaries, in round-robin order.

        Args:
            now: The clock in seconds.
            zone: The zone that they describe; None for any.
        """
        fresh = [
            found
            for found in self._list_fresh(now)
            if zone in (None, found.shard.zone)
        ]
        if not fresh:
            return []
        start = self._next_index % len(fresh)
        self._next_index += SUMMARIES_PER_MESSAGE
        rotation = itertools.islice(itertools.cycle(fresh), start, None)
        count = min(SUMMARIES_PER_MESSAGE, len(fresh))
        return list(itertools.islice(rotation, count))

    def _list_fresh(self, now: float) -> list[summary.ShardSummary]:
        return [
            found
            for seen, found in self._known.values()
            if now - seen < MAX_SUMMARY_AGE_S
        ]

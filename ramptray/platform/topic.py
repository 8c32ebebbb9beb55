"""Reads one keyed topic of the store."""

from __future__ import annotations

from collections.abc import Callable

from ramptray.log import mirror
from ramptray.log import reader as log_reader
from ramptray.platform import store

TakeChanges = Callable[[store.Changes, bool], None]


class TopicReader(log_reader.StreamReader[store.Changes]):
    """Follows one topic: its newest records, then each change as it comes.

    Args:
        opened: The store.
        topic: The topic's name.
        take_changes: Called with what was read, and whether that is all there
            is.
        on_trouble: Called each time that the store does not answer.

    Attributes:
        mirror: What is held of the topic, for other VMs.
    """

    def __init__(
        self,
        opened: store.Store,
        topic: str,
        take_changes: TakeChanges,
        on_trouble: Callable[[], None],
    ) -> None:
        super().__init__(topic, store.READ_WAIT_S, follows_peers=True)
        self.mirror = mirror.Mirror()
        self._store = opened
        self._take_changes = take_changes
        self._on_trouble = on_trouble

    async def read_first(self) -> store.Changes:
        """See the base class."""
        return await self._store.read_newest(self.stream, self.record_progress)

    async def read_from(
        self, offset: int, wait_s: float, timeout_s: float
    ) -> store.Changes:
        """See the base class."""
        return await self._store.read_changes(
            self.stream, offset, wait_s, timeout_s, self.record_progress
        )

    async def apply_page(self, page: store.Changes, first: bool) -> None:
        """See the base class."""
        self.mirror.apply(page, first)
        self._take_changes(page, first)

    def get_end(self, page: store.Changes) -> int:
        """See the base class."""
        return page.end

    def count_records(self, page: store.Changes) -> int:
        """See the base class."""
        return len(page.records)

    def record_outage(self) -> None:
        """See the base class."""
        self._on_trouble()

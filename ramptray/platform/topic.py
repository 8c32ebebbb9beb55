"""Follows one keyed topic of the store."""

from __future__ import annotations

from collections.abc import Callable

from ramptray.log import mirror
from ramptray.log import reader as log_reader
from ramptray.platform import store

CONFIG_TOPIC = "keyed.op"
"""Topic of the configuration and of operators' orders."""

REPLICA_TOPIC = "keyed.servers"
"""Topic of the replicas' records."""

ApplyChanges = Callable[[store.Changes, bool], None]


class TopicReader(log_reader.StreamReader[store.Changes]):
    """Reads the newest record of each key of a topic, then each change.

    Args:
        client: Client of the store.
        topic: The topic's name.
        apply_changes: Called with the changes read, and whether they are a
            snapshot of the whole topic.
        on_outage: Called each time that the store does not respond.

    Attributes:
        mirror: Copy of the topic, from which other VMs are served.
    """

    def __init__(
        self,
        client: store.Store,
        topic: str,
        apply_changes: ApplyChanges,
        on_outage: Callable[[], None],
    ) -> None:
        super().__init__(topic, store.READ_WAIT_S, follows_peers=True)
        self.mirror = mirror.Mirror()
        self._store = client
        self._apply_changes = apply_changes
        self._on_outage = on_outage

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
        self._apply_changes(page, first)

    def get_end(self, page: store.Changes) -> int:
        """See the base class."""
        return page.end

    def count_records(self, page: store.Changes) -> int:
        """See the base class."""
        return len(page.records)

    def record_outage(self) -> None:
        """See the base class."""
        self._on_outage()

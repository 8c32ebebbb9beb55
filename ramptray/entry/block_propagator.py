"""What an entry knows of blocked contents, and whom it tells."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ramptray import steadyclock
from ramptray.core import blocklist
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)


class BlockPropagator:
    """Passes blocks on between this VM's list and the schedulers it uses.

    A scheduler tells each entry that attaches, and each entry tells each
    scheduler that it attaches to: so a block outlives the owner that found it,
    and reaches those that start, or come back from a cut, with their first
    connection.

    Args:
        blocks: The blocks that this VM knows of.
        tell: Sends a message to a scheduler, by its address.
        list_links: Returns the schedulers that this entry is attached to.
    """

    def __init__(
        self,
        blocks: blocklist.Blocklist,
        tell: Callable[[str, object], None],
        list_links: Callable[[], Iterable[str]],
    ) -> None:
        self._blocks = blocks
        self._tell = tell
        self._list_links = list_links
        blocks.on_change(self._spread)

    def get_remaining_s(self, content: str, now: float) -> float:
        """Returns for how many seconds a content stays blocked; 0 if not."""
        return self._blocks.get_remaining_s(content, now)

    def send_all(self, address: str, now: float) -> None:
        """Tells a scheduler all that is known here."""
        if len(self._blocks):
            told = peer_message.BlockedContents(self._blocks.list_updates(now))
            self._tell(address, told)

    def merge(self, address: str, told: peer_message.BlockedContents) -> bool:
        """Takes what a scheduler tells; tells whether any of it is new."""
        new = self._blocks.merge(told.blocks, steadyclock.read())
        log_merged_blocks(new, address)
        return bool(new)

    def _spread(self, news: list[blocklist.BlockUpdate]) -> None:
        for address in self._list_links():
            self._tell(address, peer_message.BlockedContents(news))


def log_merged_blocks(new: list[blocklist.Block], address: str) -> None:
    """Writes a line for each block that another process told of."""
    for block in new:
        LOG.warning(
            "block lifted" if block.lifted else "content blocked",
            extra={
                "content": block.content,
                "times": block.level,
                "crashes": block.crashes,
                "origin": address,
            },
        )

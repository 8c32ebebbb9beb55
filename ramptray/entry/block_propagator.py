"""Propagates content blocks between this VM and the schedulers it uses."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ramptray import steadyclock
from ramptray.core import blocklist, message
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)


class BlockPropagator:
    """Synchronizes this VM's blocklist with the schedulers it is attached to.

    A scheduler sends its blocks to each entry that attaches, and each entry
    sends its blocks to each scheduler that it attaches to.  A block therefore
    outlives the owner that detected the content, and a process that starts or
    reconnects after a network partition receives it on its first connection.

    Args:
        blocks: The blocks that this VM knows of.
        send: Sends a message to a scheduler, by its address.
        list_schedulers: Returns the addresses of the schedulers that this entry
            is attached to.
    """

    def __init__(
        self,
        blocks: blocklist.Blocklist,
        send: Callable[[str, object], None],
        list_schedulers: Callable[[], Iterable[str]],
    ) -> None:
        self._blocks = blocks
        self._send = send
        self._list_schedulers = list_schedulers
        blocks.on_change(self._broadcast)

    def find_block(
        self, request: message.RequestInfo, now: float
    ) -> blocklist.Block | None:
        """Returns the block that covers a request, if any."""
        return self._blocks.find_block(request.causes, now)

    def send_all(self, address: str, now: float) -> None:
        """Sends a scheduler all blocks that this VM knows of."""
        if len(self._blocks):
            update = peer_message.BlockedContents(
                self._blocks.list_updates(now)
            )
            self._send(address, update)

    def merge(self, address: str, update: peer_message.BlockedContents) -> bool:
        """Merges blocks from a scheduler; returns whether any of them is new.

        Args:
            address: The scheduler.
            update: The blocks that it has sent.
        """
        new = self._blocks.merge(update.blocks, steadyclock.read())
        log_merged_blocks(new, address)
        return bool(new)

    def _broadcast(self, updates: list[blocklist.BlockUpdate]) -> None:
        for address in self._list_schedulers():
            self._send(address, peer_message.BlockedContents(updates))


def log_merged_blocks(new: list[blocklist.Block], address: str) -> None:
    """Logs a line for each block that another process has sent."""
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

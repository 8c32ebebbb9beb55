"""Blocks of contents, as a keyed topic of the store keeps them."""

from __future__ import annotations

import logging

import msgspec

from ramptray.log import blocklog
from ramptray.platform import store

LOG = logging.getLogger(__name__)

TOPIC = "keyed.blocks"


class _Value(msgspec.Struct, frozen=True):
    """What stands under a content."""

    level: int
    until_unix_s: float
    crashes: int
    lifted: bool = False


class TopicBlockLog(blocklog.BlockLog):
    """Keeps each block as the newest record under its content.

    Args:
        opened: The store.
    """

    def __init__(self, opened: store.Store) -> None:
        self._store = opened

    async def save(self, block: blocklog.StoredBlock) -> None:
        """See the base class."""
        value = _Value(
            block.level, block.until_unix_s, block.crashes, block.lifted
        )
        await self._store.append(
            TOPIC, block.content, msgspec.json.encode(value)
        )

    async def load(self) -> list[blocklog.StoredBlock]:
        """See the base class."""
        changes = await self._store.read_newest(TOPIC)
        found = []
        for record in changes.records:
            try:
                value = msgspec.json.decode(record.value or b"", type=_Value)
            except msgspec.MsgspecError:
                # Others hold; what is lost may cost some crashes more.
                LOG.warning("not a block", extra={"key": record.key})
                continue
            found.append(
                blocklog.StoredBlock(
                    record.key,
                    value.level,
                    value.until_unix_s,
                    value.crashes,
                    value.lifted,
                )
            )
        return found

"""Stores blocks of contents in a keyed topic of the store."""

from __future__ import annotations

import msgspec

from ramptray.log import blocklog
from ramptray.platform import store

TOPIC = "keyed.blocks"


class _BlockRecord(msgspec.Struct, frozen=True):
    """Record value; its key is the blocked content."""

    level: int
    until_unix_s: float
    crashes: int
    lifted: bool = False


class TopicBlockLog(blocklog.BlockLog):
    """Stores each block as the newest record of its content.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.Store) -> None:
        self._store = client

    async def save(self, block: blocklog.StoredBlock) -> None:
        """See the base class."""
        value = _BlockRecord(
            block.level, block.until_unix_s, block.crashes, block.lifted
        )
        await self._store.append(
            TOPIC, block.content, msgspec.json.encode(value)
        )

    async def load(self) -> list[blocklog.StoredBlock]:
        """See the base class."""
        changes = await self._store.read_newest(TOPIC)
        blocks = []
        for record in changes.records:
            try:
                value = msgspec.json.decode(
                    record.value or b"", type=_BlockRecord
                )
            except msgspec.MsgspecError as error:
                # The other blocks stay usable.  Without this one, a few more
                # servers may crash before the content is blocked again.
                self._store.intake.pass_over(TOPIC, record.key, str(error))
                continue
            blocks.append(
                blocklog.StoredBlock(
                    record.key,
                    value.level,
                    value.until_unix_s,
                    value.crashes,
                    value.lifted,
                )
            )
        return blocks

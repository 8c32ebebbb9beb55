"""Stores blocks of contents in a keyed topic of the store."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from ramptray import decoding
from ramptray.log import blocklog
from ramptray.platform import store

TOPIC = "keyed.blocks"


MAX_LEVEL = 64
"""Highest accepted level; the duration of a block grows up to level 9 only."""

MAX_CRASHES = 1_000_000
"""Highest accepted number of crashes before a block."""


_KEY_PATTERN = re.compile(r"[!-~]+")
"""Keys of blocks.  Others could not be stored again under the same key."""


class _BlockRecord(msgspec.Struct, frozen=True):
    """Record value; its key is the blocked content."""

    level: Annotated[int, msgspec.Meta(ge=1, le=MAX_LEVEL)]
    until_unix_s: float
    crashes: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASHES)]
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
            # Without one of them, a few more servers may crash before its
            # content is blocked again.
            with self._store.intake.guard(TOPIC, record.key):
                if not _KEY_PATTERN.fullmatch(record.key):
                    raise decoding.DecodeError("its key is no digest")
                value = decoding.decode_json(record.value or b"", _BlockRecord)
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

"""Records of keyed streams, where a key's newest record replaces older ones."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """The newest record of a key.

    Attributes:
        key: The key.
        value: Its value; None if the key was deleted.
        position: The record's offset; -1 if unknown.
    """

    key: str
    value: bytes | None
    position: int = -1


class Changes(msgspec.Struct, frozen=True):
    """Records of a keyed stream.

    Attributes:
        records: The records, in order.
        end: Offset of the next record.
    """

    records: list[Change]
    end: int

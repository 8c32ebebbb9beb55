"""Records of keyed streams: of each key only the newest counts."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """The newest record of a key.

    Attributes:
        key: The key.
        value: Its value; None where the key was dropped.
        position: Its offset; -1 where that is not known.
    """

    key: str
    value: bytes | None
    position: int = -1


class Changes(msgspec.Struct, frozen=True):
    """Records of a keyed stream.

    Attributes:
        records: The records in order.
        end: Offset that the next record will get.
    """

    records: list[Change]
    end: int

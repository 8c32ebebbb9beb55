"""Storage of streams' origins that must outlast the loss of all VMs."""

from __future__ import annotations

import abc
from collections.abc import Sequence

import msgspec

from ramptray.core import stream_origin


class StoredOrigins(msgspec.Struct, frozen=True):
    """Origins that were read.

    Attributes:
        records: The origins that are still kept; what they say of how long
            they are kept counts from the read.
        end: Position from which to read next.
    """

    records: list[stream_origin.OriginRecord]
    end: int


class OriginLog(abc.ABC):
    """A log of the origins of streams."""

    @abc.abstractmethod
    async def append(
        self, records: Sequence[stream_origin.OriginRecord]
    ) -> None:
        """Stores origins.

        Raises:
            LogError: They may not have been stored.
        """

    @abc.abstractmethod
    async def read(self, position: int | None) -> StoredOrigins:
        """Returns the origins from a position on, as far as they are retained.

        Args:
            position: Where the last read ended; None for all.

        Raises:
            LogError: They could not be read.
        """

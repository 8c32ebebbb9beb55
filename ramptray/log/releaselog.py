"""Storage of the release record, and the log of replicas that it refers to."""

from __future__ import annotations

import abc

from ramptray.core import release_record


class ReleaseLog(abc.ABC):
    """Stores the release record; reads the stream of replicas again."""

    @abc.abstractmethod
    async def save(self, record: release_record.ReleaseRecord) -> None:
        """Stores the record.

        Raises:
            LogError: It may not have been stored.
        """

    @abc.abstractmethod
    async def load(self) -> release_record.ReleaseRecord | None:
        """Returns the stored record; None if there is no valid one.

        Raises:
            LogError: It could not be read.
        """

    @abc.abstractmethod
    async def read_replicas(
        self, start: int, end: int
    ) -> release_record.KeptStream:
        """Returns what is retained of the stream of replicas.

        Args:
            start: Position from which to read; 0 for the very first record.
            end: Position up to which to read at least.

        Raises:
            LogError: The records could not be read.
        """

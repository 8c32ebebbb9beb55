"""Storage of blocks that must persist when all VMs are replaced."""

from __future__ import annotations

import abc

import msgspec


class StoredBlock(msgspec.Struct, frozen=True):
    """A block as it is stored.

    Attributes:
        content: See ``blocklist.Block``.
        level: See ``blocklist.Block``.
        until_unix_s: When the content may be tried again, in Unix time.
        crashes: See ``blocklist.Block``.
        lifted: See ``blocklist.Block``.
    """

    content: str
    level: int
    until_unix_s: float
    crashes: int
    lifted: bool = False


class BlockLog(abc.ABC):
    """Stores the latest block of each content."""

    @abc.abstractmethod
    async def save(self, block: StoredBlock) -> None:
        """Stores a block.

        Raises:
            LogError: It may not have been stored.
        """

    @abc.abstractmethod
    async def load(self) -> list[StoredBlock]:
        """Returns the stored blocks.

        Raises:
            LogError: They could not be read.
        """

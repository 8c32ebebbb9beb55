"""Where blocks are kept that must outlive all VMs."""

from __future__ import annotations

import abc

import msgspec


class StoredBlock(msgspec.Struct, frozen=True):
    """A block as it is kept.

    Attributes:
        content: See ``blocklist.Block``.
        level: See ``blocklist.Block``.
        until_unix_s: When the content may be tried again, by the time of day.
        crashes: See ``blocklist.Block``.
        lifted: See ``blocklist.Block``.
    """

    content: str
    level: int
    until_unix_s: float
    crashes: int
    lifted: bool = False


class BlockLog(abc.ABC):
    """Keeps the latest word on each content."""

    @abc.abstractmethod
    async def save(self, block: StoredBlock) -> None:
        """Keeps a block.

        Raises:
            LogError: It may not have been kept.
        """

    @abc.abstractmethod
    async def load(self) -> list[StoredBlock]:
        """Returns what is kept.

        Raises:
            LogError: It could not be read.
        """

"""The blocklist: what is not sent to backend servers.

A block covers the requests with a content, with a part of a prompt, or with all
of several parts, after they have crashed several backend servers.  Every VM
holds the whole list, since callers may retry at any VM and any VM may become
the owner of a shard.  Lists of two VMs merge to the same result regardless of
the order of updates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

INITIAL_BLOCK_S = 600.0
"""Duration of a content's first block, in seconds.  It is many times as long as
callers take to retry, and short enough that a content blocked by mistake is
served again the same day."""

INITIAL_PART_BLOCK_S = 120.0
"""Duration of the first block of parts of prompts, in seconds.  Shorter than
that of a content, as a part blocked by mistake affects many callers."""

MAX_BLOCK_S = 6 * 3600.0
"""Longest duration of a block, in seconds.  Each block is twice as long as the
previous one, since each costs a backend server."""

MAX_BLOCKS = 4096
"""Blocks that are kept; those that expire first are evicted.  An entry takes
some 300 bytes."""


_SEPARATOR = "+"

MAX_COVERED_CAUSES = 8
"""Causes that a block names at most.  A key of the platform's store may have
255 bytes, and the digest of a part has 21."""


def make_key(causes: Iterable[str]) -> str:
    """Returns the key of a block that covers requests with all these causes.

    Args:
        causes: Digests of contents or of parts of prompts.
    """
    return _SEPARATOR.join(sorted(causes))


def split_key(key: str) -> frozenset[str]:
    """Returns the causes that a request must have for a block to cover it."""
    return frozenset(key.split(_SEPARATOR))


class Block(msgspec.Struct, frozen=True):
    """A block.

    Attributes:
        content: Its key: the digest of a content, of a part of a prompt, or of
            several parts, see ``make_key``.
        level: How often it was blocked; each block lasts longer.
        until: When the block expires, by the clock of this VM.
        crashes: Backend servers that it crashed before it was blocked.
        lifted: Whether the block was lifted.
    """

    content: str
    level: int
    until: float
    crashes: int
    lifted: bool = False

    def is_inactive(self, now: float) -> bool:
        """Returns whether the block is lifted or expired."""
        return self.lifted or now >= self.until

    def supersedes(self, other: Block) -> bool:
        """Returns whether this block is newer than the other."""
        if self.level != other.level:
            return self.level > other.level
        return self.lifted and not other.lifted


class BlockUpdate(msgspec.Struct, frozen=True):
    """A block as sent between VMs, which share no clock.

    Attributes:
        content: See ``Block``.
        level: See ``Block``.
        left_s: Seconds until the block expires.
        crashes: See ``Block``.
        lifted: See ``Block``.
    """

    content: str
    level: int
    left_s: float
    crashes: int
    lifted: bool = False


BlockListener = Callable[[list[BlockUpdate]], None]


class Blocklist:
    """The blocks that a VM knows of."""

    def __init__(self) -> None:
        self._blocks: dict[str, Block] = {}
        # The causes of the blocks that name several.
        self._compound: dict[str, frozenset[str]] = {}
        self._listeners: list[BlockListener] = []
        self._decision_listeners: list[BlockListener] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def on_change(self, listener: BlockListener) -> None:
        """Adds a listener for all new or changed blocks."""
        self._listeners.append(listener)

    def on_decision(self, listener: BlockListener) -> None:
        """Adds a listener for blocks added or lifted by this VM."""
        self._decision_listeners.append(listener)

    def get_remaining_s(self, content: str, now: float) -> float:
        """Returns the remaining seconds of a block; 0 if not blocked.

        Args:
            content: The content; an empty one is never blocked.
            now: The clock of this VM.
        """
        block = self._blocks.get(content)
        if block is None or block.is_inactive(now):
            return 0.0
        return block.until - now

    def find_block(self, causes: frozenset[str], now: float) -> Block | None:
        """Returns the longest block in force that covers a request.

        Args:
            causes: The digests of the request's content and parts.
            now: The clock of this VM.
        """
        in_force = (
            block
            for block in self._iterate_covering(causes)
            if not block.is_inactive(now)
        )
        return max(in_force, key=lambda block: block.until, default=None)

    def find_former(self, causes: frozenset[str]) -> list[Block]:
        """Returns the blocks, in force or expired, that cover a request.

        Those that were lifted are not listed.
        """
        return [
            block
            for block in self._iterate_covering(causes)
            if not block.lifted
        ]

    def _iterate_covering(self, causes: frozenset[str]) -> Iterator[Block]:
        for cause in causes:
            if block := self._blocks.get(cause):
                yield block
        for key, needed in self._compound.items():
            if needed <= causes:
                yield self._blocks[key]

    def count_in_force(self, now: float) -> int:
        """Returns the number of blocks in force."""
        return sum(
            not block.is_inactive(now) for block in self._blocks.values()
        )

    def block(
        self,
        content: str,
        crashes: int,
        now: float,
        initial_s: float = INITIAL_BLOCK_S,
    ) -> Block:
        """Blocks a content or parts, for longer than their previous block.

        Args:
            content: The key of the block.
            crashes: Number of backend servers that crashed.
            now: The clock of this VM.
            initial_s: Duration of the first block, in seconds.
        """
        previous = self._blocks.get(content)
        level = previous.level + 1 if previous else 1
        duration_s = min(initial_s * 2 ** (level - 1), MAX_BLOCK_S)
        new = Block(content, level, now + duration_s, crashes)
        self._apply_decision(new, now)
        return new

    def lift(self, content: str, now: float) -> bool:
        """Lifts a block, in force or expired; returns whether there was one."""
        block = self._blocks.get(content)
        if block is None or block.lifted:
            return False
        self._apply_decision(msgspec.structs.replace(block, lifted=True), now)
        return True

    def merge(self, updates: Iterable[BlockUpdate], now: float) -> list[Block]:
        """Merges updates from another VM; returns the blocks that were new."""
        blocks = [
            Block(n.content, n.level, now + n.left_s, n.crashes, n.lifted)
            for n in updates
        ]
        new = [
            block
            for block in blocks
            if block.content not in self._blocks
            or block.supersedes(self._blocks[block.content])
        ]
        self._store(new, now)
        return new

    def list_updates(self, now: float) -> list[BlockUpdate]:
        """Returns all blocks as updates for another VM."""
        return [_make_update(block, now) for block in self._blocks.values()]

    def iterate(self) -> Iterator[Block]:
        """Yields all blocks, including inactive ones."""
        yield from self._blocks.values()

    def _apply_decision(self, block: Block, now: float) -> None:
        self._store([block], now)
        for listener in self._decision_listeners:
            listener([_make_update(block, now)])

    def _store(self, blocks: list[Block], now: float) -> None:
        if not blocks:
            return
        self._blocks.update({block.content: block for block in blocks})
        while len(self._blocks) > MAX_BLOCKS:
            first = min(self._blocks.values(), key=lambda block: block.until)
            del self._blocks[first.content]
        self._compound = {
            key: split_key(key) for key in self._blocks if _SEPARATOR in key
        }
        updates = [_make_update(block, now) for block in blocks]
        for listener in self._listeners:
            listener(updates)


def _make_update(block: Block, now: float) -> BlockUpdate:
    return BlockUpdate(
        block.content,
        block.level,
        max(0.0, block.until - now),
        block.crashes,
        block.lifted,
    )

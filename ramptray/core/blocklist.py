"""Contents that no backend server is given any more.

A content is blocked once it has ended several of the backend servers that
began to run it.  Each VM keeps the whole list: a caller tries again at any VM,
and each may become the owner of a shard.  Lists of two VMs are merged without
an order between them, whichever was told last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

FIRST_BLOCK_S = 600.0
"""How long a content is first blocked, in seconds: a few tries of a caller's
own repetition fit into it many times over, and one that was blocked in error is
served again the same day."""

MAX_BLOCK_S = 6 * 3600.0
"""Longest time a content is blocked, in seconds; each time is twice the one
before, since each costs a backend server."""

MAX_BLOCKS = 4096
"""Contents that are kept; the ones that end first make way.  An entry takes
some 300 bytes."""


class Block(msgspec.Struct, frozen=True):
    """What is known of a blocked content.

    Attributes:
        content: Digest of customer, path and body.
        level: How often it was blocked; each time it is blocked for longer.
        until: When it may be tried again, by the clock of this VM.
        crashes: Backend servers that ended under it before it was blocked.
        lifted: Whether an operator has lifted the block.
    """

    content: str
    level: int
    until: float
    crashes: int
    lifted: bool = False

    def is_over(self, now: float) -> bool:
        """Returns whether the content may be tried again."""
        return self.lifted or now >= self.until

    def supersedes(self, other: Block) -> bool:
        """Returns whether this is later word than the other's."""
        if self.level != other.level:
            return self.level > other.level
        return self.lifted and not other.lifted


class BlockUpdate(msgspec.Struct, frozen=True):
    """A block as VMs tell it one another, who share no clock.

    Attributes:
        content: See ``Block``.
        level: See ``Block``.
        left_s: Seconds until it may be tried again.
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
    """The blocked contents that a VM knows of."""

    def __init__(self) -> None:
        self._blocks: dict[str, Block] = {}
        self._listeners: list[BlockListener] = []
        self._decision_listeners: list[BlockListener] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def on_change(self, listener: BlockListener) -> None:
        """Has a listener told of whatever is new."""
        self._listeners.append(listener)

    def on_decision(self, listener: BlockListener) -> None:
        """Has a listener told of what is decided here."""
        self._decision_listeners.append(listener)

    def get_remaining_s(self, content: str, now: float) -> float:
        """Returns for how many seconds a content stays blocked; 0 if it is not.

        Args:
            content: The content; an empty one is never blocked.
            now: The clock of this VM.
        """
        found = self._blocks.get(content)
        if found is None or found.is_over(now):
            return 0.0
        return found.until - now

    def count_in_force(self, now: float) -> int:
        """Returns how many contents are blocked."""
        return sum(not block.is_over(now) for block in self._blocks.values())

    def was_blocked(self, content: str) -> bool:
        """Returns whether a content is blocked, or was and is not lifted."""
        found = self._blocks.get(content)
        return found is not None and not found.lifted

    def block(self, content: str, crashes: int, now: float) -> Block:
        """Blocks a content, longer than the last time."""
        former = self._blocks.get(content)
        level = former.level + 1 if former else 1
        span_s = min(FIRST_BLOCK_S * 2 ** (level - 1), MAX_BLOCK_S)
        made = Block(content, level, now + span_s, crashes)
        self._decide(made, now)
        return made

    def lift(self, content: str, now: float) -> bool:
        """Lifts a block; tells whether there was one."""
        found = self._blocks.get(content)
        if found is None or found.is_over(now):
            return False
        self._decide(msgspec.structs.replace(found, lifted=True), now)
        return True

    def merge(self, told: Iterable[BlockUpdate], now: float) -> list[Block]:
        """Takes what another VM tells; returns what was new."""
        blocks = [
            Block(n.content, n.level, now + n.left_s, n.crashes, n.lifted)
            for n in told
        ]
        new = [
            block
            for block in blocks
            if block.content not in self._blocks
            or block.supersedes(self._blocks[block.content])
        ]
        self._keep(new, now)
        return new

    def list_updates(self, now: float) -> list[BlockUpdate]:
        """Returns all that another VM needs to know."""
        return [_make_news(block, now) for block in self._blocks.values()]

    def iterate(self) -> Iterator[Block]:
        """Yields all blocks, also those that are over."""
        yield from self._blocks.values()

    def _decide(self, block: Block, now: float) -> None:
        self._keep([block], now)
        for listener in self._decision_listeners:
            listener([_make_news(block, now)])

    def _keep(self, blocks: list[Block], now: float) -> None:
        if not blocks:
            return
        self._blocks.update({block.content: block for block in blocks})
        while len(self._blocks) > MAX_BLOCKS:
            first = min(self._blocks.values(), key=lambda block: block.until)
            del self._blocks[first.content]
        news = [_make_news(block, now) for block in blocks]
        for listener in self._listeners:
            listener(news)


def _make_news(block: Block, now: float) -> BlockUpdate:
    return BlockUpdate(
        block.content,
        block.level,
        max(0.0, block.until - now),
        block.crashes,
        block.lifted,
    )

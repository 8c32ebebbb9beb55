"""Estimate of the contents of an engine's prefix cache."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable

BLOCK_TOKENS = 64
"""Prompt tokens covered by one prefix hash."""


class PrefixCache:
    """Model of an engine's prefix cache, with LRU eviction.

    Args:
        tokens: Capacity in tokens.
    """

    def __init__(self, tokens: int) -> None:
        self._limit = tokens
        self._held = 0
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def add(self, prefix: tuple[int, ...], sizes: tuple[int, ...] = ()) -> None:
        """Records that the engine has computed these blocks.

        Args:
            prefix: The blocks.
            sizes: Tokens per block; empty for ``BLOCK_TOKENS`` each.
        """
        # The last block is added first and so evicted first: blocks after an
        # evicted one cannot be used.
        for block, size in reversed(list(_pair(prefix, sizes))):
            self._held += size - self._blocks.get(block, 0)
            self._blocks[block] = size
            self._blocks.move_to_end(block)
        while self._held > self._limit:
            self._held -= self._blocks.popitem(last=False)[1]

    def evict(self, blocks: tuple[int, ...]) -> None:
        """Records that the engine has evicted these blocks."""
        for block in blocks:
            self._held -= self._blocks.pop(block, 0)

    def count_tokens(
        self, prefix: tuple[int, ...], sizes: tuple[int, ...] = ()
    ) -> int:
        """Returns the number of leading prompt tokens in the cache.

        Args:
            prefix: The prompt's blocks.
            sizes: Tokens per block; empty for ``BLOCK_TOKENS`` each.
        """
        count = self.count_blocks(prefix)
        return sum(sizes[:count]) if sizes else count * BLOCK_TOKENS

    def count_blocks(self, prefix: tuple[int, ...]) -> int:
        """Returns the number of leading blocks in the cache, by binary search.

        Blocks are chained: a block is cached only if those before it are.
        """
        known = self._blocks
        if not prefix or prefix[0] not in known:
            return 0
        low, high = 1, len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in known:
                low = middle
            else:
                high = middle - 1
        return low


def _pair(
    prefix: tuple[int, ...], sizes: tuple[int, ...]
) -> Iterable[tuple[int, int]]:
    """Returns each block with its size in tokens."""
    return zip(prefix, sizes or itertools.repeat(BLOCK_TOKENS), strict=False)

"""Prefix hashes, by which prompts with a common prefix are recognised.

An engine caches blocks of a prompt.  The hash of a block covers all the blocks
before it, so two prompts share a hash only if they have a common prefix.
"""

from __future__ import annotations

import math

import xxhash

CHARS_PER_TOKEN = 4
"""Average number of characters per token, for estimates of size."""

BLOCK_CHARS = 256
"""Characters per block: 64 tokens."""

MAX_BLOCKS = 512
"""Maximum number of blocks hashed per prompt; later blocks are ignored."""


def count_tokens(text: str) -> int:
    """Returns the estimated number of tokens of a text."""
    return max(1, math.ceil(len(text) / CHARS_PER_TOKEN))


def hash_blocks(text: str) -> tuple[int, ...]:
    """Returns the chained hash of each whole block of a prompt."""
    whole = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    hashes: list[int] = []
    chain = 0
    for start in range(0, whole * BLOCK_CHARS, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS]
        chain = xxhash.xxh3_64_intdigest(block.encode(), seed=chain)
        hashes.append(chain)
    return tuple(hashes)

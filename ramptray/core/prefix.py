"""Prefix hashes: how prompts that begin alike are recognised.

An engine's cache works on blocks of the prompt.  Each block's hash covers all
blocks before it, so two prompts share a hash only if they begin alike.
"""

from __future__ import annotations

import math

import xxhash

CHARS_PER_TOKEN = 4
"""Characters that make a token, near enough for sizes."""

BLOCK_CHARS = 256
"""Characters a block covers: 64 tokens."""

MAX_BLOCKS = 512
"""Blocks that are hashed at most; longer prompts share no more than these."""


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

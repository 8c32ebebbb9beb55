"""Positions in the store's topics: the store's generation and an offset.

A store that is restored from an older copy increments its generation and
assigns offsets a second time.  A position holds the generation in the high bits
of one integer and the offset in the low bits, so that a position of an earlier
generation always compares lower than one of a later generation.
"""

from __future__ import annotations

OFFSET_BITS = 44
"""Bits of an offset, enough for 500 years at 1000 records per second.

The 19 bits above hold the generation, enough for 140 years at ten restores from
an older copy per day."""

_OFFSETS_PER_GENERATION = 1 << OFFSET_BITS
MAX_GENERATION = (1 << (63 - OFFSET_BITS)) - 1


def make_position(generation: int, offset: int) -> int:
    """Returns the position of an offset; a negative one means no position."""
    return (
        offset if offset < 0 else generation * _OFFSETS_PER_GENERATION + offset
    )


def get_generation(position: int) -> int:
    """Returns the generation of a position."""
    return position // _OFFSETS_PER_GENERATION


def get_offset(position: int) -> int:
    """Returns the offset of a position within its generation."""
    return position % _OFFSETS_PER_GENERATION

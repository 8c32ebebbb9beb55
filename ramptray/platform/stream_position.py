"""Places in the store's topics: the store's generation and an offset.

The store gives offsets out again when it comes back from an older copy of
itself; its generation then rises.  Both stand in one number, the generation
before the offset, so that whatever orders places orders them right and a place
of an earlier generation never looks like a later one.
"""

from __future__ import annotations

OFFSET_BITS = 44
"""Bits of an offset: at a thousand records a second they last for 500 years.
The generation has the 19 bits above them; a store that came back older ten
times a day would need 140 years to use them up."""

_OFFSETS = 1 << OFFSET_BITS
MAX_GENERATION = (1 << (63 - OFFSET_BITS)) - 1


def make_position(generation: int, offset: int) -> int:
    """Returns the place of an offset; a negative one stands for no place."""
    return offset if offset < 0 else generation * _OFFSETS + offset


def get_generation(place: int) -> int:
    """Returns the generation of a place."""
    return place // _OFFSETS


def get_offset(place: int) -> int:
    """Returns the offset of a place within its generation."""
    return place % _OFFSETS

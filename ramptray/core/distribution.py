"""Which VMs read the log for the others, and whom each of them follows.

A few VMs read the log; each availability zone has two heads that follow them
across zones; the others follow VMs of their own zone, a few each.  So calls to
the log do not grow with the VMs, what crosses zones does not grow with their
size, and a change passes as many VMs as the logarithm of their number.  VMs
with good links come first, so that slow ones have nobody behind them.  All VMs
work this out from their membership alone; where those differ, two VMs read
more, or somebody follows a VM that is one step further away.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ramptray.core import membership

READERS = 2
"""VMs that read the log for all: one of them may be frozen or cut off from it,
and each costs the log a call a second a stream."""

RELAYS_PER_ZONE = 2
"""VMs of each zone that follow VMs of other zones: one may be lost."""

FANOUT = 6
"""VMs of its own zone that follow one VM in the first place.  Worked out for
five zones: 78, 195 and 414 VMs are told in three steps, and none has more than
14 followers, the heads of other zones included."""

MAX_SOURCES = 2
"""VMs that each VM may follow: while the first is frozen or cut off, the other
is asked."""

READ_KEY = "read"
"""Key by which VMs that are alike are put in an order."""


class Position(msgspec.Struct, frozen=True):
    """A VM's place among those that follow the log.

    Attributes:
        reads: Whether it reads the log for the others.
        sources: Addresses of the VMs that it follows, the first one first.
        turn: When it reads the log itself if nobody tells it anything, counted
            over the VMs of its zone: all at once would be too much.
    """

    reads: bool
    sources: tuple[str, ...]
    turn: int


def find_position(
    me: membership.Member, members: Iterable[membership.Member]
) -> Position:
    """Returns a VM's place.

    Args:
        me: The VM.
        members: The VMs that are alive, with or without this one.
    """
    others = {member.vm: member for member in members}
    ordered = _order({**others, me.vm: me}.values())
    readers = ordered[:READERS]
    zone = me.availability_zone
    near = [m for m in ordered if m.availability_zone == zone]
    turn = near.index(me)
    if me in readers:
        return Position(True, (), turn)
    nearest: list[membership.Member] = []
    if turn >= RELAYS_PER_ZONE:
        parent = (turn - RELAYS_PER_ZONE) // FANOUT
        nearest = near[parent : parent + 2]
    sources = dict.fromkeys(m.address for m in [*nearest, *readers])
    return Position(False, tuple(sources)[:MAX_SOURCES], turn)


def _order(
    members: Iterable[membership.Member],
) -> list[membership.Member]:
    """Returns VMs by their links, and those alike in an order of their own."""
    known = list(members)
    ranked = membership.pick_owners(
        READ_KEY, [member.vm for member in known], len(known)
    )
    place = {vm: number for number, vm in enumerate(ranked)}
    return sorted(known, key=lambda m: (-m.link_mbps, place[m.vm]))

"""The distribution tree: which VMs read the log, and which VMs others follow.

A few VMs read the log.  In each availability zone two relays follow them across
zones, and the other VMs follow VMs of their own zone.  So the number of calls
to the log does not grow with the number of VMs, traffic between zones does not
grow with the size of the zones, and a change reaches all VMs in a logarithmic
number of steps.  VMs with fast links come first, so that no VM depends on a
slow one.  Every VM computes this from its own membership view.  If the views
differ, too many VMs read the log, or a VM follows one that is a step further
away.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ramptray.core import membership

LOG_READERS = 2
"""VMs that read the log for all others: one of them may be suspended or
disconnected.  Each costs the log one call per second and stream."""

RELAYS_PER_ZONE = 2
"""VMs of each zone that follow VMs of other zones: one may fail."""

FANOUT = 6
"""VMs of the same zone whose primary source is the same VM.  With five zones,
78, 195 or 414 VMs are reached in three steps, and no VM has more than 14
followers, including the relays of other zones."""

MAX_SOURCES = 2
"""Most VMs that a VM follows: if the first is suspended or disconnected, the
second one serves it."""

RANKING_KEY = "read"
"""Hash key for the order of VMs with equal links."""


class Position(msgspec.Struct, frozen=True):
    """A VM's position in the distribution tree.

    Attributes:
        reads: Whether it reads the log for the others.
        sources: Addresses of the VMs that it follows, the primary one first.
        turn: Its rank within the zone.  VMs that receive no updates start to
            read the log in this order, to avoid a load spike.
        zone_vms: Number of VMs in the zone.
    """

    reads: bool
    sources: tuple[str, ...]
    turn: int
    zone_vms: int


def find_position(
    me: membership.Member, members: Iterable[membership.Member]
) -> Position:
    """Returns a VM's position.

    Args:
        me: The VM.
        members: The live VMs; may include this one.
    """
    others = {member.vm: member for member in members}
    ordered = _order({**others, me.vm: me}.values())
    readers = ordered[:LOG_READERS]
    zone = me.availability_zone
    same_zone = [m for m in ordered if m.availability_zone == zone]
    turn = same_zone.index(me)
    if me in readers:
        return Position(True, (), turn, len(same_zone))
    parents: list[membership.Member] = []
    if turn >= RELAYS_PER_ZONE:
        parent = (turn - RELAYS_PER_ZONE) // FANOUT
        parents = same_zone[parent : parent + 2]
    sources = dict.fromkeys(m.address for m in [*parents, *readers])
    return Position(False, tuple(sources)[:MAX_SOURCES], turn, len(same_zone))


def _order(
    members: Iterable[membership.Member],
) -> list[membership.Member]:
    """Returns VMs by descending link speed, equal ones by hash."""
    vms = list(members)
    ranked = membership.pick_owners(
        RANKING_KEY, [member.vm for member in vms], len(vms)
    )
    rank = {vm: number for number, vm in enumerate(ranked)}
    return sorted(vms, key=lambda m: (-m.link_mbps, rank[m.vm]))

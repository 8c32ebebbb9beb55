"""Who reads the log for the others, and whom each VM follows."""

from __future__ import annotations

import math

import pytest

from ramptray.core import distribution, membership


def make_members(count: int, zones: int = 3) -> list[membership.Member]:
    return [
        membership.Member(
            f"vm-{n}",
            "all",
            f"10.0.0.{n}:1",
            1,
            availability_zone=f"z{n % zones}",
            link_mbps=5.0 if n % 4 == 0 else 100.0,
        )
        for n in range(count)
    ]


def find_places(
    members: list[membership.Member],
) -> dict[str, distribution.Position]:
    return {m.address: distribution.find_position(m, members) for m in members}


def test_a_vm_alone_reads() -> None:
    (alone,) = make_members(1)
    assert distribution.find_position(alone, []).reads


@pytest.mark.parametrize("count", [2, 6, 78, 195, 414])
def test_a_few_vms_read_and_all_hear_within_a_few_steps(count: int) -> None:
    places = find_places(make_members(count, zones=5))
    readers = {a for a, place in places.items() if place.reads}
    assert len(readers) == min(count, distribution.READERS)
    heard, steps = set(readers), 0
    while len(heard) < count:
        nearer = {a for a, p in places.items() if set(p.sources) & heard}
        assert nearer - heard, "somebody follows nobody who hears"
        heard |= nearer
        steps += 1
    assert steps <= 1 + math.log(max(2, count / 5), distribution.FANOUT) + 1


def test_no_vm_has_many_behind_it() -> None:
    places = find_places(make_members(414, zones=5))
    followers = dict.fromkeys(places, 0)
    for place in places.values():
        for source in place.sources:
            followers[source] += 1
    # Readers have the heads of all zones and followers of their own zone.
    assert (
        max(followers.values())
        <= 3 * distribution.FANOUT + 5 * distribution.RELAYS_PER_ZONE
    )


def test_slow_vms_have_nobody_behind_them_while_there_are_others() -> None:
    members = make_members(78)
    slow = {m.address for m in members if m.link_mbps < 100}
    followed = {
        source
        for place in find_places(members).values()
        for source in place.sources
    }
    assert not followed & slow


def test_few_follow_across_zones() -> None:
    members = make_members(195, zones=5)
    zones = {m.address: m.availability_zone for m in members}
    crossing = [
        address
        for address, place in find_places(members).items()
        if {zones[source] for source in place.sources} - {zones[address]}
    ]
    assert len(crossing) <= 5 * distribution.RELAYS_PER_ZONE


def test_turns_are_taken_one_after_the_other() -> None:
    members = make_members(30, zones=1)
    turns = sorted(place.turn for place in find_places(members).values())
    assert turns == list(range(30))

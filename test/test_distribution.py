"""Tests which VMs read the log and which VMs the others follow."""

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


def find_positions(
    members: list[membership.Member],
) -> dict[str, distribution.Position]:
    return {m.address: distribution.find_position(m, members) for m in members}


def test_single_vm_reads_the_log() -> None:
    (alone,) = make_members(1)
    assert distribution.find_position(alone, []).reads


@pytest.mark.parametrize("count", [2, 6, 78, 195, 414])
def test_few_vms_read_and_all_are_reached_in_few_steps(count: int) -> None:
    positions = find_positions(make_members(count, zones=5))
    readers = {a for a, position in positions.items() if position.reads}
    assert len(readers) == min(count, distribution.LOG_READERS)
    informed, steps = set(readers), 0
    while len(informed) < count:
        next_informed = {
            a for a, p in positions.items() if set(p.sources) & informed
        }
        assert next_informed - informed, "a VM has no informed source"
        informed |= next_informed
        steps += 1
    assert steps <= 1 + math.log(max(2, count / 5), distribution.FANOUT) + 1


def test_number_of_followers_is_bounded() -> None:
    positions = find_positions(make_members(414, zones=5))
    followers = dict.fromkeys(positions, 0)
    for position in positions.values():
        for source in position.sources:
            followers[source] += 1
    # Readers are followed by the relays of all zones and by VMs of their own
    # zone.
    assert (
        max(followers.values())
        <= 3 * distribution.FANOUT + 5 * distribution.RELAYS_PER_ZONE
    )


def test_slow_vms_have_no_followers_if_there_are_faster_ones() -> None:
    members = make_members(78)
    slow = {m.address for m in members if m.link_mbps < 100}
    followed = {
        source
        for position in find_positions(members).values()
        for source in position.sources
    }
    assert not followed & slow


def test_few_vms_follow_across_zones() -> None:
    members = make_members(195, zones=5)
    zones = {m.address: m.availability_zone for m in members}
    crossing = [
        address
        for address, position in find_positions(members).items()
        if {zones[source] for source in position.sources} - {zones[address]}
    ]
    assert len(crossing) <= 5 * distribution.RELAYS_PER_ZONE


def test_turns_are_consecutive() -> None:
    members = make_members(30, zones=1)
    turns = sorted(
        position.turn for position in find_positions(members).values()
    )
    assert turns == list(range(30))

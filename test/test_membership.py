"""Tests membership under packet loss and failures, and shard ownership."""

from __future__ import annotations

import collections
import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import membership

ZONE = "waw-a"
COUNT = 9
MANY = 195


class Zone:
    """Simulates members that probe one another in rounds over lossy links."""

    def __init__(self, seed: int, loss: float, count: int = COUNT) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.up = {f"vm{n}" for n in range(count)}
        self.probed: dict[str, set[str]] = collections.defaultdict(set)
        self.views = {
            vm: membership.Membership(
                membership.Member(vm, ZONE, f"10.0.0.{n}:1", 1),
                random.Random(seed * 100 + n),
                0.0,
            )
            for n, vm in enumerate(sorted(self.up))
        }
        first = self.views["vm0"]
        for view in self.views.values():
            first.merge([view.me], 0.0)
            view.merge([first.me], 0.0)

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now += membership.PROBE_INTERVAL_S
            for vm in sorted(self.up):
                self.probe(vm)

    def probe(self, vm: str) -> None:
        view = self.views[vm]
        view.tick(self.now)
        target = view.pick_probe_target()
        if target is None:
            return
        self.probed[vm].add(target.vm)
        lost = self.rng.random() < self.loss
        if lost or target.vm not in self.up:
            view.suspect(target.vm, self.now)
            return
        self.exchange(vm, target.vm)

    def exchange(self, vm: str, other_vm: str) -> None:
        """Exchanges updates between two members."""
        view, other = self.views[vm], self.views[other_vm]
        wanted_after = view.wanted_after
        other.merge([view.me, *view.pick_updates()], self.now)
        view.merge([other.me, *other.pick_updates()], self.now)
        if wanted_after is not None:
            view.apply_page(other.list_page(wanted_after), self.now)
        else:
            view.compare_digest(other.digest)

    def get_alive(self, vm: str) -> set[str]:
        return {member.vm for member in self.views[vm].list_alive()}


@settings(max_examples=25, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), dead=st.sets(st.integers(0, 8), max_size=4))
def test_views_converge_after_failures(seed: int, dead: set[int]) -> None:
    zone = Zone(seed, loss=0.0)
    zone.run(20)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)
    zone.up -= {f"vm{n}" for n in dead}
    zone.run(20)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)


@settings(max_examples=15, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000))
def test_members_recover_after_lost_probes(seed: int) -> None:
    zone = Zone(seed, loss=0.15)
    zone.run(60)
    zone.loss = 0.0
    zone.run(40)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)


def test_suspended_member_rejoins() -> None:
    zone = Zone(1, loss=0.0)
    zone.run(20)
    zone.up.discard("vm3")
    zone.run(12)
    assert all("vm3" not in zone.get_alive(vm) for vm in zone.up)
    zone.up.add("vm3")
    zone.run(30)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)


def test_restarted_member_replaces_its_old_record() -> None:
    zone = Zone(2, loss=0.0)
    zone.run(10)
    restarted = msgspec.structs.replace(
        zone.views["vm4"].me, incarnation=9, address="10.9.9.9:1"
    )
    zone.views["vm4"] = membership.Membership(
        restarted, random.Random(5), zone.now
    )
    zone.views["vm4"].merge([zone.views["vm0"].me], zone.now)
    zone.run(20)
    seen = {m.vm: m.address for m in zone.views["vm7"].list_alive()}
    assert seen["vm4"] == "10.9.9.9:1"


def test_member_that_left_is_removed_from_all_views() -> None:
    zone = Zone(3, loss=0.0)
    zone.run(15)
    zone.views["vm5"].leave(zone.now)
    zone.probe("vm5")
    zone.up.discard("vm5")
    zone.run(15)
    assert all("vm5" not in zone.get_alive(vm) for vm in zone.up)


@given(
    names=st.sets(st.text("abcdef", min_size=1), min_size=2, max_size=12),
    keys=st.lists(st.text(), min_size=1, max_size=50),
)
@settings(derandomize=True, deadline=None)
def test_only_keys_of_a_removed_owner_move(
    names: set[str], keys: list[str]
) -> None:
    before = {k: membership.pick_owner(k, sorted(names)) for k in keys}
    gone = min(names)
    after = {k: membership.pick_owner(k, sorted(names - {gone})) for k in keys}
    assert all(after[k] == before[k] for k in keys if before[k] != gone)


def test_half_of_the_members_or_fewer_is_a_minority() -> None:
    me = membership.Member("a", "z", "a:1", 1)
    mine = membership.Membership(me, random.Random(1), 0.0)
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in "bcd"]
    mine.merge(others, 0.0)
    assert not mine.is_minority()
    mine.suspect("b", 1.0)
    assert not mine.is_minority()
    mine.suspect("c", 1.0)
    assert mine.is_minority()
    left = msgspec.structs.replace(others[2], state=membership.MemberState.LEFT)
    mine.merge([left], 2.0)
    assert mine.is_minority()


def test_only_vms_with_enough_cores_own_shards() -> None:
    sizes = {"a": 0.5, "b": 2.0, "c": 2.15, "d": 1.0}
    members = [
        membership.Member(vm, "z", f"{vm}:1", 1, cores=cores)
        for vm, cores in sizes.items()
    ]
    assert [m.vm for m in membership.list_strongest(members)] == ["b", "c"]
    unknown = [membership.Member(vm, "z", f"{vm}:1", 1) for vm in sizes]
    assert membership.list_strongest(unknown) == unknown


def make_settled_zone() -> Zone:
    """Returns a large zone whose members all know each other."""
    zone = Zone(3, loss=0.0, count=MANY)
    everyone = [view.me for view in zone.views.values()]
    for view in zone.views.values():
        view.merge(everyone, 0.0)
    zone.run(60)
    return zone


def test_number_of_probe_targets_is_logarithmic() -> None:
    zone = make_settled_zone()
    assert max(map(len, zone.probed.values())) <= MANY.bit_length()
    probing = collections.Counter(
        target for targets in zone.probed.values() for target in targets
    )
    assert max(probing.values()) <= MANY.bit_length()


def test_restarted_member_discovers_all_members() -> None:
    # When a restarted member received recent updates only, of which a settled
    # zone has few, it knew 36 to 52 of 195 members after 10 probes and 117 to
    # 122 after 40 (three seeds), and assigned shards among these only.
    zone = make_settled_zone()
    restarted = msgspec.structs.replace(zone.views["vm4"].me, incarnation=9)
    zone.views["vm4"] = membership.Membership(
        restarted, random.Random(5), zone.now
    )
    zone.views["vm4"].merge([zone.views["vm0"].me], zone.now)
    for _ in range(10):
        zone.probe("vm4")
    assert zone.get_alive("vm4") == zone.up


def test_large_zone_converges_after_a_fifth_fails() -> None:
    zone = make_settled_zone()
    zone.up -= {f"vm{n}" for n in range(0, MANY, 5)}
    zone.run(30)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)


def test_partitioned_halves_of_a_large_zone_merge_again() -> None:
    zone = make_settled_zone()
    half = {f"vm{n}" for n in range(0, MANY, 2)}
    others = zone.up - half
    for side in (half, others):
        zone.up = side
        zone.run(40)
    zone.up = half | others
    assert not zone.get_alive(min(half)) & others
    for _ in range(20):
        # Seeds are contacted even if they are considered dead.
        zone.exchange(min(half), min(others))
        zone.run(3)
    assert all(zone.get_alive(vm) == zone.up for vm in zone.up)


def count_sent_updates(spreads_generations: bool) -> int:
    """Returns how many updates a settled member sends after a new bundle."""
    mine = membership.Member("a", ZONE, "a:1", 1)
    view = membership.Membership(
        mine, random.Random(1), 0.0, spreads_generations
    )
    others = [membership.Member(f"m{n}", ZONE, f"m{n}:1", 1) for n in range(60)]
    view.merge(others, 0.0)
    while view.pick_updates():
        pass
    view.set_generation(2, 1.0)
    newer = [msgspec.structs.replace(other, generation=2) for other in others]
    view.merge(newer, 1.0)
    assert all(member.generation == 2 for member in view.list_alive())
    sent = 0
    while updates := view.pick_updates():
        sent += len(updates)
    return sent


def test_generations_spread_only_if_enabled() -> None:
    # If generations spread, a new bundle changes the records of all 60 members,
    # and each member sends the update of each of these 60 and its own 18 times.
    assert count_sent_updates(spreads_generations=True) == 61 * 18
    assert count_sent_updates(spreads_generations=False) == 0

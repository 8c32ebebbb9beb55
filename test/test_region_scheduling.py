"""Scheduling of regions: zones, discovery, summaries and redirects."""

from __future__ import annotations

import functools
import json
import logging
import random
import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ramptray import steadyclock, timeline
from ramptray.bundle import acceptance, model, signature
from ramptray.command import status as status_command
from ramptray.core import (
    backend,
    clock,
    distribution,
    membership,
    message,
    policy,
    queue,
    redirection,
    remote_shards,
    request,
    shard,
    summary,
)
from ramptray.core import rules as shard_rules
from ramptray.entry import backend_directory, owners, timeouts
from ramptray.entry import ticket as tickets
from ramptray.peer import attachment, link
from ramptray.peer import message as peer_message
from ramptray.platform import (
    config,
    follower,
    replicas,
    scheduling_zone,
    settings,
    store,
)
from ramptray.scheduler import (
    event,
    gossip,
    hub,
    region_exchange,
    rules,
    status,
)
from test import (
    node,
    test_dispatcher,
    test_replicas,
    test_rollout,
    virtualtime,
)
from test.test_node import ask, wait_until

REGIONS = {
    "north-a": "north",
    "north-b": "north",
    "south-a": "south",
    "south-b": "south",
}
DELAY_S = 0.03


# Zones.


@pytest.mark.parametrize(
    "regions", [{}, {"waw-a": "waw"}, {"waw-a": "waw", "waw-b": "waw"}]
)
def test_a_deployment_with_one_region_has_one_scheduling_zone(
    regions: dict[str, str],
) -> None:
    zones = scheduling_zone.SchedulingZones(regions)
    assert zones.names == ("all",)
    assert {zones.find(zone) for zone in ("waw-a", "waw-b", "")} == {"all"}


def test_a_zone_without_a_region_gets_no_scheduling_zone_of_its_own() -> None:
    # Limits are divided by the number of scheduling zones, so one more would
    # grant more than the total.
    zones = scheduling_zone.SchedulingZones({**REGIONS, "west-a": ""})
    assert zones.names == ("north", "south")
    assert zones.find("south-b") == "south"
    assert zones.find("west-a") == zones.find("unknown") == "north"


def make_bundle(
    servers: dict[str, str], regions: dict[str, str] | None = None
) -> model.Bundle:
    """Returns a bundle with servers, given by their availability zones."""
    regions = REGIONS if regions is None else regions
    zones = scheduling_zone.SchedulingZones(regions)
    parser = config.ConfigParser(
        settings.LimitTerms(8.0, 0.1, 0.0), zones.names
    )
    registry = replicas.ReplicaRegistry(1.6)
    for name, zone in servers.items():
        record = test_replicas.make_record(zone=zone)
        registry.apply_changes([store.Change(name, record)], 0.0)
    return follower.add_replicas(
        parser.parse(json.dumps(node.make_config(1))),
        registry.list_replicas(),
        regions=regions,
    )


def test_each_region_schedules_its_own_servers() -> None:
    bundle = make_bundle({"i-1": "north-a", "i-2": "south-b", "i-3": "south-a"})
    assert bundle.zones == ["north", "south"]
    found = {
        zone: [
            info.name
            for info in rules.list_backend_infos(
                bundle, message.ShardKey(zone, node.SERVICE)
            )
        ]
        for zone in bundle.zones
    }
    assert found == {"north": ["i-1"], "south": ["i-2", "i-3"]}


def test_the_parts_of_a_limit_sum_up_to_the_total() -> None:
    whole = make_bundle({}, {})
    (only,) = whole.zones
    total = rules.make_rules(whole, message.ShardKey(only, node.SERVICE))
    divided = make_bundle({})
    parts = [
        rules.make_rules(divided, message.ShardKey(zone, node.SERVICE))
        for zone in divided.zones
    ]
    span_total = total.limits["small"].span_total
    assert span_total > 0
    assert sum(part.limits["small"].span_total for part in parts) == span_total


def make_summary(zone: str, **changes: Any) -> summary.ShardSummary:
    """Returns the summary of an idle zone."""
    made = summary.ShardSummary(
        message.ShardKey(zone, node.SERVICE),
        f"{zone}-vm:1",
        10**9,
        (0,),
        True,
        1,
    )
    return msgspec.structs.replace(made, **changes)


class MemoryClient(link.PeerClient):
    """Delivers gossip to gossipers in this process, after a delay."""

    def __init__(self, me: membership.Member, network: Network) -> None:
        super().__init__(clock.HybridClock(lambda: 0), None)
        self._me = me
        self._network = network

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        return await self._network.deliver(
            self._me, address, question, timeout_s
        )


class Network:
    """Schedulers of several regions that exchange gossip."""

    def __init__(self) -> None:
        self.gossipers: dict[str, gossip.Gossiper] = {}
        self.views: dict[str, peer_message.View] = {}
        self.silent: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.sent: list[tuple[float, str, str, peer_message.Gossip]] = []

    def add(self, zone: str, vm: str, seeds: list[str]) -> gossip.Gossiper:
        """Adds a scheduler, whose region is its zone's first part."""
        me = membership.Member(
            vm, zone.partition("-")[0], f"{vm}:1", 1, availability_zone=zone
        )

        async def ignore_newer(address: str, generation: int) -> None:
            """Fetches nothing."""

        rng = random.Random(vm)
        made = gossip.Gossiper(
            me,
            seeds,
            MemoryClient(me, self),
            rng,
            lambda view: self.views.update({vm: view}),
            lambda lowest: None,
            ignore_newer,
            spreads_generations=False,
            exchange=region_exchange.RegionExchange(me.zone, rng),
        )
        made.find_zone_owner = lambda: self.find_owner(vm)
        made.update_summaries = lambda: made.summaries.put(
            [make_summary(me.zone, owner=me.address, version=self.now_us())],
            steadyclock.read(),
        )
        self.gossipers[me.address] = made
        return made

    def find_owner(self, vm: str) -> str:
        """Returns the owner of a scheduler's region in its view."""
        view = self.views.get(vm)
        if view is None:
            return ""
        members = {m.vm: m.address for m in view.members}
        owner = membership.pick_owner(view.members[0].zone, list(members))
        return members[owner] if owner else ""

    @staticmethod
    def now_us() -> int:
        """Returns the virtual time in microseconds."""
        return int(steadyclock.read() * 1e6)

    async def deliver(
        self,
        me: membership.Member,
        address: str,
        question: peer_message.Gossip,
        timeout_s: float,
    ) -> peer_message.Gossip:
        """Delivers a message and returns the answer."""
        found = self.gossipers.get(address)
        is_cut = found is not None and (
            frozenset((me.zone, found.membership.me.zone)) in self.cut
        )
        if found is None or is_cut or {address, me.address} & self.silent:
            await anyio.sleep(timeout_s)
            raise link.LinkError(f"{address}: silent")
        to = found.membership.me
        self.sent.append((steadyclock.read(), me.address, address, question))
        delay_s = 0.0005 if to.zone == me.zone else DELAY_S
        await anyio.sleep(delay_s)
        answer = found.receive(question)
        await anyio.sleep(delay_s)
        return answer

    async def run(self, seconds: float) -> None:
        """Runs all schedulers for a while."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                for each in self.gossipers.values():
                    tasks.start_soon(each.run)

    def list_remote_probes(self, since: float) -> dict[str, int]:
        """Returns the number of probes to other regions by sender."""
        probes: dict[str, int] = {}
        for sent_at, sender, address, _ in self.sent:
            zones = {
                self.gossipers[each].membership.me.zone
                for each in (sender, address)
            }
            if sent_at >= since and len(zones) > 1:
                probes[sender] = probes.get(sender, 0) + 1
        return probes


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Iterator[Network]:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    yield Network()


def test_vms_whose_seeds_are_all_in_another_region_find_each_other(
    network: Network,
) -> None:
    # Contacts in a VM's own zone were ignored, so each VM of the second region
    # stayed alone and owned the whole region.
    for number in range(4):
        network.add("north-a", f"n{number}", ["n0:1", "n1:1"])
        network.add("south-a", f"s{number}", ["n0:1", "n1:1"])
    virtualtime.run(lambda: network.run(5.0))
    for address, each in network.gossipers.items():
        zone = each.membership.me.zone
        expected = {f"{zone[0]}{number}" for number in range(4)}
        known = {member.vm for member in each.membership.list_alive()}
        assert known == expected, address
    owners = {network.find_owner(f"s{number}") for number in range(4)}
    assert len(owners) == 1


def test_the_pages_of_another_regions_members_end_no_listing(
    network: Network,
) -> None:
    # A VM that asked a seed in another region for its members got the members
    # of that region, and took its own listing for complete.
    south = network.add("south-a", "s0", ["n0:1"])
    north = membership.Member("n0", "north", "n0:1", 1)
    # As an older build answers, which does not look at the asker's zone.
    answer = peer_message.Gossip(north, [], [], [], digest=1, page=[north])
    for _ in range(2 * membership.MAX_DIGEST_MISMATCHES):
        south._apply_answer(answer)
    assert south._make_probe().wanted_after == ""
    newer = network.add("north-a", "n0", []).receive(south._make_probe())
    assert newer.page is None
    assert newer.digest == 0


def test_only_owners_probe_other_regions(network: Network) -> None:
    for number in range(6):
        network.add("north-a", f"n{number}", ["n0:1", "s0:1"])
        network.add("south-a", f"s{number}", ["n0:1", "s0:1"])
    virtualtime.run(lambda: network.run(20.0))
    probes = network.list_remote_probes(since=10.0)
    assert set(probes) == {network.find_owner("n0"), network.find_owner("s0")}


def test_owners_exchange_summaries_twice_a_second_with_their_delay(
    network: Network,
) -> None:
    for number in range(3):
        for zone in ("north-a", "south-a", "west-a"):
            network.add(zone, f"{zone[0]}{number}", ["n0:1"])
    ages: list[float] = []

    async def observe() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run, 15.0)
            await anyio.sleep(5.0)
            for _ in range(90):
                await anyio.sleep(0.1)
                now = steadyclock.read()
                owner = network.gossipers[network.find_owner("n0")]
                key = message.ShardKey("north", node.SERVICE)
                found = owner.list_remote_summaries(key, now)
                assert {f.shard.zone for f in found} == {"south", "west"}
                ages.extend(each.age_s for each in found)
                assert {round(f.delay_s or 0, 4) for f in found} == {DELAY_S}

    virtualtime.run(observe)
    assert max(ages) <= 0.5 + 2 * DELAY_S


def test_a_new_owner_of_a_region_is_found_within_seconds(
    network: Network,
) -> None:
    for number in range(4):
        network.add("north-a", f"n{number}", ["n0:1", "s0:1"])
        network.add("south-a", f"s{number}", ["n0:1", "s0:1"])

    async def lose_owner() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run, 16.0)
            await anyio.sleep(6.0)
            lost = network.find_owner("s0")
            network.silent.add(lost)
            await anyio.sleep(6.0)
            other = next(vm for vm in ("s0", "s1") if f"{vm}:1" != lost)
            successor = network.find_owner(other)
            assert successor != lost
            north = network.gossipers[network.find_owner("n0")]
            (found,) = north.list_remote_summaries(
                message.ShardKey("north", node.SERVICE), steadyclock.read()
            )
            assert found.owner == successor
            assert found.age_s < 1.0

    virtualtime.run(lose_owner)


@pytest.mark.parametrize(
    "cut",
    [
        [("north", "south")],
        [("north", "south"), ("north", "west"), ("south", "west")],
    ],
)
@pytest.mark.parametrize("length_s", [8.0, 30.0])
def test_regions_find_each_other_again_after_a_partition(
    network: Network, cut: list[tuple[str, str]], length_s: float
) -> None:
    # Owners removed the contacts that did not answer, and nobody told them of
    # others until the contacts of all other VMs had expired after a minute.
    for number in range(4):
        for zone in ("north-a", "south-a", "west-a"):
            network.add(zone, f"{zone[0]}{number}", ["n0:1"])

    async def partition() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run, length_s + 15.0)
            await anyio.sleep(5.0)
            # Seeds may be stale.
            network.silent.add("n0:1")
            await anyio.sleep(5.0)
            network.cut = {frozenset(pair) for pair in cut}
            await anyio.sleep(length_s)
            network.cut.clear()
            await anyio.sleep(2.5)
            for zone in "nsw":
                owner = network.gossipers[network.find_owner(f"{zone}1")]
                key = message.ShardKey(owner.membership.me.zone, node.SERVICE)
                now = steadyclock.read()
                found = owner.list_remote_summaries(key, now)
                assert len(found) == 2
                assert max(each.age_s for each in found) < 1.0

    virtualtime.run(partition)


# Assumptions of one scheduling zone.


def test_each_region_has_its_own_readers_of_the_log() -> None:
    # Changes are distributed among the members of a scheduling zone, so that
    # no VM follows one of another region.
    for region in ("north", "south"):
        members = [
            membership.Member(
                f"{region}{n}", region, f"{region}{n}:1", 1, availability_zone=z
            )
            for n, z in enumerate(REGIONS)
            if REGIONS[z] == region
        ]
        positions = [distribution.find_position(m, members) for m in members]
        assert any(position.reads for position in positions)
        sources = {s for position in positions for s in position.sources}
        assert all(source.startswith(region) for source in sources)


def make_release_gate(zones: int) -> int:
    """Returns how many of 8 requests a new release may get at once."""
    owner = test_rollout.make_owner()
    gate = owner.releases
    gate.zones = zones
    gate.set_order(test_rollout.ORDER, None)
    new = [
        server
        for server in owner.fleet.list_all()
        if server.info.release == test_rollout.ORDER.release
    ]
    granted = 0
    for _ in range(8):
        for server in gate.filter_allowed(new)[:1]:
            gate.count_request(server)
            granted += 1
    return granted


def test_the_share_of_a_release_holds_over_all_regions() -> None:
    # Each owner gave a new release one request beyond its share at once.
    assert make_release_gate(zones=1) == 1
    assert make_release_gate(zones=3) == 0


def test_a_vm_cut_off_in_its_region_notices_that_it_reaches_few_servers() -> (
    None
):
    # Servers of other regions, of which it hears nothing, counted as reachable,
    # so that it kept accepting callers.
    bundle = make_bundle(
        {
            "i-1": "north-a",
            "i-2": "north-b",
            "i-3": "north-b",
            "i-4": "south-a",
            "i-5": "south-a",
            "i-6": "south-b",
        }
    )
    directory = backend_directory.BackendDirectory("north")
    directory.apply_bundle(
        acceptance.InForce(bundle, signature.Envelope("", {}))
    )
    near = membership.Member(
        "n0", "north", "n0:1", 1, availability_zone="north-a"
    )
    far = membership.Member(
        "n1", "north", "n1:1", 1, availability_zone="north-b"
    )
    directory.apply_view(peer_message.View([near, far], []))
    assert directory.reachable_share == 1.0
    directory.apply_view(peer_message.View([near], []))
    assert directory.reachable_share == pytest.approx(1 / 3)


def test_a_region_cut_off_from_the_others_stays_ready(network: Network) -> None:
    # Its members are all alive, so that it continues with its own servers.
    for number in range(3):
        network.add("north-a", f"n{number}", ["n0:1", "s0:1"])
        network.add("south-a", f"s{number}", ["n0:1", "s0:1"])

    async def cut_off() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run, 12.0)
            await anyio.sleep(4.0)
            network.silent.update(f"s{number}:1" for number in range(3))
            await anyio.sleep(7.0)
            for number in range(3):
                north = network.gossipers[f"n{number}:1"]
                assert not north.membership.is_minority()
                assert north.get_limit_share() == 1.0

    virtualtime.run(cut_off)


class FakeLink:
    """A link that only records whether it was stopped."""

    def __init__(self) -> None:
        self.is_stopped = False

    def stop(self) -> None:
        """Stops the link."""
        self.is_stopped = True


def test_the_link_to_an_owner_outside_the_view_stays_open() -> None:
    # A view lists only a few schedulers of each other region.  The link to an
    # owner that a request was redirected to was closed with the next view.
    recorder = test_dispatcher.RecordingDispatcher()
    ours, owner, idle = test_dispatcher.OURS, "127.0.0.9:1", "127.0.0.8:1"
    local = membership.Member("waw-a-vm1", "waw-a", ours, 1)
    view = peer_message.View([local], [])
    recorder.receive(attachment.MessageReceived(ours, view))
    key = message.ShardKey("waw-a", "s")
    recorder.submit_new(
        message.RequestInfo("r1", key, "c", "t", 1, 1, (), 60.0)
    )
    redirect = message.Redirect("r1", "waw-b", owner)
    recorder.receive(attachment.MessageReceived(ours, redirect))
    links = {owner: FakeLink(), idle: FakeLink()}
    recorder._links.update(links)  # type: ignore[arg-type]
    recorder.receive(attachment.MessageReceived(ours, view))
    assert not links[owner].is_stopped
    assert links[idle].is_stopped


def make_hub(zone: str) -> hub.Hub:
    """Returns the hub of the only VM of a region."""
    me = membership.Member(f"{zone}-vm", zone, f"{zone}-vm:1", 1)

    async def ignore_newer(address: str, generation: int) -> None:
        """Fetches nothing."""

    gossiper = gossip.Gossiper(
        me,
        [],
        link.PeerClient(clock.HybridClock(lambda: 0), None),
        random.Random(1),
        lambda view: None,
        lambda lowest: None,
        ignore_newer,
    )
    made = hub.Hub(
        me.address,
        zone,
        hub.Options(report_grace_s=0.0, shares_limits=True, sends_bundle=False),
        gossiper,
        None,
        timeline.Timeline(
            "scheduler", zone, clock.HybridClock(lambda: 0), False, 0
        ),
    )
    bundle = make_bundle({"i-1": "north-a", "i-2": "south-a"})
    in_force = acceptance.InForce(bundle, signature.Envelope("", {}))
    made._handle(event.BundleChanged(in_force), 0.0)
    made._handle(event.ViewChanged(peer_message.View([me], [])), 0.0)
    return made


def test_an_owner_opens_the_shards_of_its_region_only() -> None:
    made = make_hub("south")
    assert list(made.shards) == [message.ShardKey("south", node.SERVICE)]
    assert made.find_zone_owner() == "south-vm:1"
    (owner,) = made.shards.values()
    assert list(owner.fleet.backends) == ["i-2"]


def test_a_total_is_not_lent_to_another_region() -> None:
    # A region that was idle may use its part within the same span, so that both
    # together would exceed the total.
    made = make_hub("south")
    (owner,) = made.shards.values()
    idle = make_summary("north", uses={"small": 0.0})
    owner._limits.try_acquire("small", 1, 0.0)
    ((_, bucket),) = owner._limits._buckets["small"]
    own_rate = bucket.rate
    owner.set_remote_summaries([idle], 0.0)
    assert bucket.rate == own_rate


# Decisions.

FAST = message.Speed(100_000.0, 0.003, 0.03)
LONG = message.RequestInfo(
    "long",
    message.ShardKey("north", "lm"),
    "c",
    "urgent",
    6000,
    400,
    (),
    15.0,
    objective_s=0.4,
)
TIERS = {"urgent": 0, "normal": 1}


def make_owner(slots: int = 2, servers: int = 1) -> shard.ShardOwner:
    """Returns the owner of the north, whose servers are fast."""
    names = [f"n{number}" for number in range(servers)]
    owner = shard.ShardOwner(
        LONG.shard,
        "north-vm:1",
        shard_rules.ShardRules(TIERS, 10**9, 0.0, {}, {}, zones=3),
        [
            backend.BackendInfo(name, slots, 10**6, 0, region="north")
            for name in names
        ],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
        speeds={name: message.SpeedLearned(name, FAST) for name in names},
    )
    owner.tick(0.0)
    return owner


def make_idle(zone: str = "south", **changes: Any) -> summary.ShardSummary:
    """Returns the summary of an idle zone that is as fast as the north."""
    idle = {
        "shard": message.ShardKey(zone, "lm"),
        "slots": 8,
        "free_slots": 8,
        "waits": (0.0, 0.0),
        "prefill_rate": FAST.prefill_rate,
        "fixed_s": FAST.fixed_s,
        "step_s": FAST.step_s,
        "regions": (zone,),
        "delay_s": DELAY_S,
    }
    return make_summary(zone, **{**idle, **changes})


def send(
    owner: shard.ShardOwner, now: float = 1.0, **changes: Any
) -> message.OwnerMessage | None:
    """Sends a request and returns the owner's reply to it."""
    info = msgspec.structs.replace(LONG, **changes)
    out = owner.receive("entry", message.Enqueue(info), now)
    return next(
        (
            effect.message
            for effect in out
            if effect.message.request_id == info.request_id
        ),
        None,
    )


def fill(owner: shard.ShardOwner, now: float = 0.9) -> None:
    """Occupies all slots of an owner."""
    for server in owner.fleet.list_all():
        for number in range(server.info.max_running):
            name = f"{server.info.name}-{number}"
            info = msgspec.structs.replace(LONG, request_id=name)
            owner.fleet.place(info, server, "entry", "", now)
            first = message.FirstToken(name, 0.09, 6000, 0)
            owner.fleet.record_first_token(first, now + 0.09)


def test_a_request_goes_to_the_zone_that_meets_its_objective() -> None:
    owner = make_owner()
    fill(owner)
    owner.set_remote_summaries([make_idle()], 1.0)
    assert send(owner) == message.Redirect(
        "long", "south", "south-vm:1", DELAY_S, "objective"
    )


def test_a_request_that_its_own_zone_serves_in_time_stays() -> None:
    owner = make_owner()
    owner.set_remote_summaries([make_idle(prefill_rate=10**6)], 1.0)
    assert isinstance(send(owner), message.Grant)


@pytest.mark.parametrize(
    "changes",
    [
        {"delay_s": 0.1},
        {"free_slots": 0, "waits": (0.4, 0.4)},
        {"prefill_rate": 10_000.0},
        {"prefill_rate": 0.0},
        {"delay_s": None},
        {"has_backend": False},
        {"age_s": remote_shards.MAX_OBJECTIVE_AGE_S + 0.1},
    ],
)
def test_a_request_that_no_zone_serves_in_time_stays(
    changes: dict[str, Any],
) -> None:
    owner = make_owner()
    fill(owner)
    owner.set_remote_summaries([make_idle(**changes)], 1.0)
    assert send(owner) is None
    assert owner.is_waiting("long")


def test_an_old_summary_still_shows_where_servers_are() -> None:
    owner = make_owner(servers=0)
    old = make_idle(age_s=remote_shards.MAX_OBJECTIVE_AGE_S + 1.0)
    owner.set_remote_summaries([old], 1.0)
    redirect = send(owner)
    assert isinstance(redirect, message.Redirect)
    assert redirect.reason == "no_server"


def count_redirects(owner: shard.ShardOwner, name: str, now: float) -> int:
    return sum(
        isinstance(
            send(owner, now, request_id=f"{name}-{number}"), message.Redirect
        )
        for number in range(20)
    )


def test_requests_just_sent_to_a_zone_count_against_its_free_slots() -> None:
    # All requests of a burst went to the zone that had been idle in its last
    # summary, and most of them were late there.
    owner = make_owner()
    fill(owner)
    owner.set_remote_summaries([make_idle(slots=4, free_slots=4)], 1.0)
    assert count_redirects(owner, "first", 1.0) == 4
    # The same summary, received again, does not include them either.
    owner.set_remote_summaries([make_idle(slots=4, free_slots=4)], 1.1)
    assert count_redirects(owner, "again", 1.1) == 0
    newer = make_idle(slots=4, free_slots=4, version=2)
    owner.set_remote_summaries([newer], 1.5)
    assert count_redirects(owner, "newer", 1.5) == 4


def test_a_summary_does_not_include_requests_on_their_way() -> None:
    owner = make_owner()
    fill(owner)
    owner.set_remote_summaries([make_idle(slots=4, free_slots=4)], 1.0)
    assert count_redirects(owner, "first", 1.0) == 4
    newer = make_idle(slots=4, free_slots=4, version=2)
    owner.set_remote_summaries([newer], 1.0 + DELAY_S)
    assert count_redirects(owner, "second", 1.0 + DELAY_S) == 0


def test_a_redirected_request_is_redirected_again_only_without_servers() -> (
    None
):
    for servers, expected in ((1, None), (0, "west")):
        owner = make_owner(servers=servers)
        fill(owner)
        idle = [make_idle("south"), make_idle("west")]
        owner.set_remote_summaries(idle, 1.0)
        reply = send(owner, spilled_from=("south",))
        zone = reply.zone if isinstance(reply, message.Redirect) else None
        assert zone == expected


def test_a_redirected_request_is_not_redirected_for_its_deadline() -> None:
    owner = make_owner()
    owner.set_remote_summaries([make_idle()], 1.0)
    for spilled_from, is_expected in (((), True), (("west",), False)):
        info = msgspec.structs.replace(LONG, spilled_from=spilled_from)
        waiting = owner._queue.make(info, "entry", 1.0)
        owner._queue.push(waiting)
        reason = redirection.Reason.DEADLINE
        redirected = owner.redirector.redirect(waiting, 1.0, reason)
        assert (redirected is not None) == is_expected


def test_higher_tiers_get_the_capacity_of_other_zones_first() -> None:
    owner = make_owner()
    fill(owner)
    for number, tier in enumerate(["normal", "urgent", "normal", "urgent"]):
        assert (
            send(owner, 1.0, request_id=f"{tier}-{number}", tier=tier) is None
        )
    owner.set_remote_summaries([make_idle(slots=2, free_slots=2)], 1.05)
    redirected = {
        effect.message.request_id
        for effect in owner.tick(1.05)
        if isinstance(effect.message, message.Redirect)
    }
    assert redirected == {"urgent-1", "urgent-3"}


def test_a_tier_that_is_granted_nothing_does_not_expect_a_short_wait() -> None:
    # By the cost queued before it, a request of the lowest tier seemed to be
    # next while the higher tiers took every slot; it was refused in the end.
    owner = make_owner(slots=1, servers=1)
    for number in range(40):
        now = 5.0 + 0.1 * number
        name = f"urgent-{number}"
        assert isinstance(send(owner, now, request_id=name), message.Grant)
        owner.fleet.free(name)
    fill(owner, 9.0)
    owner.set_remote_summaries([make_idle(delay_s=0.2)], 9.0)
    waits = owner.summarize(9.0, 1).waits
    assert waits == (0.0, 0.0)
    assert send(owner, 9.0, request_id="low", tier="normal") is None
    waits = owner.summarize(9.0, 2).waits
    assert waits == (0.0, redirection.MAX_WAIT_S)


def test_several_owners_do_not_all_choose_the_best_zone() -> None:
    chosen = set()
    for number in range(20):
        remotes = remote_shards.RemoteShards(
            message.ShardKey(f"zone-{number}", "lm")
        )
        zones = [
            make_idle(zone, fixed_s=0.03 + 0.001 * rank)
            for rank, zone in enumerate(("best", "second", "third"))
        ]
        remotes.set_summaries(zones, 1.0)
        ranked = queue.ShardQueue(TIERS).make(LONG, "entry", 1.0)
        found = remotes.pick_for_objective(ranked, 1.0)
        assert found is not None
        chosen.add(found.shard.zone)
    assert chosen == {"best", "second"}


def test_a_new_owner_waits_for_the_zone_of_a_restricted_request() -> None:
    # A request that only another region may serve was refused until that
    # region's first summary had arrived.
    owner = make_owner()
    assert send(owner, 1.0, regions=("south",)) is None
    owner.set_remote_summaries([make_idle()], 1.5)
    (effect,) = owner.tick(1.5)
    assert isinstance(effect.message, message.Redirect)
    refused = send(owner, 9.0, request_id="r2", regions=("west",))
    assert isinstance(refused, message.Reject)


ZONES = ("north", "south", "west", "east")
ANY_REGIONS = st.none() | st.lists(
    st.sampled_from(ZONES), unique=True, max_size=3
).map(tuple)


@given(
    servers=st.integers(0, 1),
    zones=st.lists(
        st.tuples(
            st.sampled_from(ZONES[1:]),
            ANY_REGIONS,
            st.integers(0, 4),
            st.sampled_from([None, 0.001, DELAY_S]),
            st.sampled_from([0.0, 3.0]),
        ),
        max_size=4,
    ),
    requests=st.lists(
        st.tuples(
            ANY_REGIONS,
            st.sampled_from([(), ("south",), ("south", "north")]),
            st.sampled_from(sorted(TIERS)),
            st.sampled_from([None, 0.2, 2.0]),
            st.sampled_from([0.1, 5.0]),
        ),
        max_size=12,
    ),
)
def test_allowed_regions_hold_on_every_redirect(
    servers: int,
    zones: list[tuple[str, tuple[str, ...] | None, int, float | None, float]],
    requests: list[
        tuple[tuple[str, ...] | None, tuple[str, ...], str, float | None, float]
    ],
) -> None:
    owner = make_owner(servers=servers)
    fill(owner)
    summaries = {
        zone: make_idle(
            zone, regions=regions, free_slots=free, delay_s=delay_s, age_s=age_s
        )
        for zone, regions, free, delay_s, age_s in zones
    }
    owner.set_remote_summaries(list(summaries.values()), 1.0)
    sent: dict[str, message.RequestInfo] = {}
    effects = []
    for number, (regions, spilled, tier, objective_s, wait_s) in enumerate(
        requests
    ):
        info = msgspec.structs.replace(
            LONG,
            request_id=f"r{number}",
            regions=regions,
            spilled_from=spilled,
            tier=tier,
            objective_s=objective_s,
            wait_s=wait_s,
        )
        sent[info.request_id] = info
        effects += owner.receive("entry", message.Enqueue(info), 1.0)
    for now in (1.05, 1.2, 4.0, 7.0):
        effects += owner.tick(now)
    for effect in effects:
        told = effect.message
        info = sent[told.request_id]
        if isinstance(told, message.Redirect):
            assert told.zone not in info.spilled_from
            if info.regions is not None:
                assert set(info.regions) & set(
                    summaries[told.zone].regions or ()
                )
        if isinstance(told, message.Grant):
            assert info.regions is None or "north" in info.regions


def test_a_summary_has_a_bounded_size() -> None:
    ranks = {f"p{number}": number for number in range(200)}
    owner = make_owner(servers=1)
    infos = [
        backend.BackendInfo(f"n{n}", 6, 10**6, 0, region=f"region-{n}")
        for n in range(60)
    ]
    owner.configure(shard_rules.ShardRules(ranks, 10**9, 0.0, {}, {}), infos)
    made = owner.summarize(1.0, 1796220000000000)
    assert made.slots == made.free_slots == 360
    assert len(made.regions or ()) == redirection.MAX_REGIONS
    assert len(made.waits) == redirection.MAX_TIERS
    few = make_owner().summarize(1.0, 1796220000000000)
    assert len(msgspec.msgpack.encode(few)) < 400


def test_slow_servers_are_not_offered_to_other_zones() -> None:
    owner = make_owner(slots=6, servers=3)
    owner.fleet.backends["n2"].speed.factor *= 4
    made = owner.summarize(1.0, 1)
    assert (made.slots, made.free_slots) == (12, 12)
    assert made.prefill_rate == pytest.approx(FAST.prefill_rate, rel=0.01)
    for number, server in enumerate(owner.fleet.list_all()):
        info = msgspec.structs.replace(LONG, request_id=f"r{number}")
        owner.fleet.place(info, server, "entry", "", 1.5)
    made = owner.summarize(2.0, 2)
    assert (made.slots, made.free_slots) == (12, 10)


def make_redirected(
    recorder: test_dispatcher.RecordingDispatcher, **changes: Any
) -> tickets.Ticket:
    """Submits a request that is redirected to another zone at once."""
    ours, other = test_dispatcher.OURS, test_dispatcher.OTHER
    local = membership.Member("waw-a-vm1", "waw-a", ours, 1)
    remote = membership.Member("waw-b-vm1", "waw-b", other, 1)
    recorder.receive(
        attachment.MessageReceived(ours, peer_message.View([local], [remote]))
    )
    key = message.ShardKey("waw-a", "s")
    info = message.RequestInfo("r1", key, "c", "t", 1, 1, (), 60.0)
    info = msgspec.structs.replace(info, **changes)
    ticket = recorder.submit(info, None)
    for posted in recorder._mailbox.drain():
        recorder._handle(posted, ticket.started_at)
    redirect = message.Redirect(
        ticket.request_id, "waw-b", other, DELAY_S, "objective"
    )
    recorder.receive(
        attachment.MessageReceived(ours, redirect), ticket.started_at
    )
    return ticket


def test_the_delays_to_another_zone_count_against_the_objective() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    make_redirected(recorder, objective_s=0.5, wait_s=1.0)
    address, enqueue = recorder.sent[-1]
    assert address == test_dispatcher.OTHER
    assert isinstance(enqueue, message.Enqueue)
    assert enqueue.request.objective_s == pytest.approx(0.5 - 4 * DELAY_S)
    assert enqueue.request.wait_s == pytest.approx(1.0 - 2 * DELAY_S)
    assert enqueue.request.spilled_from == ("waw-a",)


def test_the_delays_do_not_make_another_zones_servers_seem_slow() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    ticket = make_redirected(recorder)
    other = test_dispatcher.OTHER
    grant = message.Grant("r1", "g", "e", other)
    recorder.receive(attachment.MessageReceived(other, grant))
    first = message.FirstToken("r1", 0.1 + 2 * DELAY_S, None, 0)
    recorder._handle(tickets.FirstTokenReceived(first), ticket.started_at)
    told = recorder.sent[-1]
    assert told == (other, msgspec.structs.replace(first, elapsed_s=0.1))


# Targets of redirects that do not reply.


def test_a_request_returns_if_the_other_zone_does_not_reply() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    ours, other = test_dispatcher.OURS, test_dispatcher.OTHER
    ticket = make_redirected(recorder, objective_s=1.0)
    # The link is not open yet, which takes some round trips.
    opening_s = timeouts.LINK_OPENING_DELAYS * DELAY_S
    timeout_s = owners.MIN_REPLY_TIMEOUT_S + opening_s
    recorder.tick(ticket.started_at + timeout_s - 0.01)
    assert recorder.sent[-1][0] == other
    recorder.tick(ticket.started_at + timeout_s + 0.01)
    address, enqueue = recorder.sent[-1]
    assert address == ours
    assert isinstance(enqueue, message.Enqueue)
    assert enqueue.request.shard.zone == "waw-a"
    assert enqueue.request.spilled_from == ("waw-a", other)
    assert enqueue.request.objective_s == pytest.approx(
        1.0 - timeout_s - 0.01, abs=0.001
    )
    # A late reply is declined, so that the request does not run twice.
    late = message.Grant("r1", "g", "e", other)
    recorder.receive(attachment.MessageReceived(other, late))
    assert recorder.sent[-1] == (other, message.Decline("r1", "g"))
    assert ticket.machine.state is request.State.WAITING


def test_a_learned_reply_time_replaces_the_time_to_open_a_link() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    other = test_dispatcher.OTHER
    recorder._owners.record_reply(other, 2 * DELAY_S)
    ticket = make_redirected(recorder)
    timeout_s = recorder._owners.get_reply_timeout_s(other)
    recorder.tick(ticket.started_at + timeout_s + 0.01)
    assert recorder.sent[-1][0] == test_dispatcher.OURS


def test_a_request_returns_at_once_from_an_owner_known_as_silent() -> None:
    # It was sent there and waited for the timeout once more; if the owner was
    # already avoided, it even stayed there.
    recorder = test_dispatcher.RecordingDispatcher()
    ours, other = test_dispatcher.OURS, test_dispatcher.OTHER
    first = make_redirected(recorder)
    recorder.tick(first.started_at + 1.0)
    assert recorder.get_enqueued()[-1] == (ours, "waw-a")
    info = msgspec.structs.replace(first.info, request_id="r2")
    recorder.submit_new(info)
    redirect = message.Redirect("r2", "waw-b", other, DELAY_S)
    recorder.receive(
        attachment.MessageReceived(ours, redirect), first.started_at + 1.1
    )
    assert recorder.get_enqueued()[-1] == (ours, "waw-a")


def test_a_retry_returns_from_an_owner_that_has_become_silent() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    ours, other = test_dispatcher.OURS, test_dispatcher.OTHER
    ticket = make_redirected(recorder, repeatable=True, max_attempts=2)
    now = ticket.started_at
    grant = message.Grant("r1", "g", "e", other)
    recorder.receive(attachment.MessageReceived(other, grant), now)
    recorder._owners.back_off(other, now + 1.0)
    ended = message.Ended("r1", 0, 0.0, False, broken=True)
    failed = tickets.AttemptFailed(ended, False, message.Reason.BACKEND_LOST)
    recorder._handle(failed, now + 1.1)
    assert recorder.get_enqueued()[-1] == (other, "waw-b")
    for _ in range(10):
        recorder.tick(now + 1.6)
    assert recorder.get_enqueued()[-1] == (ours, "waw-a")


def test_a_running_request_is_not_sent_again_if_its_owner_dies() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    other = test_dispatcher.OTHER
    ticket = make_redirected(recorder)
    grant = message.Grant("r1", "g", "e", other)
    recorder.receive(
        attachment.MessageReceived(other, grant), ticket.started_at
    )
    count = len(recorder.get_enqueued())
    recorder.receive(attachment.LinkClosed(other), ticket.started_at + 0.1)
    recorder.tick(ticket.started_at + 5.0)
    assert ticket.machine.state is request.State.DISPATCHED
    assert len(recorder.get_enqueued()) == count


def test_a_request_that_came_back_waits_for_the_zones_new_owner() -> None:
    # It was refused as "no server" although the other zone had only lost its
    # owner, and not its servers.
    owner = make_owner(servers=0)
    idle = make_idle()
    owner.set_remote_summaries([idle], 5.0)
    came_back = ("north", idle.owner)
    assert send(owner, 5.0, spilled_from=came_back, wait_s=2.0) is None
    assert owner.tick(5.1) == []
    successor = make_idle(owner="south-vm-2:1", version=2)
    owner.set_remote_summaries([successor], 6.0)
    (effect,) = owner.tick(6.0)
    assert isinstance(effect.message, message.Redirect)
    assert effect.message.owner == successor.owner


def test_held_requests_do_not_make_later_ones_miss_their_deadline() -> None:
    # While requests were held for the zone's new owner, the expected wait
    # behind them exceeded the deadline of the next ones, which were refused.
    owner = make_owner()
    for name in ("one", "two"):
        assert isinstance(send(owner, 4.5, request_id=name), message.Grant)
        owner.fleet.free(name)
    owner.configure(owner._rules, [])
    owner.fleet.backends.clear()
    idle = make_idle()
    owner.set_remote_summaries([idle], 5.0)
    came_back = ("north", idle.owner)
    for number in range(20):
        assert (
            send(
                owner,
                5.0,
                request_id=f"held-{number}",
                spilled_from=came_back,
                deadline_s=3.0,
            )
            is None
        )
    reply = send(owner, 5.1, request_id="next", deadline_s=3.0)
    assert isinstance(reply, message.Redirect)


def test_a_request_that_came_back_is_refused_in_the_end() -> None:
    owner = make_owner(servers=0)
    idle = make_idle()
    owner.set_remote_summaries([idle], 5.0)
    came_back = ("north", idle.owner)
    assert send(owner, 5.0, spilled_from=came_back, wait_s=0.5) is None
    (effect,) = owner.tick(5.6)
    assert isinstance(effect.message, message.Reject)
    assert effect.message.reason is message.Reason.NO_BACKEND


def test_a_silent_zone_gets_no_requests_until_its_next_summary() -> None:
    owner = make_owner()
    fill(owner)
    idle = make_idle()
    owner.set_remote_summaries([idle], 1.0)
    came_back = ("north", idle.owner)
    assert send(owner, request_id="r1", spilled_from=came_back) is None
    assert send(owner, request_id="r2") is None
    owner.set_remote_summaries([make_idle(version=2)], 1.4)
    assert isinstance(send(owner, 1.4, request_id="r3"), message.Redirect)


# What operators see.


def test_redirects_are_counted_by_zone_and_reason() -> None:
    recorder = test_dispatcher.RecordingDispatcher()
    other = test_dispatcher.OTHER
    ticket = make_redirected(recorder)
    grant = message.Grant("r1", "g", "e", other)
    recorder.receive(
        attachment.MessageReceived(other, grant), ticket.started_at + 0.25
    )
    silent = make_redirected(recorder, request_id="r2")
    recorder.tick(silent.started_at + 1.0)
    gauges = {
        (gauge.name, *gauge.labels.values()): gauge.value
        for gauge in recorder.redirects.list_gauges()
    }
    assert gauges == {
        ("spilled_requests", "waw-b", "objective"): 2,
        ("spilled_requests", "waw-b", "came_back"): 1,
        ("spilled_requests_granted", "waw-b"): 1,
        ("spilled_wait_seconds", "waw-b"): 0.25,
    }


def test_the_owner_logs_its_redirects(
    caplog: pytest.LogCaptureFixture,
) -> None:
    made = make_hub("south")
    (owner,) = made.shards.values()
    owner.configure(owner._rules, [])
    idle = make_idle("north", shard=message.ShardKey("north", node.SERVICE))
    owner.set_remote_summaries([idle], 10.0)
    info = msgspec.structs.replace(LONG, shard=owner.shard, request_id="r")
    for number in range(3):
        named = msgspec.structs.replace(info, request_id=f"r{number}")
        owner.receive("entry", message.Enqueue(named), 10.0)
    with caplog.at_level(logging.INFO):
        made._tick(10.0)
        made._tick(10.1)
    lines = [r for r in caplog.records if r.message == "requests redirected"]
    assert [
        (line.to_zone, line.reason, line.count)  # type: ignore[attr-defined]
        for line in lines
    ] == [("north", "no_server", 3)]


def test_status_shows_what_an_owner_knows_of_other_zones() -> None:
    made = make_hub("south")
    (owner,) = made.shards.values()
    idle = make_idle("north", shard=message.ShardKey("north", node.SERVICE))
    owner.set_remote_summaries([idle], steadyclock.read())
    report = {
        "zone": "south",
        "generation": 1,
        "log_up": True,
        "log_age_s": 0.0,
        "members": [],
        "attached": [],
        "shards": [status._describe_shard(made, owner)],
    }
    lines = list(status_command.iterate_lines({"south-vm": report}))
    (line,) = [line for line in lines if "north-vm:1" in line]
    assert line.split() == [
        "south/lm/0",
        "north",
        "north-vm:1",
        "0.0",
        "s",
        "30.0",
        "ms",
        "8",
        "8",
        "0.00",
        "s",
        "none",
    ]


# Real processes.


@pytest.fixture(scope="module")
def platform() -> Iterator[node.Platform]:
    """Two regions with a server and two VMs each; seeds are in the first."""
    with node.run_platform(vms=0, replicas=0, regions=REGIONS) as started:
        for region in ("north", "south"):
            started.start_replica(f"i-{region}", zone=f"{region}-a")
        for name, zone in (
            ("vm-0", "north-a"),
            ("vm-1", "north-b"),
            ("vm-2", "south-a"),
            ("vm-3", "south-b"),
        ):
            started.start_vm(name, zone=zone)
        for vm in started.vms:
            wait_until(functools.partial(is_served, started, vm))
        time.sleep(2.0)
        yield started


def is_served(started: node.Platform, vm: str, by: str = "") -> bool:
    """Returns whether a request to a VM is answered, by a given replica."""
    return find_replica(started, vm).startswith(by or "i-")


def find_replica(started: node.Platform, vm: str) -> str:
    """Returns the replica that answered a request to a VM, or the status."""
    answer = ask(started, "/safe/", vm=vm)
    if answer.status != 200:
        return str(answer.status)
    return answer.headers["x-response-signature"].partition(".")[0]


def test_each_region_serves_its_callers(platform: node.Platform) -> None:
    found = {vm: find_replica(platform, vm) for vm in platform.vms}
    assert found == {
        "vm-0": "i-north",
        "vm-1": "i-north",
        "vm-2": "i-south",
        "vm-3": "i-south",
    }


def test_a_region_without_usable_servers_is_served_by_the_other(
    platform: node.Platform,
) -> None:
    platform.remove_record("i-south")
    try:
        for vm in ("vm-2", "vm-3"):
            wait_until(
                functools.partial(
                    is_served, started=platform, vm=vm, by="i-north"
                )
            )
        assert {find_replica(platform, "vm-2") for _ in range(20)} == {
            "i-north"
        }
        address = f"127.0.0.1:{platform.vms['vm-2']['metrics']}"
        page = node.call(address, "GET", "/metrics").body.decode()
        labels = 'zone="north",reason="no_server"'
        assert f"ramptray_spilled_requests{{{labels}}}" in page
    finally:
        platform.write_record("i-south", zone="south-a")
    wait_until(lambda: find_replica(platform, "vm-2") == "i-south")


def test_no_request_is_lost_or_run_twice_if_the_other_owner_dies(
    platform: node.Platform,
) -> None:
    # With an objective of 0.5 s, a request that was held until the region had a
    # new owner would be refused as late if others were queued.
    declared = node.make_config(2)
    declared["routes"][1]["targetLatencyMs"] = 2500
    platform.set_config(declared)
    for vm in platform.vms:
        platform.wait_for_config(vm, 2)
    platform.remove_record("i-south")
    wait_until(functools.partial(is_served, platform, "vm-2", by="i-north"))
    owner = membership.pick_owner("north", ["vm-0", "vm-1"])
    assert owner is not None
    before = platform.list_runs()
    try:
        with futures.ThreadPoolExecutor(12) as pool:
            answers = []
            for number in range(72):
                if number == 24:
                    platform.kill_vm(owner)
                vm = ("vm-2", "vm-3")[number % 2]
                answers.append(pool.submit(ask, platform, "/once/", vm=vm))
                time.sleep(0.02)
            replies = [answer.result() for answer in answers]
    finally:
        platform.restart_vm(owner)
        platform.write_record("i-south", zone="south-a")
    refused = [each for each in replies if each.status != 200]
    assert not refused, [(e.status, e.headers, e.body) for e in refused]
    runs = platform.list_runs()[len(before) :]
    assert len(runs) == len(set(runs)) == len(replies)

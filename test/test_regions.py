"""Requests restricted to some regions are sent to no other region."""

from __future__ import annotations

import json

import pytest

from ramptray.core import backend, message, owner_effect, policy, shard
from ramptray.core import rules as shard_rules
from ramptray.platform import config, follower, replicas, store
from ramptray.scheduler import rules
from test import node, test_replicas
from test.test_node import ask, wait_until

REGIONS = {"zone-a": "north", "zone-b": "south"}
KEY = message.ShardKey("all", "assistant")


def make_owner(slots: int = 1) -> shard.ShardOwner:
    """Returns an owner of one server in each region."""
    infos = [
        backend.BackendInfo(region, slots, 10**6, 16, region=region)
        for region in REGIONS.values()
    ]
    owner = shard.ShardOwner(
        KEY,
        "owner:1",
        shard_rules.ShardRules({"t": 0}, 10**6, 0.0, {}, {}),
        infos,
        policy.TokenPolicy(),
        0.0,
        0.0,
    )
    # The server in the other region is faster.
    owner.fleet.backends["south"].speed.factor /= 4
    return owner


def enqueue(
    owner: shard.ShardOwner,
    name: str,
    regions: tuple[str, ...] | None,
    avoid: tuple[str, ...] = (),
    silent: tuple[str, ...] = (),
    customer: str = "ola",
) -> list[owner_effect.SendToEntry]:
    info = message.RequestInfo(
        name,
        KEY,
        customer,
        "t",
        10,
        10,
        (),
        60.0,
        avoid=avoid,
        silent=silent,
        regions=regions,
    )
    return owner.receive("entry", message.Enqueue(info), 0.0)


def test_a_request_is_granted_only_in_its_regions() -> None:
    owner = make_owner()
    (first,) = enqueue(owner, "r1", ("north",))
    assert isinstance(first.message, message.Grant)
    assert first.message.backend == "north"
    assert enqueue(owner, "r2", ("north",)) == []
    (other,) = enqueue(owner, "r3", None, customer="hydraulik")
    assert isinstance(other.message, message.Grant)
    assert other.message.backend == "south"


def test_a_request_that_failed_is_retried_only_in_its_region() -> None:
    owner = make_owner()
    (again,) = enqueue(owner, "r1", ("north",), avoid=("north",))
    assert isinstance(again.message, message.Grant)
    assert again.message.backend == "north"


@pytest.mark.parametrize(
    ("regions", "silent"), [((), ()), (("west",), ()), (("north",), ("north",))]
)
def test_a_request_without_a_usable_region_is_refused_at_once(
    regions: tuple[str, ...], silent: tuple[str, ...]
) -> None:
    (refused,) = enqueue(make_owner(), "r1", regions, silent=silent)
    assert isinstance(refused.message, message.Reject)
    assert refused.message.reason is message.Reason.NO_BACKEND


def test_regions_of_routes_and_customers_are_decoded() -> None:
    declared = node.make_config(1)
    declared["routes"][0]["allowedRegions"] = ["north"]
    declared["tenants"][0]["allowedRegions"] = ["north", "south"]
    bundle = config.parse_config(json.dumps(declared))
    assert bundle.routes["safe"].regions == ["north"]
    assert bundle.routes["once"].regions is None
    assert bundle.customers["ola"].regions == ["north", "south"]
    assert bundle.customers["small"].regions is None


def test_backend_servers_have_the_region_of_their_zone() -> None:
    parser = config.ConfigParser(zones=tuple(REGIONS.values()))
    declared = parser.parse(json.dumps(node.make_config(1)))
    book = replicas.ReplicaRegistry(1.6)
    for zone in REGIONS:
        record = test_replicas.make_record(zone=zone)
        book.apply_changes([store.Change(f"i-{zone}", record)], 0.0)
    bundle = follower.add_replicas(
        declared, book.list_replicas(), regions=REGIONS
    )
    found = {
        zone: {
            info.name: info.region
            for info in rules.list_backend_infos(
                bundle, message.ShardKey(zone, node.SERVICE)
            )
        }
        for zone in bundle.zones
    }
    assert found == {
        region: {f"i-{zone}": region} for zone, region in REGIONS.items()
    }


def test_a_vm_keeps_requests_in_the_regions_of_route_and_customer() -> None:
    with node.run_platform(vms=0, replicas=0, regions=REGIONS) as started:
        for region, zone in (("north", "zone-a"), ("south", "zone-b")):
            started.start_replica(f"i-{region}", zone=zone)
        for vm, zone in (("vm-0", "zone-a"), ("vm-1", "zone-b")):
            started.start_vm(vm, zone=zone)
        restrict(started, 2, "south")
        # The owners of the two regions have to find each other.
        wait_until(lambda: ask(started, "/safe/").status == 200)
        for version, region in enumerate(REGIONS.values(), start=3):
            restrict(started, version, region)
            for vm in started.vms:
                assert list_responding_replicas(started, vm) == {f"i-{region}"}
                key = {"Authorization": f"Bearer {node.LIMITED_KEY}"}
                assert ask(started, "/safe/", vm=vm, headers=key).status == 503


def restrict(started: node.Platform, version: int, region: str) -> None:
    """Allows a route one region and the second customer only the others."""
    declared = node.make_config(version)
    declared["routes"][0]["allowedRegions"] = [region]
    # Both lists apply; for the second customer they have no common region.
    others = [other for other in REGIONS.values() if other != region]
    declared["tenants"][1]["allowedRegions"] = others
    started.set_config(declared)
    for vm in started.vms:
        started.wait_for_config(vm, version)


def list_responding_replicas(started: node.Platform, vm: str) -> set[str]:
    """Returns the replicas that answered a few requests."""
    answers = [ask(started, "/safe/", vm=vm) for _ in range(4)]
    assert {answer.status for answer in answers} == {200}
    return {
        answer.headers["x-response-signature"].partition(".")[0]
        for answer in answers
        if answer.status == 200
    }

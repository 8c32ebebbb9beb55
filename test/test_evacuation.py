"""Tests evacuation orders, which stop new work to a zone's backend servers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ramptray.bundle import acceptance, model, signature
from ramptray.core import message
from ramptray.entry import backend_directory
from ramptray.platform import config, evacuation, follower, replicas, store
from ramptray.scheduler import rules
from test import node, test_node, test_replicas

ZONES = ("waw-a", "waw-b")


def make_order(zone: str, in_force: bool = True) -> store.Change:
    """Returns the record that orders or revokes an evacuation."""
    return store.Change(f"evacuate/{zone}", b"{}" if in_force else None)


def make_bundle(registry: evacuation.EvacuationRegistry) -> model.Bundle:
    """Returns a bundle with one replica per zone, named after its zone."""
    found = replicas.ReplicaRegistry(1.6)
    for zone in ZONES:
        record = test_replicas.make_record(zone=zone)
        found.apply_changes([store.Change(zone, record)], 0.0)
    declared = config.parse_config(json.dumps(node.make_config(1)))
    return follower.add_replicas(
        declared, found.list_replicas(), registry.zones
    )


def list_candidates(registry: evacuation.EvacuationRegistry) -> set[str]:
    """Returns the backend servers that a shard owner would grant."""
    infos = rules.list_backend_infos(make_bundle(registry), test_replicas.SHARD)
    return {info.name for info in infos}


def test_evacuated_zone_gets_no_work_until_order_is_revoked() -> None:
    registry = evacuation.EvacuationRegistry()
    assert registry.apply([make_order("waw-a")], False, 0.0)
    assert list_candidates(registry) == {"waw-b"}
    assert registry.apply([make_order("waw-a", False)], False, 1.0)
    assert list_candidates(registry) == set(ZONES)


def test_entry_declines_grant_in_evacuated_zone() -> None:
    registry = evacuation.EvacuationRegistry()
    registry.apply([make_order("waw-a")], False, 0.0)
    known = backend_directory.BackendDirectory()
    envelope = signature.Envelope("", {})
    known.apply_bundle(acceptance.InForce(make_bundle(registry), envelope))
    granted = {
        zone: message.Grant("r", "g", zone, "owner", url="http://127.0.0.1:1")
        for zone in ZONES
    }
    assert known.get_granted_url(granted["waw-a"]) is None
    assert known.get_granted_url(granted["waw-b"]) is not None


def test_order_missing_from_older_copy_stays_in_force_until_rewritten() -> None:
    registry = evacuation.EvacuationRegistry()
    registry.apply([make_order("waw-a")], True, 0.0)
    assert not registry.apply([], True, 10.0)
    assert not registry.expire(10.0 + evacuation.MISSING_ORDER_RETENTION_S / 2)
    registry.apply([make_order("waw-a")], False, 12.0)
    assert not registry.expire(100.0)
    assert registry.zones == {"waw-a"}


def test_order_missing_from_snapshot_expires() -> None:
    registry = evacuation.EvacuationRegistry()
    registry.apply([make_order("waw-a")], True, 0.0)
    registry.apply([], True, 10.0)
    assert registry.has_missing_records
    assert registry.expire(10.0 + evacuation.MISSING_ORDER_RETENTION_S)
    assert not registry.zones


@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=20),
    st.integers(0, 20),
)
def test_last_record_of_zone_wins_regardless_of_batching(
    written: list[tuple[str, bool]], cut: int
) -> None:
    changes = [make_order(*each) for each in written]
    at_once, in_two = (evacuation.EvacuationRegistry() for _ in range(2))
    at_once.apply(changes, False, 0.0)
    in_two.apply(changes[:cut], False, 0.0)
    in_two.apply(changes[cut:], False, 1.0)
    last = dict(written)
    assert at_once.zones == in_two.zones == {z for z in last if last[z]}


@pytest.mark.parametrize("change", ["", "configuration", "restart"])
def test_vm_sends_nothing_to_evacuated_zone(change: str) -> None:
    with node.run_platform() as started:
        test_node.wait_until(
            lambda: test_node.ask(started, "/safe/").status == 200
        )
        started.write_record("i-1", zone="waw-b")
        started.set_order("evacuate/waw-a")
        if change == "configuration":
            started.set_config(node.make_config(2))
        if change == "restart":
            started.kill_vm("vm-0")
            started.restart_vm("vm-0")
        test_node.wait_until(lambda: reaches_only(started, "i-1"))
        # With both zones open either replica may be used, so the other zone is
        # evacuated to make the expected replica unambiguous.
        started.set_order("evacuate/waw-a", stands=False)
        started.set_order("evacuate/waw-b")
        test_node.wait_until(lambda: reaches_only(started, "i-0"))


def reaches_only(started: node.Platform, replica: str) -> bool:
    """Returns whether ten successive requests all went to one replica."""
    before = {n: len(started.read_ledger(n)["runs"]) for n in started.replicas}
    try:
        answers = [test_node.ask(started, "/safe/") for _ in range(10)]
    except OSError:
        return False  # The restarted VM is not listening yet.
    if any(answer.status != 200 for answer in answers):
        return False
    return all(
        len(started.read_ledger(name)["runs"]) == count
        for name, count in before.items()
        if name != replica
    )

"""Zones whose backend servers are to get nothing more, by operators' order."""

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


def order(zone: str, stands: bool = True) -> store.Change:
    """Returns the record that orders an evacuation, or takes it back."""
    return store.Change(f"evacuate/{zone}", b"{}" if stands else None)


def make_bundle(book: evacuation.EvacuationRegistry) -> model.Bundle:
    """Returns a bundle with a replica in each zone, named like it."""
    found = replicas.ReplicaRegistry(1.6)
    for zone in ZONES:
        record = test_replicas.make_record(zone=zone)
        found.apply_changes([store.Change(zone, record)], 0.0)
    declared = config.parse_config(json.dumps(node.make_config(1)))
    return follower.add_replicas(declared, found.list_replicas(), book.zones)


def list_candidates(book: evacuation.EvacuationRegistry) -> set[str]:
    """Returns what an owner would grant."""
    infos = rules.list_backend_infos(make_bundle(book), test_replicas.SHARD)
    return {info.name for info in infos}


def test_an_evacuated_zone_gets_nothing_until_the_order_is_taken_back() -> None:
    book = evacuation.EvacuationRegistry()
    assert book.apply([order("waw-a")], False, 0.0)
    assert list_candidates(book) == {"waw-b"}
    assert book.apply([order("waw-a", False)], False, 1.0)
    assert list_candidates(book) == set(ZONES)


def test_an_entry_declines_what_an_owner_grants_there() -> None:
    book = evacuation.EvacuationRegistry()
    book.apply([order("waw-a")], False, 0.0)
    known = backend_directory.BackendDirectory()
    envelope = signature.Envelope("", {})
    known.apply_bundle(acceptance.InForce(make_bundle(book), envelope))
    granted = {
        zone: message.Grant("r", "g", zone, "owner", url="http://127.0.0.1:1")
        for zone in ZONES
    }
    assert known.get_granted_url(granted["waw-a"]) is None
    assert known.get_granted_url(granted["waw-b"]) is not None


def test_an_order_that_an_older_copy_lacks_stands_until_written_again() -> None:
    book = evacuation.EvacuationRegistry()
    book.apply([order("waw-a")], True, 0.0)
    assert not book.apply([], True, 10.0)
    assert not book.expire(10.0 + evacuation.MISSING_ORDER_RETENTION_S / 2)
    book.apply([order("waw-a")], False, 12.0)
    assert not book.expire(100.0)
    assert book.zones == {"waw-a"}


def test_an_order_that_was_taken_back_unseen_ends_after_a_while() -> None:
    book = evacuation.EvacuationRegistry()
    book.apply([order("waw-a")], True, 0.0)
    book.apply([], True, 10.0)
    assert book.has_missing_records
    assert book.expire(10.0 + evacuation.MISSING_ORDER_RETENTION_S)
    assert not book.zones


@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=20),
    st.integers(0, 20),
)
def test_the_last_record_of_a_zone_decides_however_they_are_read(
    written: list[tuple[str, bool]], cut: int
) -> None:
    changes = [order(*each) for each in written]
    at_once, in_two = (evacuation.EvacuationRegistry() for _ in range(2))
    at_once.apply(changes, False, 0.0)
    in_two.apply(changes[:cut], False, 0.0)
    in_two.apply(changes[cut:], False, 1.0)
    last = dict(written)
    assert at_once.zones == in_two.zones == {z for z in last if last[z]}


@pytest.mark.parametrize("change", ["", "configuration", "restart"])
def test_a_vm_sends_nothing_to_an_evacuated_zone(change: str) -> None:
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
        # Both are free to choose now, so the other one is left no choice.
        started.set_order("evacuate/waw-a", stands=False)
        started.set_order("evacuate/waw-b")
        test_node.wait_until(lambda: reaches_only(started, "i-0"))


def reaches_only(started: node.Platform, replica: str) -> bool:
    """Returns whether ten requests one after the other went to one replica."""
    before = {n: len(started.read_ledger(n)["runs"]) for n in started.replicas}
    try:
        answers = [test_node.ask(started, "/safe/") for _ in range(10)]
    except OSError:
        return False  # The VM that was killed does not listen yet.
    if any(answer.status != 200 for answer in answers):
        return False
    return all(
        len(started.read_ledger(name)["runs"]) == count
        for name, count in before.items()
        if name != replica
    )

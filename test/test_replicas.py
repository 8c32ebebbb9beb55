"""Tests replicas that restart under the same name, and invalid records.

A restarted replica has lost its state.  Its record holds its start time, and
what was learned about the previous run must not be applied to the new one.
Other programs may write records too, and an invalid one must not be used.
"""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import message, policy, propagation, shard
from ramptray.log import mirror
from ramptray.platform import (
    config,
    follower,
    page,
    replicas,
    scheduling_zone,
    store,
)
from ramptray.scheduler import distributor, rules
from test import node

SHARD = message.ShardKey(scheduling_zone.SINGLE_ZONE, node.SERVICE)
FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
"""Start times of two runs, in Unix milliseconds."""

VALID_FIELDS = {
    "service": node.SERVICE,
    "address": "127.0.0.1:8080",
    "zone": "waw-a",
    "slots": 2,
    "state": "ready",
    "born": FIRST,
    "seq": 3,
}


def make_record(**changes: Any) -> bytes:
    return json.dumps({**VALID_FIELDS, **changes}).encode()


def make_registry(*records: tuple[str, bytes]) -> replicas.ReplicaRegistry:
    registry = replicas.ReplicaRegistry(1.6)
    apply_records(registry, *records)
    return registry


def apply_records(
    registry: replicas.ReplicaRegistry,
    *records: tuple[str, bytes],
    now: float = 0.0,
) -> None:
    """Applies records to a registry one after the other."""
    for name, value in records:
        registry.apply_changes([store.Change(name, value)], now)


def list_candidates(registry: replicas.ReplicaRegistry) -> set[str]:
    """Returns the backend servers that a shard owner would grant."""
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, registry.list_replicas())
    return {info.name for info in rules.list_backend_infos(bundle, SHARD)}


# Restarted replicas.


def test_restarted_replica_is_used_after_leaving() -> None:
    registry = make_registry(
        ("i", make_record(state="draining")),
        ("i", make_record(born=SECOND)),
    )
    assert list_candidates(registry) == {"i"}


def test_restarted_replica_is_used_after_removal() -> None:
    registry = make_registry(("i", make_record(state="draining")))
    registry.apply_changes([store.Change("i", None)], 1.0)
    assert list_candidates(registry) == set()
    apply_records(registry, ("i", make_record(born=SECOND)), now=2.0)
    assert list_candidates(registry) == {"i"}


def test_leaving_run_stays_unused_after_stale_read() -> None:
    registry = make_registry(
        ("i", make_record()),
        ("i", make_record(state="draining")),
        ("i", make_record()),
    )
    assert list_candidates(registry) == set()


def test_stale_read_of_previous_run_is_ignored() -> None:
    registry = make_registry(("i", make_record(born=SECOND, slots=4)))
    before = registry.list_replicas()
    registry.apply_snapshot(
        [store.Change("i", make_record(state="draining"))], 1.0
    )
    assert registry.list_replicas() == before


def test_peer_snapshot_of_previous_run_is_ignored() -> None:
    registry = make_registry(("i", make_record(born=SECOND)))
    before = registry.list_replicas()
    apply_peer_snapshot(registry, make_record(state="draining"))
    assert registry.list_replicas() == before


def test_peer_snapshot_of_new_run_replaces_leaving_run() -> None:
    registry = make_registry(("i", make_record(state="draining")))
    apply_peer_snapshot(registry, make_record(born=SECOND))
    assert list_candidates(registry) == {"i"}


def apply_peer_snapshot(
    registry: replicas.ReplicaRegistry, value: bytes
) -> None:
    """Applies the snapshot of a peer that holds one record."""
    peer = mirror.Mirror()
    peer.apply(store.Changes([store.Change("i", value)], 1), True)
    told = mirror.Mirror().unpack(peer.make_update("topic", -1))
    registry.apply_snapshot(told.records, 1.0)


# State of a shard owner from the previous run.


def make_owner(registry: replicas.ReplicaRegistry) -> shard.ShardOwner:
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, registry.list_replicas())
    return shard.ShardOwner(
        SHARD,
        "owner:1",
        rules.make_rules(bundle, SHARD),
        rules.list_backend_infos(bundle, SHARD),
        policy.TokenPolicy(),
        0.0,
        0.0,
    )


def configure(
    owner: shard.ShardOwner, registry: replicas.ReplicaRegistry
) -> None:
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, registry.list_replicas())
    owner.configure(
        rules.make_rules(bundle, SHARD), rules.list_backend_infos(bundle, SHARD)
    )


def make_request(name: str) -> message.RequestInfo:
    return message.RequestInfo(
        name, SHARD, "ola", "p0.0", 2000, 10, (), 9.0, repeatable=True
    )


def run_request(owner: shard.ShardOwner, name: str, now: float) -> None:
    """Runs a slow request to completion."""
    owner.receive("e", message.Enqueue(make_request(name)), now)
    owner.receive("e", message.FirstToken(name, 2.0, 2000, 0), now + 2.0)
    owner.receive("e", message.Ended(name, 10, 1.0, True), now + 3.0)


def test_owner_resets_state_of_previous_run() -> None:
    # Only the start time tells the runs apart: address, slots and service are
    # the same.
    registry = make_registry(("i", make_record()))
    owner = make_owner(registry)
    run_request(owner, "q1", 0.0)
    owner.receive("e", message.Enqueue(make_request("q2")), 3.0)
    known = owner.fleet.backends["i"]
    assert known.speed.is_learned and known.placed
    known.availability.record_unreachable(3.0)
    apply_records(registry, ("i", make_record(born=SECOND, seq=0)), now=4.0)
    configure(owner, registry)
    known = owner.fleet.backends["i"]
    assert not known.speed.is_learned
    assert not known.placed
    assert known.availability.failures == 0
    assert known.is_open(4.0)


def test_request_end_of_previous_run_is_ignored() -> None:
    registry = make_registry(("i", make_record()))
    owner = make_owner(registry)
    owner.receive("e", message.Enqueue(make_request("q1")), 0.0)
    apply_records(registry, ("i", make_record(born=SECOND, seq=0)), now=1.0)
    configure(owner, registry)
    owner.receive("e", message.Enqueue(make_request("q2")), 1.0)
    for _ in range(3):
        ended = message.Ended("q1", 0, 0.0, False, broken=True)
        owner.receive("e", ended, 1.1)
    known = owner.fleet.backends["i"]
    assert set(known.placed) == {"q2"}
    assert known.availability.breaks == 0


# Invalid records.


class _InvalidField:
    """Invalid value of a record's field."""

    def __init__(self, field: str, value: Any) -> None:
        self.field = field
        self.value = value

    def __repr__(self) -> str:
        return f"{self.field}={self.value!r}"


INVALID_FIELDS = [
    _InvalidField("state", "melting"),
    _InvalidField("state", None),
    _InvalidField("slots", "4"),
    _InvalidField("slots", 0),
    _InvalidField("slots", -3),
    _InvalidField("slots", 2.5),
    _InvalidField("slots", 10**30),
    _InvalidField("slots", True),
    _InvalidField("slots", float("nan")),
    _InvalidField("address", ":"),
    _InvalidField("address", ":80"),
    _InvalidField("address", "127.0.0.1"),
    _InvalidField("address", "127.0.0.1:"),
    _InvalidField("address", "127.0.0.1:0"),
    _InvalidField("address", "127.0.0.1:99999"),
    _InvalidField("address", "127.0.0.1:80/x"),
    _InvalidField("address", "a b:80"),
    _InvalidField("address", 80),
    _InvalidField("service", "nobody"),
    _InvalidField("service", 7),
    _InvalidField("zone", 1),
    _InvalidField("born", "1700000000000"),
    _InvalidField("born", 1.5),
    _InvalidField("born", -1),
    _InvalidField("born", True),
    _InvalidField("born", None),
]

UNDECODABLE = [
    b"\xff\xfe\x00",
    b"{",
    b"[]",
    b"null",
    b"7",
    b'"ready"',
    b"[" * 5000,
    b'{"a":' * 5000,
    make_record()[:-1],
    b"\xef\xbb\xbf" + make_record(),
]


def make_invalid_record(invalid: _InvalidField) -> bytes:
    return make_record(**{invalid.field: invalid.value})


@pytest.mark.parametrize("field", sorted(set(VALID_FIELDS) - {"born", "seq"}))
def test_record_with_missing_field_is_not_used(field: str) -> None:
    value = {name: told for name, told in VALID_FIELDS.items() if name != field}
    registry = make_registry(("i", make_record()), ("j", make_record()))
    apply_records(registry, ("i", json.dumps(value).encode()))
    assert list_candidates(registry) == {"j"}


@pytest.mark.parametrize("invalid", INVALID_FIELDS, ids=repr)
def test_record_with_invalid_field_is_not_used(invalid: _InvalidField) -> None:
    registry = make_registry(
        ("i", make_invalid_record(invalid)), ("j", make_record())
    )
    assert list_candidates(registry) == {"j"}


@pytest.mark.parametrize("invalid", INVALID_FIELDS, ids=repr)
def test_invalid_record_after_valid_one_ends_use(
    invalid: _InvalidField,
) -> None:
    registry = make_registry(("i", make_record()), ("j", make_record()))
    apply_records(registry, ("i", make_invalid_record(invalid)), now=1.0)
    assert list_candidates(registry) == {"j"}
    apply_records(registry, ("i", make_record(seq=9)), now=1.1)
    assert list_candidates(registry) == {"i", "j"}


@pytest.mark.parametrize("value", UNDECODABLE, ids=lambda v: repr(v[:12]))
def test_undecodable_record_after_valid_one_ends_use(value: bytes) -> None:
    registry = make_registry(("i", make_record()))
    registry.apply_changes(
        [store.Change("i", value), store.Change("j", make_record())], 1.0
    )
    assert list_candidates(registry) == {"j"}
    apply_records(registry, ("i", make_record(seq=9)), now=1.1)
    assert list_candidates(registry) == {"i", "j"}


def test_record_of_unknown_zone_is_not_used() -> None:
    registry = replicas.ReplicaRegistry(1.6, frozenset({"waw-a"}))
    apply_records(
        registry, ("i", make_record(zone="mars")), ("j", make_record())
    )
    assert list_candidates(registry) == {"j"}


def test_record_at_earlier_position_is_ignored() -> None:
    # The replica's clock was set back between its two runs.
    registry = replicas.ReplicaRegistry(1.6)
    first = store.Change("i", make_record(born=SECOND, state="draining"), 7)
    registry.apply_changes([first], 0.0)
    registry.apply_changes([store.Change("i", make_record(born=FIRST), 9)], 1.0)
    assert list_candidates(registry) == {"i"}
    registry.apply_snapshot([first], 2.0, end=8)
    assert list_candidates(registry) == {"i"}
    registry.apply_snapshot([], 3.0, end=8)
    registry.expire(99.0)
    assert list_candidates(registry) == {"i"}


@pytest.mark.parametrize("record", [b"", b"\x05ab", b"\x02\xff\xfe{}"])
def test_undecodable_key_does_not_hide_other_records(record: bytes) -> None:
    body = page.PAGE_HEADER.pack(2, 0)
    for each in (record, b"\x01j" + make_record()):
        body += page.RECORD_LENGTH.pack(len(each)) + each
    registry = make_registry(("ab", make_record()))
    changes = page.decode_records(body, 0)
    registry.apply_changes(changes.records, 1.0)
    assert changes.end == 2
    assert list_candidates(registry) == {"ab", "j"}


def test_record_without_start_time_is_used() -> None:
    value = {
        name: told for name, told in VALID_FIELDS.items() if name != "born"
    }
    registry = make_registry(("i", json.dumps(value).encode()))
    assert list_candidates(registry) == {"i"}


def test_invalid_record_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    registry = make_registry(("i", make_record()))
    with caplog.at_level(logging.INFO):
        for _ in range(5):
            apply_records(registry, ("i", b"nonsense"))
    told = [r for r in caplog.records if getattr(r, "backend", "") == "i"]
    assert len(told) == 1


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=8,
)
MALFORMED_RECORDS = st.one_of(
    st.binary(max_size=60),
    st.dictionaries(
        st.sampled_from(sorted(VALID_FIELDS)),
        VALUES,
        max_size=len(VALID_FIELDS),
    ).map(lambda fields: json.dumps({**VALID_FIELDS, **fields}).encode()),
    st.dictionaries(st.sampled_from(sorted(VALID_FIELDS)), VALUES).map(
        lambda fields: json.dumps(fields).encode()
    ),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(MALFORMED_RECORDS, max_size=4), st.booleans())
def test_malformed_records_never_hide_valid_ones(
    malformed: list[bytes], is_snapshot: bool
) -> None:
    """Covers the path from the store's bytes to the list of candidates."""
    registry = make_registry(("good", make_record()))
    records = [
        *((f"odd-{number}", value) for number, value in enumerate(malformed)),
        ("other", make_record()),
    ]
    body = page.PAGE_HEADER.pack(len(records), 0)
    for name, value in records:
        record = bytes([len(name)]) + name.encode() + value
        body += page.RECORD_LENGTH.pack(len(record)) + record
    changes = page.decode_records(body, 0).records
    if is_snapshot:
        changes = [*changes, store.Change("good", make_record())]
        registry.apply_snapshot(changes, 1.0)
    else:
        registry.apply_changes(changes, 1.0)
    candidates = list_candidates(registry)
    assert {"good", "other"} <= candidates
    for name in candidates - {"good", "other"}:
        replica = registry.list_replicas()[name]
        assert replica.slots >= 1 and replica.service == node.SERVICE
        host, _, port = replica.address.rpartition(":")
        assert host and 0 < int(port) < 65536


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 1.2, 1.9, 2.1, 3.5])
def test_the_way_of_a_removal_does_not_add_to_the_retention(
    delay_s: float,
) -> None:
    # A VM that learned late of two removals kept the replicas for 1.6 s from
    # then on, and sent one a request 3.6 s after its record had gone.  A VM
    # that learned of them after the limit still did so.
    limits = propagation.PropagationLimits(2.0)
    found = replicas.ReplicaRegistry(1.6, limits=limits)
    names = ("a", "b")
    found.apply_changes(
        [store.Change(name, make_record()) for name in names], 0
    )
    current_at = 10.0
    learned_at = current_at + delay_s
    found.apply_changes(
        [store.Change(name, None) for name in names], learned_at, current_at
    )
    expires_at = max(learned_at, min(found.next_expiry_at, 100.0))
    if found.has_missing_records:
        assert found.expire(expires_at)
        assert expires_at <= current_at + limits.longest_listed_s
    assert all(r.leaving for r in found.list_replicas().values())


def test_a_private_outage_does_not_prolong_the_retention() -> None:
    # Another VM that had lost the store for itself reported its return.
    limits = propagation.PropagationLimits(2.0)
    found = replicas.ReplicaRegistry(1.6, limits=limits)
    found.apply_changes([store.Change("a", make_record())], 0.0)
    found.merge_outage(distributor.LogOutage(0.0, 0.0), 10.9)
    found.apply_changes([store.Change("a", None)], 11.0, 10.0)
    assert found.next_expiry_at <= 10.0 + limits.longest_listed_s

"""Replicas that start again under their names, and records that name none.

A replica that starts again holds and knows nothing of before.  Its record tells
when it started; whatever was learned of the run before must not be believed of
the new one.  Records may also come from somebody else, and then name no replica
that may be used.
"""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import message, policy, shard
from ramptray.log import mirror
from ramptray.platform import config, follower, page, replicas, store
from ramptray.scheduler import rules
from test import node

SHARD = message.ShardKey(config.DOMAIN, node.SERVICE)
FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
"""Starts of two runs, in Unix milliseconds."""

GOOD = {
    "service": node.SERVICE,
    "address": "127.0.0.1:8080",
    "zone": "waw-a",
    "slots": 2,
    "state": "ready",
    "born": FIRST,
    "seq": 3,
}


def make_record(**changes: Any) -> bytes:
    return json.dumps({**GOOD, **changes}).encode()


def make_book(*records: tuple[str, bytes]) -> replicas.ReplicaRegistry:
    book = replicas.ReplicaRegistry(1.6)
    tell(book, *records)
    return book


def tell(
    book: replicas.ReplicaRegistry,
    *records: tuple[str, bytes],
    now: float = 0.0,
) -> None:
    """Lets a book read records one after the other."""
    for name, value in records:
        book.apply_changes([store.Change(name, value)], now)


def list_candidates(book: replicas.ReplicaRegistry) -> set[str]:
    """Returns what an owner would grant, by the whole path from the store."""
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, book.list_replicas())
    return {info.name for info in rules.list_backend_infos(bundle, SHARD)}


# A replica that starts again.


def test_a_replica_that_left_is_used_when_it_has_started_again() -> None:
    book = make_book(
        ("i", make_record(state="draining")),
        ("i", make_record(born=SECOND)),
    )
    assert list_candidates(book) == {"i"}


def test_a_replica_whose_record_went_is_used_when_it_is_back() -> None:
    book = make_book(("i", make_record(state="draining")))
    book.apply_changes([store.Change("i", None)], 1.0)
    assert list_candidates(book) == set()
    tell(book, ("i", make_record(born=SECOND)), now=2.0)
    assert list_candidates(book) == {"i"}


def test_the_run_that_left_stays_away_after_an_old_read() -> None:
    book = make_book(
        ("i", make_record()),
        ("i", make_record(state="draining")),
        ("i", make_record()),
    )
    assert list_candidates(book) == set()


def test_an_old_read_of_the_run_before_changes_nothing() -> None:
    book = make_book(("i", make_record(born=SECOND, slots=4)))
    before = book.list_replicas()
    book.apply_snapshot([store.Change("i", make_record(state="draining"))], 1.0)
    assert book.list_replicas() == before


def test_a_peer_that_knows_the_run_before_only_changes_nothing() -> None:
    book = make_book(("i", make_record(born=SECOND)))
    before = book.list_replicas()
    hear(book, make_record(state="draining"))
    assert book.list_replicas() == before


def test_a_peer_s_word_on_a_new_run_ends_the_leaving_of_the_old_one() -> None:
    book = make_book(("i", make_record(state="draining")))
    hear(book, make_record(born=SECOND))
    assert list_candidates(book) == {"i"}


def hear(book: replicas.ReplicaRegistry, value: bytes) -> None:
    """Lets a book take all that a peer holds: one record."""
    peer = mirror.Mirror()
    peer.apply(store.Changes([store.Change("i", value)], 1), True)
    told = mirror.Mirror().unpack(peer.make_update("topic", -1))
    book.apply_snapshot(told.records, 1.0)


# What an owner has learned of the run before.


def make_owner(book: replicas.ReplicaRegistry) -> shard.ShardOwner:
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, book.list_replicas())
    return shard.ShardOwner(
        SHARD,
        "owner:1",
        rules.make_rules(bundle, SHARD),
        rules.list_backend_infos(bundle, SHARD),
        policy.TokenPolicy(),
        0.0,
        0.0,
    )


def configure(owner: shard.ShardOwner, book: replicas.ReplicaRegistry) -> None:
    declared = config.parse_config(json.dumps(node.make_config(1)))
    bundle = follower.add_replicas(declared, book.list_replicas())
    owner.configure(
        rules.make_rules(bundle, SHARD), rules.list_backend_infos(bundle, SHARD)
    )


def make_request(name: str) -> message.RequestInfo:
    return message.RequestInfo(
        name, SHARD, "ola", "p0.0", 2000, 10, (), 9.0, repeatable=True
    )


def run_request(owner: shard.ShardOwner, name: str, now: float) -> None:
    """Lets a request run to its end, slowly."""
    owner.receive("e", message.Enqueue(make_request(name)), now)
    owner.receive("e", message.FirstToken(name, 2.0, 2000, 0), now + 2.0)
    owner.receive("e", message.Ended(name, 10, 1.0, True), now + 3.0)


def test_an_owner_forgets_what_it_learned_of_the_run_before() -> None:
    # The new run has the record of the old one but for its start: address,
    # places and service are the same.
    book = make_book(("i", make_record()))
    owner = make_owner(book)
    run_request(owner, "q1", 0.0)
    owner.receive("e", message.Enqueue(make_request("q2")), 3.0)
    known = owner.fleet.backends["i"]
    assert known.speed.is_learned and known.placed
    known.availability.record_unreachable(3.0)
    tell(book, ("i", make_record(born=SECOND, seq=0)), now=4.0)
    configure(owner, book)
    known = owner.fleet.backends["i"]
    assert not known.speed.is_learned
    assert not known.placed
    assert known.availability.failures == 0
    assert known.is_open(4.0)


def test_the_end_of_a_request_of_the_run_before_changes_nothing() -> None:
    book = make_book(("i", make_record()))
    owner = make_owner(book)
    owner.receive("e", message.Enqueue(make_request("q1")), 0.0)
    tell(book, ("i", make_record(born=SECOND, seq=0)), now=1.0)
    configure(owner, book)
    owner.receive("e", message.Enqueue(make_request("q2")), 1.0)
    for _ in range(3):
        ended = message.Ended("q1", 0, 0.0, False, broken=True)
        owner.receive("e", ended, 1.1)
    known = owner.fleet.backends["i"]
    assert set(known.placed) == {"q2"}
    assert known.availability.breaks == 0


# Records that name no replica to use.


class _Weird:
    """A value that stands in a record's field in place of a sound one."""

    def __init__(self, field: str, value: Any) -> None:
        self.field = field
        self.value = value

    def __repr__(self) -> str:
        return f"{self.field}={self.value!r}"


WEIRD = [
    _Weird("state", "melting"),
    _Weird("state", None),
    _Weird("slots", "4"),
    _Weird("slots", 0),
    _Weird("slots", -3),
    _Weird("slots", 2.5),
    _Weird("slots", 10**30),
    _Weird("slots", True),
    _Weird("slots", float("nan")),
    _Weird("address", ":"),
    _Weird("address", ":80"),
    _Weird("address", "127.0.0.1"),
    _Weird("address", "127.0.0.1:"),
    _Weird("address", "127.0.0.1:0"),
    _Weird("address", "127.0.0.1:99999"),
    _Weird("address", "127.0.0.1:80/x"),
    _Weird("address", "a b:80"),
    _Weird("address", 80),
    _Weird("service", "nobody"),
    _Weird("service", 7),
    _Weird("zone", 1),
    _Weird("born", "1700000000000"),
    _Weird("born", 1.5),
    _Weird("born", -1),
    _Weird("born", True),
    _Weird("born", None),
]

UNREADABLE = [
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


def make_weird(weird: _Weird) -> bytes:
    return make_record(**{weird.field: weird.value})


@pytest.mark.parametrize("field", sorted(set(GOOD) - {"born", "seq"}))
def test_a_record_without_a_field_names_no_replica(field: str) -> None:
    value = {name: told for name, told in GOOD.items() if name != field}
    book = make_book(("i", make_record()), ("j", make_record()))
    tell(book, ("i", json.dumps(value).encode()))
    assert list_candidates(book) == {"j"}


@pytest.mark.parametrize("weird", WEIRD, ids=repr)
def test_a_record_with_a_weird_field_names_no_replica(weird: _Weird) -> None:
    book = make_book(("i", make_weird(weird)), ("j", make_record()))
    assert list_candidates(book) == {"j"}


@pytest.mark.parametrize("weird", WEIRD, ids=repr)
def test_a_weird_record_over_a_good_one_ends_its_use(weird: _Weird) -> None:
    book = make_book(("i", make_record()), ("j", make_record()))
    tell(book, ("i", make_weird(weird)), now=1.0)
    assert list_candidates(book) == {"j"}
    tell(book, ("i", make_record(seq=9)), now=1.1)
    assert list_candidates(book) == {"i", "j"}


@pytest.mark.parametrize("value", UNREADABLE, ids=lambda v: repr(v[:12]))
def test_unreadable_bytes_over_a_good_record_end_its_use(value: bytes) -> None:
    book = make_book(("i", make_record()))
    book.apply_changes(
        [store.Change("i", value), store.Change("j", make_record())], 1.0
    )
    assert list_candidates(book) == {"j"}
    tell(book, ("i", make_record(seq=9)), now=1.1)
    assert list_candidates(book) == {"i", "j"}


def test_a_record_of_a_zone_that_is_not_known_names_no_replica() -> None:
    book = replicas.ReplicaRegistry(1.6, frozenset({"waw-a"}))
    tell(book, ("i", make_record(zone="mars")), ("j", make_record()))
    assert list_candidates(book) == {"j"}


def test_an_older_record_of_the_store_changes_nothing() -> None:
    # The clock of the replica was set back between its two runs.
    book = replicas.ReplicaRegistry(1.6)
    first = store.Change("i", make_record(born=SECOND, state="draining"), 7)
    book.apply_changes([first], 0.0)
    book.apply_changes([store.Change("i", make_record(born=FIRST), 9)], 1.0)
    assert list_candidates(book) == {"i"}
    book.apply_snapshot([first], 2.0, end=8)
    assert list_candidates(book) == {"i"}
    book.apply_snapshot([], 3.0, end=8)
    book.expire(99.0)
    assert list_candidates(book) == {"i"}


@pytest.mark.parametrize("record", [b"", b"\x05ab", b"\x02\xff\xfe{}"])
def test_a_key_that_cannot_be_read_hides_no_other(record: bytes) -> None:
    body = page.PAGE_HEADER.pack(2, 0)
    for each in (record, b"\x01j" + make_record()):
        body += page.RECORD_LENGTH.pack(len(each)) + each
    book = make_book(("ab", make_record()))
    changes = page.decode_records(body, 0)
    book.apply_changes(changes.records, 1.0)
    assert changes.end == 2
    assert list_candidates(book) == {"ab", "j"}


def test_a_record_without_a_start_is_taken() -> None:
    value = {name: told for name, told in GOOD.items() if name != "born"}
    book = make_book(("i", json.dumps(value).encode()))
    assert list_candidates(book) == {"i"}


def test_a_record_that_cannot_be_used_is_told_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    book = make_book(("i", make_record()))
    with caplog.at_level(logging.INFO):
        for _ in range(5):
            tell(book, ("i", b"nonsense"))
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
ODD_RECORDS = st.one_of(
    st.binary(max_size=60),
    st.dictionaries(
        st.sampled_from(sorted(GOOD)), VALUES, max_size=len(GOOD)
    ).map(lambda fields: json.dumps({**GOOD, **fields}).encode()),
    st.dictionaries(st.sampled_from(sorted(GOOD)), VALUES).map(
        lambda fields: json.dumps(fields).encode()
    ),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(ODD_RECORDS, max_size=4), st.booleans())
def test_odd_records_never_hide_the_sound_ones(
    odd: list[bytes], whole: bool
) -> None:
    """From bytes as the store sends them to the list of candidates."""
    book = make_book(("good", make_record()))
    records = [
        *((f"odd-{number}", value) for number, value in enumerate(odd)),
        ("other", make_record()),
    ]
    body = page.PAGE_HEADER.pack(len(records), 0)
    for name, value in records:
        record = bytes([len(name)]) + name.encode() + value
        body += page.RECORD_LENGTH.pack(len(record)) + record
    changes = page.decode_records(body, 0).records
    if whole:
        changes = [*changes, store.Change("good", make_record())]
        book.apply_snapshot(changes, 1.0)
    else:
        book.apply_changes(changes, 1.0)
    candidates = list_candidates(book)
    assert {"good", "other"} <= candidates
    for name in candidates - {"good", "other"}:
        replica = book.list_replicas()[name]
        assert replica.slots >= 1 and replica.service == node.SERVICE
        host, _, port = replica.address.rpartition(":")
        assert host and 0 < int(port) < 65536

"""What VMs tell one another of a keyed stream."""

from __future__ import annotations

import json
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.log import keyedstream, mirror
from ramptray.peer import codec
from ramptray.peer import message as peer_message


def make_large(version: int) -> bytes:
    routes = [{"name": f"r-{n}", "path": f"/{n * 7919}/"} for n in range(1317)]
    return json.dumps({"version": version, "routes": routes}).encode()


def make_mirror(*changes: keyedstream.Change) -> mirror.Mirror:
    made = mirror.Mirror()
    made.apply(keyedstream.Changes(list(changes), len(changes)), True)
    return made


def pass_on(
    teller: mirror.Mirror, asker: mirror.Mirror
) -> peer_message.StreamNews:
    """Brings one mirror up to another; returns what was told."""
    start = -1 if asker.end is None else asker.end
    news = teller.make_update("s", start)
    sent = codec.decode(codec.encode(0, peer_message.ToldStreams([news])))
    (told,) = sent.body.news
    asker.apply(asker.unpack(told), told.whole)
    return news


def read_all(held: mirror.Mirror) -> dict[str, bytes | None]:
    told = held.make_update("s", -1)
    fresh = mirror.Mirror()
    return {c.key: c.value for c in fresh.unpack(told).records}


def count_bytes(news: peer_message.StreamNews) -> int:
    return len(codec.encode(0, peer_message.ToldStreams([news])))


def test_a_change_of_a_large_value_is_told_as_its_difference() -> None:
    teller = make_mirror(keyedstream.Change("config", make_large(1), 0))
    asker = mirror.Mirror()
    first = pass_on(teller, asker)
    assert count_bytes(first) < len(make_large(1)) / 3
    for version in range(2, 5):
        change = keyedstream.Change("config", make_large(version), version - 1)
        teller.apply(keyedstream.Changes([change], version), False)
    # Three versions later: still the difference of the newest alone.
    assert count_bytes(pass_on(teller, asker)) < 400
    assert read_all(asker) == {"config": make_large(4)}


def test_who_is_too_far_behind_is_told_the_value_whole() -> None:
    teller = make_mirror(keyedstream.Change("config", make_large(1), 0))
    asker = mirror.Mirror()
    pass_on(teller, asker)
    for version in range(2, 4 + mirror.MAX_FORMER_VALUES):
        change = keyedstream.Change("config", make_large(version), version - 1)
        teller.apply(keyedstream.Changes([change], version), False)
    pass_on(teller, asker)
    assert read_all(asker) == read_all(teller)


def test_dropped_keys_are_told() -> None:
    teller = make_mirror(
        *(keyedstream.Change(k, b"v", n) for n, k in enumerate("ab"))
    )
    asker = mirror.Mirror()
    pass_on(teller, asker)
    teller.apply(
        keyedstream.Changes([keyedstream.Change("a", None, 2)], 3), False
    )
    told = pass_on(teller, asker)
    assert [(r.key, r.value) for r in told.records] == [("a", None)]
    assert read_all(asker) == {"b": b"v"}


def test_drops_that_are_not_remembered_are_not_missed() -> None:
    teller = make_mirror(
        *(keyedstream.Change(k, b"v", n) for n, k in enumerate("ab"))
    )
    asker = mirror.Mirror()
    pass_on(teller, asker)
    count = 2
    for number in range(mirror.MAX_TOMBSTONES + 5):
        key = "a" if number == 0 else f"k{number}"
        change = keyedstream.Change(key, None, count)
        teller.apply(keyedstream.Changes([change], count + 1), False)
        count += 1
    assert pass_on(teller, asker).whole
    assert read_all(asker) == {"b": b"v"}


def test_a_damaged_value_is_not_taken() -> None:
    first = keyedstream.Change("first", b"1", 0)
    teller, asker = make_mirror(first), make_mirror(first)
    config = keyedstream.Change("config", make_large(1), 1)
    teller.apply(keyedstream.Changes([config], 2), False)
    news = teller.make_update("s", 1)
    (change,) = asker.unpack(news).records
    assert change.value == make_large(1)
    (record,) = news.records
    assert record.value is not None
    for damaged in (
        msgspec.structs.replace(record, value=record.value[:-9]),
        msgspec.structs.replace(record, value=b"junk"),
        msgspec.structs.replace(record, digest=7),
        msgspec.structs.replace(record, base=5),
    ):
        told = msgspec.structs.replace(news, records=[damaged])
        with pytest.raises(mirror.MirrorError):
            asker.unpack(told)


def test_news_that_leave_records_out_are_not_taken() -> None:
    asker = make_mirror(keyedstream.Change("a", b"1", 0))
    ahead = peer_message.StreamNews("s", 5, [], 9, False)
    with pytest.raises(mirror.MirrorError, match="not held"):
        asker.unpack(ahead)
    lying = peer_message.StreamNews("s", 1, [], 9, False)
    with pytest.raises(mirror.MirrorError, match="missing"):
        asker.unpack(lying)


KEYS = st.sampled_from("abc")
VALUES = st.one_of(
    st.none(),
    st.binary(min_size=1, max_size=5),
    st.integers(0, 9).map(lambda n: (b"large %d " % n) * 400),
)
STEPS = st.lists(
    st.one_of(st.tuples(KEYS, VALUES), st.just("ask")), max_size=30
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_whoever_asks_holds_the_same(steps: list[Any]) -> None:
    teller, asker, count = make_mirror(), mirror.Mirror(), 0
    for step in steps:
        if step == "ask":
            pass_on(teller, asker)
            assert read_all(asker) == read_all(teller)
            continue
        change = keyedstream.Change(step[0], step[1], count)
        count += 1
        teller.apply(keyedstream.Changes([change], count), False)


# Many VMs that start at once.


def make_replicas(count: int) -> list[keyedstream.Change]:
    """Returns the records of a deployment's backend servers."""
    chance = random.Random(1)
    return [
        keyedstream.Change(
            f"i-{chance.getrandbits(40):010x}",
            json.dumps(
                {
                    "service": "lm",
                    "address": f"10.{chance.randrange(4)}.{number % 250}.7:80",
                    "zone": chance.choice(["waw-a", "waw-b"]),
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "coldMs": 0,
                    "stage": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "seq": chance.randrange(100),
                }
            ).encode(),
            number,
        )
        for number in range(count)
    ]


def test_thousands_of_records_fit_a_slow_link_and_are_packed_once() -> None:
    changes = make_replicas(3000)
    teller = make_mirror(*changes)
    first, second = (teller.make_update("s", -1) for _ in range(2))
    assert first.packed is second.packed
    # A link of 5 Mbit/s carries 200 KB in the time that an answer may take.
    assert count_bytes(first) < 200_000
    assert read_all(teller) == {c.key: c.value for c in changes}


def test_a_new_record_is_told_to_who_asks_for_all_after_it() -> None:
    teller = make_mirror(*make_replicas(3))
    teller.make_update("s", -1)
    late = keyedstream.Change("late", b"{}", 3)
    teller.apply(keyedstream.Changes([late], 4), False)
    assert read_all(teller)["late"] == b"{}"
    assert teller.make_update("s", -1).end == 4


@pytest.mark.parametrize("damage", [b"", b"x", b"\x28\xb5\x2f\xfd\x00"])
def test_a_damaged_whole_stream_is_not_taken(damage: bytes) -> None:
    told = make_mirror(*make_replicas(3)).make_update("s", -1)
    damaged = msgspec.structs.replace(told, packed=damage)
    with pytest.raises(mirror.MirrorError):
        mirror.Mirror().unpack(damaged)

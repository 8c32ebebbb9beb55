"""Updates of a keyed stream between VMs."""

from __future__ import annotations

import json
import random
from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
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


def send_update(
    sender: mirror.Mirror, receiver: mirror.Mirror
) -> peer_message.StreamNews:
    """Brings the receiver up to date; returns the update sent."""
    start = -1 if receiver.end is None else receiver.end
    update = sender.make_update("s", start)
    sent = codec.decode(codec.encode(0, peer_message.ToldStreams([update])))
    (received,) = sent.body.news
    receiver.apply(receiver.unpack(received), received.whole)
    return update


def read_all(held: mirror.Mirror) -> dict[str, bytes | None]:
    update = held.make_update("s", -1)
    fresh = mirror.Mirror()
    return {c.key: c.value for c in fresh.unpack(update).records}


def count_bytes(update: peer_message.StreamNews) -> int:
    return len(codec.encode(0, peer_message.ToldStreams([update])))


def test_a_changed_large_value_is_sent_as_a_difference() -> None:
    sender = make_mirror(keyedstream.Change("config", make_large(1), 0))
    receiver = mirror.Mirror()
    first = send_update(sender, receiver)
    assert count_bytes(first) < len(make_large(1)) / 3
    for version in range(2, 5):
        change = keyedstream.Change("config", make_large(version), version - 1)
        sender.apply(keyedstream.Changes([change], version), False)
    # Three versions behind: a single difference, to the newest version.
    assert count_bytes(send_update(sender, receiver)) < 400
    assert read_all(receiver) == {"config": make_large(4)}


def test_a_receiver_too_far_behind_gets_the_whole_value() -> None:
    sender = make_mirror(keyedstream.Change("config", make_large(1), 0))
    receiver = mirror.Mirror()
    send_update(sender, receiver)
    for version in range(2, 4 + mirror.MAX_FORMER_VALUES):
        change = keyedstream.Change("config", make_large(version), version - 1)
        sender.apply(keyedstream.Changes([change], version), False)
    send_update(sender, receiver)
    assert read_all(receiver) == read_all(sender)


def test_deleted_keys_are_sent() -> None:
    sender = make_mirror(
        *(keyedstream.Change(k, b"v", n) for n, k in enumerate("ab"))
    )
    receiver = mirror.Mirror()
    send_update(sender, receiver)
    sender.apply(
        keyedstream.Changes([keyedstream.Change("a", None, 2)], 3), False
    )
    update = send_update(sender, receiver)
    assert [(r.key, r.value) for r in update.records] == [("a", None)]
    assert read_all(receiver) == {"b": b"v"}


def test_a_receiver_behind_the_tombstones_gets_the_whole_stream() -> None:
    sender = make_mirror(
        *(keyedstream.Change(k, b"v", n) for n, k in enumerate("ab"))
    )
    receiver = mirror.Mirror()
    send_update(sender, receiver)
    count = 2
    for number in range(mirror.MAX_TOMBSTONES + 5):
        key = "a" if number == 0 else f"k{number}"
        change = keyedstream.Change(key, None, count)
        sender.apply(keyedstream.Changes([change], count + 1), False)
        count += 1
    assert send_update(sender, receiver).whole
    assert read_all(receiver) == {"b": b"v"}


def test_a_damaged_value_is_rejected() -> None:
    first = keyedstream.Change("first", b"1", 0)
    sender, receiver = make_mirror(first), make_mirror(first)
    config = keyedstream.Change("config", make_large(1), 1)
    sender.apply(keyedstream.Changes([config], 2), False)
    update = sender.make_update("s", 1)
    (change,) = receiver.unpack(update).records
    assert change.value == make_large(1)
    (record,) = update.records
    assert record.value is not None
    for damaged in (
        msgspec.structs.replace(record, value=record.value[:-9]),
        msgspec.structs.replace(record, value=b"junk"),
        msgspec.structs.replace(record, digest=7),
        msgspec.structs.replace(record, base=5),
    ):
        damaged_update = msgspec.structs.replace(update, records=[damaged])
        with pytest.raises(mirror.MirrorError):
            receiver.unpack(damaged_update)


def test_an_update_that_omits_records_is_rejected() -> None:
    receiver = make_mirror(keyedstream.Change("a", b"1", 0))
    ahead = peer_message.StreamNews("s", 5, [], 9, False)
    with pytest.raises(mirror.MirrorError, match="not held"):
        receiver.unpack(ahead)
    incomplete = peer_message.StreamNews("s", 1, [], 9, False)
    with pytest.raises(mirror.MirrorError, match="missing"):
        receiver.unpack(incomplete)


KEYS = st.sampled_from("abc")
VALUES = st.one_of(
    st.none(),
    st.binary(min_size=1, max_size=5),
    st.integers(0, 9).map(lambda n: (b"large %d " % n) * 400),
)
STEPS = st.lists(
    st.one_of(st.tuples(KEYS, VALUES), st.just("update")), max_size=30
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
# The sender's large former value is one that the receiver never held.
@example(
    [
        ("b", b"large 0 " * 400),
        ("b", b"small"),
        "update",
        ("b", b"large 0 " * 400),
        "update",
    ]
)
def test_a_receiver_holds_the_same_records(steps: list[Any]) -> None:
    sender, receiver, count = make_mirror(), mirror.Mirror(), 0
    for step in steps:
        if step == "update":
            send_update(sender, receiver)
            assert read_all(receiver) == read_all(sender)
            continue
        change = keyedstream.Change(step[0], step[1], count)
        count += 1
        sender.apply(keyedstream.Changes([change], count), False)


RELAY_STEPS = st.lists(
    st.one_of(
        st.tuples(KEYS, VALUES),
        st.tuples(st.integers(0, 3), st.integers(0, 3)),
    ),
    max_size=40,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(RELAY_STEPS)
# The second mirror skips a version that the third one holds.
@example(
    [
        ("a", b"large 0 " * 400),
        (0, 1),
        ("a", b"large 1 " * 400),
        (0, 2),
        ("a", b"large 2 " * 400),
        (0, 1),
        (1, 2),
    ]
)
def test_an_update_relayed_by_several_mirrors_is_accepted(
    steps: list[Any],
) -> None:
    # A mirror that received a later version without those in between offered a
    # difference from a value that its receiver never held.
    mirrors = [make_mirror(), *(mirror.Mirror() for _ in range(3))]
    count = 0
    for one, other in steps:
        if isinstance(one, str):
            change = keyedstream.Change(one, other, count)
            count += 1
            mirrors[0].apply(keyedstream.Changes([change], count), False)
        elif other and (mirrors[one].end or -1) > (mirrors[other].end or 0):
            send_update(mirrors[one], mirrors[other])
    for receiver in mirrors[1:]:
        send_update(mirrors[0], receiver)
        assert read_all(receiver) == read_all(mirrors[0])


# Many VMs start at the same time.


def make_replicas(count: int) -> list[keyedstream.Change]:
    """Returns the records of a deployment's backend servers."""
    rng = random.Random(1)
    return [
        keyedstream.Change(
            f"i-{rng.getrandbits(40):010x}",
            json.dumps(
                {
                    "service": "lm",
                    "address": f"10.{rng.randrange(4)}.{number % 250}.7:80",
                    "zone": rng.choice(["waw-a", "waw-b"]),
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "coldMs": 0,
                    "stage": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "seq": rng.randrange(100),
                }
            ).encode(),
            number,
        )
        for number in range(count)
    ]


def test_a_whole_stream_fits_a_slow_link_and_is_packed_once() -> None:
    changes = make_replicas(3000)
    sender = make_mirror(*changes)
    first, second = (sender.make_update("s", -1) for _ in range(2))
    assert first.packed is second.packed
    # A 5 Mbit/s link transfers 200 KB within the time limit of a response.
    assert count_bytes(first) < 200_000
    assert read_all(sender) == {c.key: c.value for c in changes}


def test_a_new_record_is_part_of_the_next_whole_stream() -> None:
    sender = make_mirror(*make_replicas(3))
    sender.make_update("s", -1)
    late = keyedstream.Change("late", b"{}", 3)
    sender.apply(keyedstream.Changes([late], 4), False)
    assert read_all(sender)["late"] == b"{}"
    assert sender.make_update("s", -1).end == 4


@pytest.mark.parametrize("damage", [b"", b"x", b"\x28\xb5\x2f\xfd\x00"])
def test_a_damaged_whole_stream_is_rejected(damage: bytes) -> None:
    update = make_mirror(*make_replicas(3)).make_update("s", -1)
    damaged = msgspec.structs.replace(update, packed=damage)
    with pytest.raises(mirror.MirrorError):
        mirror.Mirror().unpack(damaged)

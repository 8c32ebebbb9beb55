"""Placement on servers that have a prompt's prefix cached, if in time."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ramptray.core import backend, message, policy, prefix_cache, shard
from ramptray.core import rules as shard_rules
from ramptray.platform import header
from ramptray.relay import message as relay_message

KEY = message.ShardKey("all", "lm")
SHARED, OWN = 3000, 500
SPEED = message.Speed(50_000.0, 0.003, 0.005)


def make_request(name: str, shared: int = 1, own: int = 0) -> message.Enqueue:
    """Returns a request whose prompt begins with a shared part."""
    return message.Enqueue(
        message.RequestInfo(
            name,
            KEY,
            "c",
            "t",
            SHARED + OWN,
            10,
            (shared, own or hash(name)),
            10.0,
            objective_s=0.5,
            prefix_tokens=(SHARED, OWN),
        )
    )


def make_owner(
    servers: int = 4, cache_blocks: int = 10_000
) -> shard.ShardOwner:
    infos = [
        backend.BackendInfo(f"e{n}", 4, 10**6, cache_blocks)
        for n in range(servers)
    ]
    owner = shard.ShardOwner(
        KEY,
        "o:1",
        shard_rules.ShardRules({"t": 0}, 10**9, 0.0, {}, {}),
        infos,
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
        speeds={i.name: message.SpeedLearned(i.name, SPEED) for i in infos},
    )
    owner.tick(0.0)
    return owner


def serve(owner: shard.ShardOwner, asked: message.Enqueue, now: float) -> str:
    """Runs a request to its end and returns the chosen server."""
    name = send(owner, asked, now)
    request_id = asked.request.request_id
    known = owner.fleet.backends[name].placed[request_id]
    first_s = 0.005 + known.uncached / 50_000
    first = message.FirstToken(request_id, first_s, None, 0)
    owner.receive("e", first, now + first_s)
    ended = message.Ended(request_id, 10, 0.03, True)
    owner.receive("e", ended, now + first_s + 0.03)
    return name


def send(owner: shard.ShardOwner, asked: message.Enqueue, now: float) -> str:
    out = owner.receive("e", asked, now)
    (granted,) = [
        e.message for e in out if isinstance(e.message, message.Grant)
    ]
    return granted.backend


def test_prompts_with_a_common_prefix_go_to_one_server() -> None:
    owner = make_owner()
    for shared in range(1, 4):
        where = {
            serve(owner, make_request(f"{shared}-{n}", shared), n + shared / 4)
            for n in range(10)
        }
        assert len(where) == 1


def test_a_server_with_a_cached_prefix_is_not_overloaded() -> None:
    owner = make_owner()
    first = serve(owner, make_request("first"), 0.0)
    where = [send(owner, make_request(f"r{n}"), 1.0) for n in range(8)]
    assert where[0] == first
    assert len(set(where)) > 1
    assert where.count(first) <= 4


def test_an_evicted_prefix_counts_as_uncached() -> None:
    owner = make_owner(1, cache_blocks=SHARED // prefix_cache.BLOCK_TOKENS + 20)
    serve(owner, make_request("a", 1), 0.0)
    serve(owner, make_request("b", 2), 1.0)
    known = owner.fleet.backends["e0"]
    uncached = known.count_uncached(make_request("c", 1).request)
    assert uncached == SHARED + OWN


def test_a_prompt_that_takes_as_long_as_uncached_was_not_cached() -> None:
    owner = make_owner(1)
    serve(owner, make_request("a"), 0.0)
    known = owner.fleet.backends["e0"]
    before = known.speed.factor
    asked = make_request("b")
    send(owner, asked, 1.0)
    whole_s = known.estimate_alone(SHARED + OWN)
    first = message.FirstToken("b", whole_s, None, 0)
    owner.receive("e", first, 1.0 + whole_s)
    assert known.count_uncached(make_request("c").request) == SHARED + OWN
    assert abs(known.speed.factor - before) < 0.1 * before


@given(
    st.lists(
        st.tuples(st.lists(st.integers(0, 5), max_size=4), st.booleans()),
        max_size=30,
    )
)
def test_the_cached_tokens_are_the_sum_of_the_block_sizes(
    steps: list[tuple[list[int], bool]],
) -> None:
    cache = prefix_cache.PrefixCache(1000)
    for blocks, added in steps:
        if added:
            cache.add(tuple(blocks), tuple(100 * (b + 1) for b in blocks))
        else:
            cache.evict(tuple(blocks))
        assert cache._held == sum(cache._blocks.values()) <= 1000


def read_prefix(
    value: bytes, model: bytes = b"m"
) -> relay_message.CallerRequest:
    head = relay_message.RequestHead(
        b"POST",
        b"/",
        [
            (b"X-Request-Id", b"r"),
            (b"X-Model", model),
            (b"X-Prompt-Prefix", value),
        ],
    )
    asked = header.PlatformDialect().parse_request(head).unwrap()
    assert isinstance(asked, relay_message.CallerRequest)
    return asked


def test_equal_parts_after_different_parts_have_different_hashes() -> None:
    one = read_prefix(b"5c1e07a2:800,91bd3f06:410")
    other = read_prefix(b"e4402b7d:250,91bd3f06:410")
    assert one.prefix_tokens == (800, 410)
    assert one.prefix[1] != other.prefix[1]
    assert one.prefix != read_prefix(b"5c1e07a2:800,91bd3f06:410", b"n").prefix


def test_parts_after_an_invalid_one_are_ignored() -> None:
    asked = read_prefix(b"a:10,b:,c:30")
    assert asked.prefix_tokens == (10,)
    assert (
        len(read_prefix(b",".join([b"a:1"] * 99)).prefix)
        == header.MAX_PREFIX_PARTS
    )


def test_a_request_keeps_its_prefix_sizes_when_encoded() -> None:
    sent = make_request("a")
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(sent), type=message.Enqueue
    )
    assert decoded == sent

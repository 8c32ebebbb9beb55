"""Rate limits for backend servers that restart cold, until they are warm."""

from __future__ import annotations

import json

import msgspec
import pytest

from ramptray.core import limit, message, pacer, policy, shard
from ramptray.platform import config, follower, replicas, store
from ramptray.scheduler import rules
from test import node, test_replicas

COLD_RATE_PER_S = 5.0
COLD_S = 3.0
SERVERS = 2


def make_owner(part: float = 1.0, cold_s: float = COLD_S) -> shard.ShardOwner:
    """Returns an owner of servers with a cold start in their records."""
    service = {
        "name": node.SERVICE,
        "coldPerS": COLD_RATE_PER_S,
        "coldS": COLD_S,
    }
    declared = config.parse_config(
        json.dumps(node.make_config(1, services=[service]))
    )
    book = replicas.ReplicaRegistry(1.6)
    record = test_replicas.make_record(coldMs=cold_s * 1000, slots=100)
    for number in range(SERVERS):
        book.apply_changes([store.Change(f"i{number}", record)], 0.0)
    bundle = follower.add_replicas(declared, book.list_replicas())
    limits = limit.Limits({})
    limits.set_part(part)
    return shard.ShardOwner(
        test_replicas.SHARD,
        "owner:1",
        rules.make_rules(bundle, test_replicas.SHARD),
        rules.list_backend_infos(bundle, test_replicas.SHARD),
        policy.TokenPolicy(),
        0.0,
        0.0,
        limits,
    )


def make_request(number: int) -> message.Enqueue:
    return message.Enqueue(
        message.RequestInfo(
            f"r{number}",
            test_replicas.SHARD,
            "ola",
            "p0.0",
            prompt_tokens=10,
            output_tokens=10,
            prefix=(),
            deadline_s=100.0,
        )
    )


def list_grant_times(owner: shard.ShardOwner, until_s: float) -> list[float]:
    """Sends 50 requests at once and returns the times of their grants."""
    out = [
        effect
        for number in range(50)
        for effect in owner.receive("e", make_request(number), 0.0)
    ]
    granted = [0.0 for e in out if isinstance(e.message, message.Grant)]
    for tick in range(1, int(until_s * 10) + 1):
        now = tick / 10
        granted += [
            now
            for effect in owner.tick(now)
            if isinstance(effect.message, message.Grant)
        ]
    return granted


@pytest.mark.parametrize("part", [1.0, 0.5, 0.1])
def test_cold_servers_get_requests_within_their_rate_limit(part: float) -> None:
    granted = list_grant_times(make_owner(part), COLD_S - 0.1)
    for start in granted:
        within = [at for at in granted if start <= at < start + 1.0]
        assert len(within) <= max(1.0, COLD_RATE_PER_S * part) * SERVERS
    assert len(granted) >= SERVERS


def test_all_owners_together_keep_a_cold_servers_rate_limit() -> None:
    parts = (0.4, 0.4, 0.2)
    in_one_s = sum(
        len(list_grant_times(make_owner(part), 0.9)) for part in parts
    )
    assert in_one_s <= COLD_RATE_PER_S * SERVERS


def test_a_warm_server_gets_requests_for_all_its_slots() -> None:
    granted = list_grant_times(make_owner(), COLD_S)
    assert len(granted) == 50


def test_a_record_that_is_read_again_does_not_restart_the_warm_up() -> None:
    book = replicas.ReplicaRegistry(1.6)
    change = store.Change("i", test_replicas.make_record(coldMs=3000), 7)
    book.apply_changes([change], 0.0)
    book.apply_snapshot([change], 10.0, 8)
    assert book.list_replicas()["i"].warm_at == COLD_S


def test_a_server_that_turns_cold_again_keeps_its_learned_state() -> None:
    owner = make_owner(cold_s=0.0)
    known = owner.fleet.backends["i0"]
    infos = [
        msgspec.structs.replace(b.info, warm_at=9.0)
        for b in owner.fleet.list_all()
    ]
    owner.fleet.configure(infos, f"{node.SERVICE}@1")
    assert owner.fleet.backends["i0"] is known
    assert known.info.warm_at == 9.0


def test_a_small_share_allows_one_request_in_several_windows() -> None:
    paced = pacer.Pacer()
    paced.record_send(0.0)
    assert paced.get_wait(2.4, 2.0 * 0.2) > 0.0
    assert paced.get_wait(2.6, 2.0 * 0.2) == 0.0
    assert paced.get_wait(2.6, 2.0 * 0.0) > 0.0


def test_successive_owners_send_no_burst_to_a_cold_server() -> None:
    # A new owner does not know which requests its predecessor sent.
    changes = [0.0, 0.2, 0.4, 0.6]
    sent = [
        at + start
        for start in changes
        for at in list_grant_times(make_owner(), 0.1)
    ]
    assert len(sent) <= len(changes) * SERVERS

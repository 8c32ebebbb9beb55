"""Grants of an owner to entries that reach no backend server themselves."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptray.core import (
    backend,
    gateways,
    message,
    policy,
    shard,
)
from ramptray.core import rules as shard_rules
from test.test_shard import KEY, TIERS, make_info

CUT, OTHER, THIRD = "node/vm-cut", "node/vm-other", "node/vm-third"
ADDRESSES = {CUT: "10.0.0.1:1", OTHER: "10.0.0.2:1", THIRD: "10.0.0.3:1"}
REGIONS = ("north", "south")
_NUMBERS = itertools.count()


class Owner:
    """An owner with servers in two regions and three attached entries."""

    def __init__(self, servers: int = 2) -> None:
        self.gateways = gateways.GatewayDirectory()
        for entry, address in ADDRESSES.items():
            self.gateways.add_entry(entry, address)
        ranks = {tier: rank for rank, tier in enumerate(TIERS)}
        self.regions = {f"e{n}": REGIONS[n % 2] for n in range(servers)}
        self.shard = shard.ShardOwner(
            KEY,
            "127.0.0.1:1",
            shard_rules.ShardRules(ranks, 4000, 0.25, {}, {}),
            [
                backend.BackendInfo(name, 4, 10_000, 16, region=region)
                for name, region in self.regions.items()
            ],
            policy.make_policy(),
            0.0,
            report_grace_s=0.0,
            gateway_directory=self.gateways,
        )

    def ask(
        self,
        entry: str,
        now: float,
        silent: tuple[str, ...] = (),
        regions: tuple[str, ...] | None = None,
    ) -> message.Grant | message.Reject | None:
        """Returns the owner's decision on a new request, if there is one."""
        info = msgspec.structs.replace(
            make_info(f"r{next(_NUMBERS)}"), silent=silent, regions=regions
        )
        return self.send(entry, message.Enqueue(info), now)

    def send(
        self, entry: str, sent: message.EntryMessage, now: float
    ) -> message.Grant | message.Reject | None:
        """Returns the owner's first decision after a message, if any."""
        found = [
            effect.message
            for effect in self.shard.receive(entry, sent, now)
            if isinstance(effect.message, message.Grant | message.Reject)
        ]
        return found[0] if found else None


def test_an_entry_without_servers_gets_gateways() -> None:
    owner = Owner()
    grant = owner.ask(CUT, 4.0, ("e0", "e1"))
    assert isinstance(grant, message.Grant)
    assert set(grant.gateways) == {ADDRESSES[OTHER], ADDRESSES[THIRD]}


def test_an_entry_that_reaches_a_server_uses_it_directly() -> None:
    owner = Owner()
    grant = owner.ask(CUT, 4.0, ("e0",))
    assert isinstance(grant, message.Grant)
    assert (grant.backend, grant.gateways) == ("e1", ())


def test_entries_without_servers_are_no_gateways() -> None:
    owner = Owner()
    owner.ask(THIRD, 4.0, ("e0", "e1"))
    grant = owner.ask(CUT, 4.0, ("e0", "e1"))
    assert isinstance(grant, message.Grant)
    assert grant.gateways == (ADDRESSES[OTHER],)


def test_a_request_is_refused_if_no_entry_reaches_a_server() -> None:
    owner = Owner()
    for entry in (OTHER, THIRD):
        owner.ask(entry, 4.0, ("e0", "e1"))
    reject = owner.ask(CUT, 4.0, ("e0", "e1"))
    assert isinstance(reject, message.Reject)
    assert reject.reason is message.Reason.NO_BACKEND


def test_a_relay_that_failed_is_not_granted_again_at_once() -> None:
    owner = Owner()
    silent = ("e0", "e1")
    grant = owner.ask(CUT, 4.0, silent)
    assert isinstance(grant, message.Grant)
    decline = message.Decline(
        grant.request_id,
        grant.grant_id,
        silent=silent,
        waits=True,
        failed_gateways={ADDRESSES[OTHER]: message.GatewayFailure.NOT_OPENED},
    )
    again = owner.send(CUT, decline, 4.0)
    assert isinstance(again, message.Grant)
    assert again.gateways == (ADDRESSES[THIRD],)
    later = owner.ask(CUT, 4.0 + gateways.FAILED_GATEWAY_BACKOFF_S, silent)
    assert isinstance(later, message.Grant)
    assert ADDRESSES[OTHER] in later.gateways


def test_refused_connections_to_all_servers_lead_to_gateways() -> None:
    owner = Owner()
    grant = owner.ask(CUT, 4.0)
    for _ in range(2):
        assert isinstance(grant, message.Grant)
        assert not grant.gateways
        decline = message.Decline(
            grant.request_id, grant.grant_id, unreachable=True, waits=True
        )
        grant = owner.send(CUT, decline, 4.0)
    assert isinstance(grant, message.Grant)
    assert grant.gateways


@pytest.mark.parametrize(
    "failure", [message.GatewayFailure.REFUSED, message.GatewayFailure.SILENT]
)
def test_a_server_that_fails_for_all_is_not_granted_again_and_again(
    failure: message.GatewayFailure,
) -> None:
    owner = Owner(servers=1)
    silent = ("e0",) if failure is message.GatewayFailure.SILENT else ()
    decision = owner.ask(CUT, 4.0, silent)
    rounds = 0
    while isinstance(decision, message.Grant):
        rounds += 1
        decline = message.Decline(
            decision.request_id,
            decision.grant_id,
            unreachable=not decision.gateways,
            silent=silent,
            waits=True,
            failed_gateways=dict.fromkeys(decision.gateways, failure),
        )
        decision = owner.send(CUT, decline, 4.0)
    assert rounds <= 2


def test_a_tried_server_is_tried_if_all_others_refuse_an_entry() -> None:
    # The owner granted the refusing servers in turn, and no gateway, for as
    # long as a server that the request had tried was believed to be reachable.
    owner = Owner()
    info = msgspec.structs.replace(make_info("r"), avoid=("e0",), attempt=1)
    granted = []
    grant = owner.send(CUT, message.Enqueue(info), 4.0)
    for _ in range(3):
        assert isinstance(grant, message.Grant)
        granted.append((grant.backend, bool(grant.gateways)))
        decline = message.Decline(
            "r", grant.grant_id, True, info.avoid, waits=True
        )
        grant = owner.send(CUT, decline, 4.0)
    assert granted[:2] == [("e1", False), ("e0", False)]
    assert granted[2][1]


def test_a_detached_entry_is_no_relay() -> None:
    owner = Owner()
    owner.gateways.remove_entry(OTHER)
    grant = owner.ask(CUT, 4.0, ("e0", "e1"))
    assert isinstance(grant, message.Grant)
    assert grant.gateways == (ADDRESSES[THIRD],)


def test_recently_answered_gateways_come_first() -> None:
    owner = Owner(servers=1)
    for _ in range(3):
        grant = owner.ask(THIRD, 4.0)
        assert isinstance(grant, message.Grant)
        ended = message.Ended(grant.request_id, 10, 0.1, True)
        owner.send(THIRD, ended, 4.1)
        tunneled = owner.ask(CUT, 4.2, ("e0",))
        assert isinstance(tunneled, message.Grant)
        assert tunneled.gateways == (ADDRESSES[THIRD], ADDRESSES[OTHER])
        owner.send(CUT, message.Ended(tunneled.request_id, 10, 0.1, True), 4.3)


@settings(derandomize=True, deadline=None)
@given(
    silent=st.sets(st.sampled_from(["e0", "e1", "e2", "e3"])),
    regions=st.none() | st.sets(st.sampled_from([*REGIONS, "west"])),
)
def test_tunneled_requests_stay_in_their_regions(
    silent: set[str], regions: set[str] | None
) -> None:
    owner = Owner(servers=4)
    allowed = None if regions is None else tuple(regions)
    decision = owner.ask(CUT, 4.0, tuple(silent), allowed)
    inside = {
        name
        for name, region in owner.regions.items()
        if regions is None or region in regions
    }
    if isinstance(decision, message.Grant):
        assert decision.backend in inside
        assert bool(decision.gateways) == (inside <= silent)
    else:
        assert not inside

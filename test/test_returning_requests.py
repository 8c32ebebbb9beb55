"""What VMs know of servers that the configuration stops listing for a while.

Guards against this failure: absence from a configuration was taken for absence
of the server, so that its running requests, its last request, its refused
connections and its restart were missed once it was listed again.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from ramptray.bundle import acceptance, signature
from ramptray.core import fleet, message
from ramptray.entry import backend_directory
from ramptray.peer import link
from ramptray.peer import message as peer_message
from ramptray.platform import config, follower, scheduling_zone
from ramptray.scheduler import event
from test import node, test_cold_start
from test.test_rate_limit import (
    announce_limit,
    list_grants,
    make_owner,
    make_request,
)
from test.test_returning_service import OTHER, make_config

SERVER = "i-0"
RUN = 1
KEY = message.ShardKey(scheduling_zone.SINGLE_ZONE, node.SERVICE)
REPLICA = peer_message.Replica(
    node.SERVICE, "127.0.0.1:9", "waw-a", node.SLOTS, False, run=RUN
)
LISTED = (node.SERVICE, REPLICA)
ABSENCES = {"service": (OTHER, REPLICA), "record": (node.SERVICE, None)}


def make_in_force(
    service: str, replica: peer_message.Replica | None
) -> acceptance.InForce:
    """Returns a configuration of one service with at most one replica."""
    text = json.dumps(make_config(1, service))
    replicas = {} if replica is None else {SERVER: replica}
    bundle = follower.add_replicas(config.ConfigParser().parse(text), replicas)
    return acceptance.InForce(bundle, signature.Envelope(text, {}))


def make_info(number: int) -> message.RequestInfo:
    return message.RequestInfo(f"r{number}", KEY, "", "0", 10, 10, (), 4.0)


class Owner:
    """A hub with an attached entry."""

    def __init__(self) -> None:
        self._hub = test_cold_start.make_hub()
        self.attach()

    def attach(self) -> None:
        self._session = link.Session()
        self.receive(peer_message.Hello("entry/b", "b", "entry"))

    def receive(self, body: Any) -> None:
        self._hub._handle(event.MessageReceived(self._session, body), 0.0)

    def apply(self, service: str, replica: peer_message.Replica | None) -> None:
        in_force = make_in_force(service, replica)
        self._hub._handle(event.BundleChanged(in_force), 0.0)

    def report_running(self, number: int) -> None:
        info = make_info(number)
        self.receive(message.Running(info, SERVER, 1.0, 0, REPLICA.run))

    def detach(self) -> None:
        self._hub._handle(event.SessionClosed(self._session), 0.0)

    def tick(self, now: float) -> None:
        for owner in self._hub.shards.values():
            owner.tick(now)

    def list_placed(self) -> list[str]:
        return [
            placed.request.request_id
            for owner in self._hub.shards.values()
            for placed in owner.fleet.iterate_placed()
        ]


@pytest.mark.parametrize("absence", ABSENCES)
def test_requests_that_run_at_an_unlisted_server_count_later(
    absence: str,
) -> None:
    owner = Owner()
    owner.apply(*ABSENCES[absence])
    for number in range(3):
        owner.report_running(number)
    owner.apply(*ABSENCES[absence])
    owner.receive(message.Ended("r0", 10, 0.1, True))
    owner.apply(*LISTED)
    assert owner.list_placed() == ["r1", "r2"]


def test_requests_of_an_earlier_run_do_not_count() -> None:
    owner = Owner()
    owner.apply(OTHER, REPLICA)
    owner.report_running(1)
    owner.apply(node.SERVICE, msgspec.structs.replace(REPLICA, run=2))
    assert owner.list_placed() == []


def test_requests_of_a_lost_entry_count_until_it_reports_anew() -> None:
    for is_back in (False, True):
        owner = Owner()
        owner.apply(OTHER, REPLICA)
        owner.report_running(1)
        owner.detach()
        if is_back:
            owner.attach()
        owner.apply(*LISTED)
        assert owner.list_placed() == ([] if is_back else ["r1"])
        owner.tick(1.0 + fleet.ORPHAN_TIMEOUT_S)
        assert owner.list_placed() == []


def announce(owner: Any, now: float) -> None:
    announce_limit(owner, 2.0, now=now, run=RUN)


def refuse_connections(owner: Any, now: float) -> None:
    known = owner.fleet.backends["s0"]
    for _ in range(3):
        owner.fleet.record_unreachable(known, "entry", now, True)


@pytest.mark.parametrize("restrict", [announce, refuse_connections])
def test_a_server_that_returns_at_once_gets_no_request_sooner(
    restrict: Callable[[Any, float], None],
) -> None:
    owner = make_owner(run=RUN)
    (known,) = owner.fleet.list_all()
    first = make_request().request
    assert list_grants(owner.receive("entry", message.Enqueue(first), 0.0))
    owner.receive("entry", message.Ended(first.request_id, 10, 0.1, True), 0.1)
    restrict(owner, 0.1)
    owner.remove_backends()
    owner.fleet.configure([known.info], "")
    if restrict is announce:
        announce(owner, 0.2)
    assert not list_grants(owner.receive("entry", make_request(), 0.2))
    assert list_grants(owner.tick(9.0))


def test_failures_of_an_unnumbered_run_do_not_outlast_its_record() -> None:
    # The server may have restarted, and no other one may be there.
    owner = make_owner()
    (known,) = owner.fleet.list_all()
    refuse_connections(owner, 0.1)
    owner.remove_backends()
    owner.fleet.configure([known.info], "")
    assert list_grants(owner.receive("entry", make_request(), 0.2))


@pytest.mark.parametrize("absence", ABSENCES)
def test_a_restart_of_an_unlisted_server_is_noticed(absence: str) -> None:
    # Requests of the lost run waited until the keepalive had failed.
    directory = backend_directory.BackendDirectory()
    restarts: list[tuple[str, int]] = []
    directory.on_backend_restart = lambda *each: restarts.append(each)
    later = msgspec.structs.replace(REPLICA, run=2)
    for declared in (LISTED, ABSENCES[absence], (node.SERVICE, later)):
        directory.apply_bundle(make_in_force(*declared))
    assert restarts == [(SERVER, 2)]

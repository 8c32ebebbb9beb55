"""Releases of replicas whose records a VM passes over or reads late."""

from __future__ import annotations

import json

from ramptray.bundle import acceptance, model, signature
from ramptray.core import message, release_history, stream_origin
from ramptray.entry import backend_directory
from ramptray.platform import config, follower, replicas, store
from test import node, test_replicas


def make_bundle(registry: replicas.ReplicaRegistry) -> model.Bundle:
    declared = config.parse_config(json.dumps(node.make_config(1)))
    return follower.add_replicas(declared, registry.list_replicas())


def observe(registry: replicas.ReplicaRegistry) -> set[str]:
    """Returns the releases that a VM's history takes for listed."""
    servers = make_bundle(registry).backend_servers
    return {server.release for server in servers.values()}


def make_directory(
    *records: tuple[str, bytes],
) -> backend_directory.BackendDirectory:
    """Returns the directory of a VM whose settings name one zone."""
    registry = replicas.ReplicaRegistry(1.6, {"waw-a"})
    test_replicas.apply_records(registry, *records)
    directory = backend_directory.BackendDirectory()
    envelope = signature.Envelope("", {})
    directory.apply_bundle(acceptance.InForce(make_bundle(registry), envelope))
    return directory


def find_only(
    registry: replicas.ReplicaRegistry, *pages: list[store.Change]
) -> str | None:
    """Returns the only release that a VM knows of after some pages."""
    history = release_history.ReleaseHistory()
    history.begin(0.0, 0)
    now = stream_origin.SPAN_S + 1
    for page in pages:
        missed = registry.missed_count
        registry.apply_changes(page, now)
        history.observe({node.SERVICE: observe(registry)}, now)
        if registry.missed_count != missed:
            history.begin(now, 0)
    return history.find_only(node.SERVICE, stream_origin.SPAN_S, now)


def make_change(version: str, zone: str = "waw-a", born: int = 1) -> bytes:
    return test_replicas.make_record(version=version, zone=zone, born=born)


def test_a_release_that_one_page_replaces_is_not_forgotten() -> None:
    # A VM that reads late gets three starts of one replica in one page; another
    # VM has begun streams at the second one.
    first, second, third = (
        store.Change("i-0", make_change(version, born=born))
        for born, version in enumerate(("v1", "v2", "v1"), 1)
    )
    registry = replicas.ReplicaRegistry(1.6)
    assert find_only(registry, [first]) == "v1"
    assert find_only(registry, [second, third]) is None


def test_a_release_in_a_zone_that_only_others_know_is_not_overlooked() -> None:
    # VMs whose settings name the zone begin streams there.
    registry = replicas.ReplicaRegistry(1.6, {"waw-a"})
    page = [
        store.Change("i-0", make_change("v1")),
        store.Change("i-1", make_change("v2", "waw-b")),
    ]
    assert find_only(registry, page) is None


def test_a_removal_in_a_zone_that_only_others_know_is_no_gap() -> None:
    # Each one began the history anew, and take-ups were refused for the span.
    registry = replicas.ReplicaRegistry(1.6, {"waw-a"})
    record = make_change("v1", "waw-b")
    test_replicas.apply_records(registry, ("i-1", record))
    registry.apply_changes([store.Change("i-1", None)], 1.0)
    assert registry.missed_count == 0


def test_an_owner_with_other_settings_may_grant_a_zone_unknown_here() -> None:
    directory = make_directory(("i-1", make_change("v2", "waw-b")))
    grant = message.Grant("r", "g", "i-1", "owner", url="http://127.0.0.1:1")
    assert directory.get_granted_url(grant) == "http://127.0.0.1:8080"
    assert directory.get_release(grant) == "v2"


def test_release_of_a_grant_is_that_of_the_record_that_gives_its_url() -> None:
    # The grant's word was taken, so a stream of v1 was sent to a server of v2
    # and broken off at its first event.
    directory = make_directory(("i-0", make_change("v2", born=2)))
    grant = message.Grant(
        "r", "g", "i-0", "owner", url="http://127.0.0.1:1", run=1, release="v1"
    )
    assert directory.get_granted_url(grant) == "http://127.0.0.1:8080"
    origin = directory.find_origin(grant, node.SERVICE)
    assert origin == stream_origin.Origin(node.SERVICE, "v2")
    assert directory.get_release(grant) == "v2"
    later = message.Grant("r", "g", "i-0", "owner", run=3, release="v3")
    assert directory.get_release(later) == "v3"

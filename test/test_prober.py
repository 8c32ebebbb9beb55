"""Tests how an entry handles availability zones that become unreachable."""

from __future__ import annotations

import anyio

from ramptray.bundle import acceptance, model, signature
from ramptray.entry import backend_directory, prober, reachability


def make_directory() -> backend_directory.BackendDirectory:
    """Returns a directory with two backend servers in each of two zones."""
    backends = backend_directory.BackendDirectory()
    servers = {
        f"{zone}{number}": model.BackendServer(
            service="lm",
            engine="lm",
            zone="all",
            availability_zone=zone,
            url=f"http://{zone}{number}:1",
        )
        for zone in ("a", "b")
        for number in (1, 2)
    }
    bundle = model.Bundle(
        generation=1,
        operators=model.Operators(
            keys={"o": "ed25519:" + "0" * 64}, signatures_required=1
        ),
        zones=["all"],
        tiers={"t": model.Tier(order=0, deadline_s=10)},
        customers={},
        services={"lm": model.Service(kind=model.ServiceKind.MODEL)},
        engines={"lm": model.Engine(max_running=4, kv_tokens=1000)},
        backend_servers=servers,
    )
    envelope = signature.Envelope("", {})
    backends.apply_bundle(acceptance.InForce(bundle, envelope))
    return backends


def test_an_unreachable_zone_is_avoided_until_it_answers() -> None:
    # If a zone were tried again after a fixed backoff, the next requests would
    # lose 0.12 s per zone of their objectives of 0.3 s.
    backends = reachability.Reachability()
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    backends.record_connect_failure("a1", "a", 10.0)
    assert backends.list_unreachable(zones, 60.0) == ("a1", "a2")
    backends.record_answer("a2", "a", 60.1)
    assert backends.list_unreachable(zones, 60.2) == ()


def test_the_servers_of_an_unreachable_zone_are_probed_round_robin() -> None:
    backends = make_directory()
    backends.record_connect_failure("a1", 1.0)
    probed = [backends.list_probe_targets(turn)[0][0] for turn in range(4)]
    assert probed == ["a1", "a2", "a1", "a2"]


def test_a_successful_probe_marks_the_zone_as_reachable() -> None:
    backends = make_directory()
    probed_urls: list[str] = []

    async def probe(url: str) -> bool:
        probed_urls.append(url)
        return url == "http://a2:1"

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(prober.Prober(backends, probe).run)
            await anyio.sleep(0.05)
            assert probed_urls == []  # No probes while all are reachable.
            backends.record_connect_failure("a1", 1.0)
            with anyio.fail_after(2.0):
                while backends.list_probe_targets(0):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert probed_urls[-1] == "http://a2:1"
    assert backends.list_unreachable(1.1) == ("a1",)  # Its backoff goes on.
    assert backends.list_unreachable(2.0) == ()

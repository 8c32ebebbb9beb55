"""What an entry believes of availability zones that fall silent."""

from __future__ import annotations

import anyio

from ramptray.bundle import acceptance, model, signature
from ramptray.entry import backend_directory, prober, reachability


def make_network() -> backend_directory.BackendDirectory:
    """Returns a network with two backend servers in each of two zones."""
    known = backend_directory.BackendDirectory()
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
    known.apply_bundle(acceptance.InForce(bundle, envelope))
    return known


def test_a_silent_zone_is_avoided_until_it_answers() -> None:
    # cmp-flotta: each time the pause ended, the next requests lost 0.12 s a
    # zone, of objectives of 0.3 s.
    known = reachability.Reachability()
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    known.record_connect_failure("a1", "a", 10.0)
    assert known.list_unreachable(zones, 60.0) == ("a1", "a2")
    known.record_answer("a2", "a", 60.1)
    assert known.list_unreachable(zones, 60.2) == ()


def test_each_server_of_a_silent_zone_is_probed_in_turn() -> None:
    known = make_network()
    known.record_connect_failure("a1", 1.0)
    probed = [known.list_probe_targets(turn)[0][0] for turn in range(4)]
    assert probed == ["a1", "a2", "a1", "a2"]


def test_a_probe_that_succeeds_ends_the_silence() -> None:
    known = make_network()
    asked: list[str] = []

    async def probe(url: str) -> bool:
        asked.append(url)
        return url == "http://a2:1"

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(prober.Prober(known, probe).run)
            await anyio.sleep(0.05)
            assert asked == []  # Nobody is probed while all is well.
            known.record_connect_failure("a1", 1.0)
            with anyio.fail_after(2.0):
                while known.list_probe_targets(0):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert asked[-1] == "http://a2:1"
    assert known.list_unreachable(1.1) == ("a1",)  # Its own pause goes on.
    assert known.list_unreachable(2.0) == ()

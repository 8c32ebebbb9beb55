"""Tests of service during and after an outage of the log or of a zone."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest

from bench import deployment
from ramptray.bundle import signature
from test import test_orders, test_path

PLAN = deployment.Plan(
    zones={"waw-a": 2, "waw-b": 1},
    engines=[
        deployment.EngineSpec(f"{zone}-1", zone, "assistant", "fast")
        for zone in ("waw-a", "waw-b")
    ],
    plain=[],
    tiers=[("urgent", 20.0)],
    customers={"ola": ["urgent"]},
    controllers=False,
)
BODY = {"model": "assistant", "prompt": "x", "max_tokens": 3}


@pytest.fixture(scope="module")
def started() -> Iterator[deployment.Deployment]:
    """A separate deployment; each test resets the faults that it sets."""
    with deployment.run_deployment(PLAN) as deployed:
        yield deployed


def send_completion(
    started: deployment.Deployment, vm: str, **headers: str
) -> tuple[int, Any, Any]:
    url = started.processes[f"entry/{vm}"].url + "/v1/completions"
    return test_path.call(url, BODY, "key-ola", **headers)


def read_generation(started: deployment.Deployment, vm: str) -> int:
    return int(started.get(f"entry/{vm}", "/readyz")["generation"])


def test_restarted_vm_gets_the_bundle_from_its_peers(
    started: deployment.Deployment,
) -> None:
    started.put("platform", "/faults", {"log_down": True})
    for program in ("scheduler", "entry"):
        started.kill(f"{program}/waw-a-vm2")
        started.start(f"{program}/waw-a-vm2")
    started.wait_ready()
    assert send_completion(started, "waw-a-vm2")[0] == 200
    started.put("platform", "/faults", {})


def test_only_requests_with_keys_are_refused_without_the_log(
    started: deployment.Deployment,
) -> None:
    started.put("platform", "/faults", {"log_down": True})
    keyed = send_completion(started, "waw-a-vm1", **{"idempotency-key": "k"})
    assert keyed[0] == 503
    assert keyed[2]["error"]["reason"] == "log_unavailable"
    assert keyed[2]["error"]["outcome"] == "not_run"
    assert send_completion(started, "waw-a-vm1")[0] == 200
    started.put("platform", "/faults", {})
    again = send_completion(started, "waw-a-vm1", **{"idempotency-key": "k"})
    assert again[0] == 200


def test_isolated_zone_keeps_serving_and_gets_the_new_bundle_later(
    started: deployment.Deployment,
) -> None:
    started.cut_zone("waw-b")
    records = started.get("platform", "/log/bundles?from=0")["records"]
    base = signature.Envelope(
        records[-1]["body"]["text"], records[-1]["body"]["signatures"]
    )
    generation = int(json.loads(base.text)["generation"]) + 1
    started.publish(started.make_bundle(generation, base.digest))
    test_orders.wait_until(
        lambda: read_generation(started, "waw-a-vm1") == generation
    )
    assert send_completion(started, "waw-b-vm1")[0] == 200
    assert read_generation(started, "waw-b-vm1") == generation - 1
    started.join_zones()
    test_orders.wait_until(
        lambda: read_generation(started, "waw-b-vm1") == generation
    )

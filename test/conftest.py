"""A deployment of real processes that the slower tests share."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from bench import deployment

PLAN = deployment.Plan(
    zones={"waw-a": 2, "waw-b": 1},
    engines=[
        deployment.EngineSpec("fast-1", "waw-a", "assistant", "fast"),
        deployment.EngineSpec(
            "slow-1", "waw-b", "assistant", "slow", 1000.0, 0.04
        ),
    ],
    plain=[("portal-1", "waw-a", "portal")],
    tiers=[("urgent", 10.0), ("batch", 60.0)],
    customers={"salon-ola": ["urgent", "batch"], "hydraulik": ["batch"]},
    common={"log_events": True},
)


@pytest.fixture(scope="session")
def running() -> Iterator[deployment.Deployment]:
    """A running deployment; tests leave it as they found it."""
    with deployment.run_deployment(PLAN) as started:
        yield started


@pytest.fixture(scope="session", autouse=True)
def _no_proxy() -> None:
    """Keeps requests to loopback away from any proxy of the machine."""
    os.environ["NO_PROXY"] = "*"

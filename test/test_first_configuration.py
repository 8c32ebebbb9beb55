"""Requests that arrive before a VM knows the limits for them.

Guards against this failure: a VM without a configuration took limits of its own
for those of the configuration and refused valid requests for good (413, 431).
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from ramptray.bundle import model
from test import node
from test.test_header_limit import set_config
from test.test_node import ask

BODY = b"x" * (2 * model.RelayLimits().body_bytes)
BIG_HEADER = {"X-Big": "x" * (2 * model.RelayLimits().header_bytes)}


@pytest.fixture(scope="module")
def started() -> Iterator[node.Platform]:
    """A VM with high limits that starts again while the store is away."""
    with node.run_platform() as platform:
        set_config(
            platform, 2, maxBodyBytes=2 * len(BODY), maxHeaderBytes=65536
        )
        answer = ask(platform, "/safe/", "POST", BODY, headers=BIG_HEADER)
        assert answer.status == 200
        platform.kill_vm("vm-0")
        platform.set_faults("store", busy=True)
        platform.restart_vm("vm-0")
        platform._wait_for(platform.vms["vm-0"]["ready"], "/v1/ready")
        yield platform


def test_a_body_within_the_limit_is_not_refused_for_good(
    started: node.Platform,
) -> None:
    answer = ask(started, "/safe/", "POST", BODY)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


def test_a_head_within_the_limit_is_not_refused_for_good(
    started: node.Platform,
) -> None:
    assert ask(started, "/safe/", headers=BIG_HEADER).status == 503

"""End-to-end tests of configurations whose customers hold few or no keys."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator
from typing import Any

import pytest

from test import node

REQUEST_NUMBERS = itertools.count(1)
VERSIONS = itertools.count(2)

NO_KEY = ""
NEVER_HELD = "Bearer key-of-nobody"
HELD = f"Bearer {node.KEY}"
EMPTY = "Bearer "
ALL = [HELD, NEVER_HELD, EMPTY, NO_KEY]
PUBLIC_PATH = "/public/"


@pytest.fixture(scope="module")
def platform() -> Iterator[node.Platform]:
    """Two VMs and two replicas."""
    with node.run_platform(vms=2) as started:
        for vm in started.vms:
            started.wait_for_config(vm, 1)
        yield started


def make_tenants(*key_lists: list[str]) -> list[dict[str, Any]]:
    """Returns customers that hold these keys."""
    return [
        {"name": f"customer-{number}", "apiKeys": keys, "priority": 0}
        for number, keys in enumerate(key_lists)
    ]


def put_in_force(platform: node.Platform, **changes: Any) -> None:
    """Puts a configuration with a public route in force on all VMs.

    Args:
        platform: The deployment.
        **changes: Fields of the configuration; None leaves a field out.
    """
    version = next(VERSIONS)
    config = node.make_config(version)
    routes = [
        *config["routes"],
        {
            **config["routes"][0],
            "name": "public",
            "pathPrefix": PUBLIC_PATH,
            "public": True,
        },
    ]
    fields = {**config, "routes": routes, **changes}
    platform.set_config({k: v for k, v in fields.items() if v is not None})
    for vm in platform.vms:
        platform.wait_for_config(vm, version)


def ask(
    platform: node.Platform,
    vm: str,
    authorization: str,
    path: str = "/safe/",
    tokens: str = "1,1",
) -> int:
    headers = {
        "Host": node.HOST,
        "X-Request-Id": f"keys-{next(REQUEST_NUMBERS)}",
        "X-Deadline-Ms": "3000",
        "X-Token-Count": tokens,
    }
    if authorization:
        headers["Authorization"] = authorization
    front = platform.vms[vm]["front"]
    return node.call(front, "GET", path, headers=headers).status


def list_accepted(platform: node.Platform, path: str = "/safe/") -> list[str]:
    """Returns the ``Authorization`` headers that every VM accepts."""
    answers = {
        sent: {ask(platform, vm, sent, path) for vm in platform.vms}
        for sent in ALL
    }
    assert set().union(*answers.values()) <= {200, 401}
    assert all(len(statuses) == 1 for statuses in answers.values()), answers
    return [sent for sent, statuses in answers.items() if statuses == {200}]


def wait_for_line(platform: node.Platform, vm: str, message: str) -> None:
    ends_at = time.monotonic() + node.START_S
    while all(line["message"] != message for line in platform.read_log(vm)):
        assert time.monotonic() < ends_at, f"{vm} did not log {message!r}"
        time.sleep(0.05)


@pytest.mark.parametrize(
    ("tenants", "accepted"),
    [
        pytest.param(make_tenants([node.KEY], []), [HELD], id="one-has-a-key"),
        pytest.param(make_tenants([], []), [], id="none-has-a-key"),
        pytest.param([{"name": "customer-0"}], [], id="keys-left-out"),
        pytest.param([], [], id="empty-list"),
        pytest.param(make_tenants([""]), [], id="empty-key"),
        pytest.param(None, ALL, id="left-out"),
        pytest.param(make_tenants([node.KEY]), [HELD], id="after-left-out"),
    ],
)
def test_removing_all_keys_does_not_open_routes(
    platform: node.Platform,
    tenants: list[dict[str, Any]] | None,
    accepted: list[str],
) -> None:
    put_in_force(platform, tenants=tenants)
    assert list_accepted(platform) == accepted
    assert list_accepted(platform, PUBLIC_PATH) == ALL


def test_customers_that_are_null_do_not_open_routes(
    platform: node.Platform,
) -> None:
    # The configuration is invalid; the previous one stays in force.
    put_in_force(platform, tenants=make_tenants([node.KEY]))
    version = next(VERSIONS)
    platform.set_config({**node.make_config(version), "tenants": None})
    for vm in platform.vms:
        wait_for_line(platform, vm, "configuration passed over")
    assert list_accepted(platform) == [HELD]


def test_a_customer_whose_keys_return_keeps_its_used_limit(
    platform: node.Platform,
) -> None:
    # Two requests overdraw the limit by 850 tokens, which takes 8.5 s to earn.
    limited = {
        **make_tenants([node.KEY])[0],
        "unit": "tokens",
        "ratePerS": 100,
        "burst": 1000,
    }

    def send() -> int:
        return ask(platform, "vm-0", HELD, tokens="900,50")

    put_in_force(platform, tenants=[limited])
    assert [send(), send(), send()] == [200, 200, 429]
    put_in_force(platform, tenants=[{**limited, "apiKeys": []}])
    assert send() == 401
    put_in_force(platform, tenants=[limited])
    assert send() == 429

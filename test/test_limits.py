"""Limits on requests to an entry, and customers' rate limits."""

from __future__ import annotations

import http.client
import json
import pathlib
import socket
from collections.abc import Iterator

import pytest

from bench import deployment
from ramptray.core import limit
from test import test_path

PLAN = deployment.Plan(
    zones={"waw-a": 1},
    engines=[],
    plain=[("portal-1", "waw-a", "portal")],
    tiers=[("urgent", 10.0)],
    customers={"ola": ["urgent"], "small": ["urgent"]},
    customer_fields={"small": {"limits": {"requests_per_s": 1}}},
    controllers=False,
    common={"log_level": "DEBUG"},
)
LIMITS = {
    "body_bytes": 2048,
    "header_bytes": 2048,
    "requests": 4,
    "body_s": 0.5,
}


@pytest.fixture(scope="module")
def limited(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    """A deployment whose entry has low limits."""
    folder = tmp_path_factory.mktemp("limits")
    started = deployment.Deployment(PLAN, folder)
    path = started.processes["entry/waw-a-vm1"].settings
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, "limits": LIMITS}))
    try:
        started.start_all()
        started.publish(started.make_bundle())
        started.wait_ready()
        yield started
    finally:
        started.stop_all()


def open_socket(limited: deployment.Deployment) -> socket.socket:
    host, _, port = limited.entries[0].address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def read_status(opened: socket.socket) -> int:
    answer = http.client.HTTPResponse(opened)
    answer.begin()
    return answer.status


def test_a_body_that_is_too_large_is_refused(
    limited: deployment.Deployment,
) -> None:
    url = limited.entries[0].url + "/services/portal/x"
    got = test_path.call(url, "x" * 4000, "key-ola")
    assert (got[0], got[2]["error"]["code"]) == (413, "too_large")
    assert got[2]["error"]["outcome"] == "not_run"


def test_a_body_that_arrives_too_slowly_is_refused(
    limited: deployment.Deployment,
) -> None:
    with open_socket(limited) as opened:
        opened.sendall(
            b"POST /services/portal/x HTTP/1.1\r\nhost: x\r\n"
            b"authorization: Bearer key-ola\r\ncontent-length: 100\r\n\r\nab"
        )
        assert read_status(opened) == 408


def test_headers_that_are_too_large_are_refused(
    limited: deployment.Deployment,
) -> None:
    with open_socket(limited) as opened:
        opened.sendall(b"GET /readyz HTTP/1.1\r\nx: " + b"y" * 70_000)
        assert read_status(opened) in (400, 431)


def test_too_many_concurrent_requests_are_refused(
    limited: deployment.Deployment,
) -> None:
    slow = [open_socket(limited) for _ in range(6)]
    try:
        for opened in slow:
            opened.sendall(
                b"POST /services/portal/x HTTP/1.1\r\nhost: x\r\n"
                b"authorization: Bearer key-ola\r\n"
                b"content-length: 9\r\n\r\n"
            )
        statuses = sorted(read_status(opened) for opened in slow)
    finally:
        for opened in slow:
            opened.close()
    assert statuses == [408] * 4 + [503] * 2


def test_a_customer_over_its_limit_gets_a_retry_after(
    limited: deployment.Deployment,
) -> None:
    url = limited.entries[0].url + "/services/portal/x"
    got = [test_path.call(url, {}, "key-small") for _ in range(6)]
    refused = [answer for answer in got if answer[0] == 429]
    assert refused
    assert refused[0][2]["error"]["reason"] == "customer_limit"
    assert int(refused[0][1]["retry-after"]) >= 1
    assert test_path.call(url, {}, "key-ola")[0] == 200


def test_keys_of_customers_are_never_logged(
    limited: deployment.Deployment,
) -> None:
    url = limited.entries[0].url + "/services/portal/x"
    assert test_path.call(url, {}, "key-ola")[0] == 200
    assert test_path.call(url, {}, "key-wrong")[0] == 401
    logs = [
        pathlib.Path(file).read_text() for file in limited.folder.glob("*.log")
    ]
    assert any(logs)
    assert not [text for text in logs if "key-ola" in text]
    assert not [text for text in logs if "key-wrong" in text]


def test_a_bucket_admits_its_rate_and_no_more() -> None:
    limits = limit.Limits({"ola": limit.RateLimit(requests_per_s=10.0)})
    passed = sum(
        limits.try_acquire("ola", 1, step * 0.01) == 0.0 for step in range(1000)
    )
    assert 100 <= passed <= 100 + 10 * limit.BURST_S


ZONES = 3
TOTAL = 30.0


def run_demand(
    limits: list[limit.Limits],
    demand: list[float],
    seconds: float,
    partitioned: bool = False,
) -> list[float]:
    """Runs each zone's demand; returns the admitted requests a second."""
    admitted = [0] * len(limits)
    backlog = [0.0] * len(limits)
    for step in range(int(seconds * 100)):
        now = step / 100
        for zone, rate in enumerate(demand):
            backlog[zone] += rate / 100
            while backlog[zone] >= 1:
                backlog[zone] -= 1
                wait_s = limits[zone].try_acquire("ola", 1, now)
                admitted[zone] += wait_s == 0.0 and now >= seconds / 2
        if step % 50 == 0:
            uses = [one.list_uses(now) for one in limits]
            for zone, one in enumerate(limits):
                others = uses[:zone] + uses[zone + 1 :]
                one.borrow([] if partitioned else others)
    return [count / (seconds / 2) for count in admitted]


def make_limits() -> list[limit.Limits]:
    rate = limit.RateLimit(requests_per_s=TOTAL / ZONES)
    return [limit.Limits({"ola": rate}) for _ in range(ZONES)]


def test_a_zone_borrows_what_the_others_do_not_use() -> None:
    admitted = run_demand(make_limits(), [40.0, 1.0, 1.0], 20)
    assert 24 < admitted[0] <= TOTAL
    assert sum(admitted) <= TOTAL


def test_zones_that_need_more_share_evenly() -> None:
    admitted = run_demand(make_limits(), [40.0, 40.0, 1.0], 20)
    assert abs(admitted[0] - admitted[1]) < 1.0
    assert 24 < sum(admitted) <= TOTAL


def test_a_partitioned_zone_is_restricted_to_its_share() -> None:
    admitted = run_demand(
        make_limits(), [40.0, 40.0, 40.0], 20, partitioned=True
    )
    assert all(9.0 < rate <= 10.5 for rate in admitted)

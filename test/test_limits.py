"""Limits on what one caller may ask of an entry."""

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
    """A deployment whose entry has narrow limits."""
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


def test_a_body_that_comes_too_slowly_is_refused(
    limited: deployment.Deployment,
) -> None:
    with open_socket(limited) as opened:
        opened.sendall(
            b"POST /services/portal/x HTTP/1.1\r\nhost: x\r\n"
            b"authorization: Bearer key-ola\r\ncontent-length: 100\r\n\r\nab"
        )
        assert read_status(opened) == 408


def test_a_head_that_is_too_large_is_refused(
    limited: deployment.Deployment,
) -> None:
    with open_socket(limited) as opened:
        opened.sendall(b"GET /readyz HTTP/1.1\r\nx: " + b"y" * 70_000)
        assert read_status(opened) in (400, 431)


def test_too_many_requests_are_refused_in_words(
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


def test_a_customer_over_its_limit_is_told_when_to_come_back(
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


def test_a_bucket_lets_its_rate_through_and_no_more() -> None:
    limits = limit.Limits({"ola": limit.Rate(requests_per_s=10.0)})
    passed = sum(
        limits.check("ola", 1, step * 0.01) == 0.0 for step in range(1000)
    )
    assert 100 <= passed <= 100 + 10 * limit.BURST_S

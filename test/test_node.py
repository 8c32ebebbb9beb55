"""The whole path on the users' platform, over stand-ins of it."""

from __future__ import annotations

import http.client
import itertools
import json
import signal
import socket
import time
from collections.abc import Callable, Iterator
from concurrent import futures

import pytest

from ramptray.platform import address
from test import node

NUMBERS = itertools.count(1)


@pytest.fixture(scope="module")
def platform() -> Iterator[node.Platform]:
    """One VM, two replicas; tests take their faults back."""
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        yield started


@pytest.fixture(autouse=True)
def _no_faults(request: pytest.FixtureRequest) -> Iterator[None]:
    yield
    if "platform" in request.fixturenames:
        started = request.getfixturevalue("platform")
        for name in started.replicas:
            started.set_faults(name)
        started.set_faults("store")


def wait_until(check: Callable[[], bool], within_s: float = 8.0) -> None:
    ends_at = time.monotonic() + within_s
    while not check():
        assert time.monotonic() < ends_at, "did not come about in time"
        time.sleep(0.05)


def make_headers(**further: str) -> dict[str, str]:
    named = {name.replace("_", "-"): value for name, value in further.items()}
    return {
        "Host": "lm.example",
        "X-Request-Id": f"r{next(NUMBERS)}",
        "X-Deadline-Ms": "3000",
        "Authorization": f"Bearer {node.KEY}",
        **named,
    }


def ask(
    started: node.Platform,
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    vm: str = "vm-0",
    headers: dict[str, str] | None = None,
    **further: str,
) -> node.Answer:
    front = started.vms[vm]["front"]
    sent = make_headers(**further, **(headers or {}))
    return node.call(front, method, path, body, sent)


def test_an_answer_comes_back_unchanged(platform: node.Platform) -> None:
    answer = ask(platform, "/safe/a?b=c", "POST", b"12345")
    assert answer.status == 200
    assert json.loads(answer.body) == {"path": "/safe/a?b=c", "bytes": 5}
    assert answer.headers["x-response-signature"].endswith("./safe/a?b=c")


def test_the_replica_is_told_the_customer_and_never_the_key(
    platform: node.Platform,
) -> None:
    further = {"X_Tenant": "somebody", "X_Hold": "h", "Kv_From": "x"}
    ask(platform, "/safe/who", X_Request_Id="who-1", headers=further)
    heads = [
        head
        for name in platform.replicas
        for head in platform.read_ledger(name)["heads"]
        if head["x-request-id"] == "who-1"
    ]
    assert [head["x-tenant"] for head in heads] == ["ola"]
    assert not {"authorization", "x-hold", "kv-from"} & set(heads[0])
    assert 0 < int(heads[0]["x-deadline-ms"]) <= 3000


@pytest.mark.parametrize(
    ("path", "further", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/safe/", {"Authorization": "Bearer no"}, 401),
        ("/safe/", {"Host": "other.example"}, 404),
        ("/safe/", {"X_Big": "x" * 9000}, 431),
    ],
)
def test_requests_that_are_not_served(
    platform: node.Platform, path: str, further: dict[str, str], status: int
) -> None:
    assert ask(platform, path, headers=further).status == status


def test_a_body_beyond_the_limit_is_refused(platform: node.Platform) -> None:
    assert ask(platform, "/once/", "POST", b"x" * 70_000).status == 413


def test_two_lengths_of_a_body_are_refused(platform: node.Platform) -> None:
    host, port = platform.vms["vm-0"]["front"].split(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall(
            b"POST /once/ HTTP/1.1\r\nHost: lm.example\r\n"
            b"X-Request-Id: smuggled\r\nAuthorization: Bearer key-ola\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n"
        )
        assert caller.recv(1000).startswith(b"HTTP/1.1 400")
    assert "smuggled" not in platform.list_runs()


def test_a_refusal_that_says_not_run_is_true(platform: node.Platform) -> None:
    for name in platform.replicas:
        platform.set_faults(name, refuse=True)
    answer = ask(platform, "/once/", "POST", b"x", X_Request_Id="refused-1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert "refused-1" not in platform.list_runs()


def test_a_failure_of_what_runs_once_is_passed_on(
    platform: node.Platform,
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, fail=True)
    answer = ask(platform, "/once/", "POST", b"x", X_Request_Id="once-1")
    assert answer.status == 500
    assert "x-response-signature" in answer.headers
    assert platform.list_runs().count("once-1") == 1


def test_a_failure_of_a_safe_request_is_tried_elsewhere(
    platform: node.Platform,
) -> None:
    platform.set_faults("i-0", fail=True)
    statuses = {ask(platform, "/safe/").status for _ in range(6)}
    assert statuses == {200}


def test_a_safe_request_leaves_a_replica_that_hangs(
    platform: node.Platform,
) -> None:
    # kl-ramptray, inc-b461: a lookup stayed with a dark replica until its
    # caller's deadline.
    platform.set_faults("i-0", work_s=8.0)
    for _ in range(4):
        began = time.monotonic()
        assert ask(platform, "/safe/").status == 200
        assert time.monotonic() - began < 2.0


def test_a_stream_goes_on_at_another_replica(platform: node.Platform) -> None:
    platform.set_faults("i-0", cut_after=2)
    wanted = b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)
    )
    for _ in range(4):
        answer = ask(platform, "/stream/", "POST", b"x")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == wanted


def test_a_stream_that_hangs_goes_on_at_another_replica(
    platform: node.Platform,
) -> None:
    # hanbit-qlog, trouble-1: streams stayed with replicas behind a cut until
    # their callers gave up.
    wanted = b"".join(
        f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6)
    )
    for hanging in platform.replicas:
        for name in platform.replicas:
            after = 2 if name == hanging else None
            platform.set_faults(name, hang_after=after)
        began = time.monotonic()
        answer = ask(platform, "/stream/", "POST", b"x")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == wanted
        assert time.monotonic() - began < 2.0


def test_a_stream_that_cannot_go_on_is_not_ended_as_whole(
    platform: node.Platform,
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, cut_after=2)
    answer = ask(platform, "/stream-once/", "POST", b"x")
    assert not answer.whole
    assert answer.body.count(b"data:") == 2


def test_an_answer_to_another_request_is_skipped(
    platform: node.Platform,
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, surplus=True)
    for _ in range(4):
        answer = ask(platform, "/safe/mine")
        assert json.loads(answer.body)["path"] == "/safe/mine"


def test_an_answer_without_a_length_is_whole(platform: node.Platform) -> None:
    for name in platform.replicas:
        platform.set_faults(name, unframed=True)
    answer = ask(platform, "/safe/free")
    assert json.loads(answer.body)["path"] == "/safe/free"


def test_work_ends_soon_after_the_caller_has_gone(
    platform: node.Platform,
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, work_s=2.0)
    host, port = platform.vms["vm-0"]["front"].split(":")
    caller = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = make_headers(X_Request_Id="left-1")
    caller.request("GET", "/safe/slow", headers=headers)
    wait_until(lambda: "left-1" in platform.list_runs())
    caller.close()

    def is_gone() -> bool:
        return any(
            "left-1" in platform.read_ledger(name)["gone"]
            for name in platform.replicas
        )

    wait_until(is_gone, 0.5)


def test_a_customer_over_its_limit_gets_429(platform: node.Platform) -> None:
    answers = [
        ask(
            platform,
            "/safe/",
            Authorization="Bearer key-small",
            X_Token_Count="500,100",
        )
        for _ in range(4)
    ]
    assert [a.status for a in answers] == [200, 200, 429, 429]
    assert float(answers[-1].headers["retry-after"]) > 0


def fill_replicas(started: node.Platform, last: str) -> None:
    """Sends so much work at once that also the last replica gets some.

    Requests sent one after the other may all go to one that is a little faster;
    what was learned first, and so which one that is, depends on chance.
    """
    for name in started.replicas:
        started.set_faults(name, work_s=0.3)
    at_once = node.SLOTS * len(started.replicas)

    def is_used() -> bool:
        with futures.ThreadPoolExecutor(at_once) as pool:
            asked = [
                pool.submit(ask, started, "/safe/") for _ in range(at_once)
            ]
            assert all(one.result().status in (200, 503) for one in asked)
        return bool(started.read_ledger(last)["runs"])

    wait_until(is_used)
    for name in started.replicas:
        started.set_faults(name)


def test_a_replica_that_leaves_gets_no_new_work(
    platform: node.Platform,
) -> None:
    platform.start_replica("i-leaving")
    fill_replicas(platform, "i-leaving")
    platform.write_record("i-leaving", "draining")
    time.sleep(0.5)
    before = len(platform.read_ledger("i-leaving")["runs"])
    for _ in range(6):
        assert ask(platform, "/safe/").status == 200
    assert len(platform.read_ledger("i-leaving")["runs"]) == before


def test_a_configuration_without_sense_changes_nothing(
    platform: node.Platform,
) -> None:
    platform.set_config({"version": 90, "routes": [{"name": "x"}]})

    def is_told() -> bool:
        return any(
            line["message"] == "configuration passed over"
            and "routes.0.hostname" in line["detail"]
            for line in platform.read_log("vm-0")
        )

    wait_until(is_told)
    assert ask(platform, "/safe/").status == 200


def test_metrics_are_served(platform: node.Platform) -> None:
    port = platform.vms["vm-0"]["metrics"]
    page = node.call(f"127.0.0.1:{port}", "GET", "/metrics")
    assert b"ramptray_requests_ended_total" in page.body
    # What tells a read that was lost from a topic in which nothing changes.
    for name in (b"read_underway", b"answer_age"):
        line = b"ramptray_log_" + name + b'_seconds{stream="keyed.op"} '
        assert line in page.body


def test_a_vm_without_a_configuration_says_so() -> None:
    with node.run_platform(vms=0, replicas=0) as alone:
        alone.start_vm("vm-0", store="127.0.0.1:9")
        ready = node.call(alone.vms["vm-0"]["ready"], "GET", "/v1/ready")
        assert ready.status == 503
        answer = ask(alone, "/safe/")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


def test_a_vm_that_the_store_turns_away_hears_from_its_peers() -> None:
    with node.run_platform(vms=1) as two:
        two.start_vm("vm-1", store="127.0.0.1:9")
        wait_until(lambda: ask(two, "/safe/", vm="vm-1").status == 200)
        changed = node.make_config(7)
        changed["routes"][0]["pathPrefix"] = "/new/"
        two.set_config(changed)
        wait_until(lambda: ask(two, "/new/", vm="vm-1").status == 200, 4.0)
        assert ask(two, "/safe/", vm="vm-1").status == 404


def test_a_planned_stop_cuts_nothing_and_takes_nothing_late() -> None:
    with node.run_platform(replicas=1) as alone:
        wait_until(lambda: ask(alone, "/safe/").status == 200)
        host, port = alone.vms["vm-0"]["front"].split(":")
        kept = http.client.HTTPConnection(host, int(port), timeout=5)
        kept.request("GET", "/safe/", headers=make_headers())
        kept.getresponse().read()
        alone.set_faults("i-0", work_s=0.3)
        running = http.client.HTTPConnection(host, int(port), timeout=10)
        running.request("POST", "/stream/", b"x", make_headers())
        alone.processes["vm-0"].send_signal(signal.SIGTERM)
        time.sleep(0.2)
        ready = node.call(alone.vms["vm-0"]["ready"], "GET", "/v1/ready")
        assert ready.status == 503
        assert running.getresponse().read().count(b"data:") == 5
        answer = ask(alone, "/safe/")
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        time.sleep(2.0)
        with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
            late = make_headers(X_Request_Id="late-1")
            kept.request("GET", "/safe/", headers=late)
            kept.getresponse()
        assert alone.processes["vm-0"].wait(8) == 0
        assert "late-1" not in alone.list_runs()


def test_the_callers_address_is_found_before_all_else(
    tmp_path: pytest.TempPathFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.toml"  # type: ignore[operator]
    path.write_text('[listen]\nfront = "127.0.0.1:80"\n')
    monkeypatch.setenv(address.PATH_VARIABLE, str(path))
    assert address.read_callers_address() == "127.0.0.1:80"
    path.write_text("not toml [")
    assert address.read_callers_address() is None

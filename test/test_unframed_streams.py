"""Streams without a length or chunks, which end with their connection."""

from __future__ import annotations

import contextlib
import functools
import json
import signal
import socket
import time
from collections.abc import Iterator
from concurrent import futures

import pytest

from test import node
from test.test_node import ask, make_headers, wait_until

WHOLE = [b"%d" % number for number in range(1, 6)]
RESUMABLE = "/stream/"
NOT_RESUMABLE = "/stream-once/"
REPLICAS = ("i-0", "i-1")


@pytest.fixture
def platform() -> Iterator[node.Platform]:
    """One VM and two replicas, of which neither has failed before."""
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        yield started


def list_ids(answer: node.Answer) -> list[bytes]:
    """Returns the ids of the complete events of an answer."""
    events = answer.body.split(b"\n\n")[:-1]
    return [event.partition(b"\n")[0].removeprefix(b"id: ") for event in events]


def ask_together(platform: node.Platform, path: str) -> list[node.Answer]:
    """Sends more requests at once than one replica has slots."""
    with futures.ThreadPoolExecutor(2 * node.SLOTS) as pool:
        sent = [
            pool.submit(ask, platform, path, "POST", b"x")
            for _ in range(2 * node.SLOTS)
        ]
    assert list(platform.iterate_runs("i-0"))
    return [each.result() for each in sent]


@pytest.mark.parametrize("path", [RESUMABLE, NOT_RESUMABLE])
def test_a_stream_without_a_length_is_passed_on(
    platform: node.Platform, path: str
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, unframed=True)
    answer = ask(platform, path, "POST", b"x")
    assert (answer.status, answer.whole) == (200, True)
    assert list_ids(answer) == WHOLE


@pytest.mark.parametrize("cut_bytes", [3, 9])
def test_a_stream_cut_within_an_event_does_not_appear_complete(
    platform: node.Platform, cut_bytes: int
) -> None:
    # Without a length, the end of the connection also ends a complete answer.
    platform.set_faults("i-0", unframed=True, cut_after=2, cut_bytes=cut_bytes)
    answers = ask_together(platform, NOT_RESUMABLE)
    assert any(not answer.whole for answer in answers)
    for answer in answers:
        assert list_ids(answer) == (WHOLE if answer.whole else WHOLE[:2])


def test_a_stream_cut_within_an_event_goes_on_elsewhere(
    platform: node.Platform,
) -> None:
    platform.set_faults("i-0", unframed=True, cut_after=2)
    for answer in ask_together(platform, RESUMABLE):
        assert answer.whole
        assert list_ids(answer) == WHOLE
        assert answer.body.endswith(b"\n\n")


@pytest.mark.parametrize("path", [RESUMABLE, NOT_RESUMABLE])
def test_a_stream_cut_before_its_first_event_does_not_appear_complete(
    platform: node.Platform, path: str
) -> None:
    platform.set_faults("i-0", unframed=True, cut_after=0, cut_bytes=0)
    for answer in ask_together(platform, path):
        if answer.status == 200 and answer.whole:
            assert list_ids(answer) == WHOLE
        elif answer.status != 200:
            assert json.loads(answer.body)


def test_a_continuation_without_an_event_does_not_complete_a_stream(
    platform: node.Platform,
) -> None:
    # The events of the first attempt say nothing about the end of the second.
    platform.set_faults("i-0", cut_after=2)
    platform.set_faults("i-1", unframed=True, cut_after=2, cut_bytes=0)
    answers = ask_together(platform, RESUMABLE)
    begun_at_first = set(platform.iterate_runs("i-0"))
    broken = [
        answer
        for answer in answers
        if answer.headers["x-request-id"] in begun_at_first
    ]
    assert broken
    assert not any(answer.whole for answer in broken)


def test_a_taken_up_stream_that_gets_no_event_does_not_appear_complete(
    platform: node.Platform,
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, cut_after=2)
    begun = ask(platform, RESUMABLE, "POST", b"x", X_Request_Id="begun")
    assert list_ids(begun) == WHOLE[:2]
    for name in platform.replicas:
        platform.set_faults(name, unframed=True, cut_after=2, cut_bytes=0)
    taken_up = {"Resumes": "begun", "Last-Event-Id": "2"}
    answer = ask(platform, RESUMABLE, "POST", b"x", headers=taken_up)
    assert answer.status == 502


@pytest.mark.parametrize("path", [RESUMABLE, NOT_RESUMABLE])
def test_a_stream_whose_replica_ended_between_events_does_not_appear_complete(
    platform: node.Platform, path: str
) -> None:
    for name in platform.replicas:
        platform.set_faults(name, unframed=True, work_s=0.3)
    with futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(ask, platform, path, "POST", b"x")
        wait_until(lambda: any(map(list, map(platform.iterate_runs, REPLICAS))))
        time.sleep(0.7)
        (name,) = [n for n in REPLICAS if list(platform.iterate_runs(n))]
        platform.processes[name].kill()
        answer = sent.result()
    ids = list_ids(answer)
    assert ids == (WHOLE if answer.whole else WHOLE[: len(ids)])
    assert answer.whole == (path == RESUMABLE)


def read_first_version(platform: node.Platform) -> bytes:
    """Returns the answer to a caller that speaks HTTP/1.0, up to its end."""
    lines = [
        f"POST {NOT_RESUMABLE} HTTP/1.0",
        *(f"{name}: {value}" for name, value in make_headers().items()),
        "Content-Length: 1",
        "",
        "x",
    ]
    host, port = platform.vms["vm-0"]["front"].split(":")
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall("\r\n".join(lines).encode())
        return b"".join(iter(functools.partial(caller.recv, 65536), b""))


def test_a_caller_without_chunks_sees_a_broken_stream_reset(
    platform: node.Platform,
) -> None:
    # The end of the connection is all that ends an answer in HTTP/1.0.
    assert read_first_version(platform).count(b"data: ") == len(WHOLE)
    for name in platform.replicas:
        platform.set_faults(name, cut_after=2)
    with pytest.raises(ConnectionResetError):
        read_first_version(platform)


@pytest.mark.parametrize("path", [RESUMABLE, NOT_RESUMABLE])
def test_a_stream_whose_ended_replica_is_silent_does_not_appear_complete(
    platform: node.Platform, path: str
) -> None:
    # Under load the probe of a killed server timed out, and the stream that
    # it had broken off was passed on as complete.
    for name in platform.replicas:
        platform.set_faults(name, unframed=True, work_s=0.3)
    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(futures.ThreadPoolExecutor(1))
        sent = pool.submit(ask, platform, path, "POST", b"x")
        wait_until(lambda: any(map(list, map(platform.iterate_runs, REPLICAS))))
        time.sleep(0.7)
        (name,) = [n for n in REPLICAS if list(platform.iterate_runs(n))]
        platform.processes["vm-0"].send_signal(signal.SIGSTOP)
        platform.processes[name].kill()
        platform.processes[name].wait()
        stack.enter_context(listen_silently(platform.replicas[name]))
        platform.processes["vm-0"].send_signal(signal.SIGCONT)
        answer = sent.result()
    ids = list_ids(answer)
    assert ids == (WHOLE if answer.whole else WHOLE[: len(ids)])
    assert answer.whole == (path == RESUMABLE)


@contextlib.contextmanager
def listen_silently(address: str) -> Iterator[None]:
    """Drops the packets of new connections to an address."""
    host, port = address.split(":")
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(0)
        for _ in range(2):  # Fills the queue of connections.
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((host, int(port)))
        yield

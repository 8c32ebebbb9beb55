"""A response that breaks off is never answered as a whole one.

Also where several attempts of one request, or a hedge beside it, meet servers
that break off at different places.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools

import pytest

from test import half_server, node
from test.test_node import ask, wait_until

FRAMINGS = ["length", "chunks", "close"]
ASKED = 4
"""Requests of each case."""


def list_sizes(framing: str) -> list[int]:
    """Returns after how many bytes the response is broken off."""
    response = half_server.make_response(framing)
    head = response.index(b"\r\n\r\n")
    ends = [at for at in range(len(response)) if response[at : at + 1] == b"\n"]
    around = itertools.chain.from_iterable(
        (at - 1, at, at + 1) for at in (*ends, head)
    )
    # A body without framing that is closed after any byte is whole.
    last = len(response) if framing != "close" else head + 3
    return sorted({0, 5, 9, *around, *range(0, last, 11)} & set(range(last)))


def check_answers(answers: list[node.Answer]) -> None:
    for answer in answers:
        if answer.status == 200 and answer.whole:
            assert b'"path"' in answer.body and answer.body.endswith(b"}")
        else:
            assert answer.status in (200, 502, 503, 504)


def ask_all(started: node.Platform) -> list[node.Answer]:
    with concurrent.futures.ThreadPoolExecutor(ASKED) as pool:
        asked = [
            pool.submit(ask, started, path)
            for path in ("/safe/", "/once/")
            for _ in range(ASKED)
        ]
        return [each.result() for each in asked]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("resets", [False, True], ids=["end", "reset"])
def test_a_response_that_breaks_off_is_not_whole(
    framing: str, resets: bool
) -> None:
    # Two servers break off at different places, so that a second attempt meets
    # another half response than the first.
    response = half_server.make_response(framing)
    sizes = list_sizes(framing)
    reached = 0
    with node.run_platform(vms=1, replicas=0) as started:
        for number, size in enumerate(sizes):
            other = sizes[(number * 7) % len(sizes)]
            with contextlib.ExitStack() as servers:
                made = [
                    servers.enter_context(
                        half_server.HalfServer(response, each, resets)
                    )
                    for each in (size, other)
                ]
                names = [f"half-{number}-{at}" for at in range(len(made))]
                for name, server in zip(names, made, strict=True):
                    started.replicas[name] = server.address
                    started.write_record(name)
                wait_until(
                    lambda names=names: knows(started, names[-1])  # type: ignore[misc]
                )
                answers = ask_all(started)
                check_answers(answers)
                assert not any(
                    answer.status == 200 and answer.whole for answer in answers
                )
                reached += sum(server.requests for server in made)
                for name in names:
                    started.remove_record(name)
                    del started.replicas[name]
    assert reached >= len(sizes)


def knows(started: node.Platform, server: str) -> bool:
    return any(
        line["message"] == "backend server known" and line["backend"] == server
        for line in started.read_log("vm-0")
    )


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_hedge_beside_half_a_head_is_not_whole(
    framing: str,
) -> None:
    # One server sends half a head and nothing more, the other one breaks off.
    response = half_server.make_response(framing)
    with (
        node.run_platform(vms=1, replicas=0) as started,
        half_server.HalfServer(response, 30, False, 9.0) as silent,
        half_server.HalfServer(response, 60, True) as cut,
    ):
        for name, server in (("silent", silent), ("cut", cut)):
            started.replicas[name] = server.address
            started.write_record(name)
            wait_until(lambda name=name: knows(started, name))  # type: ignore[misc]
        answers = [answer for _ in range(ASKED) for answer in ask_all(started)]
        check_answers(answers)
        assert not any(a.status == 200 and a.whole for a in answers)
        assert silent.requests and cut.requests
        assert any(
            line.get("event", {}).get("kind") == "hedge"
            for line in started.read_log("vm-0")
        )
        for name in ("silent", "cut"):
            del started.replicas[name]

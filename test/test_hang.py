"""A stream that hangs while the retry budget is exhausted.

When open connections fell silent, a stream was retried after 0.8 s if the retry
budget allowed another attempt at that moment.  If the budget was exhausted just
then, it was not checked again, and the stream waited until its caller's
deadline although the budget had refilled two seconds later.  One logged stream
matches ("first_token" at 12.9 s, then nothing until "end" with "caller_gone" at
27.7 s); its budget was not logged.
"""

from __future__ import annotations

import time
from concurrent import futures

import pytest

from bench import proxy
from test import node, silent_load
from test.test_node import ask, wait_until

WINDOW_S = 2.0
"""Window of the retry budget, in seconds."""

MAX_STREAM_S = 3.6
"""Longest duration of the hung stream, in seconds: less than the four seconds
that its route allows."""

PATIENCE_S = 2.0
"""Silence after which callers leave, in seconds."""

MAX_RELEASE_S = 0.5
"""Longest time until a server is free of callers that have left, in
seconds."""

MAX_LOST_STREAM_S = 3.0
"""Longest duration of a stream whose server was lost, in seconds, from then:
its connection's keepalive fails after two."""

ROUTE_LIMIT_S = 4.0
"""Time limit of the routes, in seconds."""


def test_a_stream_that_hangs_goes_on_when_there_is_budget_again() -> None:
    # One retry per window.
    bounds = {
        "retryBudgetRatio": 0.0,
        "retryBudgetSlack": 20,
        "budgetWindowS": WINDOW_S,
    }
    with node.run_platform(replicas=1, bounds=bounds) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", hang_after=2)
        started.start_replica("i-1", work_s=0.5)
        time.sleep(0.5)
        exhaust_budget(started)
        began = time.monotonic()
        answer = ask(started, "/stream/", "POST", b"x")
        assert answer.whole
        assert answer.body.count(b"id: ") == 5
        assert time.monotonic() - began < MAX_STREAM_S


def exhaust_budget(started: node.Platform) -> None:
    """Uses the only retry of the window for another request."""
    started.set_faults("i-1", fail=True)
    started.set_faults("i-0", fail=True)
    ask(started, "/safe/")
    started.set_faults("i-1", work_s=0.01)
    started.set_faults("i-0", hang_after=2)


def test_a_silent_server_gets_its_places_back_when_callers_leave() -> None:
    # Streams of callers that had gone held their places.
    with node.run_platform(replicas=1) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", hang_after=2)
        with futures.ThreadPoolExecutor(node.SLOTS) as pool:
            streams = [
                pool.submit(
                    silent_load.read_answer,
                    started,
                    "/stream-once/",
                    "vm-0",
                    PATIENCE_S,
                )
                for _ in range(node.SLOTS)
            ]
            readings = [stream.result() for stream in streams]
        left_at = time.monotonic()
        assert all(reading.has_left for reading in readings)
        assert {tuple(reading.ids) for reading in readings} == {(1, 2)}
        started.set_faults("i-0")
        assert ask(started, "/safe/").status == 200
        assert time.monotonic() - left_at < MAX_RELEASE_S
        gone = {reading.request_id for reading in readings}
        assert gone <= set(started.read_ledger("i-0")["gone"])


@pytest.mark.parametrize("path", ["/stream/", "/stream-once/"])
def test_a_stream_of_a_lost_server_ends_early(path: str) -> None:
    # Without it, streams ran until their callers' deadlines and held their
    # slots: 260 in one day.
    with node.run_platform(replicas=1) as started:
        link = proxy.Proxy(started.replicas["i-0"])
        started.announced["i-0"] = link.address
        started.write_record("i-0")
        wait_until(
            lambda: (
                ask(started, "/safe/").status == 200 and link.passed_bytes > 0
            )
        )
        started.set_faults("i-0", work_s=0.2)
        with futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(silent_load.read_answer, started, path, "vm-0")
            time.sleep(0.5)
            link.partition(proxy.Partition.HANG)
            reading = stream.result()
        link.close()
        assert reading.is_lost
        assert reading.took_s < 0.5 + MAX_LOST_STREAM_S


def test_a_stream_that_continues_after_a_pause_is_not_cut() -> None:
    # A pause of five times the route's longest one, as under a long prompt on
    # a slow server.
    with node.run_platform(replicas=0) as started:
        started.start_replica("i-0", work_s=1.0, events=3)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        answer = ask(
            started,
            "/stream-once/",
            "POST",
            b"x",
            headers={"X-Deadline-Ms": "4000"},
        )
        assert answer.whole
        assert answer.body.count(b"id: ") == 3


def test_a_resumed_stream_that_stays_silent_lasts_until_its_deadline() -> None:
    # The last attempt sends no event at all, as its server pauses.  The time
    # limit ends it, not the silence, and both servers are left.
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        for name in started.replicas:
            started.set_faults(name, hang_after=2)
        reading = silent_load.read_answer(started, "/stream/", "vm-0")
        assert reading.is_lost
        assert reading.ids == [1, 2]
        assert ROUTE_LIMIT_S - 0.1 < reading.took_s < ROUTE_LIMIT_S + 0.5
        for name in started.replicas:
            wait_until(
                lambda name=name: (  # type: ignore[misc]
                    reading.request_id in started.read_ledger(name)["gone"]
                ),
                MAX_RELEASE_S,
            )

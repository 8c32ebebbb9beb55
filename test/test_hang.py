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

from ramptray.core import silence
from test import node
from test.test_node import ask, wait_until

WINDOW_S = 2.0
"""Window of the retry budget, in seconds."""

MAX_STREAM_S = 3.6
"""Longest duration of the hung stream, in seconds: less than the four seconds
that its route allows."""

MAX_SILENT_STREAM_S = 2.4
"""Longest duration of a stream that goes silent, in seconds: well before its
caller's deadline of three seconds."""

MAX_RESUMED_STREAM_S = 3.4
"""Longest duration of a stream that is resumed and stays silent, in seconds:
before its caller's deadline of four seconds."""


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


def test_a_silent_stream_that_may_not_be_resumed_ends_early() -> None:
    # Such streams ran until their callers' deadlines and held their slots: 260
    # in one day.
    with node.run_platform(replicas=1) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", hang_after=2)
        with futures.ThreadPoolExecutor(node.SLOTS) as pool:
            began = time.monotonic()
            streams = [
                pool.submit(ask, started, "/stream-once/", "POST", b"x")
                for _ in range(node.SLOTS)
            ]
            answers = [stream.result() for stream in streams]
        assert time.monotonic() - began < MAX_SILENT_STREAM_S
        assert [answer.status for answer in answers] == [200] * node.SLOTS
        assert not any(answer.whole for answer in answers)
        assert {answer.body.count(b"id: ") for answer in answers} == {2}
        started.set_faults("i-0")
        began = time.monotonic()
        assert ask(started, "/safe/").status == 200
        # Its server is ejected for half a second after broken responses.
        assert time.monotonic() - began < 1.2


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


def test_a_stream_is_not_cut_while_its_caller_may_wait() -> None:
    # A limit below the callers' patience would end a stream that goes on.
    assert silence.compute_limit(3.2, 0.1) == 3.2
    assert silence.compute_limit(2.0, 0.95) == pytest.approx(
        0.95 * silence.PAUSE_FACTOR
    )
    assert silence.compute_limit(None, 1.0) is None


def test_a_resumed_stream_that_stays_silent_ends_early() -> None:
    # The last attempt sends no event at all.
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        for name in started.replicas:
            started.set_faults(name, hang_after=2)
        began = time.monotonic()
        answer = ask(
            started,
            "/stream/",
            "POST",
            b"x",
            headers={"X-Deadline-Ms": "4000"},
        )
        assert not answer.whole
        assert answer.body.count(b"id: ") == 2
        assert time.monotonic() - began < MAX_RESUMED_STREAM_S

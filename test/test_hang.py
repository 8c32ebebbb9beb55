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

from test import node
from test.test_node import ask, wait_until

WINDOW_S = 2.0
"""Window of the retry budget, in seconds."""

MAX_STREAM_S = 3.6
"""Longest duration of the hung stream, in seconds: less than the four seconds
that its route allows."""


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

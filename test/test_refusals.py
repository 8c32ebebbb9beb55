"""Backend servers that turn requests away while others have room.

Five of nine engines turned away nearly half of what was sent to them.  Nobody
learned from it: they went on getting their part of the work, since their places
were always free.  A tenth of the requests was refused at two engines and went
back to its caller with advice to return in 1 s, which is later than an answer
in time may begin ("attempt_failed" with "not_run": true, at up to 45 in 100 of
the attempts for eleven seconds; answers late by 1.1 to 1.2 s).
"""

from __future__ import annotations

import time

from test import node
from test.test_node import ask, wait_until

ASKED = 40
MANY_REFUSED = 8
"""Of these, how many may be tried with a server that refuses all."""

AT_ONCE_S = 0.2
"""Longest advice on when to come back while others have room, in seconds."""


def test_a_replica_that_refuses_is_left_alone_for_a_while() -> None:
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", refuse=True)
        started.set_faults("i-1", work_s=0.03)
        for _ in range(ASKED):
            assert ask(started, "/safe/").status == 200
        refused = started.read_ledger("i-0")["refused"]
        assert len(refused) <= MANY_REFUSED
        started.set_faults("i-0")
        started.set_faults("i-1", refuse=True)
        began = time.monotonic()
        wait_until(lambda: ask(started, "/once/", "POST", b"").status == 200)
        assert time.monotonic() - began < 1.0


def test_a_refusal_while_another_has_room_says_come_back_at_once() -> None:
    with node.run_platform() as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", refuse=True)
        started.set_faults("i-1", work_s=0.03)
        # What may go to one replica only comes back to its caller.
        answers = [ask(started, "/once/", "POST", b"x") for _ in range(ASKED)]
        refused = [found for found in answers if found.status == 503]
        assert refused
        for found in refused:
            assert float(found.headers["retry-after"]) <= AT_ONCE_S

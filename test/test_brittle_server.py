"""Servers that fall over if they must refuse many requests in a second.

They have less room than their records say.  Owners filled the slots of the
record again after each refusal.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from ramptray.core import slot_growth
from test import callers, node
from test.test_server_limit import count_peak

VMS = 3
CALLERS = 12
BRITTLE = "i-0"
ROOM, MAX_REFUSALS = 2, 4
WORK_S = 0.1

KNOWN_AFTER_S = 1.5
"""Time within which the owner must know that a server is brittle, in seconds.
Here it is brittle before it lacks room."""

LOAD_S = 8.0


@pytest.fixture(scope="module")
def started() -> Iterator[node.Platform]:
    with callers.run_serving(VMS) as platform:
        yield platform


def test_a_brittle_server_refuses_no_more_than_it_survives(
    started: node.Platform,
) -> None:
    faults = {"brittle": [str(MAX_REFUSALS)], "work_s": WORK_S}
    with callers.Callers(started, "/safe/", CALLERS // VMS) as load:
        started.set_faults(BRITTLE, **faults)
        started.set_faults("i-1", work_s=WORK_S)
        time.sleep(KNOWN_AFTER_S)
        started.set_faults(BRITTLE, room=ROOM, **faults)
        time.sleep(LOAD_S)
    refused = [
        line["at"]
        for line in started.read_log(BRITTLE)
        if line["message"] == "refused"
    ]
    assert count_peak(refused, 1.0) <= MAX_REFUSALS
    assert load.statuses == {200}
    # It goes on serving as much as it has room for.
    ran = started.read_ledger(BRITTLE)["runs"]
    assert len(ran) >= LOAD_S / WORK_S / 2


def test_load_grows_by_less_than_the_refusals_that_are_survived() -> None:
    growth = slot_growth.SlotGrowth()
    assert growth.get_limit(0.0) == float("inf")
    growth.set_max_refusals(4.0, running=3)
    assert growth.get_limit(0.0) == 5
    growth.record_admitted(5)
    assert growth.get_limit(0.0) == 7


def test_load_halves_with_a_refusal_and_does_not_grow_for_a_second() -> None:
    growth = slot_growth.SlotGrowth()
    growth.set_max_refusals(4.0, running=6)
    growth.record_refused(7, 1.0)
    assert growth.get_limit(1.5) == 3
    assert growth.get_limit(1.0 + slot_growth.HOLD_S) == 5


def test_load_is_unbounded_again_once_refusals_do_not_matter() -> None:
    growth = slot_growth.SlotGrowth()
    growth.set_max_refusals(1.0, running=0)
    assert growth.get_limit(0.0) == 2
    growth.set_max_refusals(None, running=2)
    assert growth.get_limit(0.0) == float("inf")

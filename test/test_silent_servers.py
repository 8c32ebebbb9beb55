"""Answers whose servers send nothing for a while, and then go on.

VMs closed the connection to a silent server before another one had the
request, or when a record named another run of it.  Whatever refused the next
attempt then ended the caller's answer, though its server was at work.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import node, silent_load

RESUMABLE, ONCE = "/stream/", "/stream-once/"
OBJECTIVE_S = 0.5
PLACES = silent_load.SERVERS * node.SLOTS
"""Requests that all servers run at once."""

FORMER_RUN, NEW_RUN = 1_700_000_000_000, 1_700_000_009_000


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with silent_load.run_streaming() as platform:
        yield platform


def check_answers(
    started: node.Platform, callers: silent_load.StreamCallers
) -> None:
    """Checks that no answer was lost, and that each caller got whole ones.

    Hedges take places of new requests, which may then be refused, but not once
    a server is at work on them.  Before the first hedge there are places for
    the first requests of as many callers; requests that run only once have no
    hedges, and none is refused.  Afterwards each VM serves again.
    """
    readings = callers.readings
    given_up = [each for each in readings if each.is_lost or each.has_left]
    assert given_up == [], silent_load.explain(started, given_up)
    assert all(reading.is_in_order for reading in readings)
    ran = silent_load.list_run_ids(started)
    refused = [each for each in readings if not each.is_whole]
    refused_at_work = [each for each in refused if each.request_id in ran]
    assert refused_at_work == [], silent_load.explain(started, refused_at_work)
    firsts = [readings[0] for readings in callers.by_caller]
    count = sum(reading.is_whole for reading in firsts)
    assert count >= min(len(firsts), PLACES), firsts
    if callers.path == ONCE:
        assert refused == []
    with silent_load.read_together(
        started, [callers.path], started.vms, 1, until=1
    ) as asked:
        later = [each.result() for each in asked]
    assert all(reading.status == 200 for reading in later), later


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
@pytest.mark.parametrize("count", [2, silent_load.SERVERS])
def test_streams_of_servers_that_pause_for_long_go_on(
    started: node.Platform, path: str, count: int
) -> None:
    # Beyond the silence after which another server is tried, and all attempts.
    paused = sorted(started.replicas)[:count]
    with silent_load.StreamCallers(started, path) as callers:
        time.sleep(1.5)
        with silent_load.pause_servers(started, paused, 3.0):
            time.sleep(2.4)
        time.sleep(1.0)
    check_answers(started, callers)


def test_streams_of_servers_that_pause_beside_new_configurations_go_on(
    started: node.Platform,
) -> None:
    # The owner's queue, which others fill, refused the attempts that followed.
    with (
        silent_load.StreamCallers(started, RESUMABLE, 5) as callers,
        silent_load.change_configuration(started, 0.4),
    ):
        for _ in range(2):
            time.sleep(1.5)
            with silent_load.pause_servers(started, started.replicas, 1.7):
                time.sleep(1.1)
        time.sleep(2.0)
    check_answers(started, callers)


def test_responses_that_begin_late_arrive(started: node.Platform) -> None:
    # Heads that come after twice the objective, from all servers.
    with (
        silent_load.pause_servers(started, started.replicas, 6 * OBJECTIVE_S),
        silent_load.StreamCallers(started, "/safe/", 2) as callers,
    ):
        time.sleep(7 * OBJECTIVE_S)
    check_answers(started, callers)


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
def test_streams_of_a_former_run_that_is_still_at_work_go_on(
    started: node.Platform, path: str
) -> None:
    # Connections in use were closed because of the record alone.
    names = ["i-0", "i-1"]
    for name in names:
        started.write_record(name, born=FORMER_RUN)
    with silent_load.StreamCallers(started, path) as callers:
        time.sleep(1.5)
        for name in names:
            started.move_replica(
                name, events=silent_load.EVENTS, work_s=silent_load.EVENT_S
            )
            started.write_record(name, born=NEW_RUN)
            time.sleep(1.0)
        time.sleep(1.0)
    check_answers(started, callers)

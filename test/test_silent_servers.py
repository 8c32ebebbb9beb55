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
FORMER_RUN, NEW_RUN = 1_700_000_000_000, 1_700_000_009_000


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with silent_load.run_streaming() as platform:
        yield platform


def check_answers(callers: silent_load.StreamCallers) -> None:
    """Checks that no answer was lost, and that some were served."""
    assert callers.list_lost() == []
    assert all(reading.is_in_order for reading in callers.readings)
    assert any(reading.is_whole for reading in callers.readings)


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
@pytest.mark.parametrize("count", [2, silent_load.SERVERS])
def test_streams_of_servers_that_pause_for_long_go_on(
    started: node.Platform, path: str, count: int
) -> None:
    # Beyond the silence after which another server is tried, and all attempts.
    paused = list(started.replicas)[:count]
    with silent_load.StreamCallers(started, path) as callers:
        time.sleep(1.5)
        with silent_load.pause_servers(started, paused, 3.0):
            time.sleep(2.4)
        time.sleep(1.0)
    check_answers(callers)


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
    check_answers(callers)


def test_responses_that_begin_late_arrive(started: node.Platform) -> None:
    # Heads that come after twice the objective, from all servers.
    with (
        silent_load.pause_servers(started, started.replicas, 6 * OBJECTIVE_S),
        silent_load.StreamCallers(started, "/safe/", 2) as callers,
    ):
        time.sleep(7 * OBJECTIVE_S)
    check_answers(callers)


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
    check_answers(callers)

"""Answers on their way, beside what could end them before it is certain.

Each test begins an answer, and then lets something pass for the loss of its
server, its caller or its owner that is none.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from concurrent import futures

import pytest

from bench import proxy
from test import node, silent_load
from test.test_node import ask, wait_until

RESUMABLE, ONCE = "/stream/", "/stream-once/"
FORMER_RUN, NEW_RUN = 1_700_000_000_000, 1_700_000_009_000
EVENT_S = 0.3
BEGUN_S = 0.5
"""Time after which the first event of a stream has arrived, in seconds."""


@contextlib.contextmanager
def run_proxied(
    names: tuple[str, ...], events: int = 8
) -> Iterator[tuple[node.Platform, dict[str, proxy.Proxy]]]:
    """Runs a VM and servers, each behind a proxy; yields those by name."""
    with node.run_platform(replicas=0) as started:
        started.set_config(silent_load.make_config(2))
        links = {}
        for name in names:
            started.start_replica(name, events=events, work_s=EVENT_S)
            links[name] = proxy.Proxy(started.replicas[name])
            started.announced[name] = links[name].address
            started.write_record(name, born=FORMER_RUN)
        started.wait_for_config("vm-0", 2)
        wait_until(
            lambda: (
                ask(started, "/safe/").status == 200
                and any(link.passed_bytes for link in links.values())
            )
        )
        try:
            yield started, links
        finally:
            for link in links.values():
                link.close()


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
def test_a_former_run_that_finishes_its_answers_goes_on(path: str) -> None:
    # A server that stops accepts no connections while it finishes its answers.
    # The refused probe counted as the loss of its run.
    with (
        run_proxied(("i-0",)) as (started, links),
        futures.ThreadPoolExecutor(1) as pool,
    ):
        stream = pool.submit(silent_load.read_answer, started, path, "vm-0")
        time.sleep(BEGUN_S)
        links["i-0"].partition(proxy.Partition.REFUSE)
        started.move_replica("i-0", events=8, work_s=EVENT_S)
        del started.announced["i-0"]
        started.write_record("i-0", born=NEW_RUN)
        reading = stream.result()
        assert reading.is_whole, silent_load.explain(started, [reading])
        assert reading.is_in_order
        assert not silent_load.list_events(started, "attempt_failed")

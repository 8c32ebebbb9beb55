"""Answers on their way, beside what could end them before it is certain.

Each test begins an answer, and then lets something pass for the loss of its
server, its caller or its owner that is none.
"""

from __future__ import annotations

import contextlib
import re
import signal
import time
from collections.abc import Callable, Iterator
from concurrent import futures

import pytest

from bench import proxy
from ramptray import steadyclock
from ramptray.core import hedging, membership, message
from ramptray.entry import ticket as tickets
from ramptray.peer import message as peer_message
from test import node, silent_load, test_hedging
from test.test_dispatcher import OTHER, OURS
from test.test_node import ask, wait_until

RESUMABLE, ONCE = "/stream/", "/stream-once/"
FORMER_RUN, NEW_RUN = 1_700_000_000_000, 1_700_000_009_000
DISTANT = "127.0.0.3:1"
EVENT_S = 0.3
IS_STREAM = re.compile("silent-").match
"""Finds the ids of requests of ``silent_load``."""

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


def leave_by_record(started: node.Platform) -> None:
    started.write_record("i-0", "draining")


def remove_record(started: node.Platform) -> None:
    started.remove_record("i-0")


def leave_by_hint(started: node.Platform) -> None:
    started.set_faults("i-0", leaving=True, refuse=True, pauses=("2",))
    ask(started, "/safe/")


def remove_key(started: node.Platform) -> None:
    config = silent_load.make_config(3)
    started.set_config({**config, "tenants": config["tenants"][1:]})


def remove_routes(started: node.Platform) -> None:
    config = silent_load.make_config(3)
    started.set_config({**config, "routes": config["routes"][:1]})


def remove_service(started: node.Platform) -> None:
    config = silent_load.make_config(3)
    routes = [{**route, "service": "other"} for route in config["routes"]]
    services = [{"name": "other"}]
    started.set_config({**config, "routes": routes, "services": services})


def change_release(started: node.Platform) -> None:
    started.write_record("i-0", version="v2")


def lose_store(started: node.Platform) -> None:
    started.set_faults("store", silent=True)


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
@pytest.mark.parametrize(
    "change",
    [
        leave_by_record,
        remove_record,
        leave_by_hint,
        remove_key,
        remove_routes,
        remove_service,
        change_release,
        lose_store,
    ],
)
def test_an_answer_outlasts_what_is_said_of_its_server(
    change: Callable[[node.Platform], None], path: str
) -> None:
    # Its only server goes on, and pauses for longer than the silence after
    # which another one is sought.
    with node.run_platform(replicas=0) as started:
        started.set_config(silent_load.make_config(2))
        started.start_replica("i-0", events=6, work_s=EVENT_S)
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        with futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(silent_load.read_answer, started, path, "vm-0")
            time.sleep(BEGUN_S)
            change(started)
            started.processes["i-0"].send_signal(signal.SIGSTOP)
            time.sleep(1.5)
            started.processes["i-0"].send_signal(signal.SIGCONT)
            reading = stream.result()
        assert reading.is_whole, silent_load.explain(started, [reading])
        assert reading.is_in_order


@pytest.mark.parametrize("how", [proxy.Partition.RESET, proxy.Partition.HANG])
def test_an_answer_outlasts_a_moment_without_a_reachable_server(
    how: proxy.Partition,
) -> None:
    # The owner refused to go on with it, as the VM reached no server just then.
    with (
        run_proxied(("i-0", "i-1")) as (started, links),
        futures.ThreadPoolExecutor(1) as pool,
    ):
        stream = pool.submit(
            silent_load.read_answer, started, RESUMABLE, "vm-0"
        )
        time.sleep(BEGUN_S)
        (busy,) = (
            name
            for name in links
            if any(map(IS_STREAM, started.iterate_runs(name)))
        )
        (idle,) = links.keys() - {busy}
        links[idle].partition(how)
        time.sleep(2 * proxy.TURN_S)
        links[busy].partition(proxy.Partition.RESET)
        time.sleep(0.9)
        for link in links.values():
            link.partition(None)
        reading = stream.result()
        assert reading.is_whole, silent_load.explain(started, [reading])
        assert reading.is_in_order


def test_an_answer_outlasts_a_moment_without_a_ready_server() -> None:
    # Records of servers that restart one after the other leave a gap.
    with node.run_platform(replicas=0) as started:
        started.set_config(silent_load.make_config(2))
        started.start_replica("i-0", events=8, work_s=EVENT_S)
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.start_replica("i-1", events=8, work_s=EVENT_S)
        started.write_record("i-1", "draining", born=FORMER_RUN)
        with futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(
                silent_load.read_answer, started, RESUMABLE, "vm-0"
            )
            time.sleep(BEGUN_S)
            started.write_record("i-0", "draining")
            time.sleep(0.3)
            started.processes["i-0"].kill()
            time.sleep(0.4)
            started.write_record("i-1", born=NEW_RUN)
            reading = stream.result()
        assert reading.is_whole, silent_load.explain(started, [reading])
        assert reading.is_in_order


@pytest.mark.parametrize(
    "reason", [message.Reason.OVERLOADED, message.Reason.NO_BACKEND]
)
def test_an_answer_that_another_zone_refuses_returns_to_its_own(
    reason: message.Reason,
) -> None:
    # It ended, or asked only that zone, though servers of its own had places.
    dispatching = test_hedging.HedgingDispatcher()
    own = [
        membership.Member(f"waw-a-vm{number}", "waw-a", address, 1)
        for number, address in enumerate((OURS, OTHER), 1)
    ]
    other = [membership.Member("waw-b-vm1", "waw-b", DISTANT, 1)]
    dispatching.get_message(OURS, peer_message.View(own, other))
    ticket = dispatching.start()
    dispatching.receive_exchange(tickets.StreamBegun(ticket.request_id, "1"))
    dispatching.fail(ticket)
    redirect = message.Redirect(ticket.request_id, "waw-b", DISTANT)
    dispatching.get_message(OTHER, redirect)
    reject = message.Reject(ticket.request_id, reason, 1.0)
    dispatching.get_message(DISTANT, reject)
    dispatching.tick(steadyclock.read() + hedging.RETRY_S)
    asked = dispatching.get_enqueued()
    assert asked[-2:] == [(DISTANT, "waw-b"), (OTHER, "waw-a")]
    dispatching.grant(ticket, "b")
    assert ticket.machine.backend == "b"

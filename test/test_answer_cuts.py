"""Answers on their way, beside what could end them before it is certain.

Each test begins an answer, and then lets something pass for the loss of its
server, its caller or its owner that is none.
"""

from __future__ import annotations

import contextlib
import functools
import re
import signal
import socket
import time
from collections.abc import Callable, Iterator
from concurrent import futures

import pytest

from bench import proxy
from ramptray import steadyclock
from ramptray.core import hedging, membership, message
from ramptray.entry import ticket as tickets
from ramptray.peer import message as peer_message
from test import node, partition, silent_load, test_hedging
from test.test_dispatcher import OTHER, OURS
from test.test_node import ask, make_headers, wait_until

RESUMABLE, ONCE = "/stream/", "/stream-once/"
FORMER_RUN, NEW_RUN = 1_700_000_000_000, 1_700_000_009_000
SUSPENDED_S = 3.5
"""Longer than two VMs wait for the keepalive of their link, in seconds."""

PADDING_BYTES = 8 * 1024 * 1024
"""More than the buffers of a connection hold."""

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


def check_whole(started: node.Platform, *readings: silent_load.Reading) -> None:
    """Checks that answers arrived whole, with their events in order."""
    lost = [reading for reading in readings if not reading.is_whole]
    assert not lost, silent_load.explain(started, lost)
    assert all(reading.is_in_order for reading in readings)


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
        check_whole(started, reading)
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
        check_whole(started, reading)


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
        check_whole(started, reading)


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
        check_whole(started, reading)


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


def suspend(started: node.Platform, vm: str) -> None:
    """Suspends a VM's program for longer than its peers wait for it."""
    started.processes[vm].send_signal(signal.SIGSTOP)
    time.sleep(SUSPENDED_S)
    started.processes[vm].send_signal(signal.SIGCONT)


def kill(started: node.Platform, vm: str) -> None:
    started.kill_vm(vm)


def stop(started: node.Platform, vm: str) -> None:
    started.processes[vm].send_signal(signal.SIGTERM)


def restart(started: node.Platform, vm: str) -> None:
    started.kill_vm(vm)
    started.restart_vm(vm)


@pytest.mark.parametrize("harm", [suspend, kill, stop, restart])
def test_answers_outlast_the_owner_that_placed_them(
    harm: Callable[[node.Platform, str], None],
) -> None:
    # All servers pause meanwhile, so that hedges wait for the owner.
    zones = ("waw-a", "waw-a", "waw-a")
    with partition.run_linked(zones, ("waw-a", "waw-a")) as started:
        started.set_config(silent_load.make_config(2))
        for vm in started.vms:
            started.wait_for_config(vm, 2)
        owner = started.find_owner()
        others = [vm for vm in started.vms if vm != owner]
        for name in started.replicas:
            started.set_faults(name, work_s=1.2)
        with silent_load.read_together(
            started, (RESUMABLE, ONCE), others, per_vm=1
        ) as streams:
            time.sleep(BEGUN_S)
            harm(started, owner)
        readings = [stream.result() for stream in streams]
        check_whole(started, *readings)


def test_answers_outlast_the_suspension_of_their_own_vm() -> None:
    with partition.run_linked(("waw-a",) * 3, ("waw-a",) * 2) as started:
        started.set_config(silent_load.make_config(2))
        for vm in started.vms:
            started.wait_for_config(vm, 2)
        for name in started.replicas:
            started.set_faults(name, work_s=1.2)
        with silent_load.read_together(
            started, (RESUMABLE, ONCE), started.vms, per_vm=1
        ) as streams:
            time.sleep(BEGUN_S)
            for vm in started.vms:
                started.processes[vm].send_signal(signal.SIGSTOP)
            time.sleep(SUSPENDED_S)
            for vm in started.vms:
                started.processes[vm].send_signal(signal.SIGCONT)
        readings = [stream.result() for stream in streams]
        check_whole(started, *readings)


@pytest.mark.parametrize("harm", [suspend, stop])
def test_answers_outlast_a_gateway_that_comes_back_or_stops(
    harm: Callable[[node.Platform, str], None],
) -> None:
    # Their own VM reaches no server, so they come through one of the others.
    with partition.run_linked(("waw-a",) * 2, ("waw-a",) * 2) as started:
        started.set_config(silent_load.make_config(2))
        for vm in started.vms:
            started.wait_for_config(vm, 2)
        owner = started.find_owner()
        (cut,) = (vm for vm in started.vms if vm != owner)
        started.partition([cut], proxy.Partition.RESET)
        started.partition([cut], proxy.Partition.HANG)
        wait_until(lambda: ask(started, "/safe/", vm=cut).status == 200)
        for name in started.replicas:
            started.set_faults(name, work_s=0.8)
        with silent_load.read_together(
            started, (RESUMABLE, ONCE), [cut], per_vm=2
        ) as streams:
            time.sleep(1.0)
            harm(started, owner)
        readings = [stream.result() for stream in streams]
        dispatches = silent_load.list_events(started, "dispatch", [cut])
        assert {reading.request_id for reading in readings} <= {
            event["subject"] for event in dispatches if "gateways" in event
        }
        check_whole(started, *readings)


def open_caller(started: node.Platform) -> socket.socket:
    """Opens a connection to a VM that receives little before it is read."""
    host, port = started.vms["vm-0"]["front"].split(":")
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(10.0)
    caller.connect((host, int(port)))
    return caller


def format_request(path: str, version: str) -> bytes:
    headers = make_headers(X_Deadline_Ms="9000")
    lines = [
        f"POST {path} HTTP/{version}",
        *(f"{name}: {value}" for name, value in headers.items()),
        "Connection: close",
        "Content-Length: 1",
        "",
        "x",
    ]
    return "\r\n".join(lines).encode()


def read_all(caller: socket.socket) -> bytes:
    return b"".join(iter(functools.partial(caller.recv, 65536), b""))


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_caller_that_reads_late_gets_its_answer_from_a_stopping_vm(
    version: str,
) -> None:
    # The VM has nothing left to do but what waits to be read.
    with (
        node.run_platform(replicas=0) as started,
        open_caller(started) as caller,
    ):
        started.set_config(silent_load.make_config(2))
        started.start_replica("i-0", padding_bytes=PADDING_BYTES)
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        caller.sendall(format_request("/once/", version))
        time.sleep(BEGUN_S)
        started.processes["vm-0"].send_signal(signal.SIGTERM)
        time.sleep(5.0)
        answer = read_all(caller)
        assert len(answer) > PADDING_BYTES
        assert started.processes["vm-0"].wait(10.0) == 0


@pytest.mark.parametrize("path", [RESUMABLE, ONCE])
def test_a_caller_without_chunks_gets_an_answer_that_pauses(path: str) -> None:
    # The end of its connection is all that ends an answer.
    with (
        node.run_platform(replicas=0) as started,
        open_caller(started) as caller,
    ):
        started.set_config(silent_load.make_config(2))
        started.start_replica("i-0", events=3)
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        for name in started.replicas:
            started.set_faults(name, work_s=1.2)
        caller.sendall(format_request(path, "1.0"))
        answer = read_all(caller)
        assert [*map(int, re.findall(rb"id: (\d+)", answer))] == [1, 2, 3]
        assert answer.endswith(b"\n\n")


@pytest.mark.parametrize("grace_s", [3.0, 8.0])
def test_a_stopping_vm_accepts_no_requests_that_it_would_cut(
    grace_s: float,
) -> None:
    # With a short grace time, it accepted requests until it cut them all.
    bounds = {"graceS": grace_s}
    with node.run_platform(replicas=1, bounds=bounds) as started:
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", work_s=0.4)
        with futures.ThreadPoolExecutor(node.SLOTS) as pool:
            started.processes["vm-0"].send_signal(signal.SIGTERM)
            ends_at = time.monotonic() + grace_s
            while time.monotonic() < ends_at:
                pool.submit(ask, started, "/once/", "POST", b"x")
                time.sleep(0.1)
        assert started.processes["vm-0"].wait(10.0) == 0
        assert not silent_load.list_events(started, "answer_cut")


def test_an_answer_of_a_lost_server_goes_on_when_there_is_budget_again() -> (
    None
):
    # The retry budget was used up when its server broke off, and refills while
    # its caller waits.
    bounds = {
        "retryBudgetRatio": 0.0,
        "retryBudgetSlack": 20,
        "budgetWindowS": 2.0,
    }
    with node.run_platform(replicas=1, bounds=bounds) as started:
        started.set_config(silent_load.make_config(2))
        started.wait_for_config("vm-0", 2)
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", fail=True)
        started.start_replica("i-1")
        time.sleep(0.5)
        started.set_faults("i-1", fail=True)
        ask(started, "/safe/")
        for name in started.replicas:
            started.set_faults(name, cut_after=2)
        with futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(
                silent_load.read_answer, started, RESUMABLE, "vm-0"
            )
            time.sleep(0.5)
            for name in started.replicas:
                started.set_faults(name)
            reading = stream.result()
        failed = silent_load.list_events(started, "attempt_failed")
        assert failed[-1]["budget_left"] is False
        assert reading.is_whole, silent_load.explain(started, [reading])


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_caller_that_ends_its_side_only_gets_its_answer(version: str) -> None:
    # The end of a request's connection is no evidence that its caller has left:
    # it may have closed the side that it writes to.
    with (
        node.run_platform(replicas=1) as started,
        open_caller(started) as caller,
    ):
        wait_until(lambda: ask(started, "/safe/").status == 200)
        started.set_faults("i-0", work_s=0.3)
        caller.sendall(format_request("/once/", version))
        caller.shutdown(socket.SHUT_WR)
        assert b" 200 " in read_all(caller)

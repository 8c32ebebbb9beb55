"""Answers whose servers pause while something else on their way changes.

They guard against answers that are lost although their servers are at work:
through another VM's tunnel, at stops, with new configurations, with attempts
that are refused, and beside servers that are really lost.
"""

from __future__ import annotations

import contextlib
import functools
import itertools
import signal
import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import pytest

from bench import proxy
from test import node, partition, silent_load
from test.test_node import wait_until

RESUMABLE, ONCE = "/stream/", "/stream-once/"
PATHS = (RESUMABLE, ONCE)
PAUSE_S = 2.5
HEDGED_AFTER_S = 1.2
"""Silence after which another attempt has been sent, in seconds."""

EXIT_MARGIN_S = 0.5
"""How long before the end of the grace time a VM exits (``exit_margin_s``), in
seconds.  Later, it may be killed before it has logged what it cuts."""

DRAIN_S = 0.05
"""Seconds between two events after a pause.  Most of a stream is left then, and
its arrival at the usual speed would only be waited for."""

TOLERANCE_S = 0.1
"""Longest delay of what is measured, in seconds."""

CLOSE_S = 0.5
"""Time in which servers see that a caller has left, in seconds."""

EVENT_IDS = list(range(1, silent_load.EVENTS + 1))


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with silent_load.run_streaming(vms=3) as platform:
        yield platform


@pytest.fixture
def linked() -> Iterator[partition.LinkedPlatform]:
    with silent_load.run_made(
        partition.LinkedPlatform, vms=3, servers=3
    ) as platform:
        yield platform


def find_owner(started: node.Platform) -> str:
    """Returns the VM that granted the newest request."""
    grants = silent_load.list_events(started, "grant")
    newest = max(grants, key=lambda event: int(event["clock"]))
    return str(newest["process"]).removeprefix("node/")


def find_other(started: node.Platform) -> str:
    """Returns a VM that is not the owner."""
    owner = find_owner(started)
    return next(vm for vm in started.vms if vm != owner)


def stop_vm(started: node.Platform, vm: str) -> None:
    started.processes[vm].send_signal(signal.SIGTERM)


def check_answers(
    started: node.Platform,
    asked: list[futures.Future[silent_load.Reading]],
    ids: list[int] = EVENT_IDS,
) -> None:
    """Checks that each answer arrived whole, with these events."""
    readings = [each.result() for each in asked]
    lost = [each for each in readings if not each.is_whole or each.ids != ids]
    assert lost == [], silent_load.explain(started, lost)


def check_hedged(started: node.Platform) -> None:
    """Checks that other attempts were sent, and not only sought."""
    sent = silent_load.list_events(started, "dispatch")
    assert any("hedge" in event for event in sent)


def check_stopped(started: node.Platform, vm: str) -> None:
    """Checks that a VM ends by itself, in order."""
    limit_s = silent_load.TIME_LIMIT_MS / 1000
    assert started.processes[vm].wait(limit_s) == 0


def pause_all(
    started: node.Platform, work_s: float = PAUSE_S
) -> contextlib.AbstractContextManager[None]:
    """Makes all servers pause; what they begin later is soon over."""
    return silent_load.pause_servers(started, started.replicas, work_s, DRAIN_S)


def pause_until_hedged(
    started: node.Platform,
    work_s: float = PAUSE_S,
    silence_s: float = HEDGED_AFTER_S,
) -> None:
    """Makes all servers pause once, until other attempts have been sent."""
    with pause_all(started, work_s):
        time.sleep(silence_s)


def cut_off(linked: partition.LinkedPlatform) -> str:
    """Cuts a VM other than the owner off from all servers, and returns it."""
    cut = find_other(linked)
    linked.partition([cut], proxy.Partition.RESET)
    time.sleep(0.3)
    return cut


def find_gateway(
    linked: partition.LinkedPlatform,
    asked: list[futures.Future[silent_load.Reading]],
    cut: str,
) -> str:
    """Returns the VM through which the newest requests of a VM go."""
    sent = silent_load.list_events(linked, "dispatch", [cut])
    tunneled = [event for event in sent if event.get("gateways")]
    assert len(tunneled) >= len(asked), "not all requests were tunneled"
    address = str(tunneled[-1]["gateways"][0])
    return next(
        vm for vm, listen in linked.vms.items() if listen["control"] == address
    )


@pytest.mark.parametrize("pause_s", [1.0, 4.0])
def test_streams_through_a_tunnel_go_on_while_servers_pause(
    linked: partition.LinkedPlatform, pause_s: float
) -> None:
    cut = cut_off(linked)
    with silent_load.read_together(linked, PATHS, [cut]) as asked:
        time.sleep(0.9)
        pause_until_hedged(linked, pause_s, 0.5)
        find_gateway(linked, asked, cut)
    check_answers(linked, asked)
    if pause_s > HEDGED_AFTER_S:
        check_hedged(linked)


def test_streams_go_on_when_their_gateway_stops(
    linked: partition.LinkedPlatform,
) -> None:
    cut = cut_off(linked)
    with silent_load.read_together(linked, PATHS, [cut]) as asked:
        time.sleep(0.9)
        gateway = find_gateway(linked, asked, cut)
        with pause_all(linked):
            time.sleep(0.5)
            stop_vm(linked, gateway)
            time.sleep(0.7)
    check_answers(linked, asked)
    check_stopped(linked, gateway)


def test_resumable_streams_go_on_when_their_gateway_is_killed(
    linked: partition.LinkedPlatform,
) -> None:
    cut = cut_off(linked)
    with silent_load.read_together(linked, [RESUMABLE], [cut], 4) as asked:
        time.sleep(0.9)
        gateway = find_gateway(linked, asked, cut)
        with pause_all(linked):
            time.sleep(0.5)
            linked.kill_vm(gateway)
            time.sleep(0.5)
    check_answers(linked, asked)


@pytest.mark.parametrize("role", ["entry", "owner"])
def test_answers_go_on_when_a_vm_stops_beside_second_attempts(
    started: node.Platform, role: str
) -> None:
    stopping = {"entry": find_other, "owner": find_owner}[role](started)
    with silent_load.read_together(started, PATHS, started.vms) as asked:
        time.sleep(0.9)
        with pause_all(started):
            time.sleep(HEDGED_AFTER_S)
            stop_vm(started, stopping)
            time.sleep(0.3)
    check_answers(started, asked)
    check_hedged(started)
    check_stopped(started, stopping)


def reload_vms(started: node.Platform) -> None:
    """Sends SIGHUP to all VMs that run."""
    for vm in started.vms:
        if started.processes[vm].poll() is None:
            started.processes[vm].send_signal(signal.SIGHUP)


@pytest.mark.parametrize("role", ["entry", "owner"])
def test_answers_go_on_when_a_vm_is_stopped_twice_beside_reloads(
    started: node.Platform, role: str
) -> None:
    stopping = {"entry": find_other, "owner": find_owner}[role](started)
    with (
        silent_load.repeat(0.3, functools.partial(reload_vms, started)),
        silent_load.change_configuration(started, 0.4),
        silent_load.read_together(started, PATHS, started.vms) as asked,
    ):
        time.sleep(0.9)
        with pause_all(started):
            time.sleep(0.6)
            stop_vm(started, stopping)
            time.sleep(1.0)
            stop_vm(started, stopping)
    check_answers(started, asked)
    check_hedged(started)
    check_stopped(started, stopping)


@pytest.mark.parametrize("grace_s", [3.0, 4.0])
def test_streams_longer_than_the_grace_time_are_cut_at_its_end(
    grace_s: float,
) -> None:
    bounds = {"graceS": grace_s}
    with silent_load.run_streaming(vms=2, bounds=bounds) as started:
        with silent_load.read_together(started, PATHS, ["vm-0"]) as asked:
            time.sleep(0.6)
            with silent_load.pause_servers(started, started.replicas, 4.0):
                time.sleep(0.5)
                stopped_at = time.monotonic()
                stop_vm(started, "vm-0")
                time.sleep(1.0)
        readings = [each.result() for each in asked]
        stopped_after_s = time.monotonic() - stopped_at
        cuts = silent_load.list_events(started, "answer_cut", ["vm-0"])
        late_s = stopped_after_s - (grace_s - EXIT_MARGIN_S)
        assert -TOLERANCE_S < late_s < TOLERANCE_S
        assert all(each.is_lost and each.is_in_order for each in readings)
        assert {each.request_id for each in readings} == {
            event["subject"] for event in cuts
        }
        assert {event["left_for"] for event in cuts} == {"stop"}


def test_resumed_streams_go_on_while_their_servers_pause(
    started: node.Platform,
) -> None:
    first = silent_load.read_answer(started, RESUMABLE, "vm-0", until=3)
    named = {"Last-Event-Id": "3", "Resumes": first.request_id}
    with silent_load.read_together(
        started, [RESUMABLE], started.vms, headers=named
    ) as asked:
        time.sleep(0.5)
        pause_until_hedged(started)
    check_answers(started, asked, EVENT_IDS[3:])
    check_hedged(started)


def test_streams_resumed_at_silent_servers_go_on(
    started: node.Platform,
) -> None:
    # No event of the resumed part has arrived when the silence begins.
    first = silent_load.read_answer(started, RESUMABLE, "vm-0", until=3)
    named = {"Last-Event-Id": "3", "Resumes": first.request_id}
    with (
        pause_all(started),
        silent_load.read_together(
            started, [RESUMABLE], started.vms, headers=named
        ) as asked,
    ):
        time.sleep(HEDGED_AFTER_S)
        for name in started.replicas:
            started.set_faults(name, work_s=DRAIN_S)
    check_answers(started, asked, EVENT_IDS[3:])
    check_hedged(started)


def _without_key() -> dict[str, Any]:
    config = silent_load.make_config(2)
    return {**config, "tenants": config["tenants"][1:]}


def _without_routes() -> dict[str, Any]:
    config = silent_load.make_config(2)
    return {**config, "routes": config["routes"][:2]}


def _with_another_service() -> dict[str, Any]:
    config = silent_load.make_config(2, service="other")
    return {**config, "services": [*config["services"], {"name": "other"}]}


CONFIGS = {
    "fewer_attempts": silent_load.make_config(2, maxAttempts=1),
    "not_resumable": silent_load.make_config(2, resumable=False),
    "key_removed": _without_key(),
    "routes_removed": _without_routes(),
    "another_service": _with_another_service(),
    "shorter_time_limit": silent_load.make_config(2, timeoutMs=1500),
}


@pytest.mark.parametrize("silence_s", [0.3, HEDGED_AFTER_S])
@pytest.mark.parametrize("name", CONFIGS)
def test_answers_go_on_when_a_configuration_arrives_in_a_silence(
    started: node.Platform, name: str, silence_s: float
) -> None:
    # Before the second attempt is sought, and after it was sent.
    with silent_load.read_together(started, PATHS, started.vms, 1) as asked:
        time.sleep(0.9)
        with pause_all(started):
            time.sleep(silence_s)
            started.set_config(CONFIGS[name])
            for vm in started.vms:
                started.wait_for_config(vm, 2)
            time.sleep(HEDGED_AFTER_S)
    check_answers(started, asked)
    if silence_s == HEDGED_AFTER_S:
        check_hedged(started)


def test_answers_go_on_without_a_retry_budget() -> None:
    bounds = {"retryBudgetRatio": 0.0, "retryBudgetSlack": 0.0}
    with silent_load.run_streaming(vms=2, bounds=bounds) as started:
        with silent_load.read_together(started, PATHS, started.vms) as asked:
            time.sleep(0.9)
            pause_until_hedged(started)
        check_answers(started, asked)
        assert not silent_load.list_events(started, "hedge")


@pytest.mark.parametrize(
    "faults", [{"refuse": True}, {"room": 0}], ids=["refuse", "room"]
)
@pytest.mark.parametrize("path", [RESUMABLE, "/safe/"])
def test_answers_go_on_when_servers_refuse_second_attempts(
    started: node.Platform, path: str, faults: dict[str, Any]
) -> None:
    with (
        pause_all(started),
        silent_load.read_together(started, [path], started.vms) as asked,
    ):
        time.sleep(0.5)
        for name in started.replicas:
            started.set_faults(name, work_s=silent_load.EVENT_S, **faults)
    check_answers(started, asked, EVENT_IDS if path == RESUMABLE else [])
    refused = itertools.chain.from_iterable(
        started.read_ledger(name)["refused"] for name in started.replicas
    )
    assert {each.result().request_id for each in asked} & set(refused)


@pytest.mark.parametrize("path", [RESUMABLE, "/safe/"])
def test_both_servers_see_that_the_caller_has_left(
    started: node.Platform, path: str
) -> None:
    with (
        silent_load.pause_servers(started, started.replicas, 4.0),
        silent_load.read_together(
            started, [path], ["vm-0"], patience_s=1.8
        ) as asked,
    ):
        left = {each.result().request_id for each in asked}
    assert all(each.result().has_left for each in asked)
    wait_until(lambda: count_gone(started, left) == 2 * len(left), CLOSE_S)


def count_gone(started: node.Platform, names: set[str]) -> int:
    """Returns how many attempts of requests were closed while they ran."""
    return sum(
        request_id in names
        for name in started.replicas
        for request_id in started.read_ledger(name)["gone"]
    )


@pytest.mark.parametrize(("count", "per_vm"), [(1, 2), (2, 1), (2, 2)])
def test_resumable_streams_leave_lost_servers_while_all_others_pause(
    linked: partition.LinkedPlatform, count: int, per_vm: int
) -> None:
    # Two attempts may reach the lost servers.  With two streams a VM, those of
    # two lost servers have to wait for a place.
    linked.set_config(silent_load.make_config(2, maxAttempts=4))
    for vm in linked.vms:
        linked.wait_for_config(vm, 2)
    with silent_load.read_together(
        linked, [RESUMABLE], linked.vms, per_vm
    ) as asked:
        time.sleep(0.9)
        for vm in linked.vms:
            for link in linked.list_links(vm)[:count]:
                link.partition(proxy.Partition.HANG)
        pause_until_hedged(linked)
    check_answers(linked, asked)
    assert silent_load.list_events(linked, "attempt_failed")

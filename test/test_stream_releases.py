"""Streams that go on at the release of the backend servers that began them.

Callers got streams whose events two releases had written, as any release was
used for further attempts inside an answer and for callers that resumed.
"""

from __future__ import annotations

import itertools
import signal
import time
from collections.abc import Iterator

import pytest

from test import node, resuming
from test.resuming import Stream
from test.test_node import ask, wait_until

STREAMS = 12


@pytest.fixture
def platform() -> Iterator[node.Platform]:
    """Four VMs, and two replicas of each of two releases."""
    with resuming.run_releases() as started:
        yield started


def list_pairs(started: node.Platform) -> list[tuple[str, str]]:
    """Returns the VMs of the first and the next attempt of some streams."""
    vms = list(started.vms)
    return [
        (vms[n % len(vms)], vms[(n + 1) % len(vms)]) for n in range(STREAMS)
    ]


def begin(started: node.Platform, vm: str) -> Stream:
    """Returns a stream that its caller has broken off."""
    attempt = resuming.attempt_stream(started, vm, resuming.BREAK_AFTER)
    return Stream([attempt])


def begin_all(started: node.Platform, vms: list[str]) -> list[Stream]:
    """Begins streams and breaks them off."""
    return resuming.run_together(
        lambda vm=vm: begin(started, vm)  # type: ignore[misc]
        for vm in vms
    )


def resume_all(
    started: node.Platform,
    streams: list[Stream],
    vms: list[str],
    headers: dict[str, str] | None = None,
) -> list[Stream]:
    """Resumes each stream at a VM, all at once."""

    def resume(stream: Stream, vm: str) -> Stream:
        resuming.resume(started, stream, vm, headers=headers)
        return stream

    return resuming.run_together(
        lambda stream=stream, vm=vm: resume(stream, vm)  # type: ignore[misc]
        for stream, vm in zip(streams, vms, strict=True)
    )


def check_unmixed(streams: list[Stream]) -> None:
    """Checks that streams of both releases began, and that none has two."""
    began = {stream.events[0][1] for stream in streams}
    assert began == set(resuming.RELEASES)
    assert resuming.list_mixed(streams) == []


def check_refused(streams: list[Stream]) -> None:
    """Checks that streams were refused with an honest answer."""
    check_unmixed(streams)
    for stream in streams:
        last = stream.attempts[-1]
        assert last.status in (0, 503), last


def find_owner(started: node.Platform) -> str:
    """Returns the VM that granted the newest request."""
    grants = (
        line
        for vm in started.vms
        for line in started.read_log(vm)
        if line.get("event", {}).get("kind") == "grant"
    )
    newest = max(grants, key=lambda line: int(line["event"]["clock"]))
    return str(newest["event"]["process"]).removeprefix("node/")


def test_stream_goes_on_at_its_release_inside_an_answer(
    platform: node.Platform,
) -> None:
    for release in resuming.RELEASES:
        platform.set_faults(f"{release}-0", cut_after=resuming.BREAK_AFTER)
    streams = resuming.run_together(
        lambda vm=vm: Stream([resuming.attempt_stream(platform, vm)])  # type: ignore[misc]
        for vm, _ in list_pairs(platform)
    )
    check_unmixed(streams)
    assert resuming.count_whole(streams) == STREAMS


@pytest.mark.parametrize("after_s", [0.0, 1.5], ids=["at_once", "later"])
def test_resumed_stream_goes_on_at_its_release(
    platform: node.Platform, after_s: float
) -> None:
    first, then = zip(*list_pairs(platform), strict=True)
    streams = begin_all(platform, list(first))
    time.sleep(after_s)
    resume_all(platform, streams, list(then))
    check_unmixed(streams)
    assert resuming.count_whole(streams) == STREAMS


def test_stream_resumed_several_times_goes_on_at_its_release(
    platform: node.Platform,
) -> None:
    vms = itertools.cycle(platform.vms)

    def resume_twice(vm: str) -> Stream:
        stream = begin(platform, vm)
        resuming.resume(platform, stream, next(vms), resuming.BREAK_AFTER + 2)
        resuming.resume(platform, stream, next(vms))
        return stream

    streams = resuming.run_together(
        lambda vm=vm: resume_twice(vm)  # type: ignore[misc]
        for vm, _ in list_pairs(platform)
    )
    check_unmixed(streams)
    assert resuming.count_whole(streams) == STREAMS


def test_stream_of_a_killed_vm_goes_on_at_its_release(
    platform: node.Platform,
) -> None:
    first, *others = platform.vms
    streams = begin_all(platform, [first] * STREAMS)
    platform.kill_vm(first)
    time.sleep(0.1)
    vms = list(itertools.islice(itertools.cycle(others), STREAMS))
    resume_all(platform, streams, vms)
    check_unmixed(streams)
    assert resuming.count_whole(streams) >= STREAMS / 2


@pytest.mark.parametrize(
    "kills_both", [False, True], ids=["owner", "owner_and_vm"]
)
def test_stream_goes_on_at_its_release_after_the_owner_was_killed(
    platform: node.Platform, kills_both: bool
) -> None:
    begin(platform, "vm-0")
    owner = find_owner(platform)
    first, *others = [vm for vm in platform.vms if vm != owner]
    streams = begin_all(platform, [first] * STREAMS)
    if kills_both:
        platform.kill_vm(first)
    platform.kill_vm(owner)
    vms = list(itertools.islice(itertools.cycle(others), STREAMS))
    resume_all(platform, streams, vms)
    check_unmixed(streams)
    assert resuming.count_whole(streams) >= STREAMS / 2


@pytest.mark.parametrize("after_s", [0.0, 3.0], ids=["at_once", "later"])
def test_vm_cut_off_from_the_others_mixes_no_releases(
    platform: node.Platform, after_s: float
) -> None:
    *others, alone = platform.vms
    streams = begin_all(
        platform, list(itertools.islice(itertools.cycle(others), STREAMS))
    )
    for vm in others:
        platform.processes[vm].send_signal(signal.SIGSTOP)
    try:
        time.sleep(after_s)
        resume_all(platform, streams, [alone] * STREAMS)
    finally:
        for vm in others:
            platform.processes[vm].send_signal(signal.SIGCONT)
    check_unmixed(streams)


def test_restarted_vms_mix_no_releases(platform: node.Platform) -> None:
    first, then = zip(*list_pairs(platform), strict=True)
    streams = begin_all(platform, list(first))
    for vm in platform.vms:
        platform.kill_vm(vm)
    for vm in platform.vms:
        platform.restart_vm(vm)
    time.sleep(3.0)
    resume_all(platform, streams, list(then))
    check_unmixed(streams)
    # The store knows the origins that were written in time.
    for stream in streams:
        last = stream.attempts[-1]
        assert stream.is_whole or last.status in (0, 503), last


def test_stream_is_refused_once_its_release_is_gone(
    platform: node.Platform,
) -> None:
    first, then = zip(*list_pairs(platform), strict=True)
    streams = begin_all(platform, list(first))
    for number in range(2):
        platform.processes[f"v2-{number}"].kill()
        platform.processes[f"v2-{number}"].wait()
    resume_all(platform, streams, list(then))
    check_unmixed(streams)
    gone = [s for s in streams if s.events[0][1] == "v2"]
    assert {s.attempts[-1].status for s in gone} <= {502, 503}
    kept = [s for s in streams if s.events[0][1] == "v1"]
    assert resuming.count_whole(kept) == len(kept)


@pytest.mark.parametrize(
    "headers",
    [
        {"Resumes": "nobody-saw-it"},
        {"Resumes": ""},
        {
            "Authorization": f"Bearer {node.LIMITED_KEY}",
            "X-Token-Count": "2,8",
        },
    ],
    ids=["unknown", "none", "of_another_customer"],
)
def test_unknown_stream_is_refused_while_two_releases_serve(
    platform: node.Platform, headers: dict[str, str]
) -> None:
    first, then = zip(*list_pairs(platform), strict=True)
    streams = begin_all(platform, list(first))
    resume_all(platform, streams, list(then), headers)
    check_unmixed(streams)
    refused = {s.attempts[-1].status for s in streams}
    assert refused <= {400, 503}


def is_resumed_unnamed(started: node.Platform, vm: str) -> bool:
    """Returns whether a stream goes on although nobody knows how it began."""
    stream = begin(started, vm)
    resumed = resuming.resume(started, stream, vm, headers={"Resumes": ""})
    assert resumed.status in (200, 503)
    assert stream.is_whole == (resumed.status == 200)
    return stream.is_whole


def test_unknown_stream_goes_on_while_one_release_serves() -> None:
    # Callers of deployments with one release need not name their attempts.
    with resuming.run_releases(("v1",), vms=3) as started:
        wait_until(lambda: is_resumed_unnamed(started, "vm-0"), 15.0)
        # It started a little later.
        wait_until(lambda: is_resumed_unnamed(started, "vm-1"), 3.0)
        started.kill_vm("vm-2")
        started.restart_vm("vm-2")
        wait_until(lambda: is_ready(started, "vm-2"))
        # It learns from the others what has served before.
        wait_until(lambda: is_resumed_unnamed(started, "vm-2"), 3.0)
        resuming.start_release(started, "v2-0", "v2")
        wait_until(lambda: serves(started, "v2"))
        assert not any(is_resumed_unnamed(started, vm) for vm in started.vms)


def serves(started: node.Platform, release: str) -> bool:
    """Returns whether some stream begins at a release."""
    streams = begin_all(started, ["vm-0"] * STREAMS)
    return any(release in stream.releases for stream in streams)


def is_ready(started: node.Platform, vm: str) -> bool:
    try:
        return ask(started, "/safe/", vm=vm).status == 200
    except OSError:
        return False

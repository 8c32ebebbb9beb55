"""Tests which contents are blocked after backend servers crash."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import pytest

from ramptray import timeline
from ramptray.core import (
    anti_affinity,
    backend,
    blocklist,
    clock,
    message,
    owner_effect,
    poison,
    policy,
    shard,
    suspicion,
)
from ramptray.core import rules as shard_rules
from ramptray.scheduler import content_blocker
from test import crash_simulation

NUMBERS = itertools.count(1)


def crash(
    at: float,
    *contents: str,
    backend: str = "",
    answered_s: float | None = None,
) -> poison.Crash:
    """Returns a crash of a backend server that ran these contents."""
    runners = {}
    for content in contents:
        name = f"r{next(NUMBERS)}"
        runners[name] = poison.RunningRequest(name, content, at, answered_s)
    return poison.Crash(
        backend or f"b{next(NUMBERS)}", next(NUMBERS), at, runners
    )


class FixedSuspicions(suspicion.Suspicions):
    """Suspects the given causes."""

    def __init__(self, suspects: str) -> None:
        self._suspects = frozenset(suspects)

    def find_suspects(self, causes: frozenset[str]) -> frozenset[str]:
        return causes & self._suspects

    def find_on_trial(self, causes: frozenset[str]) -> frozenset[str]:
        return causes & self._suspects


def make_detector() -> poison.PoisonDetector:
    return poison.PoisonDetector(blocklist.Blocklist())


def list_blocked(
    detector: poison.PoisonDetector, now: float, contents: str
) -> list[str]:
    return [c for c in contents if detector.blocks.get_remaining_s(c, now) > 0]


def test_content_present_at_every_crash_is_blocked() -> None:
    detector = make_detector()
    assert not detector.record_crash(crash(1.0, "p", "a", "b"))
    assert not detector.record_crash(crash(1.2, "p", "a", "c"))
    (verdict,) = detector.record_crash(crash(1.4, "p", "c"))
    assert (verdict.block.content, verdict.count) == ("p", 3)
    assert len(verdict.backends) == len(verdict.request_ids) == 3
    assert list_blocked(detector, 1.5, "pabc") == ["p"]
    assert not any(detector.is_suspect(content) for content in "abc")


def test_repeated_reports_of_a_crash_count_once() -> None:
    detector = make_detector()
    seen = crash(1.0, "p", backend="b")
    for later in (0.0, 0.1, 0.5):
        again = poison.Crash("b", seen.run, 1.0 + later, seen.runners)
        assert not detector.record_crash(again)
    assert detector.get_crash_count("p") == 1


def test_server_without_run_numbers_counts_again_after_a_restart_time() -> None:
    detector = make_detector()
    for at in (1.0, 1.5, 2.5):
        runners = crash(at, "p").runners
        detector.record_crash(poison.Crash("b", 0, at, runners))
    assert detector.get_crash_count("p") == 2


def test_late_report_of_a_crash_is_not_a_second_crash() -> None:
    detector = make_detector()
    detector.record_crash(poison.Crash("b", 0, 1.0, crash(0.9, "p").runners))
    late = crash(0.8, "a").runners
    detector.record_crash(poison.Crash("b", 0, 6.0, late))
    assert (detector.get_crash_count("p"), detector.get_crash_count("a")) == (
        1,
        0,
    )


def test_completed_content_is_cleared() -> None:
    detector = make_detector()
    detector.record_crash(crash(1.0, "a", "x"))
    detector.record_crash(crash(2.0, "a", "y"))
    detector.record_success("a", 2.5)
    assert not detector.is_suspect("a")
    assert not detector.record_crash(crash(3.0, "a", "z"))


def test_proven_content_needs_more_crashes() -> None:
    detector = make_detector()
    detector.record_success("a", 0.0)
    detections = [
        detector.record_crash(crash(float(at), "a", str(at)))
        for at in range(1, poison.MIN_GROUPS_PROVEN + 1)
    ]
    assert [bool(found) for found in detections] == [
        *[False] * (poison.MIN_GROUPS_PROVEN - 1),
        True,
    ]


def test_simultaneous_crashes_only_implicate_content_on_every_server() -> None:
    detector = make_detector()
    for wave in (1.0, 5.0, 9.0, 13.0):
        detector.record_crash(crash(wave, "a", "x"))
        detector.record_crash(crash(wave + 0.01, "b", "x"))
        detector.record_crash(crash(wave + 0.03, "a", "y"))
    assert list_blocked(detector, 14.0, "abxy") == []


def test_simultaneous_crashes_count_once() -> None:
    detector = make_detector()
    for step in range(8):
        detector.record_crash(crash(1.0 + step * 0.01, "popular", str(step)))
    assert detector.get_crash_count("popular") == 1


def test_content_that_has_been_responding_is_not_blocked() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        seen = crash(at, "p")
        seen.runners["old"] = poison.RunningRequest("old", "a", 0.0, 3.0)
        detector.record_crash(seen)
    assert list_blocked(detector, 3.1, "pa") == ["p"]


def test_tied_contents_need_more_crashes() -> None:
    detector = make_detector()
    for at in range(poison.MIN_GROUPS_TIED - 1):
        assert not detector.record_crash(crash(float(at), "p", "a"))
    detector.record_success("a", 9.0)
    assert list_blocked(detector, 9.1, "pa") == ["p"]


def test_contents_that_stay_tied_are_all_blocked() -> None:
    detector = make_detector()
    for at in range(poison.MIN_GROUPS_TIED):
        detector.record_crash(crash(float(at), "p", "a"))
    assert list_blocked(detector, 9.0, "pa") == ["p", "a"]
    # A request sent before the block completes and clears the content.
    detector.record_success("a", 9.5)
    assert list_blocked(detector, 10.0, "pa") == ["p"]
    assert not detector.is_suspect("a")


def test_crashes_of_a_blocked_content_do_not_implicate_others() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash(at, "p"))
    assert not detector.record_crash(crash(3.1, "p", "a"))
    assert not detector.is_suspect("a")
    (block,) = detector.blocks.iterate()
    assert block.level == 1


def test_crash_after_a_block_ends_blocks_for_longer() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash(at, "p"))
    over = 3.0 + blocklist.INITIAL_BLOCK_S
    assert detector.blocks.get_remaining_s("p", over - 0.1) > 0
    assert detector.blocks.get_remaining_s("p", over) == 0
    detector.record_crash(crash(over + 1.0, "p", "a"))
    left_s = detector.blocks.get_remaining_s("p", over + 1.0)
    assert left_s == pytest.approx(2 * blocklist.INITIAL_BLOCK_S)


def test_request_that_had_not_arrived_is_not_counted() -> None:
    detector = make_detector()
    seen = crash(1.0, "p", "a")
    detector.record_crash(seen)
    absent = next(r for r in seen.runners.values() if r.content == "a")
    detector.exclude_request(absent.request_id)
    assert (detector.get_crash_count("p"), detector.get_crash_count("a")) == (
        1,
        0,
    )


def test_requests_without_content_are_never_blocked() -> None:
    detector = make_detector()
    for at in range(9):
        assert not detector.record_crash(crash(float(at), "", ""))
        assert not detector.record_success("", float(at))


def test_memory_is_bounded_with_many_contents() -> None:
    detector = make_detector()
    for number in range(20_000):
        detector.record_success(f"c{number}", number / 10_000)
    for number in range(2_000):
        detector.record_crash(crash(3.0 + number, f"c{number}", f"d{number}"))
    assert len(detector._proven) <= poison.MAX_PROVEN_CAUSES
    assert len(detector._groups) <= poison.MAX_CRASH_GROUPS
    assert len(detector._counts) <= 2 * poison.MAX_CRASH_GROUPS
    assert len(detector._ended_at) <= poison.MAX_ENDED_SERVERS


def test_blocklists_merge_in_any_order() -> None:
    first, second = blocklist.Blocklist(), blocklist.Blocklist()
    first.block("p", 3, 0.0)
    second.merge(first.list_updates(10.0), 10.0)
    assert second.get_remaining_s("p", 10.0) == pytest.approx(590.0)
    assert first.lift("p", 20.0)
    lifted = first.list_updates(20.0)
    older = second.list_updates(20.0)
    assert [b.lifted for b in second.merge(lifted, 20.0)] == [True]
    assert first.merge(older, 20.0) == []
    assert (
        second.get_remaining_s("p", 20.0)
        == first.get_remaining_s("p", 20.0)
        == 0
    )
    second.block("p", 1, 30.0)
    first.merge(second.list_updates(30.0), 30.0)
    assert first.get_remaining_s("p", 30.0) == pytest.approx(1200.0)


def test_suspects_run_on_different_servers_if_slots_are_free() -> None:
    def make_info(name: str, content: str) -> message.RequestInfo:
        shard = message.ShardKey("z", "s")
        return message.RequestInfo(
            name, shard, "c", "t", 10, 10, (), 9.0, content=content
        )

    servers = [
        backend.Backend(backend.BackendInfo(name, 4, 10_000, 0))
        for name in ("one", "two")
    ]
    servers[0].place(make_info("1", "p"), "e", "g", 0.0)
    suspects = FixedSuspicions("pa")

    def choose(content: str) -> list[str]:
        fit = anti_affinity.separate_suspects(
            servers, make_info("2", content), suspects
        )
        return [server.info.name for server in fit]

    assert choose("innocent") == ["one", "two"]
    assert choose("a") == ["two"]
    assert choose("p") == ["one", "two"]
    servers[1].place(make_info("3", "p"), "e", "g", 0.0)
    assert choose("a") == ["one", "two"]


def crash_parts(
    at: float,
    *parts: str,
    content: str = "",
    beside: str = "",
    survivors: str = "",
) -> poison.Crash:
    """Returns a crash under one request with these parts.

    Args:
        at: When it crashed.
        parts: The parts.
        content: The content of the request; empty for one of its own.
        beside: Parts of another request that ran there.
        survivors: Parts of requests that survive on other servers.
    """
    seen = crash(at)
    for causes in (parts, tuple(beside)):
        name = f"r{next(NUMBERS)}"
        seen.runners[name] = poison.RunningRequest(
            name, content or name, at, None, causes
        )
    seen.survivors = frozenset(survivors)
    return seen


def is_blocked(
    detector: poison.PoisonDetector, now: float, content: str, parts: str
) -> bool:
    causes = message.make_causes(content, tuple(parts))
    return detector.blocks.find_block(causes, now) is not None


def test_part_common_to_different_requests_is_blocked() -> None:
    detector = make_detector()
    assert not detector.record_crash(crash_parts(1.0, "p", "x", beside="y"))
    assert not detector.record_crash(crash_parts(2.0, "y", "p", beside="x"))
    (found,) = detector.record_crash(crash_parts(3.0, "z", "p"))
    assert (found.block.content, found.count, found.tied) == ("p", 3, False)
    assert is_blocked(detector, 3.1, "new", "vpw")
    assert not is_blocked(detector, 3.1, "new", "xyz")


def test_part_that_has_completed_is_not_blamed_for_the_one_beside_it() -> None:
    detector = make_detector()
    detector.record_success("sound", 0.0, ("a",))
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash_parts(at, "a", "p"))
    assert is_blocked(detector, 3.1, "new", "p")
    assert not is_blocked(detector, 3.1, "new", "a")


def test_parts_that_no_request_tells_apart_are_blocked_only_together() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash_parts(at, "a", "p"))
    assert is_blocked(detector, 3.1, "new", "pa")
    assert not is_blocked(detector, 3.1, "new", "a")
    # The one without the other crashes servers as well.
    for at in (4.0, 5.0, 6.0):
        detector.record_crash(crash_parts(at, f"own-{at}", "p"))
    assert is_blocked(detector, 6.1, "new", "p")
    assert not is_blocked(detector, 6.1, "new", "a")


def test_part_that_once_completed_is_blocked_by_the_eighth_crash() -> None:
    # A new release of the engine may crash on what the former one served.
    detector = make_detector()
    detector.record_success("former", 0.0, ("p",))
    for at in range(1, 9):
        assert not is_blocked(detector, at, "new", "p")
        detector.record_crash(crash_parts(float(at), "p"))
    assert is_blocked(detector, 9.0, "new", "p")


def test_part_on_a_server_that_does_not_crash_is_cleared() -> None:
    detector = make_detector()
    for at in (1.0, 2.0):
        detector.record_crash(crash_parts(at, "a"))
    detector.record_crash(crash_parts(3.0, "a", survivors="a"))
    assert not detector.is_suspect("a")
    assert not is_blocked(detector, 3.1, "new", "a")


def test_servers_that_crash_together_do_not_implicate_their_parts() -> None:
    detector = make_detector()
    for at in range(9):
        for number in range(5):
            detector.record_crash(
                crash_parts(at + number * 0.01, "a", f"own-{number}")
            )
        detector.record_success("sound", at + 0.5, ("a",))
    assert not any(detector.blocks.iterate())


def test_part_of_a_blocked_content_is_blocked_at_the_next_crash() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash_parts(at, "p", content="c"))
    assert is_blocked(detector, 3.1, "c", "p")
    assert not is_blocked(detector, 3.1, "new", "p")
    detector.record_crash(crash_parts(4.0, "p"))
    assert is_blocked(detector, 4.1, "new", "p")


def test_block_of_a_part_ends_once_a_request_with_it_completes() -> None:
    detector = make_detector()
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash_parts(at, f"own-{at}", "p"))
    over = 3.0 + blocklist.INITIAL_PART_BLOCK_S
    assert is_blocked(detector, over - 0.1, "new", "p")
    assert not is_blocked(detector, over, "new", "p")
    assert detector.is_suspect("p")
    detector.record_success("new", over + 1.0, ("p",))
    assert not detector.is_suspect("p")


def test_key_of_a_block_fits_into_the_store() -> None:
    detector = make_detector()
    parts = [f"part-{number:016x}" for number in range(40)]
    for at in (1.0, 2.0, 3.0):
        detector.record_crash(crash_parts(at, *parts))
    (block,) = detector.blocks.iterate()
    assert len(block.content) < 255
    causes = message.make_causes("new", parts)
    assert detector.blocks.find_block(causes, 3.1) == block


def make_trial_owner(suspects: str, servers: int = 2) -> shard.ShardOwner:
    """Returns the owner of a few servers that suspects these parts."""
    return shard.ShardOwner(
        message.ShardKey("z", "s"),
        "127.0.0.1:1",
        shard_rules.ShardRules({"t": 0}, 100_000, 0.25, {}, {}),
        [backend.BackendInfo(f"b{n}", 4, 100_000, 16) for n in range(servers)],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
        suspicions=FixedSuspicions(suspects),
    )


def enqueue(
    owner: shard.ShardOwner, name: str, parts: str, now: float
) -> list[str]:
    """Queues a request; returns the requests that are granted."""
    info = message.RequestInfo(
        name,
        message.ShardKey("z", "s"),
        "c",
        "t",
        10,
        10,
        (),
        9.0,
        content=name,
        parts=tuple(parts),
    )
    return list_granted(owner.receive("entry", message.Enqueue(info), now))


def list_granted(effects: Iterable[owner_effect.SendToEntry]) -> list[str]:
    return [
        effect.message.request_id
        for effect in effects
        if isinstance(effect.message, message.Grant)
    ]


def test_requests_with_a_suspected_part_run_one_at_a_time() -> None:
    owner = make_trial_owner("p")
    assert enqueue(owner, "first", "ap", 1.0) == ["first"]
    assert enqueue(owner, "second", "bp", 1.1) == []
    # Those behind it do not wait.
    assert enqueue(owner, "sound", "a", 1.2) == ["sound"]
    ended = message.Ended("first", 0, 0.0, False)
    assert list_granted(owner.receive("entry", ended, 1.3)) == ["second"]


def test_a_suspect_that_survives_does_not_hold_others_back() -> None:
    owner = make_trial_owner("p")
    enqueue(owner, "first", "p", 1.0)
    assert enqueue(owner, "second", "p", 1.1) == []
    owner.receive("entry", message.FirstToken("first", 0.2, 10, 0), 1.2)
    assert list_granted(owner.tick(1.2 + poison.INNOCENT_AFTER_S / 2)) == []
    assert list_granted(owner.tick(1.2 + poison.INNOCENT_AFTER_S)) == ["second"]


def test_a_suspect_that_never_responds_holds_others_back_for_a_while() -> None:
    owner = make_trial_owner("p")
    enqueue(owner, "first", "p", 1.0)
    assert enqueue(owner, "second", "p", 1.1) == []
    later = 1.1 + anti_affinity.MAX_TRIAL_S
    assert list_granted(owner.tick(later)) == ["second"]


def test_crash_counts_against_a_request_whose_break_was_reported_first() -> (
    None
):
    # Through another VM no probe shows that the server has ended.
    owner = make_trial_owner("", servers=1)
    blocker = content_blocker.ContentBlocker(
        blocklist.Blocklist(),
        timeline.Timeline("node", "z", clock.HybridClock(lambda: 0)),
    )
    enqueue(owner, "tunneled", "p", 1.0)
    enqueue(owner, "sound", "a", 1.0)
    broken = message.Ended("tunneled", 0, 0.0, False, broken=True)
    blocker.observe(owner, broken, 1.1)
    owner.receive("entry", broken, 1.1)
    gone = message.Ended("sound", 0, 0.0, False, broken=True, gone=True)
    blocker.observe(owner, gone, 1.15)
    assert blocker.detector.is_suspect("p")


SEEDS = range(5)

RARE = crash_simulation.Load(wave_every_s=5.0)
FREQUENT = crash_simulation.Load(wave_every_s=1.0)
LONG_REQUESTS = crash_simulation.Load(
    wave_every_s=3.0, longest_s=12.0, requests_per_s=8.0
)

MAX_REFUSED_FRACTION = 1 / 10_000
"""Fraction of harmless requests that may be refused while external crashes
hit most backend servers every second."""


def simulate(load: crash_simulation.Load) -> list[crash_simulation.Simulation]:
    simulations = [crash_simulation.Simulation(load, seed) for seed in SEEDS]
    for simulation in simulations:
        simulation.run(120.0)
    return simulations


WITH_PARTS = crash_simulation.Load(wave_every_s=5.0, has_parts=True)
FREQUENT_WITH_PARTS = crash_simulation.Load(wave_every_s=1.0, has_parts=True)


@pytest.mark.parametrize("load", [RARE, LONG_REQUESTS, WITH_PARTS])
def test_external_crashes_block_nothing(
    load: crash_simulation.Load,
) -> None:
    assert not any(simulation.list_blocked() for simulation in simulate(load))


@pytest.mark.parametrize("load", [FREQUENT, FREQUENT_WITH_PARTS])
def test_constant_external_crashes_block_almost_nothing(
    load: crash_simulation.Load,
) -> None:
    simulations = simulate(load)
    asked = sum(simulation.request_count for simulation in simulations)
    blocked = sum(len(simulation.list_blocked()) for simulation in simulations)
    assert blocked <= asked * MAX_REFUSED_FRACTION


@pytest.mark.parametrize("wave_every_s", [1.0, 8.0])
def test_poison_content_is_blocked_among_external_crashes(
    wave_every_s: float,
) -> None:
    load = crash_simulation.Load(wave_every_s=wave_every_s, poison_every_s=0.5)
    for simulation in simulate(load):
        assert simulation.list_blocked() == {crash_simulation.POISON}
        # Three groups are enough to block it; some crashes fall into
        # the same group as a wave.
        assert simulation.poison_crashes <= 2 * poison.MIN_GROUPS


@pytest.mark.parametrize("wave_every_s", [1.0, 8.0])
def test_poison_part_is_blocked_among_external_crashes(
    wave_every_s: float,
) -> None:
    load = crash_simulation.Load(
        wave_every_s=wave_every_s, poison_every_s=0.5, has_parts=True
    )
    for simulation in simulate(load):
        assert simulation.list_blocked() == {crash_simulation.POISON}
        assert simulation.poison_crashes <= 2 * poison.MIN_GROUPS

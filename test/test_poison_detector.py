"""Who is blamed for a backend server that has ended, and who is not."""

from __future__ import annotations

import itertools

import pytest

from ramptray.core import anti_affinity, backend, blocklist, message, poison
from test import crash_simulation

NUMBERS = itertools.count(1)


def crash(
    at: float,
    *contents: str,
    backend: str = "",
    answered_s: float | None = None,
) -> poison.Crash:
    """Returns the end of a backend server that ran these contents."""
    runners = {}
    for content in contents:
        name = f"r{next(NUMBERS)}"
        runners[name] = poison.RunningRequest(name, content, at, answered_s)
    return poison.Crash(
        backend or f"b{next(NUMBERS)}", next(NUMBERS), at, runners
    )


def make_evidence() -> poison.PoisonDetector:
    return poison.PoisonDetector(blocklist.Blocklist())


def list_blocked(
    evidence: poison.PoisonDetector, now: float, contents: str
) -> list[str]:
    return [c for c in contents if evidence.blocks.get_remaining_s(c, now) > 0]


def test_the_content_that_was_there_each_time_is_blocked() -> None:
    evidence = make_evidence()
    assert not evidence.record_crash(crash(1.0, "p", "a", "b"))
    assert not evidence.record_crash(crash(1.2, "p", "a", "c"))
    (verdict,) = evidence.record_crash(crash(1.4, "p", "c"))
    assert (verdict.block.content, verdict.count) == ("p", 3)
    assert len(verdict.backends) == len(verdict.request_ids) == 3
    assert list_blocked(evidence, 1.5, "pabc") == ["p"]
    assert not any(evidence.is_suspect(content) for content in "abc")


def test_each_request_that_was_there_tells_of_the_same_crash() -> None:
    evidence = make_evidence()
    seen = crash(1.0, "p", backend="b")
    for later in (0.0, 0.1, 0.5):
        again = poison.Crash("b", seen.run, 1.0 + later, seen.runners)
        assert not evidence.record_crash(again)
    assert evidence.get_crash_count("p") == 1


def test_a_backend_server_without_runs_counts_again_once_it_can_be_back() -> (
    None
):
    evidence = make_evidence()
    for at in (1.0, 1.5, 2.5):
        runners = crash(at, "p").runners
        evidence.record_crash(poison.Crash("b", 0, at, runners))
    assert evidence.get_crash_count("p") == 2


def test_a_vm_that_tells_late_of_a_crash_tells_of_no_second_one() -> None:
    evidence = make_evidence()
    evidence.record_crash(poison.Crash("b", 0, 1.0, crash(0.9, "p").runners))
    late = crash(0.8, "a").runners
    evidence.record_crash(poison.Crash("b", 0, 6.0, late))
    assert (evidence.get_crash_count("p"), evidence.get_crash_count("a")) == (
        1,
        0,
    )


def test_who_ends_well_is_innocent() -> None:
    evidence = make_evidence()
    evidence.record_crash(crash(1.0, "a", "x"))
    evidence.record_crash(crash(2.0, "a", "y"))
    evidence.record_success("a", 2.5)
    assert not evidence.is_suspect("a")
    assert not evidence.record_crash(crash(3.0, "a", "z"))


def test_a_content_that_has_ended_well_needs_more() -> None:
    evidence = make_evidence()
    evidence.record_success("a", 0.0)
    verdicts = [
        evidence.record_crash(crash(float(at), "a", str(at)))
        for at in range(1, poison.NEEDED_OF_SOUND + 1)
    ]
    assert [bool(found) for found in verdicts] == [
        *[False] * (poison.NEEDED_OF_SOUND - 1),
        True,
    ]


def test_backend_servers_that_end_together_blame_only_who_is_on_each() -> None:
    evidence = make_evidence()
    for wave in (1.0, 5.0, 9.0, 13.0):
        evidence.record_crash(crash(wave, "a", "x"))
        evidence.record_crash(crash(wave + 0.01, "b", "x"))
        evidence.record_crash(crash(wave + 0.03, "a", "y"))
    assert list_blocked(evidence, 14.0, "abxy") == []


def test_a_wave_counts_once_for_who_is_on_each() -> None:
    evidence = make_evidence()
    for step in range(8):
        evidence.record_crash(crash(1.0 + step * 0.01, "popular", str(step)))
    assert evidence.get_crash_count("popular") == 1


def test_who_has_answered_for_long_is_a_bystander() -> None:
    evidence = make_evidence()
    for at in (1.0, 2.0, 3.0):
        seen = crash(at, "p")
        seen.runners["old"] = poison.RunningRequest("old", "a", 0.0, 3.0)
        evidence.record_crash(seen)
    assert list_blocked(evidence, 3.1, "pa") == ["p"]


def test_contents_that_nothing_tells_apart_wait_for_more() -> None:
    evidence = make_evidence()
    for at in range(poison.NEEDED_OF_TIED - 1):
        assert not evidence.record_crash(crash(float(at), "p", "a"))
    evidence.record_success("a", 9.0)
    assert list_blocked(evidence, 9.1, "pa") == ["p"]


def test_contents_that_stay_tied_are_all_blocked_in_the_end() -> None:
    evidence = make_evidence()
    for at in range(poison.NEEDED_OF_TIED):
        evidence.record_crash(crash(float(at), "p", "a"))
    assert list_blocked(evidence, 9.0, "pa") == ["p", "a"]
    # One that was sent before it was blocked shows that it is innocent.
    evidence.record_success("a", 9.5)
    assert list_blocked(evidence, 10.0, "pa") == ["p"]
    assert not evidence.is_suspect("a")


def test_a_blocked_content_explains_what_it_still_does() -> None:
    evidence = make_evidence()
    for at in (1.0, 2.0, 3.0):
        evidence.record_crash(crash(at, "p"))
    assert not evidence.record_crash(crash(3.1, "p", "a"))
    assert not evidence.is_suspect("a")
    (block,) = evidence.blocks.iterate()
    assert block.level == 1


def test_a_block_ends_and_one_crash_more_brings_it_back_for_longer() -> None:
    evidence = make_evidence()
    for at in (1.0, 2.0, 3.0):
        evidence.record_crash(crash(at, "p"))
    over = 3.0 + blocklist.FIRST_BLOCK_S
    assert evidence.blocks.get_remaining_s("p", over - 0.1) > 0
    assert evidence.blocks.get_remaining_s("p", over) == 0
    evidence.record_crash(crash(over + 1.0, "p", "a"))
    left_s = evidence.blocks.get_remaining_s("p", over + 1.0)
    assert left_s == pytest.approx(2 * blocklist.FIRST_BLOCK_S)


def test_who_had_not_arrived_yet_is_not_counted() -> None:
    evidence = make_evidence()
    seen = crash(1.0, "p", "a")
    evidence.record_crash(seen)
    absent = next(r for r in seen.runners.values() if r.content == "a")
    evidence.exclude_request(absent.request_id)
    assert (evidence.get_crash_count("p"), evidence.get_crash_count("a")) == (
        1,
        0,
    )


def test_requests_without_a_content_are_never_blamed() -> None:
    evidence = make_evidence()
    for at in range(9):
        assert not evidence.record_crash(crash(float(at), "", ""))
        assert not evidence.record_success("", float(at))


def test_memory_is_bounded_under_many_contents() -> None:
    evidence = make_evidence()
    for number in range(20_000):
        evidence.record_success(f"c{number}", number / 10_000)
    for number in range(2_000):
        evidence.record_crash(crash(3.0 + number, f"c{number}", f"d{number}"))
    assert len(evidence._sound) <= poison.MAX_SOUND
    assert len(evidence._moments) <= poison.MAX_MOMENTS
    assert len(evidence._counts) <= 2 * poison.MAX_MOMENTS
    assert len(evidence._ended_at) <= poison.MAX_ENDED


def test_lists_of_blocks_merge_in_any_order() -> None:
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


def test_suspects_are_kept_apart_where_there_is_room() -> None:
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
    suspects = {"p", "a"}

    def choose(content: str) -> list[str]:
        fit = anti_affinity.separate_suspects(
            servers, make_info("2", content), suspects.__contains__
        )
        return [server.info.name for server in fit]

    assert choose("innocent") == ["one", "two"]
    assert choose("a") == ["two"]
    assert choose("p") == ["one", "two"]
    servers[1].place(make_info("3", "p"), "e", "g", 0.0)
    assert choose("a") == ["one", "two"]


SEEDS = range(5)

CALM = crash_simulation.Load(wave_every_s=5.0)
HARSH = crash_simulation.Load(wave_every_s=1.0)
LONG = crash_simulation.Load(wave_every_s=3.0, longest_s=12.0, asked_per_s=8.0)

MOST_REFUSED = 1 / 10_000
"""Part of innocent requests that may be refused while most backend servers
crash from outside every second."""


def play(load: crash_simulation.Load) -> list[crash_simulation.World]:
    worlds = [crash_simulation.World(load, seed) for seed in SEEDS]
    for world in worlds:
        world.play(120.0)
    return worlds


@pytest.mark.parametrize("load", [CALM, LONG])
def test_waves_of_crashes_from_outside_block_nobody(
    load: crash_simulation.Load,
) -> None:
    assert not any(world.list_blocked() for world in play(load))


def test_hardly_anybody_is_blocked_while_everything_crashes() -> None:
    worlds = play(HARSH)
    asked = sum(world.asked for world in worlds)
    blocked = sum(len(world.list_blocked()) for world in worlds)
    assert blocked <= asked * MOST_REFUSED


@pytest.mark.parametrize("wave_every_s", [1.0, 8.0])
def test_a_culprit_among_bystanders_and_waves_is_found(
    wave_every_s: float,
) -> None:
    load = crash_simulation.Load(wave_every_s=wave_every_s, culprit_every_s=0.5)
    for world in play(load):
        assert world.list_blocked() == {crash_simulation.CULPRIT}
        # Three moments settle it; some crashes share theirs with a wave.
        assert world.crashes_of_culprit <= 2 * poison.NEEDED

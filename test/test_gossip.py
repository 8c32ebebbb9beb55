"""What a scheduler hands out of customers' limits, by whom it knows of."""

from __future__ import annotations

import random
import time

import pytest

from ramptray.core import clock, membership
from ramptray.peer import link
from ramptray.scheduler import gossip


def make_gossiper(seeds: list[str]) -> gossip.Gossiper:
    async def take_newer(address: str, generation: int) -> None:
        """Fetches nothing."""

    return gossip.Gossiper(
        membership.Member("a", "z", "a:1", 1),
        seeds,
        link.PeerClient(clock.HybridClock(lambda: 0), None),
        random.Random(1),
        lambda view: None,
        lambda lowest: None,
        take_newer,
    )


def test_a_scheduler_alone_counts_the_seeds_that_it_has_not_met(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by spec/limit.py: after its first seconds a scheduler that had
    # restarted alone on its side of a cut handed out every limit whole.
    started = time.monotonic()
    made = make_gossiper(["a:1", "b:1", "c:1"])
    for later_s in (0.0, gossip.YOUNG_S + 1.0):
        now = started + later_s
        monkeypatch.setattr(time, "monotonic", lambda at=now: at)
        part = gossip.LIMIT_MARGIN / 3
        assert made.get_part() == pytest.approx(part)


def test_seeds_that_were_met_are_not_counted_twice() -> None:
    made = make_gossiper(["b:1", "c:1"])
    met = [membership.Member(n, "z", f"{n}:1", 1) for n in "bc"]
    made.membership.merge(met, time.monotonic())
    assert made.get_part() == 1.0


def test_stale_seeds_are_forgotten_like_dead_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = make_gossiper(["b:1", "c:1"])
    later = time.monotonic() + membership.FORGET_S
    monkeypatch.setattr(time, "monotonic", lambda: later)
    assert made.get_part() == 1.0

"""What a scheduler hands out of customers' limits, by whom it knows of."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import pytest

from ramptray.core import clock, membership
from ramptray.peer import link
from ramptray.peer import message as peer_message
from ramptray.scheduler import gossip


class Peers(link.PeerClient):
    """Peers of which some do not answer."""

    def __init__(self, silent: set[str]) -> None:
        super().__init__(clock.HybridClock(lambda: 0), None)
        self._silent = silent

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        if address in self._silent:
            raise link.LinkError(f"{address}: silent")
        name = address.partition(":")[0]
        member = membership.Member(name, "z", address, 1)
        return peer_message.Gossip(member, [], [], [])


def make_gossiper(
    seeds: list[str], silent: set[str] | None = None
) -> gossip.Gossiper:
    async def take_newer(address: str, generation: int) -> None:
        """Fetches nothing."""

    return gossip.Gossiper(
        membership.Member("a", "z", "a:1", 1),
        seeds,
        Peers(silent or set()),
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


def test_one_silent_member_has_the_others_looked_at() -> None:
    made = make_gossiper([], silent={"b:1", "c:1"})
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in "bcd"]
    made.membership.merge(others, time.monotonic())
    anyio.run(made.check, "b:1")
    states = {m.vm: m.state for m in made.membership.list_all()}
    suspected = [
        vm
        for vm, state in states.items()
        if state is membership.MemberState.SUSPECT
    ]
    assert suspected == ["b", "c"]

"""What a scheduler hands out of customers' limits, by whom it knows of."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import pytest

from ramptray import steadyclock
from ramptray.bundle import acceptance
from ramptray.core import clock, membership, message, summary
from ramptray.peer import link
from ramptray.peer import message as peer_message
from ramptray.scheduler import gossip, source
from test import virtualtime


class Peers(link.PeerClient):
    """Peers of which some do not answer."""

    def __init__(self, silent: set[str]) -> None:
        super().__init__(clock.HybridClock(lambda: 0), None)
        self._silent = silent
        self.asked: list[str] = []

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        self.asked.append(address)
        if address in self._silent:
            raise link.LinkError(f"{address}: silent")
        name = address.partition(":")[0]
        member = membership.Member(name, "z", address, 1)
        return peer_message.Gossip(member, [], [], [])


def make_gossiper(
    seeds: list[str],
    silent: set[str] | None = None,
    bundle_source: source.BundleSource | None = None,
    vm: str = "a",
    client: link.PeerClient | None = None,
    seed: int = 1,
) -> gossip.Gossiper:
    async def take_newer(address: str, generation: int) -> None:
        """Fetches nothing."""

    return gossip.Gossiper(
        membership.Member(vm, "z", f"{vm}:1", 1),
        seeds,
        client or Peers(silent or set()),
        random.Random(seed),
        lambda view: None,
        lambda lowest: None,
        take_newer,
        bundle_source,
    )


def test_a_scheduler_alone_counts_the_seeds_that_it_has_not_met(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by spec/limit.py: after its first seconds a scheduler that had
    # restarted alone on its side of a cut handed out every limit whole.
    started = steadyclock.read()
    made = make_gossiper(["a:1", "b:1", "c:1"])
    for later_s in (0.0, gossip.JOIN_PERIOD_S + 1.0):
        now = started + later_s
        monkeypatch.setattr(steadyclock, "read", lambda at=now: at)
        part = gossip.LIMIT_SHARE_FACTOR / 3
        assert made.get_limit_share() == pytest.approx(part)


def test_seeds_that_were_met_are_not_counted_twice() -> None:
    made = make_gossiper(["b:1", "c:1"])
    met = [membership.Member(n, "z", f"{n}:1", 1) for n in "bc"]
    made.membership.merge(met, steadyclock.read())
    assert made.get_limit_share() == 1.0


def test_stale_seeds_are_forgotten_like_dead_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = make_gossiper(["b:1", "c:1"])
    later = steadyclock.read() + membership.DEAD_RETENTION_S
    monkeypatch.setattr(steadyclock, "read", lambda: later)
    assert made.get_limit_share() == 1.0


def test_one_silent_member_has_the_others_looked_at() -> None:
    made = make_gossiper([], silent={"b:1", "c:1"})
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in "bcd"]
    made.membership.merge(others, steadyclock.read())
    anyio.run(made.probe_now, "b:1")
    states = {m.vm: m.state for m in made.membership.list_all()}
    suspected = [
        vm
        for vm, state in states.items()
        if state is membership.MemberState.SUSPECT
    ]
    assert suspected == ["b", "c"]


def _do_nothing() -> None:
    """Stands in until the gossiper is there."""


class Followed(source.BundleSource):
    """Follows nothing; notes what the gossip tells it."""

    def __init__(self) -> None:
        super().__init__(Peers(set()), 1.0)
        self.ends = {"s": 5}
        self.watching: bool | None = None
        self.on_news: Callable[[], None] = _do_nothing

    @property
    def in_force(self) -> acceptance.InForce | None:
        """See the base class."""
        return None

    @property
    def log_up(self) -> bool:
        """See the base class."""
        return True

    def get_log_age(self, now: float) -> float | None:
        """See the base class."""
        return 0.0

    def list_stream_ends(self) -> dict[str, int]:
        """See the base class."""
        return dict(self.ends)

    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """See the base class."""
        self.ends.update(ends)

    def set_watching(self, watching: bool) -> None:
        """See the base class."""
        self.watching = watching

    def set_on_stream_advance(self, on_news: Callable[[], None]) -> None:
        """See the base class."""
        self.on_news = on_news

    def accept_from_peer(
        self, address: str, told: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""


def test_how_far_streams_reach_is_told_both_ways() -> None:
    followed = Followed()
    made = make_gossiper(["b:1"], bundle_source=followed)
    peer = membership.Member("b", "z", "b:1", 1)
    answer = made.receive(peer_message.Gossip(peer, [], [], [], {"s": 9}))
    assert followed.ends == {"s": 9}
    assert answer.ends == {"s": 9}


class Lost(Followed):
    """A follower whose own read was lost: it knows only what it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.knows_at: float | None = None

    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """See the base class."""
        if ends["s"] > self.ends["s"]:
            self.ends = dict(ends)
            self.knows_at = steadyclock.read()
            self.on_news()


class Network(Peers):
    """Peers in this process."""

    def __init__(self) -> None:
        super().__init__(set())
        self.peers: dict[str, gossip.Gossiper] = {}

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        await anyio.sleep(HOP_S)
        return self.peers[address].receive(question)


HOP_S = 0.003
MEMBERS = 120
SOON_S = 0.3


def test_news_reach_a_large_deployment_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Every VM's read was lost and two watchers know of a change.  Of 120
    # members those 2 alone knew after 0.3 s with a probe a period, and 111 to
    # 116 with news told on at once (ten seeds each).
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    network = Network()
    names = [f"m{number}" for number in range(MEMBERS)]
    members = [membership.Member(n, "z", f"{n}:1", 1) for n in names]
    lost = {name: Lost() for name in names}
    for seed, name in enumerate(names):
        made = make_gossiper(
            [], bundle_source=lost[name], vm=name, client=network, seed=seed
        )
        made.membership.merge(members, 0.0)
        made._joining_until = 0.0
        network.peers[f"{name}:1"] = made

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for made in network.peers.values():
                tasks.start_soon(made.run)
            await anyio.sleep(0.05)
            for name in names[: source.WATCHER_COUNT]:
                lost[name].ends = {"s": 6}
                lost[name].on_news()
            await anyio.sleep(SOON_S)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)
    knowing = sum(follower.ends["s"] == 6 for follower in lost.values())
    assert knowing >= 0.85 * MEMBERS


def test_few_members_watch_and_others_follow_when_they_go() -> None:
    watching = {}
    vms = "abcdefgh"
    for vm in vms:
        followed = Followed()
        made = make_gossiper([], bundle_source=followed, vm=vm)
        others = [
            membership.Member(n, "z", f"{n}:1", 1) for n in vms if n != vm
        ]
        made.membership.merge(others, 0.0)
        made._publish()
        watching[vm] = (made, followed)
    watchers = {vm for vm, (_, f) in watching.items() if f.watching}
    assert len(watchers) == source.WATCHER_COUNT
    gone = [
        membership.Member(vm, "z", f"{vm}:1", 1, membership.MemberState.DEAD)
        for vm in watchers
    ]
    for made, _ in watching.values():
        made.membership.merge(gone, 1.0)
        made._publish()
    left = {vm for vm, (_, f) in watching.items() if f.watching} - watchers
    assert len(left) == source.WATCHER_COUNT


def test_a_settled_scheduler_probes_no_more_often_than_others() -> None:
    peers = Peers(set())
    made = make_gossiper(["b:1"], client=peers)

    async def run() -> None:
        with anyio.move_on_after(gossip.JOIN_PROBE_INTERVAL_S * 30):
            await made.run()

    anyio.run(run)
    # Each of the first probes may bring a member, the next ones brought none;
    # for all of its first four seconds it would have been thirty.
    assert len(peers.asked) <= 2 * gossip.QUIET_PROBES_TO_JOIN


def test_seeds_that_are_members_are_probed_as_members_only() -> None:
    # Of 195 members each asked one of three seeds every 1.5 s beside its
    # probes: 43 questions a second for each of the three.
    peers = Peers(set())
    made = make_gossiper(["b:1"], client=peers)
    others = [membership.Member(f"m{n}", "z", f"m{n}:1", 1) for n in range(40)]
    seed = membership.Member("b", "z", "b:1", 1)
    made.membership.merge([*others, seed], steadyclock.read())
    neighbours = {m.address for m in made.membership.list_probe_targets()}

    async def run() -> None:
        for _ in range(4 * gossip.OTHER_ZONE_PROBE_PERIODS):
            await made._run_period()

    anyio.run(run)
    assert set(peers.asked) <= neighbours
    assert "b:1" not in neighbours


def test_a_scheduler_asks_for_all_members_and_lists_them() -> None:
    made = make_gossiper([])
    asked = made._make_probe()
    assert asked.wanted_after == ""
    names = sorted(f"m{n}" for n in range(60))
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in names]
    lister = make_gossiper([], vm="l")
    lister.membership.merge(others, steadyclock.read())
    for _ in range(2):
        made._apply_answer(lister.receive(made._make_probe()))
    known = {member.vm for member in made.membership.list_alive()}
    assert known == {*names, "a", "l"}
    assert made._make_probe().wanted_after is None


def test_summaries_are_told_only_where_there_are_other_zones() -> None:
    made = make_gossiper([])
    key = message.ShardKey("z", "lm", 0)
    own = summary.ShardSummary(key, "a:1", 1, (0,), True, 1)
    made.summaries.put([own], steadyclock.read())
    assert made._make_message().summaries == []
    other = membership.Member("b", "y", "b:1", 1)
    made.receive(peer_message.Gossip(other, [], [], []))
    assert made._make_message().summaries == [own]

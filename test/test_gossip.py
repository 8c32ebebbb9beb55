"""Gossip between schedulers: limit shares, probes and stream ends."""

from __future__ import annotations

import asyncio
import random
import socket
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
from test import standstill, virtualtime


class Peers(link.PeerClient):
    """Peers, some of which do not answer."""

    def __init__(self, silent: set[str]) -> None:
        super().__init__(clock.HybridClock(lambda: 0), None)
        self._silent = silent
        self.probed: list[str] = []

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        self.probed.append(address)
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
    async def ignore_newer(address: str, generation: int) -> None:
        """Fetches nothing."""

    return gossip.Gossiper(
        membership.Member(vm, "z", f"{vm}:1", 1),
        seeds,
        client or Peers(silent or set()),
        random.Random(seed),
        lambda view: None,
        lambda lowest: None,
        ignore_newer,
        bundle_source,
    )


def test_an_isolated_scheduler_counts_undiscovered_seeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by spec/limit.py: some seconds after it had restarted alone on its
    # side of a network partition, a scheduler granted every limit in full.
    started = steadyclock.read()
    gossiper = make_gossiper(["a:1", "b:1", "c:1"])
    for later_s in (0.0, gossip.JOIN_PERIOD_S + 1.0):
        now = started + later_s
        monkeypatch.setattr(steadyclock, "read", lambda at=now: at)
        part = gossip.LIMIT_SHARE_FACTOR / 3
        assert gossiper.get_limit_share() == pytest.approx(part)


def test_seeds_that_are_members_are_not_counted_twice() -> None:
    gossiper = make_gossiper(["b:1", "c:1"])
    met = [membership.Member(n, "z", f"{n}:1", 1) for n in "bc"]
    gossiper.membership.merge(met, steadyclock.read())
    assert gossiper.get_limit_share() == 1.0


def test_stale_seeds_expire_like_dead_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gossiper = make_gossiper(["b:1", "c:1"])
    later = steadyclock.read() + membership.DEAD_RETENTION_S
    monkeypatch.setattr(steadyclock, "read", lambda: later)
    assert gossiper.get_limit_share() == 1.0


def test_one_unresponsive_member_causes_probes_of_others() -> None:
    gossiper = make_gossiper([], silent={"b:1", "c:1"})
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in "bcd"]
    gossiper.membership.merge(others, steadyclock.read())
    anyio.run(gossiper.probe_now, "b:1")
    states = {m.vm: m.state for m in gossiper.membership.list_all()}
    suspected = [
        vm
        for vm, state in states.items()
        if state is membership.MemberState.SUSPECT
    ]
    assert suspected == ["b", "c"]


class PeersWhileStanding(Peers):
    """Peers that answer through a socket while this process stands still."""

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        here, there = socket.socketpair()
        here.setblocking(False)
        with (
            here,
            there,
            standstill.stand_still(
                HOP_DELAY_S, STOPPED_S, lambda: there.send(b"x")
            ),
        ):
            await asyncio.get_running_loop().sock_recv(here, 1)
        return await super().ask(address, question, timeout_s)


def test_a_member_that_answered_during_a_standstill_is_not_suspected() -> None:
    # The timer of the probe ran before its answer was read, so that a VM that
    # stood still took the others for lost.
    gossiper = make_gossiper([], client=PeersWhileStanding(set()))
    member = membership.Member("b", "z", "b:1", 1)

    async def probe() -> None:
        async with anyio.create_task_group() as tasks:
            gossiper._tasks = tasks
            gossiper.membership.merge([member], steadyclock.read())
            await gossiper.probe_now("b:1")

    anyio.run(probe)
    states = {m.vm: m.state for m in gossiper.membership.list_all()}
    assert states["b"] is membership.MemberState.ALIVE


def _do_nothing() -> None:
    """Default until the gossiper sets its callback."""


class RecordingSource(source.BundleSource):
    """A source without bundles that records stream ends from gossip."""

    def __init__(self) -> None:
        super().__init__(Peers(set()), 1.0)
        self.ends = {"s": 5}
        self.watching: bool | None = None
        self.on_advance: Callable[[], None] = _do_nothing

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

    def set_on_stream_advance(self, on_advance: Callable[[], None]) -> None:
        """See the base class."""
        self.on_advance = on_advance

    def accept_from_peer(
        self, address: str, answer: peer_message.FetchedBundle
    ) -> None:
        """See the base class."""


def test_stream_ends_are_exchanged_in_both_directions() -> None:
    followed = RecordingSource()
    gossiper = make_gossiper(["b:1"], bundle_source=followed)
    peer = membership.Member("b", "z", "b:1", 1)
    answer = gossiper.receive(peer_message.Gossip(peer, [], [], [], {"s": 9}))
    assert followed.ends == {"s": 9}
    assert answer.ends == {"s": 9}


class LostReadSource(RecordingSource):
    """A source whose own read is lost: it learns ends from gossip only."""

    def __init__(self) -> None:
        super().__init__()
        self.updated_at: float | None = None

    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """See the base class."""
        if ends["s"] > self.ends["s"]:
            self.ends = dict(ends)
            self.updated_at = steadyclock.read()
            self.on_advance()


class Network(Peers):
    """Peers in this process, with a delay per request."""

    def __init__(self) -> None:
        super().__init__(set())
        self.peers: dict[str, gossip.Gossiper] = {}

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        await anyio.sleep(HOP_DELAY_S)
        return self.peers[address].receive(question)


HOP_DELAY_S = 0.003
STOPPED_S = 1.0
"""How long a process stands still, in seconds: longer than a probe may take."""

MEMBERS = 120
SPREAD_LIMIT_S = 0.3


def test_stream_ends_reach_a_large_deployment_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The reads of all VMs are lost and only two watchers know of a change.
    # With one probe per period only these 2 of 120 members knew it after 0.3 s;
    # with new ends passed on at once 111 to 116 did (ten seeds each).
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    network = Network()
    names = [f"m{number}" for number in range(MEMBERS)]
    members = [membership.Member(n, "z", f"{n}:1", 1) for n in names]
    sources = {name: LostReadSource() for name in names}
    for seed, name in enumerate(names):
        gossiper = make_gossiper(
            [], bundle_source=sources[name], vm=name, client=network, seed=seed
        )
        gossiper.membership.merge(members, 0.0)
        gossiper._joining_until = 0.0
        network.peers[f"{name}:1"] = gossiper

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for gossiper in network.peers.values():
                tasks.start_soon(gossiper.run)
            await anyio.sleep(0.05)
            for name in names[: source.WATCHER_COUNT]:
                sources[name].ends = {"s": 6}
                sources[name].on_advance()
            await anyio.sleep(SPREAD_LIMIT_S)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)
    updated_count = sum(each.ends["s"] == 6 for each in sources.values())
    assert updated_count >= 0.85 * MEMBERS


def test_few_members_watch_and_others_replace_dead_watchers() -> None:
    watching = {}
    vms = "abcdefgh"
    for vm in vms:
        followed = RecordingSource()
        gossiper = make_gossiper([], bundle_source=followed, vm=vm)
        others = [
            membership.Member(n, "z", f"{n}:1", 1) for n in vms if n != vm
        ]
        gossiper.membership.merge(others, 0.0)
        gossiper._publish()
        watching[vm] = (gossiper, followed)
    watchers = {vm for vm, (_, f) in watching.items() if f.watching}
    assert len(watchers) == source.WATCHER_COUNT
    gone = [
        membership.Member(vm, "z", f"{vm}:1", 1, membership.MemberState.DEAD)
        for vm in watchers
    ]
    for gossiper, _ in watching.values():
        gossiper.membership.merge(gone, 1.0)
        gossiper._publish()
    left = {vm for vm, (_, f) in watching.items() if f.watching} - watchers
    assert len(left) == source.WATCHER_COUNT


def test_a_scheduler_that_has_joined_stops_frequent_probes() -> None:
    peers = Peers(set())
    gossiper = make_gossiper(["b:1"], client=peers)

    async def run() -> None:
        with anyio.move_on_after(gossip.JOIN_PROBE_INTERVAL_S * 30):
            await gossiper.run()

    anyio.run(run)
    # Each of the first probes may add a member; the same number of probes after
    # them adds none.  Without the early end, the frequent probes would last for
    # the first four seconds, and there would be thirty of them here.
    assert len(peers.probed) <= 2 * gossip.QUIET_PROBES_TO_JOIN


def test_member_seeds_get_no_extra_probes() -> None:
    # Each of 195 members sent one of three seeds an extra probe every 1.5 s:
    # 43 requests a second for each of the three.
    peers = Peers(set())
    gossiper = make_gossiper(["b:1"], client=peers)
    others = [membership.Member(f"m{n}", "z", f"m{n}:1", 1) for n in range(40)]
    seed = membership.Member("b", "z", "b:1", 1)
    gossiper.membership.merge([*others, seed], steadyclock.read())
    neighbours = {m.address for m in gossiper.membership.list_probe_targets()}

    async def run() -> None:
        for _ in range(4 * gossip.OTHER_ZONE_PROBE_PERIODS):
            await gossiper._run_period()

    anyio.run(run)
    assert set(peers.probed) <= neighbours
    assert "b:1" not in neighbours


def test_a_scheduler_fetches_the_full_member_list() -> None:
    gossiper = make_gossiper([])
    probe = gossiper._make_probe()
    assert probe.wanted_after == ""
    names = sorted(f"m{n}" for n in range(60))
    others = [membership.Member(n, "z", f"{n}:1", 1) for n in names]
    peer = make_gossiper([], vm="l")
    peer.membership.merge(others, steadyclock.read())
    for _ in range(2):
        gossiper._apply_answer(peer.receive(gossiper._make_probe()))
    known = {member.vm for member in gossiper.membership.list_alive()}
    assert known == {*names, "a", "l"}
    assert gossiper._make_probe().wanted_after is None


def test_summaries_are_sent_only_if_other_zones_are_known() -> None:
    gossiper = make_gossiper([])
    key = message.ShardKey("z", "lm", 0)
    own = summary.ShardSummary(key, "a:1", 1, (0,), True, 1)
    gossiper.summaries.put([own], steadyclock.read())
    assert gossiper._make_message().summaries == []
    other = membership.Member("b", "y", "b:1", 1)
    gossiper.receive(peer_message.Gossip(other, [], [], []))
    assert gossiper._make_message().summaries == [own]


class DistantPeers(Peers):
    """Peers whose answers arrive after a delay.

    Attributes:
        guesses: Number of connection attempts that are too short.
    """

    def __init__(self, delay_s: float, guesses: int = 0) -> None:
        super().__init__(set())
        self._delay_s = delay_s
        self.guesses = guesses

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        if self.guesses:
            self.guesses -= 1
            await anyio.sleep(0.2)
            raise link.ConnectGuessError(address)
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(self._delay_s)
            return await super().ask(address, question, timeout_s)
        raise link.LinkError(address)


def probe_distant(client: DistantPeers, count: int) -> list[bool]:
    """Returns which of several probes of a member were answered in time."""
    gossiper = make_gossiper([], client=client)
    outcomes: list[bool] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            gossiper._tasks = tasks
            for _ in range(count):
                outcomes.append(
                    await gossiper._probe("b:1", gossip.SUSPECT_PROBE_TIMEOUT_S)
                )
                await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)
    return outcomes


@pytest.fixture
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)


@pytest.mark.usefixtures("virtual_clock")
def test_a_late_probe_answer_extends_the_next_timeout() -> None:
    # A member 150 ms away was suspected again and again.
    assert probe_distant(DistantPeers(0.3), 3) == [False, True, True]


@pytest.mark.usefixtures("virtual_clock")
def test_a_distant_peer_does_not_delay_the_detection_of_a_near_one() -> None:
    client = DistantPeers(0.3)
    gossiper = make_gossiper([], client=client)
    for _ in range(50):
        gossiper._observe_rtt("near:1", 0.002)
    gossiper._observe_rtt("far:1", 0.3)
    least_s = gossip.SUSPECT_PROBE_TIMEOUT_S
    assert gossiper._get_timeout_s("far:1", least_s) >= 0.6
    assert gossiper._get_timeout_s("near:1", least_s) < 0.4


@pytest.mark.usefixtures("virtual_clock")
def test_a_probe_outlasts_connection_attempts_that_are_too_short() -> None:
    # The contact in another region was removed after the first one.
    client = DistantPeers(0.1, guesses=2)
    gossiper = make_gossiper([], client=client)
    gossiper.receive(
        peer_message.Gossip(membership.Member("b", "y", "b:1", 1), [], [], [])
    )
    virtualtime.run(lambda: gossiper._ask("b:1", gossip._ProbeOutcome()))
    assert client.probed == ["b:1"]
    assert [m.vm for m in gossiper._contacts.list_all()] == ["b"]


@pytest.mark.usefixtures("virtual_clock")
def test_a_silent_seed_does_not_delay_the_probes_of_others() -> None:
    client = DistantPeers(1.4)
    gossiper = make_gossiper(["b:1", "c:1"], client=client)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            gossiper._tasks = tasks
            for _ in range(5):
                await gossiper._run_period()
                await gossiper._probe_seeds()
            assert virtualtime.read() < 0.1
            await anyio.sleep(1.41)
            assert sorted(client.probed) == ["b:1", "c:1"]
            tasks.cancel_scope.cancel()

    virtualtime.run(run)


class RegionNetwork(Network):
    """Peers in three regions, some answering late.

    Attributes:
        caller: Address of the peer that owns this client.
        peers: The peers of all regions.
        rtt_s: Round trip between regions, in seconds.
    """

    def __init__(
        self,
        caller: str,
        peers: dict[str, gossip.Gossiper],
        rtt_s: float,
        seed: int,
    ) -> None:
        super().__init__()
        self.caller = caller
        self.peers = peers
        self.rtt_s = rtt_s
        self._rng = random.Random(seed)
        self._connected: set[str] = set()

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        rtt_s = 0.002 if address[0] == self.caller[0] else self.rtt_s
        late_s = 0.2 if self._rng.random() < 0.05 else 0.0
        if address not in self._connected:
            self._connected.add(address)
            await anyio.sleep(2 * rtt_s)
        await anyio.sleep(rtt_s / 2 + late_s)
        answer = self.peers[address].receive(question)
        await anyio.sleep(rtt_s / 2)
        return answer


@pytest.mark.usefixtures("virtual_clock")
@pytest.mark.parametrize("seed", range(3))
def test_busy_members_in_three_regions_are_not_declared_dead(seed: int) -> None:
    # Guards the fixed times, such as the time to refute a suspicion; each is
    # listed in docs/design/timeouts.md with the distance that it tolerates.
    peers: dict[str, gossip.Gossiper] = {}
    names = [f"{region}{n}" for region in "xyz" for n in range(8)]
    for number, name in enumerate(names):
        peers[f"{name}:1"] = make_gossiper(
            ["x0:1", "y0:1"],
            vm=name,
            client=RegionNetwork(f"{name}:1", peers, 0.06, 100 * seed + number),
            seed=100 * seed + number,
        )
    dead: list[str] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for gossiper in peers.values():
                tasks.start_soon(gossiper.run)
            for _ in range(300):
                await anyio.sleep(0.1)
                dead.extend(
                    member.vm
                    for gossiper in peers.values()
                    for member in gossiper.membership.list_all()
                    if member.state is membership.MemberState.DEAD
                )
            tasks.cancel_scope.cancel()

    virtualtime.run(run)
    assert not dead
    for gossiper in peers.values():
        assert len(gossiper.membership.list_alive()) == len(names)

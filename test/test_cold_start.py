"""All VMs of a scheduling zone start at the same time.

After all VMs had been killed, each of 46 VMs owned every shard until it had
found the others, and 0.35 of the value was served in the next two seconds.
"""

from __future__ import annotations

import itertools
import random
from typing import Any

import anyio
import pytest

from ramptray import steadyclock
from ramptray.core import membership, message
from ramptray.entry import owners
from ramptray.peer import link
from ramptray.peer import message as peer_message
from ramptray.scheduler import gossip
from test import virtualtime
from test.test_gossip import Network, make_gossiper

MEMBERS = 46
SEEDS = 6
START_SPREAD_S = 0.4
"""Time within which all VMs start, in seconds."""

HOP_DELAY_S = 0.004
AGREEMENT_LIMIT_S = 0.2
"""Time limit for all VMs to agree after the last start, in seconds."""

OWN_LIMIT_S = 0.03
"""Time that a VM may on average wrongly use its own scheduler, in seconds."""

SHARD = message.ShardKey("z", "lm")


class StartingNetwork(Network):
    """Peers that refuse connections until they have started."""

    async def ask(self, address: str, question: Any, timeout_s: float) -> Any:
        """See the base class."""
        await anyio.sleep(HOP_DELAY_S)
        if address not in self.peers:
            raise link.LinkError(f"{address}: refused")
        answer = self.peers[address].receive(question)
        await anyio.sleep(HOP_DELAY_S)
        return answer


class Vm:
    """A starting VM and the owners that its entry uses.

    Attributes:
        choices: Time and address of each owner that it has chosen.
    """

    def __init__(self, number: int, network: StartingNetwork) -> None:
        self.name = f"m{number}"
        self._number = number
        self.choices: list[tuple[float, str | None]] = []
        rng = random.Random(number)
        seeds = rng.sample([f"m{n}:1" for n in range(MEMBERS)], SEEDS)
        self._start_s = START_SPREAD_S * rng.random()
        self._seeds = seeds
        self._network = network
        self._selector = owners.OwnerSelector(
            "z", f"{self.name}:1", True, awaits_view=True
        )

    @property
    def address(self) -> str:
        return f"{self.name}:1"

    async def run(self) -> None:
        """Starts after a while and runs until cancelled."""
        await anyio.sleep(self._start_s)
        gossiper = make_gossiper(
            self._seeds, vm=self.name, client=self._network, seed=self._number
        )
        gossiper._on_view = self._apply_view
        self._record_owner()
        self._network.peers[self.address] = gossiper
        await gossiper.run()

    def _apply_view(self, view: peer_message.View) -> None:
        self._selector.apply_view(view)
        self._record_owner()

    def _record_owner(self) -> None:
        now = steadyclock.read()
        self.choices.append((now, self._selector.find_owner(SHARD, now)))


def run_cold_start(monkeypatch: pytest.MonkeyPatch) -> list[Vm]:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    network = StartingNetwork()
    vms = [Vm(number, network) for number in range(MEMBERS)]

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for vm in vms:
                tasks.start_soon(vm.run)
            await anyio.sleep(START_SPREAD_S + 3.0)
            tasks.cancel_scope.cancel()

    virtualtime.run(run)
    return vms


def compute_own_s(vm: Vm, agreed_owner: str | None) -> float:
    """Returns for how long a VM has wrongly used its own scheduler."""
    ends = [at for at, _ in vm.choices[1:]]
    return sum(
        end - at
        for (at, owner), end in zip(vm.choices, ends, strict=False)
        if owner == vm.address != agreed_owner
    )


def test_vms_that_start_together_soon_agree_on_one_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    vms = run_cold_start(monkeypatch)
    (agreed_owner,) = {vm.choices[-1][1] for vm in vms}
    settled_at = max(
        at
        for vm in vms
        for (_, former), (at, owner) in itertools.pairwise(vm.choices)
        if owner != former
    )
    own_s = [compute_own_s(vm, agreed_owner) for vm in vms]
    assert settled_at < START_SPREAD_S + AGREEMENT_LIMIT_S
    assert sum(own_s) < MEMBERS * OWN_LIMIT_S


def test_requests_wait_until_the_local_scheduler_has_joined() -> None:
    selector = owners.OwnerSelector("z", "a:1", True, awaits_view=True)
    selector.apply_view(peer_message.View([], []))
    assert selector.find_owner(SHARD, 0.0) is None
    alone = membership.Member("a", "z", "a:1", 1)
    selector.apply_view(peer_message.View([alone], []))
    assert selector.find_owner(SHARD, 0.0) == "a:1"


def test_a_scheduler_without_answers_soon_works_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    network = StartingNetwork()
    published: list[float] = []

    async def run() -> None:
        gossiper = make_gossiper(["b:1"], client=network)
        gossiper._on_view = lambda view: published.append(steadyclock.read())
        with anyio.move_on_after(1.0):
            await gossiper.run()

    virtualtime.run(run)
    assert published[0] <= gossip.JOIN_WAIT_S + 0.01

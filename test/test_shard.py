"""Property tests of a shard's owner with arbitrary sequences of messages."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from ramptray.core import (
    backend,
    fleet,
    message,
    owner_effect,
    policy,
    queue,
    request,
    shard,
    summary,
)
from ramptray.core import rules as shard_rules

TIERS = ("urgent", "normal", "batch")
KEY = message.ShardKey("waw-a", "assistant")


def make_owner(
    count: int = 2, queue_cost: int = 4000, headroom: float = 0.25
) -> shard.ShardOwner:
    """Returns an owner with small engines and a small queue."""
    ranks = {tier: rank for rank, tier in enumerate(TIERS)}
    return shard.ShardOwner(
        KEY,
        "127.0.0.1:1",
        shard_rules.ShardRules(ranks, queue_cost, headroom, {}, {}),
        [backend.BackendInfo(f"e{n}", 4, 10_000, 16) for n in range(count)],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
    )


def make_info(
    name: str,
    tier: str = "normal",
    customer: str = "ola",
    prompt: int = 100,
    output: int = 50,
    deadline_s: float = 60.0,
) -> message.RequestInfo:
    """Returns a request's properties."""
    return message.RequestInfo(
        name, KEY, customer, tier, prompt, output, (), deadline_s
    )


class OwnerMachine(RuleBasedStateMachine):
    """Sends an owner any messages that entries may send, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.owner = make_owner()
        self.count = 0
        self.infos: dict[str, message.RequestInfo] = {}
        self.waiting: set[str] = set()
        self.granted: dict[str, message.Grant] = {}

    def send(self, sent: message.EntryMessage) -> None:
        """Sends one message and checks the responses."""
        before = self.owner.list_waiting()
        self.check_effects(self.owner.receive("entry", sent, self.now), before)

    def check_effects(
        self, out: list[owner_effect.SendToEntry], before: list[int]
    ) -> None:
        """Checks the owner's messages."""
        for effect in out:
            sent = effect.message
            assert sent.request_id in self.waiting, sent
            self.waiting.discard(sent.request_id)
            if isinstance(sent, message.Grant):
                self.granted[sent.request_id] = sent
            if isinstance(sent, message.Reject):
                self.check_reject(sent)

    def check_reject(self, reject: message.Reject) -> None:
        """Checks that no tier is shed while a lower one is queued."""
        info = self.infos[reject.request_id]
        assert reject.retry_after_s > 0
        if reject.reason is message.Reason.OVERLOADED:
            rank = TIERS.index(info.tier)
            assert not any(self.owner.list_waiting()[rank + 1 :]), reject

    @rule(
        tier=st.sampled_from(TIERS),
        customer=st.sampled_from(["ola", "hydraulik", "fryzjer"]),
        prompt=st.integers(1, 3000),
        output=st.integers(1, 300),
        deadline_s=st.floats(0.5, 60),
    )
    def enqueue(
        self,
        tier: str,
        customer: str,
        prompt: int,
        output: int,
        deadline_s: float,
    ) -> None:
        self.count += 1
        info = make_info(
            f"r{self.count}", tier, customer, prompt, output, deadline_s
        )
        self.infos[info.request_id] = info
        self.waiting.add(info.request_id)
        self.send(message.Enqueue(info))

    @precondition(lambda self: self.infos)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.infos)))
        if name in self.waiting or name in self.granted:
            self.send(message.Enqueue(self.infos[name]))

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), first=st.booleans(), whole=st.booleans())
    def end(self, data: st.DataObject, first: bool, whole: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.granted)))
        if first:
            self.send(message.FirstToken(name, 0.2, 80, 20))
        del self.granted[name]
        self.send(message.Ended(name, 10, 0.3, whole))

    @precondition(lambda self: self.granted)
    @rule(data=st.data(), unreachable=st.booleans())
    def decline(self, data: st.DataObject, unreachable: bool) -> None:
        name = data.draw(st.sampled_from(sorted(self.granted)))
        grant = self.granted.pop(name)
        if unreachable:
            self.waiting.add(name)
        self.send(message.Decline(name, grant.grant_id, unreachable))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.discard(name)
        self.send(message.Withdraw(name))

    @rule(seconds=st.floats(0.01, 5))
    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.check_effects(self.owner.tick(self.now), self.owner.list_waiting())

    @rule(lost=st.sets(st.integers(1, 60), max_size=20))
    def reattach(self, lost: set[int]) -> None:
        """The entry reconnects and resynchronizes all of its requests.

        Grants in transit are lost, so those requests are queued again.
        """
        for name in sorted(self.granted):
            if int(name[1:]) in lost:
                del self.granted[name]
                self.waiting.add(name)
        self.owner.detach_entry("entry", self.now)
        self.owner.begin_sync("entry")
        for name, grant in self.granted.items():
            info = self.infos[name]
            self.send(message.Running(info, grant.backend, 0.5, 0))
        for name in sorted(self.waiting):
            if name in self.waiting:
                self.send(message.Enqueue(self.infos[name]))
        self.send(message.SyncDone("entry"))

    @rule(running=st.integers(0, 6), name=st.sampled_from(["e0", "e1"]))
    def report(self, running: int, name: str) -> None:
        self.owner.apply_load_report(name, running)

    @invariant()
    def check_accounting(self) -> None:
        for server in self.owner.fleet.backends.values():
            pending = server.pending.values()
            assert server.prefill_tokens == sum(p.uncached for p in pending)
            assert server.held_tokens == sum(
                p.tokens for p in server.placed.values()
            )
            assert len(server.placed) <= server.info.max_running
        placed = {
            name
            for server in self.owner.fleet.backends.values()
            for name in server.placed
        }
        assert placed == set(self.granted)
        assert self.owner.waiting_count == len(self.waiting)
        assert sum(self.owner.list_waiting()) == len(self.waiting)


OwnerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestOwner = OwnerMachine.TestCase


def test_higher_tier_goes_first_and_headroom_is_kept() -> None:
    owner = make_owner(count=1)
    granted: list[str] = []
    for number in range(6):
        info = make_info(f"b{number}", "batch", prompt=1)
        out = owner.receive("entry", message.Enqueue(info), 1.0)
        granted += [effect.message.request_id for effect in out]
    assert granted == ["b0", "b1", "b2"]
    urgent = make_info("u", "urgent", prompt=1)
    out = owner.receive("entry", message.Enqueue(urgent), 1.0)
    assert [effect.message.request_id for effect in out] == ["u"]


def test_customers_share_a_tier_fairly_by_tokens() -> None:
    owner = make_owner(count=1, queue_cost=10**9)
    for number in range(40):
        for customer, prompt in (("ola", 1000), ("hydraulik", 100)):
            info = make_info(
                f"{customer}{number}", "batch", customer, prompt, 1
            )
            owner.receive("entry", message.Enqueue(info), 1.0)
    used = {"ola": 0, "hydraulik": 0}
    running = sorted(owner.fleet.backends["e0"].placed)
    for _ in range(30):
        name = running.pop(0)
        first = message.FirstToken(name, 0.2, 100, 0)
        out = owner.receive("entry", first, 1.0)
        out += owner.receive("entry", message.Ended(name, 1, 0, True), 1.0)
        for effect in out:
            running.append(effect.message.request_id)
            placed = owner.fleet.backends["e0"].placed[
                effect.message.request_id
            ]
            used[placed.request.customer] += queue.compute_cost(placed.request)
    assert 0.5 < used["ola"] / used["hydraulik"] < 2.0


def test_slots_of_a_dead_entry_are_freed_after_a_timeout() -> None:
    owner = make_owner(count=1)
    owner.receive("dead", message.Enqueue(make_info("r")), 1.0)
    assert len(owner.fleet.backends["e0"].placed) == 1
    owner.detach_entry("dead", 2.0)
    owner.tick(2.0 + fleet.ORPHAN_TIMEOUT_S - 1)
    assert len(owner.fleet.backends["e0"].placed) == 1
    owner.tick(2.0 + fleet.ORPHAN_TIMEOUT_S + 1)
    assert len(owner.fleet.backends["e0"].placed) == 0


def test_a_new_owner_waits_for_a_load_report_before_it_grants() -> None:
    owner = shard.ShardOwner(
        KEY,
        "127.0.0.1:1",
        shard_rules.ShardRules({"normal": 0}, 4000, 0.0, {}, {}),
        [backend.BackendInfo(f"e{n}", 4, 10_000, 16) for n in range(2)],
        policy.make_policy(),
        1.0,
    )
    assert not owner.receive("entry", message.Enqueue(make_info("r")), 1.0)
    owner.apply_load_report("e0", 0)
    owner.fleet.set_state("e0", backend.BackendState.LEAVING)
    assert not owner.tick(1.1)
    owner.apply_load_report("e1", 0)
    granted = [effect.message for effect in owner.tick(1.2)]
    assert isinstance(granted[0], message.Grant)
    assert granted[0].backend == "e1"


def test_a_grant_lost_with_its_connection_is_repeated() -> None:
    owner = make_owner(count=1)
    enqueue = message.Enqueue(make_info("r"))
    assert owner.receive("entry", enqueue, 1.0)
    owner.detach_entry("entry", 1.1)
    owner.begin_sync("entry")
    again = owner.receive("entry", enqueue, 1.2)
    owner.receive("entry", message.SyncDone("entry"), 1.2)
    assert [type(effect.message) for effect in again] == [message.Grant]
    assert list(owner.fleet.backends["e0"].placed) == ["r"]


def test_a_request_whose_owner_changed_while_it_connected_is_requeued() -> None:
    info = make_info("r")
    machine = request.RequestMachine(info, needs_claim=False)
    machine.assign("A", info)
    machine.receive_grant(message.Grant("r", "A#1", "e0", "A"))
    successor = make_owner(count=2)
    effects = [*machine.assign("B", info, 0.1), *machine.fail_connect()]
    out = [
        effect
        for sent in effects
        if isinstance(sent, request.SendToOwner) and sent.owner == "B"
        for effect in successor.receive("entry", sent.message, 1.0)
    ]
    granted = out[-1].message
    assert isinstance(granted, message.Grant)
    assert granted.backend == "e1"
    assert successor.fleet.backends["e0"].placed == {}


def test_a_request_is_redirected_to_a_zone_with_capacity() -> None:
    owner = make_owner(count=0)
    elsewhere = summary.ShardSummary(
        msgspec.structs.replace(KEY, zone="waw-b"),
        "127.0.0.2:1",
        4000,
        (0, 0, 0),
        True,
        1,
    )
    owner.set_remote_summaries([elsewhere], 1.0)
    out = owner.receive("entry", message.Enqueue(make_info("r")), 1.0)
    assert [effect.message for effect in out] == [
        message.Redirect("r", "waw-b", "127.0.0.2:1", reason="no_server")
    ]

"""The scenarios of feature/failure.feature, on the decision core."""

from __future__ import annotations

import dataclasses
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ramptray.bundle import acceptance, model, signature
from ramptray.core import (
    backend,
    claim,
    lease,
    message,
    owner_effect,
    policy,
    request,
    shard,
)
from ramptray.core import rules as shard_rules

scenarios("feature/failure.feature")

KEY = message.ShardKey("waw-a", "assistant")
RANKS = {"urgent": 0, "batch": 1}


class World:
    """One entry, two owners and one engine, in exact time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.places = 2
        self.refuses_until = 0.0
        self.owners: dict[str, shard.ShardOwner] = {}
        self.machines: dict[str, request.RequestMachine] = {}
        self.ran: list[str] = []
        self.running: list[str] = []
        self.told: dict[str, request.Finish] = {}
        self.sent: list[message.Grant] = []
        self.sheds: list[tuple[str, list[int]]] = []
        self.entry_alive = True

    def add_owner(self, name: str) -> None:
        infos = [backend.BackendInfo("e", self.places, 10**6, 16)]
        rules = shard_rules.ShardRules(RANKS, 12_000, 0.0, {}, {})
        self.owners[name] = shard.ShardOwner(
            KEY, name, rules, infos, policy.make_policy(), self.now, 0.0
        )

    def add_request(self, name: str, tier: str = "batch") -> None:
        info = message.RequestInfo(
            name, KEY, "ola", tier, 100, 50, (), deadline_s=60.0
        )
        machine = request.RequestMachine(info, needs_claim=False)
        self.machines[name] = machine
        self.perform(name, machine.assign("A", info))

    def perform(self, name: str, effects: list[request.Effect]) -> None:
        """Performs an entry's effects."""
        for effect in effects:
            match effect:
                case request.SendToOwner(owner, told) if owner in self.owners:
                    self.take(
                        owner,
                        self.owners[owner].receive("entry", told, self.now),
                    )
                case request.Dispatch():
                    self.dispatch(name)
                case request.Finish():
                    self.told[name] = effect

    def dispatch(self, name: str) -> None:
        if self.now < self.refuses_until:
            self.perform(name, self.machines[name].fail_connect())
            return
        self.ran.append(name)
        self.running.append(name)

    def take(self, owner: str, out: list[owner_effect.SendToEntry]) -> None:
        """Hands an owner's messages to the entry."""
        for effect in out:
            told = effect.message
            if isinstance(told, message.Grant):
                self.sent.append(told)
            if isinstance(told, message.Reject):
                waiting = self.owners[owner].list_waiting()
                self.sheds.append((told.request_id, waiting))
            if self.entry_alive:
                self.deliver(owner, told)

    def deliver(self, owner: str, told: message.OwnerMessage) -> None:
        machine = self.machines[told.request_id]
        match told:
            case message.Grant():
                self.perform(told.request_id, machine.receive_grant(told))
            case message.Reject():
                effects = machine.receive_reject(told, owner)
                self.perform(told.request_id, effects)

    def turn_to(self, owner: str) -> None:
        for name, machine in self.machines.items():
            self.perform(name, machine.assign(owner, machine.info, 0.1))

    def finish_all(self) -> None:
        """Lets the engine finish what it has until nothing is left."""
        for _ in range(1000):
            self.now += 0.1
            for name in list(self.owners):
                self.take(name, self.owners[name].tick(self.now))
            if not self.running:
                if len(self.told) == len(self.machines):
                    return
                continue
            name = self.running.pop(0)
            ended = message.Ended(name, 50, 0.5, True)
            self.perform(name, self.machines[name].complete(ended))


@pytest.fixture
def world() -> World:
    return World()


# Owners, entries and engines.


@given(parsers.parse("owners A and B with {places:d} places"))
def _(world: World, places: int) -> None:
    world.places = places
    world.add_owner("A")
    world.add_owner("B")


@given(parsers.re(r"(?P<count>\d+) requests? waits? with A"))
def _(world: World, count: str) -> None:
    for number in range(int(count)):
        world.add_request(f"r{number}")


@when("A dies")
def _(world: World) -> None:
    del world.owners["A"]


@when("the entry turns to B")
def _(world: World) -> None:
    world.turn_to("B")


@when("the engine finishes everything")
def _(world: World) -> None:
    world.finish_all()


@when("the entry dies")
def _(world: World) -> None:
    world.entry_alive = False
    world.owners["A"].detach_entry("entry", world.now)


@when(parsers.parse("{seconds:d} seconds pass"))
def _(world: World, seconds: int) -> None:
    for _ in range(seconds):
        world.now += 1.0
        for name, owner in world.owners.items():
            world.take(name, owner.tick(world.now))


@when("B believes that it owns the shard too")
def _(world: World) -> None:
    enqueue = message.Enqueue(world.machines["r0"].info)
    out = world.owners["B"].receive("entry", enqueue, world.now)
    assert any(isinstance(e.message, message.Grant) for e in out)
    world.take("B", out)


@when("the grants of A are delivered three times")
def _(world: World) -> None:
    for grant in [g for g in world.sent if g.owner == "A"] * 2:
        world.deliver("A", grant)


@when("the old grants of A arrive again")
def _(world: World) -> None:
    for grant in [g for g in world.sent if g.owner == "A"]:
        world.deliver("A", grant)


@when(parsers.parse("the engine refuses connections for {seconds:d} seconds"))
def _(world: World, seconds: int) -> None:
    world.refuses_until = world.now + seconds
    for name in list(world.running):
        # What was dispatched a moment ago had not been sent either.
        world.running.remove(name)
        world.ran.remove(name)
        world.perform(name, world.machines[name].fail_connect())


@when(
    parsers.parse(
        "{batch:d} batch requests and {urgent:d} urgent requests arrive at once"
    )
)
def _(world: World, batch: int, urgent: int) -> None:
    for number in range(batch):
        world.add_request(f"b{number}", "batch")
    for number in range(urgent):
        world.add_request(f"u{number}", "urgent")


@then("every request ran once")
def _(world: World) -> None:
    assert sorted(world.ran) == sorted(world.machines)


@then("no request ran twice")
def _(world: World) -> None:
    assert len(world.ran) == len(set(world.ran))


@then("every urgent request that was not refused ran once")
def _(world: World) -> None:
    urgent = {name for name in world.machines if name.startswith("u")}
    refused = {
        name
        for name, end in world.told.items()
        if end.outcome is message.Outcome.NOT_RUN
    }
    assert urgent - refused
    assert urgent - refused == {n for n in world.ran if n.startswith("u")}


@then("every caller was told complete")
def _(world: World) -> None:
    outcomes = {name: end.outcome for name, end in world.told.items()}
    assert outcomes == dict.fromkeys(world.machines, message.Outcome.COMPLETE)


@then("the engine's places are free again with A")
def _(world: World) -> None:
    assert world.owners["A"].is_empty


@then("B has its place back")
def _(world: World) -> None:
    assert world.owners["B"].is_empty


@then("no urgent request was shed while a batch request waited")
def _(world: World) -> None:
    assert not [
        name
        for name, waiting in world.sheds
        if name.startswith("u") and waiting[RANKS["batch"]]
    ]


@then("some batch request was shed")
def _(world: World) -> None:
    assert any(name.startswith("b") for name, _ in world.sheds)


@then("every refusal says not_run and when to come back")
def _(world: World) -> None:
    refusals = [world.told[name] for name, _ in world.sheds]
    assert all(r.outcome is message.Outcome.NOT_RUN for r in refusals)
    assert all(r.retry_after_s > 0 for r in refusals)


# A slow engine.


@given("a slow engine and a fast engine with 8 places each")
def _(world: World) -> None:
    infos = [
        backend.BackendInfo(name, 8, 10**6, 16) for name in ("slow", "fast")
    ]
    rules = shard_rules.ShardRules(RANKS, 10**6, 0.0, {}, {})
    world.owners["A"] = shard.ShardOwner(
        KEY, "A", rules, infos, policy.make_policy(), world.now, 0.0
    )


@given("both have answered 10 requests")
def _(world: World) -> None:
    owner = world.owners["A"]
    for number in range(10):
        for name in ("slow", "fast"):
            info = message.RequestInfo(
                f"{name}{number}", KEY, "ola", "batch", 400, 20, (), 60.0
            )
            owner.fleet.backends[name].place(info, "entry", "", world.now)
            first = message.FirstToken(info.request_id, 0.22, 400, 0)
            owner.fleet.backends[name].record_first_token(
                first, world.now + 0.22
            )
            ended = message.Ended(info.request_id, 20, 0.4, True)
            owner.fleet.backends[name].end(ended, world.now)


@when("the slow engine answers nothing for 5 seconds")
def _(world: World) -> None:
    info = message.RequestInfo("stuck", KEY, "ola", "batch", 50, 9, (), 60.0)
    world.owners["A"].fleet.backends["slow"].place(info, "entry", "", world.now)
    world.now += 5.0


@then("the next 5 requests go to the fast engine")
def _(world: World) -> None:
    owner = world.owners["A"]
    chosen = []
    for number in range(5):
        info = message.RequestInfo(
            f"n{number}", KEY, "ola", "batch", 100, 9, (), 60.0
        )
        out = owner.receive("entry", message.Enqueue(info), world.now)
        chosen += [
            e.message.backend
            for e in out
            if isinstance(e.message, message.Grant)
        ]
    assert chosen == ["fast"] * 5


# Claims.


@dataclasses.dataclass
class KeyWorld:
    """One key, its ledger and the attempts that carry it."""

    ledger: claim.ClaimLedger
    machines: list[request.RequestMachine]
    ran: list[int]
    told: dict[int, request.Finish]

    def perform(self, number: int, effects: list[request.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, request.Dispatch):
                self.ran.append(number)
            if isinstance(effect, request.Finish):
                self.told[number] = effect
            if isinstance(effect, request.Release):
                self.append(claim.RecordKind.RELEASE, number)

    def append(self, kind: claim.RecordKind, number: int) -> None:
        self.ledger.apply(claim.ClaimRecord(kind, "key", str(number), "d"))

    def decide(self, number: int) -> None:
        verdict = self.ledger.get_claim_status("key", str(number), "d")
        if verdict is None:
            return
        held = verdict is claim.ClaimStatus.HELD
        finish = None if held else claim.make_finish(verdict)
        self.perform(number, self.machines[number].decide_claim(held, finish))

    def grant(self, number: int) -> None:
        made = message.Grant(str(number), "g", "e", "A")
        self.perform(number, self.machines[number].receive_grant(made))


def make_keys(count: int) -> KeyWorld:
    machines = []
    for number in range(count):
        info = message.RequestInfo(
            str(number), KEY, "ola", "batch", 1, 1, (), 9.0
        )
        machine = request.RequestMachine(info, needs_claim=True)
        machine.assign("A", info)
        machines.append(machine)
    return KeyWorld(claim.ClaimLedger(), machines, [], {})


@given("a request that may not be repeated", target_fixture="keys")
def _() -> KeyWorld:
    return make_keys(1)


@given("two requests with the same key", target_fixture="keys")
def _() -> KeyWorld:
    return make_keys(2)


@when("the log is down")
def _(keys: KeyWorld) -> None:
    keys.grant(0)
    assert keys.ran == []


@when("its deadline passes")
def _(keys: KeyWorld) -> None:
    gave_up = keys.machines[0].reject(message.Reason.LOG_UNAVAILABLE, 1.0)
    keys.perform(0, gave_up)


@when("the claim lands twice and its answer is lost")
def _(keys: KeyWorld) -> None:
    keys.append(claim.RecordKind.CLAIM, 0)
    keys.append(claim.RecordKind.CLAIM, 0)
    keys.decide(0)


@when("it is granted")
def _(keys: KeyWorld) -> None:
    keys.grant(0)
    keys.grant(0)


@when("both claims land")
def _(keys: KeyWorld) -> None:
    for number in (0, 1):
        keys.append(claim.RecordKind.CLAIM, number)
    for number in (1, 0):
        keys.decide(number)


@when("both are granted")
def _(keys: KeyWorld) -> None:
    for number in (0, 1):
        keys.grant(number)


@when("the first claim lands and its entry dies")
def _(keys: KeyWorld) -> None:
    keys.append(claim.RecordKind.CLAIM, 0)


@when("the second claim lands")
def _(keys: KeyWorld) -> None:
    keys.append(claim.RecordKind.CLAIM, 1)
    keys.decide(1)


@when("the second is granted")
def _(keys: KeyWorld) -> None:
    keys.grant(1)


@then("the caller was told not_run")
def _(keys: KeyWorld) -> None:
    assert keys.told[0].outcome is message.Outcome.NOT_RUN


@then("it never runs even when the claim lands later")
def _(keys: KeyWorld) -> None:
    keys.append(claim.RecordKind.CLAIM, 0)
    keys.decide(0)
    keys.grant(0)
    assert keys.ran == []


@then("it ran once")
def _(keys: KeyWorld) -> None:
    assert keys.ran == [0]


@then("exactly one of them ran")
def _(keys: KeyWorld) -> None:
    assert keys.ran == [0]


@then("none of them ran")
def _(keys: KeyWorld) -> None:
    assert keys.ran == []


@then(parsers.re("the (other|second) was told unknown"))
def _(keys: KeyWorld) -> None:
    assert keys.told[1].outcome is message.Outcome.UNKNOWN


# Leases.


@dataclasses.dataclass
class LeaseWorld:
    """Two controllers and their stream."""

    ones: list[lease.Lease]
    log: list[lease.LeaseRecord]
    now: float = 0.0

    def let_run(self, number: int, seconds: float, log_up: bool) -> None:
        """Lets one controller run for a while, in small steps."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += 0.5
            record = self.ones[number].make_record(self.now)
            if record is not None and log_up:
                self.log.append(record)
            if log_up:
                self.read(number)

    def read(self, number: int) -> None:
        for offset, record in enumerate(self.log):
            self.ones[number].apply_record(offset, record, self.now)


@given("two controllers contend for a lease", target_fixture="leases")
def _() -> LeaseWorld:
    times = lease.LeaseTimes(6.0, 2.0)
    ones = [lease.Lease(name, times, 0.0) for name in ("one", "two")]
    return LeaseWorld(ones, [])


@when("the first holds the lease")
def _(leases: LeaseWorld) -> None:
    leases.let_run(0, 3.0, log_up=True)
    assert leases.ones[0].may_send_order(leases.now)


@when(
    parsers.parse(
        "the first holds the lease and is paused for {seconds:d} seconds"
    )
)
def _(leases: LeaseWorld, seconds: int) -> None:
    leases.let_run(0, 3.0, log_up=True)
    leases.read(1)
    assert leases.ones[0].may_send_order(leases.now)
    leases.let_run(1, seconds, log_up=True)


@when("the second takes the lease")
def _(leases: LeaseWorld) -> None:
    assert leases.ones[1].may_send_order(leases.now)


@when(parsers.parse("the log is down for {seconds:d} seconds"))
def _(leases: LeaseWorld, seconds: int) -> None:
    leases.let_run(0, seconds, log_up=False)


@then("the first may give no order when it wakes up")
def _(leases: LeaseWorld) -> None:
    assert not leases.ones[0].may_send_order(leases.now)
    leases.read(0)
    assert not leases.ones[0].may_send_order(leases.now)


@then("the second's fencing number is higher")
def _(leases: LeaseWorld) -> None:
    assert leases.ones[1].fencing_token > leases.ones[0].fencing_token


@then("nobody may give orders")
def _(leases: LeaseWorld) -> None:
    assert not any(one.may_send_order(leases.now) for one in leases.ones)


# Bundles.

PRIVATE = "ed25519:" + "07" * 32
PUBLIC = signature.get_public_key(PRIVATE)
TRUST = model.Operators(keys={"anna": PUBLIC})


def make_envelope(
    generation: int, base: str | None, tier: str
) -> signature.Envelope:
    body = {
        "generation": generation,
        "base": base,
        "operators": {"keys": {"anna": PUBLIC}},
        "zones": ["z"],
        "tiers": {tier: {"order": 0, "deadline_s": 1}},
        "customers": {},
        "services": {},
        "engines": {},
        "backend_servers": {},
    }
    envelope = signature.Envelope(json.dumps(body), {})
    return signature.sign(envelope, "anna", PRIVATE)


@dataclasses.dataclass
class BundleWorld:
    """The log of bundles and those who read it."""

    first: signature.Envelope
    log: list[acceptance.Record]
    readers: list[acceptance.RolloutLogTracker]
    rivals: list[signature.Envelope]
    cut_off: acceptance.RolloutLogTracker | None = None

    def publish(self, record: acceptance.Record) -> None:
        self.log.append(record)
        for reader in self.readers:
            reader.apply(len(self.log) - 1, record)


@given("a bundle in force", target_fixture="bundles")
def _() -> BundleWorld:
    first = make_envelope(1, None, "first")
    readers = [acceptance.RolloutLogTracker(TRUST) for _ in range(2)]
    made = BundleWorld(first, [], readers, [])
    made.publish(acceptance.Rollout(first))
    return made


@given("a reader that was cut off")
def _(bundles: BundleWorld) -> None:
    bundles.cut_off = acceptance.RolloutLogTracker(TRUST)
    bundles.cut_off.apply(0, bundles.log[0])


@when("two rivals are published on it")
def _(bundles: BundleWorld) -> None:
    base = bundles.first.digest
    bundles.rivals = [make_envelope(2, base, name) for name in ("b", "c")]
    for rival in bundles.rivals:
        bundles.publish(acceptance.Rollout(rival))


@when("two rivals are published on it, each of them twice")
def _(bundles: BundleWorld) -> None:
    base = bundles.first.digest
    bundles.rivals = [make_envelope(2, base, name) for name in ("b", "c")]
    for place in (0, 1, 0, 1):
        bundles.publish(acceptance.Rollout(bundles.rivals[place]))


@when("the log forgets all but a checkpoint and one record")
def _(bundles: BundleWorld) -> None:
    assert bundles.cut_off is not None
    bundles.publish(acceptance.Checkpoint(bundles.rivals[0], 1))
    bundles.cut_off.skip_to(2)
    for offset in (2, 3):
        bundles.cut_off.apply(offset, bundles.log[offset])


@then("both readers have the first in force")
def _(bundles: BundleWorld) -> None:
    for reader in bundles.readers:
        assert reader.in_force is not None
        assert reader.in_force.envelope == bundles.rivals[0]


@then("the second is told to rebase")
def _(bundles: BundleWorld) -> None:
    verdict = bundles.readers[0].statuses[bundles.rivals[1].digest]
    assert verdict is acceptance.RolloutStatus.WRONG_BASE


@then("the reader that was cut off has the first in force")
def _(bundles: BundleWorld) -> None:
    assert bundles.cut_off is not None
    assert bundles.cut_off.in_force is not None
    assert bundles.cut_off.in_force.envelope == bundles.rivals[0]


@then("an older bundle from a peer changes nothing")
def _(bundles: BundleWorld) -> None:
    assert bundles.cut_off is not None
    assert not bundles.cut_off.apply_peer_bundle(bundles.first)
    assert bundles.cut_off.in_force is not None
    assert bundles.cut_off.in_force.envelope == bundles.rivals[0]

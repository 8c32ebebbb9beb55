"""The decision core between callers and engines, in virtual time."""

from __future__ import annotations

import dataclasses
import itertools
import random
import zlib

from bench.replay import caller, clock, engine, pattern
from ramptray.core import backend, limit, message, owner_effect, policy, shard
from ramptray.core import rules as shard_rules
from ramptray.relay import service
from ramptray.standin.engine import batch

ENTRY = "entry"
KEY = message.ShardKey("all", "model")

TICK_S = 0.1
"""How often the owner is called without a message, as in a scheduler."""

WAY_S = 0.002
"""Time of a message between entry and owner, in seconds."""

REPORT_S = 0.5
"""How often servers report their load to the owners, in seconds; used only if
there are several owners."""

SETTLE_S = 20.0
"""How long is played on after the last caller has asked, in seconds."""


class Attempt(engine.Listener):
    """One try of a call, from its request to its end."""

    def __init__(self, world: World, call: caller.Call) -> None:
        call.tries += 1
        call.was_refused = False
        call.was_lost = False
        self.call = call
        self.request_id = f"{call.name}.{call.tries}"
        self.began = world.timer.now
        self.engine: engine.Engine | None = None
        self.is_over = False
        self._world = world
        self._events = 0
        self._first_at = 0.0
        self._heard_at = self.began

    def make_info(self) -> message.RequestInfo:
        """Returns what the owner is told."""
        call, kind = self.call, self.call.kind
        return message.RequestInfo(
            self.request_id,
            self._world.key,
            call.customer,
            kind.tier,
            call.prompt_tokens,
            call.guess_tokens,
            (),
            call.deadline - self._world.timer.now,
            limit_tokens=call.prompt_tokens + call.output_tokens,
            objective_s=kind.objective_s,
            wait_s=kind.patience_s * service.MAX_WAIT_FRACTION,
            max_gap_s=kind.max_gap_s,
            event_tokens=self._world.event_tokens,
            content=call.name,
        )

    def dispatch(self, grant: message.Grant) -> None:
        """Sends the request to an engine."""
        if self.is_over:
            return
        chosen = self._find_engine(grant.backend)
        if chosen.is_down:
            decline = message.Decline(
                self.request_id, grant.grant_id, True, (chosen.name,)
            )
            self.tell(decline)
            return
        self.engine = chosen
        sequence = batch.Sequence(
            self.request_id,
            "",
            (),
            self.call.prompt_tokens,
            self.call.output_tokens,
        )
        self._start(chosen, engine.Run(sequence, self, self._world.timer.now))

    def take_token(self, run: engine.Run, now: float) -> None:
        """See the base class."""
        if self.is_event(run):
            self.receive_event(run, run.sequence.done, now)

    def is_event(self, run: engine.Run) -> bool:
        """Returns whether an event ends with the newest token."""
        is_full = run.sequence.made % self._world.event_tokens == 0
        return is_full or run.sequence.done

    def receive_event(
        self, run: engine.Run, is_last: bool, now: float, sent_s: float = 0.0
    ) -> None:
        """Takes an event.

        Args:
            run: The request on its engine.
            is_last: Whether it ends the response.
            now: When it arrived.
            sent_s: Time that request and event took to and from the engine.
        """
        self._events += 1
        self._heard_at = now
        self.call.note_event(now)
        if self._events == 1:
            self._first_at = now
            first = message.FirstToken(
                self.request_id,
                now - run.sent_at - sent_s,
                self.call.prompt_tokens,
                0,
            )
            self.tell(first)
        if is_last:
            self.call.is_done = True
            self._end(whole=True)

    def lose(self, run: engine.Run, now: float) -> None:
        """See the base class."""
        self.call.was_lost = True
        self.call.vain_s += now - self.began
        self._end(broken=True)
        self._come_back(0.0)

    def refuse(self, retry_after_s: float) -> None:
        """Takes that the owner has refused the request."""
        if self.is_over:
            return
        self.is_over = True
        self.call.was_refused = True
        self.call.refusals += 1
        self.call.idle_refusals += self._world.is_idle
        self.call.vain_s += self._world.timer.now - self.began
        self._come_back(retry_after_s)

    def watch(self) -> None:
        """Lets the caller give up after too long a pause, or in the end."""
        if self.is_over:
            return
        now = self._world.timer.now
        quiet_until = self._heard_at + self.call.kind.patience_s
        ends_at = min(quiet_until, self.call.deadline)
        if now < ends_at:
            self._world.timer.call_at(ends_at, self.watch)
            return
        self.call.vain_s += now - self.began
        self._end()

    def drop(self) -> None:
        """Takes that the VMs have gone."""
        self.is_over = True
        self.call.vain_s += self._world.timer.now - self.began
        if self.engine is not None:
            self.engine.cancel(self.request_id)
        self._come_back(0.0)

    def _end(self, whole: bool = False, broken: bool = False) -> None:
        self.is_over = True
        if self.engine is None:
            self.tell(message.Withdraw(self.request_id))
            return
        self.engine.cancel(self.request_id)
        per_event = self._world.event_tokens
        decode_s = self._world.timer.now - self._first_at
        ended = message.Ended(
            self.request_id,
            self._events * per_event,
            decode_s if self._events else 0.0,
            whole,
            broken=broken,
            first_tokens=per_event,
        )
        self.tell(ended)

    def tell(self, told: message.EntryMessage) -> None:
        """Sends a message to the owner."""
        self._world.tell(self.call, told)

    def _find_engine(self, name: str) -> engine.Engine:
        return self._world.engines[name]

    def _start(self, chosen: engine.Engine, run: engine.Run) -> None:
        chosen.start(run)

    def _come_back(self, told_s: float) -> None:
        now = self._world.timer.now
        impatient = self._world.has_impatient(now)
        delay = self.call.get_retry_delay(now, told_s, impatient)
        if delay is not None:
            self._world.timer.call_at(now + delay, self._world.ask, self.call)


class World:
    """One run of a pattern.

    Args:
        given: The pattern.
        seed: Seed of the callers.
        policy_name: How backend servers are chosen.
        timer: The clock, if others use it as well.
        key: The shard.
        zones: How many zones customers' limits are divided among.
    """

    def __init__(
        self,
        given: pattern.Pattern,
        seed: int,
        policy_name: str,
        timer: clock.Clock | None = None,
        key: message.ShardKey = KEY,
        zones: int = 1,
    ) -> None:
        self.timer = timer or clock.Clock()
        self.key = key
        self._zones = zones
        self.event_tokens = given.engines[0].event_tokens
        self.calls = list(caller.draw_calls(given, seed))
        self._given = given
        self._policy_name = policy_name
        self._rng = random.Random(seed)
        self._attempts: dict[str, Attempt] = {}
        self._is_down = False
        numbers = itertools.count()
        self.engines = {
            name: engine.Engine(name, fields, self.timer)
            for fields in given.engines
            for name in (f"engine-{next(numbers)}" for _ in range(fields.count))
        }
        self._owners = self._make_owners()

    @property
    def is_idle(self) -> bool:
        """Whether less than half of the slots are used and none waits."""
        up = [one for one in self.engines.values() if not one.is_down]
        slots = sum(one.fields.places for one in up)
        used = sum(one.running_count for one in up)
        waiting = any(owner.waiting_count for owner in self._owners)
        return 2 * used < slots and not waiting

    def run(self) -> None:
        """Plays the pattern to its end."""
        self.begin()
        self.timer.run_until(self._given.length_s + SETTLE_S)

    def begin(self) -> None:
        """Plans all calls and events."""
        for call in self.calls:
            self.timer.call_at(call.asked_at, self.ask, call)
        for event in self._given.events:
            self._plan(event)
        self._tick()
        if len(self._owners) > 1:
            self._report_load()

    def ask(self, call: caller.Call) -> None:
        """Lets a caller try."""
        attempt = self._make_attempt(call)
        if self._is_down:
            attempt.drop()
            return
        self._attempts[attempt.request_id] = attempt
        attempt.watch()
        attempt.tell(message.Enqueue(attempt.make_info()))

    def _make_attempt(self, call: caller.Call) -> Attempt:
        return Attempt(self, call)

    def tell(self, call: caller.Call, told: message.EntryMessage) -> None:
        """Hands a message to the owner that its caller's entry uses."""
        at = self.timer.now + WAY_S
        number = zlib.crc32(call.name.encode()) % len(self._owners)
        self.timer.call_at(at, self._receive, self._owners[number], told)

    def has_impatient(self, now: float) -> bool:
        """Returns whether callers come back at once now; some always do not."""
        return any(
            event.kind is pattern.Trouble.IMPATIENT and event.covers(now)
            for event in self._given.events
        )

    def _receive(
        self, owner: shard.ShardOwner, told: message.EntryMessage
    ) -> None:
        if owner in self._owners:
            self._deliver(owner.receive(ENTRY, told, self.timer.now))

    def _deliver(self, effects: list[owner_effect.SendToEntry]) -> None:
        for effect in effects:
            at = self.timer.now + WAY_S
            self.timer.call_at(at, self._hear, effect.message)

    def _hear(self, told: message.OwnerMessage) -> None:
        attempt = self._attempts.get(told.request_id)
        if attempt is None:
            return
        if isinstance(told, message.Grant):
            attempt.dispatch(told)
        elif isinstance(told, message.Reject):
            attempt.refuse(told.retry_after_s)

    def _tick(self) -> None:
        for owner in self._owners:
            self._deliver(owner.tick(self.timer.now))
        self.timer.call_at(self.timer.now + TICK_S, self._tick)

    def _report_load(self) -> None:
        for owner, one in itertools.product(
            self._owners, self.engines.values()
        ):
            owner.apply_load_report(
                one.name, one.running_count, (), one.batch.get_step_s()
            )
        self.timer.call_at(self.timer.now + REPORT_S, self._report_load)

    def _make_owners(self) -> list[shard.ShardOwner]:
        return [
            self._make_owner(f"owner-{number}")
            for number in range(self._given.owners)
        ]

    def _make_owner(self, address: str) -> shard.ShardOwner:
        customers = self._given.customers
        rate = limit.RateLimit(
            tokens_per_s=customers.tokens_per_s
            and customers.tokens_per_s / self._zones,
            span_s=customers.span_s,
            span_total=customers.span_total / self._zones,
        )
        tiers = sorted({kind.tier for kind in self._given.kinds.values()})
        limits = {f"customer-{n}": rate for n in range(customers.count)}
        return shard.ShardOwner(
            self.key,
            address if self.key == KEY else f"owner-{self.key.zone}",
            shard_rules.ShardRules(
                {tier: rank for rank, tier in enumerate(tiers)},
                10**9,
                0.0,
                {},
                limits if customers.tokens_per_s else {},
                zones=self._zones,
            ),
            [
                backend.BackendInfo(name, one.fields.places, 10**9, 0)
                for name, one in self.engines.items()
            ],
            policy.make_policy(self._policy_name),
            self.timer.now,
            report_grace_s=0.0,
        )

    # What happens.

    def _plan(self, event: pattern.Event) -> None:
        match event.kind:
            case pattern.Trouble.SLOW:
                begin, end = self._slow_down, self._speed_up
            case pattern.Trouble.CRASH:
                begin, end = self._crash, self._come_up
            case pattern.Trouble.RESTART:
                begin, end = self._stop_all, self._start_all
            case _:
                return  # Callers look at the others by themselves.
        self.timer.call_at(event.at_s, begin, event)
        self.timer.call_at(event.at_s + event.for_s, end, event)

    def _list_struck(self, event: pattern.Event) -> list[engine.Engine]:
        return list(self.engines.values())[: event.engines]

    def _slow_down(self, event: pattern.Event) -> None:
        for struck in self._list_struck(event):
            struck.batch.slowdown = event.times

    def _speed_up(self, event: pattern.Event) -> None:
        for struck in self._list_struck(event):
            struck.batch.slowdown = 1.0

    def _crash(self, event: pattern.Event) -> None:
        for struck in self._list_struck(event):
            struck.crash()

    def _come_up(self, event: pattern.Event) -> None:
        for struck in self._list_struck(event):
            struck.is_down = False

    def _stop_all(self, event: pattern.Event) -> None:
        self._is_down = True
        for attempt in list(self._attempts.values()):
            if not attempt.is_over:
                attempt.drop()
        self._attempts.clear()

    def _start_all(self, event: pattern.Event) -> None:
        self._is_down = False
        self._owners = self._make_owners()


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """A pattern that was played.

    Attributes:
        seed: Its seed.
        calls: What became of each call.
    """

    seed: int
    calls: list[caller.Call]


def play(
    given: pattern.Pattern,
    seed: int,
    policy_name: str = policy.TokenPolicy.name,
) -> Played:
    """Plays a pattern once."""
    if given.zones:
        # Zones are built of worlds, so they cannot be imported earlier.
        from bench.replay import regions

        several = regions.Regions(given, seed, policy_name)
        several.run()
        return Played(seed, several.calls)
    world = World(given, seed, policy_name)
    world.run()
    return Played(seed, world.calls)

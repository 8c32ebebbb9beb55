"""Several scheduling zones in virtual time, each with an owner."""

from __future__ import annotations

import msgspec

from bench.replay import caller, clock, engine, pattern, world
from ramptray.core import message, owner_effect, remote_shards, shard, summary
from ramptray.scheduler import region_exchange

EXCHANGE_S = region_exchange.EXCHANGE_INTERVAL_S
"""How often owners send each other their summaries, in seconds."""


class ZoneAttempt(world.Attempt):
    """A try of a call that may be redirected to another zone."""

    def __init__(self, home: ZoneWorld, call: caller.Call) -> None:
        super().__init__(home, call)
        self._home = home
        self._place = home
        self._spilled_from: tuple[str, ...] = ()

    @property
    def delay_s(self) -> float:
        """One-way delay between the entry and the zone that it uses."""
        return self._home.get_delay(self._place)

    def make_info(self) -> message.RequestInfo:
        """See the base class."""
        info = super().make_info()
        elapsed_s = self._home.timer.now - self.began
        first_s = remote_shards.DELAYS_PER_REDIRECT * self.delay_s
        assert info.objective_s is not None and info.wait_s is not None
        return msgspec.structs.replace(
            info,
            shard=self._place.key,
            spilled_from=self._spilled_from,
            objective_s=max(0.0, info.objective_s - elapsed_s - first_s),
            wait_s=max(0.0, info.wait_s - elapsed_s - 2 * self.delay_s),
        )

    def redirect(self, told: message.Redirect) -> None:
        """Sends the request to the owner in another zone."""
        if self.is_over:
            return
        self._spilled_from = (*self._spilled_from, self._place.key.zone)
        self._place = self._home.find_zone(told.zone)
        self._home.count_redirect(told.reason)
        self.tell(message.Enqueue(self.make_info()))

    def take_token(self, run: engine.Run, now: float) -> None:
        """See the base class."""
        if not self.is_event(run):
            return
        # The sequence goes on until the event arrives.
        at = now + self.delay_s
        self._home.timer.call_at(at, self._take_event, run, run.sequence.done)

    def _take_event(self, run: engine.Run, is_last: bool) -> None:
        if not self.is_over:
            sent_s = 2 * self.delay_s
            self.receive_event(run, is_last, self._home.timer.now, sent_s)

    def tell(self, told: message.EntryMessage) -> None:
        """See the base class."""
        self._place.tell_later(self._home.key.zone, told, self.delay_s)

    def _find_engine(self, name: str) -> engine.Engine:
        return self._place.engines[name]

    def _start(self, chosen: engine.Engine, run: engine.Run) -> None:
        at = self._home.timer.now + self.delay_s
        self._home.timer.call_at(at, self._arrive, chosen, run)

    def _arrive(self, chosen: engine.Engine, run: engine.Run) -> None:
        if not self.is_over:
            chosen.start(run)


class ZoneWorld(world.World):
    """The callers, the owner and the engines of one zone.

    Args:
        name: Its name.
        given: The pattern, as far as it concerns this zone.
        seed: Seed of the callers.
        policy_name: How backend servers are chosen.
        regions: The zone and the others.
    """

    def __init__(
        self,
        name: str,
        given: pattern.Pattern,
        seed: int,
        policy_name: str,
        regions: Regions,
    ) -> None:
        self._regions = regions
        self._remotes: dict[str, tuple[float, summary.ShardSummary]] = {}
        super().__init__(
            given,
            seed,
            policy_name,
            timer=regions.timer,
            key=message.ShardKey(name, "model"),
            zones=len(regions.names),
        )

    @property
    def _owner(self) -> shard.ShardOwner:
        """The only owner of the zone."""
        (owner,) = self._owners
        return owner

    def get_delay(self, place: ZoneWorld) -> float:
        """Returns the one-way delay to a zone in seconds."""
        return 0.0 if place is self else self._regions.delay_s

    def find_zone(self, name: str) -> ZoneWorld:
        """Returns another zone."""
        return self._regions.zones[name]

    def count_redirect(self, reason: str) -> None:
        """Counts a redirect."""
        counts = self._regions.redirects
        counts[reason] = counts.get(reason, 0) + 1

    def tell_later(
        self, entry: str, told: message.EntryMessage, delay_s: float
    ) -> None:
        """Hands this zone's owner a message from an entry in any zone."""
        at = self.timer.now + world.WAY_S + delay_s
        self.timer.call_at(at, self._receive_from, self._owner, entry, told)

    def summarize(self) -> summary.ShardSummary:
        """Returns the summary of this zone's shard."""
        now = self.timer.now
        return self._owner.summarize(now, int(now * 1e6))

    def receive_summary(self, found: summary.ShardSummary) -> None:
        """Gives the owner another zone's summary, with the other ones."""
        now = self.timer.now
        self._remotes[found.shard.zone] = (now, found)
        self._owner.set_remote_summaries(
            [
                msgspec.structs.replace(
                    each, age_s=now - at, delay_s=self._regions.delay_s
                )
                for at, each in self._remotes.values()
            ],
            now,
        )

    def _make_attempt(self, call: caller.Call) -> world.Attempt:
        return ZoneAttempt(self, call)

    def _receive_from(
        self, owner: shard.ShardOwner, entry: str, told: message.EntryMessage
    ) -> None:
        if owner is self._owner:
            self._deliver(owner.receive(entry, told, self.timer.now))

    def _deliver(self, effects: list[owner_effect.SendToEntry]) -> None:
        for effect in effects:
            home = self._regions.zones[effect.entry]
            at = self.timer.now + world.WAY_S + home.get_delay(self)
            self.timer.call_at(at, home.hear, effect.message)

    def hear(self, told: message.OwnerMessage) -> None:
        """Hands an owner's message to the request that it is about."""
        attempt = self._attempts.get(told.request_id)
        if not isinstance(told, message.Redirect):
            self._hear(told)
        elif isinstance(attempt, ZoneAttempt):
            attempt.redirect(told)


class Regions:
    """One run of a pattern with several zones.

    Args:
        given: The pattern.
        seed: Seed of the callers.
        policy_name: How backend servers are chosen.

    Attributes:
        timer: The clock.
        names: Names of the zones.
        delay_s: One-way delay between zones, in seconds.
        zones: The zones.
        redirects: Number of redirects by reason.
    """

    def __init__(
        self, given: pattern.Pattern, seed: int, policy_name: str
    ) -> None:
        self.timer = clock.Clock()
        self.names = list(given.zones)
        self.delay_s = given.delay_s
        self.redirects: dict[str, int] = {}
        self.zones = {
            name: ZoneWorld(name, given.get_zone(name), seed, policy_name, self)
            for name in self.names
        }
        self._length_s = given.length_s

    @property
    def calls(self) -> list[caller.Call]:
        """What became of each call, in all zones."""
        return [call for zone in self.zones.values() for call in zone.calls]

    def run(self) -> None:
        """Plays the pattern to its end."""
        for zone in self.zones.values():
            zone.begin()
        self._exchange()
        self.timer.run_until(self._length_s + world.SETTLE_S)

    def _exchange(self) -> None:
        for name, zone in self.zones.items():
            found = zone.summarize()
            for other_name, other in self.zones.items():
                if other_name != name:
                    at = self.timer.now + self.delay_s
                    self.timer.call_at(at, other.receive_summary, found)
        self.timer.call_at(self.timer.now + EXCHANGE_S, self._exchange)

"""The task that owns the membership and talks with other schedulers."""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec

from ramptray import steadyclock
from ramptray.core import membership, rtt
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import contact, rollouts, source, summaries

LOG = logging.getLogger(__name__)

JOIN_PERIOD_S = 4.0
"""How long after its start a scheduler looks for the others more often, in
seconds: until it has found them it decides by its own view alone."""

JOIN_PROBE_INTERVAL_S = 0.1
"""Time between two probes of such a scheduler, in seconds."""

QUIET_PROBES_TO_JOIN = 8
"""Answered probes in a row that brought no new member, after which a scheduler
has found the others: as many as it has neighbours among two hundred."""

SUSPECT_PROBE_TIMEOUT_S = 0.25
"""How long a member may take to answer when there is reason to doubt it, in
seconds: a round trip takes some milliseconds, on a slow VM some ten."""

MAX_PROBE_TIMEOUT_S = 1.5
"""How long an answer to a probe is waited for where answers have been late, in
seconds, and how long it still counts as a word."""

EXTRA_PROBES = 6
"""Others that are probed at once when a member does not answer: a cut takes a
whole zone, and one probe a period would find that out member by member."""

LIMIT_SHARE_FACTOR = 1.0
"""By how much the parts of customers' limits that all sides of a cut hand out
may exceed the whole."""

LEAVE_FANOUT = 3
"""Members that a scheduler tells that it goes; they tell the others."""

CONTACTS_PER_MESSAGE = 3
OTHER_ZONE_PROBE_PERIODS = 3
"""Every so many periods a scheduler of another zone is asked."""

STREAM_END_FANOUT = 3
"""Members that are told at once how far streams reach.  If all of them did not
know, they tell as many each, so that nearly all know within a probe's time."""

MAX_UNKNOWN_SEEDS = 4
"""Seeds among which one is chosen to be asked, since it may be beyond a cut."""


class _ProbeOutcome(msgspec.Struct):
    """What became of a probe.

    Attributes:
        is_known: Set once it was answered, or cannot be any more.
        answered: Whether it was answered.
    """

    is_known: anyio.Event
    answered: bool = False


class Gossiper:
    """Probes other schedulers and spreads what is new.

    Args:
        me: This scheduler's own record.
        seeds: Addresses to ask while nobody is known.
        client: Opens channels.
        rng: Chooses whom to probe.
        on_view: Called with each new view.
        on_lowest: Called when the zone's lowest generation has changed.
        on_newer: Called with a peer that has a newer bundle in force.
        bundle_source: What follows the log, if streams are watched for all.
        spreads_generations: See ``membership.Membership``.

    Attributes:
        verdicts: What is known of decided rollouts, told with each probe.
    """

    def __init__(
        self,
        me: membership.Member,
        seeds: list[str],
        client: peer_link.PeerClient,
        rng: random.Random,
        on_view: Callable[[peer_message.View], None],
        on_lowest: Callable[[int], None],
        on_newer: Callable[[str, int], Awaitable[None]],
        bundle_source: source.BundleSource | None = None,
        spreads_generations: bool = True,
    ) -> None:
        now = steadyclock.read()
        self.membership = membership.Membership(
            me, rng, now, spreads_generations
        )
        self._me = me
        self._seeds = [s for s in seeds if s != me.address]
        self._client = client
        self._rng = rng
        self._on_view = on_view
        self._on_lowest_generation = on_lowest
        self._on_newer = on_newer
        self._bundle_source = bundle_source
        self._stream_advance = anyio.Event()
        if bundle_source:
            bundle_source.set_on_stream_advance(
                lambda: self._stream_advance.set()
            )
        self._view_signature = 0
        self._lowest_generation = 0
        self._contacts = contact.Contacts(me.zone)
        self.summaries = summaries.Summaries()
        self._periods = itertools.count(1)
        self._joining_until = now + JOIN_PERIOD_S
        self._quiet_probes = 0
        self._count_seeds_until = now + membership.FORGET_S
        self._probing_others = False
        self.verdicts = rollouts.VerdictBook()
        self._rtt = rtt.RttEstimator(
            SUSPECT_PROBE_TIMEOUT_S, MAX_PROBE_TIMEOUT_S
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_periods)
            tasks.start_soon(self._spread_stream_ends)

    async def _spread_stream_ends(self) -> None:
        """Tells some members at once how far the log's streams reach."""
        while True:
            await self._stream_advance.wait()
            self._stream_advance = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for address in self._pick_probe_targets(STREAM_END_FANOUT):
                    tasks.start_soon(self._probe, address)

    def _pick_probe_targets(self, count: int) -> list[str]:
        others = [m.address for m in self.membership.list_neighbours()]
        return self._rng.sample(others, min(count, len(others)))

    async def _run_periods(self) -> None:
        while True:
            period_s = membership.PERIOD_S
            if self._is_joining():
                period_s = JOIN_PROBE_INTERVAL_S
            await anyio.sleep(period_s * self._rng.uniform(0.8, 1.2))
            await self._run_period()
            if self._is_joining():
                await self._probe_seeds()
            await self._client.close_idle(steadyclock.read())

    def _is_joining(self) -> bool:
        """Returns whether this scheduler still looks for the others."""
        if self._quiet_probes >= QUIET_PROBES_TO_JOIN:
            return False
        return steadyclock.read() < self._joining_until

    async def _probe_seeds(self) -> None:
        """Asks the seeds that are no members yet."""
        known = {m.address for m in self.membership.list_alive()}
        async with anyio.create_task_group() as tasks:
            for address in self._seeds:
                if address not in known:
                    tasks.start_soon(self._probe, address)

    @property
    def asked_bytes(self) -> int:
        """Bytes of questions and answers exchanged with other schedulers."""
        return self._client.asked_bytes

    def add_seeds(self, addresses: list[str]) -> None:
        """Adds schedulers that the platform's list names."""
        known = {*self._seeds, self._me.address}
        self._seeds.extend(a for a in addresses if a not in known)

    def receive(self, gossip: peer_message.Gossip) -> peer_message.Gossip:
        """Takes a peer's probe and returns the answer."""
        self._merge(gossip, steadyclock.read())
        answer = self._make_message()
        if gossip.wanted_after is None:
            return answer
        page = self.membership.list_page(gossip.wanted_after)
        return msgspec.structs.replace(answer, page=page)

    def get_limit_share(self, stands_in: bool = False) -> float:
        """Returns the part of customers' limits that may be handed out here.

        Schedulers that were lost may be handing out theirs on the other side
        of a cut; so may those that were not met yet.

        Args:
            stands_in: Whether this scheduler is not the owner but is asked
                because the owner is silent: one of each availability zone is.
        """
        zone = self._me.availability_zone
        alive = sum(
            m.state is membership.MemberState.ALIVE
            and (not stands_in or m.availability_zone == zone)
            for m in self.membership.list_all()
        )
        known = sum(
            m.state is not membership.MemberState.LEFT
            for m in self.membership.list_all()
        )
        known += self._count_unmet_seeds()
        return min(1.0, LIMIT_SHARE_FACTOR * max(1, alive) / max(1, known))

    def _count_unmet_seeds(self) -> int:
        """Returns how many seeds may be schedulers that were never met.

        A scheduler that restarts alone on its side of a cut knows nobody else;
        without its seeds it would hand out every limit whole.  Seeds may also
        be stale, so they count no longer than a dead member.
        """
        if steadyclock.read() >= self._count_seeds_until:
            return 0
        met = {m.address for m in self.membership.list_all()}
        return len(set(self._seeds) - met)

    def pick_peer(self) -> str | None:
        """Returns the address of some live scheduler, or of a seed."""
        addresses = [
            m.address
            for m in self.membership.list_alive()
            if m.address != self._me.address
        ] or self._seeds
        return self._rng.choice(addresses) if addresses else None

    async def probe_now(self, address: str) -> None:
        """Probes a member at once that has been silent to somebody."""
        member = next(
            (m for m in self.membership.list_alive() if m.address == address),
            None,
        )
        if member is None or member.address == self._me.address:
            return
        if not await self._probe(address, SUSPECT_PROBE_TIMEOUT_S):
            await self._suspect(member)

    async def _suspect(self, member: membership.Member) -> None:
        """Takes a member for lost, and looks at others too."""
        self.membership.suspect(member.vm, steadyclock.read())
        self._publish()
        if self._probing_others:
            return
        self._probing_others = True
        try:
            await self._probe_others()
        finally:
            self._probing_others = False

    async def _probe_others(self) -> None:
        others = [
            m
            for m in self.membership.list_alive()
            if m.state is membership.MemberState.ALIVE
            and m.address != self._me.address
        ]
        chosen = self._rng.sample(others, min(EXTRA_PROBES, len(others)))

        async def probe(member: membership.Member) -> None:
            if not await self._probe(member.address, SUSPECT_PROBE_TIMEOUT_S):
                self.membership.suspect(member.vm, steadyclock.read())

        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(probe, member)
        self._publish()

    async def leave(self) -> None:
        """Tells the zone that this scheduler goes."""
        now = steadyclock.read()
        self.membership.leave(now)
        for address in self._pick_probe_targets(LEAVE_FANOUT):
            await self._probe(address)
        self._publish()

    async def _run_period(self) -> None:
        self.membership.tick(steadyclock.read())
        target = self.membership.pick_target()
        addresses = [target.address] if target else []
        if not target and self._seeds:
            addresses.append(self._rng.choice(self._seeds))
        if next(self._periods) % OTHER_ZONE_PROBE_PERIODS == 0:
            addresses.extend(self._pick_other_zone())
        for address in addresses:
            answered = await self._probe(address)
            if target and address == target.address and not answered:
                await self._suspect(target)
        self._publish()

    def _pick_other_zone(self) -> list[str]:
        """Returns one contact, or one seed that is no member now.

        Seeds that are members are probed as such: asked by every scheduler of
        a large zone beside that, they would do little else.
        """
        met = [member.address for member in self._contacts.list_all()]
        known = {m.address for m in self.membership.list_alive()}.union(met)
        unknown_seeds = [seed for seed in self._seeds if seed not in known]
        pool = met + unknown_seeds[:MAX_UNKNOWN_SEEDS]
        return [self._rng.choice(pool)] if pool else []

    async def _probe(
        self, address: str, timeout_s: float = membership.PROBE_TIMEOUT_S
    ) -> bool:
        """Returns whether a scheduler answers in time.

        Load pattern: VMs short of processor time answer late.  How long is in
        time follows what probes have been taking; an answer after that still
        counts as a word.
        """
        outcome = _ProbeOutcome(anyio.Event())
        if self._tasks is None:
            await self._ask(address, outcome)
            return outcome.answered
        self._tasks.start_soon(self._ask, address, outcome)
        with anyio.move_on_after(max(timeout_s, self._rtt.timeout_s)):
            await outcome.is_known.wait()
        return outcome.answered

    async def _ask(self, address: str, outcome: _ProbeOutcome) -> None:
        began = steadyclock.read()
        try:
            answer = await self._client.ask(
                address, self._make_probe(), MAX_PROBE_TIMEOUT_S
            )
        except peer_link.LinkError:
            self._contacts.remove_address(address)
            outcome.is_known.set()
            return
        self._rtt.observe(steadyclock.read() - began)
        self._apply_answer(answer)
        outcome.answered = True
        outcome.is_known.set()
        sender = answer.sender
        if sender.generation > self.membership.me.generation:
            await self._on_newer(sender.address, sender.generation)

    def _apply_answer(self, answer: peer_message.Gossip) -> None:
        known = self.membership.version
        now = steadyclock.read()
        self._merge(answer, now)
        if answer.page is not None:
            self.membership.take_page(answer.page, now)
        elif answer.digest:
            self.membership.compare(answer.digest)
        is_same = self.membership.version == known
        self._quiet_probes = self._quiet_probes + 1 if is_same else 0

    def _merge(self, gossip: peer_message.Gossip, now: float) -> None:
        self.membership.merge([gossip.sender, *gossip.updates], now)
        if self._bundle_source and gossip.ends:
            self._bundle_source.update_stream_ends(gossip.ends)
        for member in [gossip.sender, *gossip.contacts]:
            self._contacts.update(member)
        self.summaries.merge(gossip.summaries, now)
        self.verdicts.take(gossip.verdicts)

    def _make_message(self) -> peer_message.Gossip:
        contacts = self._contacts.list_all()
        count = min(CONTACTS_PER_MESSAGE, len(contacts))
        return peer_message.Gossip(
            self.membership.me,
            self.membership.pick_updates(),
            # They are for schedulers of other zones.
            self.summaries.pick(steadyclock.read()) if contacts else [],
            self._rng.sample(contacts, count),
            self._bundle_source.list_stream_ends()
            if self._bundle_source
            else {},
            self.membership.digest,
            verdicts=self.verdicts.list_final(),
        )

    def _make_probe(self) -> peer_message.Gossip:
        return msgspec.structs.replace(
            self._make_message(), wanted_after=self.membership.wanted_after
        )

    def _publish(self) -> None:
        others = sorted(self._contacts.list_all(), key=lambda m: m.vm)
        signature = hash(
            (
                self.membership.version,
                tuple((m.vm, m.address) for m in others),
            )
        )
        # A member that leaves last has no live ones beside it.
        lowest = min(
            (m.generation for m in self.membership.list_alive()),
            default=self.membership.me.generation,
        )
        if lowest != self._lowest_generation:
            self._lowest_generation = lowest
            self._on_lowest_generation(lowest)
        if signature == self._view_signature:
            return
        self._view_signature = signature
        alive = [
            m
            for m in self.membership.list_alive()
            if m.state is membership.MemberState.ALIVE
            or m.address == self._me.address
        ]
        self._on_view(peer_message.View(alive, others))
        if self._bundle_source:
            self._bundle_source.update_members(self._me, alive)

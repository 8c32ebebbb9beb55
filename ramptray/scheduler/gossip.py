"""Gossip between schedulers: membership, summaries and stream ends."""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec

from ramptray import deadline, steadyclock
from ramptray.core import membership, message, rtt, summary
from ramptray.peer import link as peer_link
from ramptray.peer import link_failures
from ramptray.peer import message as peer_message
from ramptray.scheduler import (
    contact,
    region_exchange,
    rollouts,
    source,
    summaries,
)

LOG = logging.getLogger(__name__)

JOIN_PERIOD_S = 4.0
"""How long after its start a scheduler probes at the shorter interval, in
seconds.  Until it has discovered the others it decides by its own view only."""

JOIN_PROBE_INTERVAL_S = 0.1
"""Time between two probes while a scheduler is joining, in seconds.  A seed is
probed again only after the last probe of it has ended, so that the interval
grows with the distance."""

JOIN_WAIT_S = 0.08
"""How long a starting scheduler that has seeds waits for their first answer
or probe before it publishes a view without any other, in seconds.  An answer
takes a few milliseconds, on a busy VM a few tens.  Callers' requests wait
meanwhile, so it is a small part of their objectives.

Load pattern: all VMs start at once.  Each one used to own every shard for a
period of probes, and together they overloaded the backend servers."""

MAX_FIRST_SEEDS = 8
"""Number of seeds that a starting scheduler probes at once."""

JOIN_FANOUT = 2
"""Number of members to which a scheduler that is starting itself passes on new
members at once."""

JOIN_SPREAD_INTERVAL_S = 0.05
"""Shortest time between two views that differ by new members, in seconds, and
between two such messages to others."""

QUIET_PROBES_TO_JOIN = 8
"""Consecutive answered probes without a membership change after which a
scheduler counts as joined: its number of probe targets among two hundred
members."""

SUSPECT_PROBE_TIMEOUT_S = 0.25
"""Minimum probe timeout for a member that may have failed, in seconds.  In one
region a round trip takes a few milliseconds, on a slow VM about 10 ms.  Members
further away get more, from the measured round trips."""

MAX_PROBE_TIMEOUT_S = 1.5
"""Upper limit of the probe timeout, which grows when answers have been late, in
seconds.  An answer within this time is still processed."""

EXTRA_PROBES = 6
"""Number of other members probed at once when one does not answer.  A network
partition affects a whole zone, and one probe per period would detect that only
member by member."""

LIMIT_SHARE_FACTOR = 1.0
"""Factor by which the shares of customers' limits, summed over all sides of a
network partition, may exceed the whole."""

LEAVE_FANOUT = 3
"""Number of members that a leaving scheduler notifies; they tell the others."""

CONTACTS_PER_MESSAGE = 3
CONTACT_MESSAGES = 4
"""Within a region and between owners, one message in so many carries a contact.
They are needed only if an owner fails, and each takes some 170 bytes."""

OTHER_ZONE_PROBE_PERIODS = 3
"""Number of periods between two probes of a scheduler of another zone."""

STREAM_END_FANOUT = 3
"""Number of members that are sent new stream ends at once.  Members to which
they are new do the same, so that nearly all know them within one probe
interval."""

MAX_MEASURED_PEERS = 512
"""Number of peers whose round trips are kept: more than a scheduler probes in a
minute."""

MAX_UNKNOWN_SEEDS = 4
"""Number of seeds outside the membership from which one is picked for a probe.
They may be schedulers on the other side of a network partition."""


class _ProbeOutcome(msgspec.Struct):
    """The outcome of a probe.

    Attributes:
        is_known: Set once the probe was answered or has failed.
        answered: Whether it was answered.
    """

    is_known: anyio.Event = msgspec.field(default_factory=anyio.Event)
    answered: bool = False


class Gossiper:
    """Probes other schedulers and spreads changes to them.

    Args:
        me: This scheduler's own record.
        seeds: Addresses to probe while no other scheduler is known.
        client: Sends the probes.
        rng: Selects the members to probe.
        on_view: Called with each new view.
        on_lowest: Called when the zone's lowest generation has changed.
        on_newer: Called with the address and generation of a peer that has a
            newer bundle in force.
        bundle_source: Follows the log, if few members watch it for all.
        spreads_generations: See ``membership.Membership``.
        exchange: Contacts the owners of other regions, if each zone is a
            region with one owner.  Then only owners, and schedulers that are
            joining or know no contact, probe other zones.

    Attributes:
        verdicts: Verdicts of decided rollouts, sent with each probe.
        find_zone_owner: Returns the address of the owner of this scheduler's
            region; empty if it is unknown.
        update_summaries: Called before summaries are sent to another region.
        on_summaries: Called after summaries were received from another region.
        list_limit_uses: Returns the use of customers' limits in this region.
        on_limit_uses: Called with a region and the use of limits there.
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
        exchange: region_exchange.RegionExchange | None = None,
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
        self.exchange = exchange
        self.find_zone_owner: Callable[[], str] = _find_no_owner
        self.update_summaries: Callable[[], None] = _do_nothing
        self.on_summaries: Callable[[], None] = _do_nothing
        self.list_limit_uses: Callable[
            [float], dict[str, message.LimitAmounts]
        ] = _list_no_uses
        self.on_limit_uses: Callable[
            [str, dict[str, message.LimitAmounts], float], None
        ] = _ignore_uses
        # Zones of the seeds that have answered from another zone.
        self._seed_zones: dict[str, str] = {}
        self._messages: dict[bool, itertools.count[int]] = {
            is_remote: itertools.count() for is_remote in (False, True)
        }
        self.summaries = summaries.Summaries()
        self._periods = itertools.count(1)
        self._joining_until = now + JOIN_PERIOD_S
        self._first_contact = anyio.Event()
        self._new_members = anyio.Event()
        self._quiet_probes = 0
        self._count_seeds_until = now + membership.DEAD_RETENTION_S
        self._probing_others = False
        self.verdicts = rollouts.VerdictStore()
        # Of all peers, as this VM's own lack of CPU time delays all answers.
        self._rtt = _make_estimator()
        self._peer_rtts: dict[str, rtt.RttEstimator] = {}
        self._pending: set[str] = set()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._spread_stream_ends)
            if self.exchange is not None:
                tasks.start_soon(self._run_exchange, self.exchange, tasks)
            await self._join()
            tasks.start_soon(self._run_periods)
            tasks.start_soon(self._spread_joins)

    async def _join(self) -> None:
        """Probes the seeds at once and waits for the first list of members."""
        seeds = self._rng.sample(
            self._seeds, min(MAX_FIRST_SEEDS, len(self._seeds))
        )
        with anyio.move_on_after(JOIN_WAIT_S if seeds else 0.0):
            assert self._tasks is not None
            for address in seeds:
                self._tasks.start_soon(self._probe, address)
            await self._first_contact.wait()
            await self._fetch_members(seeds)
        found = self._first_contact.is_set()
        LOG.info(
            "joined" if found else "no other scheduler found",
            extra={
                "members": len(self.membership.list_alive()),
                "seeds": len(self._seeds),
            },
        )
        self._publish()

    async def _fetch_members(self, seeds: list[str]) -> None:
        """Fetches the full list of members, page by page."""
        wanted = None
        while self.membership.wanted_after not in (None, wanted):
            wanted = self.membership.wanted_after
            (address,) = self._pick_probe_targets(1) or seeds[:1]
            await self._probe(address)

    async def _spread_joins(self) -> None:
        """Publishes new members without waiting for the next probe.

        A scheduler that is starting itself also passes them on at once.  Others
        do not: each restart of a VM would cost messages of all VMs.
        """
        while True:
            await self._new_members.wait()
            self._new_members = anyio.Event()
            self._publish()
            if steadyclock.read() < self._joining_until and self._tasks:
                for address in self._pick_probe_targets(JOIN_FANOUT):
                    self._tasks.start_soon(self._probe, address)
            await anyio.sleep(JOIN_SPREAD_INTERVAL_S)

    async def _run_exchange(
        self,
        exchange: region_exchange.RegionExchange,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Exchanges summaries with the owners of other regions."""
        while True:
            await anyio.sleep(region_exchange.CHECK_INTERVAL_S)
            if not self.is_zone_owner:
                continue
            contacts = self._contacts.list_zones()
            for address in exchange.pick_targets(contacts, steadyclock.read()):
                outcome = _ProbeOutcome(anyio.Event())
                tasks.start_soon(self._ask, address, outcome)

    @property
    def is_zone_owner(self) -> bool:
        """Whether this scheduler owns its region, in its view."""
        return self.find_zone_owner() == self._me.address

    def list_delays(self) -> dict[str, float]:
        """Returns the measured one-way delays to other regions, in seconds."""
        return self.exchange.list_delays() if self.exchange else {}

    def list_remote_summaries(
        self, key: message.ShardKey, now: float
    ) -> list[summary.ShardSummary]:
        """Returns the summaries of a shard in other zones, with delays."""
        found = self.summaries.list_remote(key, now)
        if self.exchange is None:
            return found
        return [
            msgspec.structs.replace(
                remote, delay_s=self.exchange.get_delay(remote.shard.zone)
            )
            for remote in found
        ]

    async def _spread_stream_ends(self) -> None:
        """Sends new ends of the log's streams to some members at once."""
        while True:
            await self._stream_advance.wait()
            self._stream_advance = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for address in self._pick_probe_targets(STREAM_END_FANOUT):
                    tasks.start_soon(self._probe, address)

    def _pick_probe_targets(self, count: int) -> list[str]:
        others = [m.address for m in self.membership.list_probe_targets()]
        return self._rng.sample(others, min(count, len(others)))

    async def _run_periods(self) -> None:
        while True:
            period_s = membership.PROBE_INTERVAL_S
            if self._is_joining():
                period_s = JOIN_PROBE_INTERVAL_S
            await anyio.sleep(period_s * self._rng.uniform(0.8, 1.2))
            await self._run_period()
            if self._is_joining():
                await self._probe_seeds()
            await self._client.close_idle(steadyclock.read())

    def _is_joining(self) -> bool:
        """Returns whether this scheduler is still discovering the others."""
        if self._quiet_probes >= QUIET_PROBES_TO_JOIN:
            return False
        return steadyclock.read() < self._joining_until

    async def _probe_seeds(self) -> None:
        """Probes the seeds that are not members yet."""
        known = {m.address for m in self.membership.list_alive()}
        unknown = [s for s in self._seeds if s not in known]
        await self._probe_non_members(unknown)

    async def _probe_non_members(self, addresses: list[str]) -> None:
        """Probes schedulers whose silence has no consequence.

        They may be far away or gone, so the caller does not wait for them.
        """
        for address in addresses:
            if address in self._pending:
                continue
            self._pending.add(address)
            if self._tasks is None:
                await self._probe_non_member(address)
            else:
                self._tasks.start_soon(self._probe_non_member, address)

    async def _probe_non_member(self, address: str) -> None:
        try:
            await self._ask(address, _ProbeOutcome())
        finally:
            self._pending.discard(address)
        self._publish()

    @property
    def asked_bytes(self) -> int:
        """Bytes of requests and answers exchanged with other schedulers."""
        return self._client.asked_bytes

    def list_links_down(self) -> list[link_failures.DownLink]:
        """Returns the links of this process that do not open."""
        return self._client.failures.list_down(steadyclock.read())

    def add_seeds(self, addresses: list[str]) -> None:
        """Adds schedulers from the platform's list of VMs."""
        known = {*self._seeds, self._me.address}
        self._seeds.extend(a for a in addresses if a not in known)

    def set_seeds(self, addresses: list[str]) -> None:
        """Replaces the seeds, and probes those that are no members at once.

        An empty list keeps the former ones, because it names nobody to join.
        """
        seeds = [a for a in addresses if a != self._me.address]
        if not seeds or seeds == self._seeds:
            return
        self._seeds = seeds
        if not self._pick_probe_targets(1):
            # They may be schedulers that grant limits too.
            self._count_seeds_until = (
                steadyclock.read() + membership.DEAD_RETENTION_S
            )
        if self._tasks is not None:
            self._tasks.start_soon(self._probe_seeds)

    def receive(self, gossip: peer_message.Gossip) -> peer_message.Gossip:
        """Merges a peer's probe and returns the answer."""
        self._merge(gossip, steadyclock.read())
        is_remote = gossip.sender.zone != self._me.zone
        answer = self._make_message(
            gossip.sender.zone, gossip.owner == gossip.sender.address
        )
        if gossip.wanted_after is None or is_remote:
            return answer
        page = self.membership.list_page(gossip.wanted_after)
        return msgspec.structs.replace(answer, page=page)

    def get_limit_share(self, stands_in: bool = False) -> float:
        """Returns the share of customers' limits that may be granted here.

        Schedulers that are unreachable or not discovered yet may grant theirs
        on the other side of a network partition, so they are counted too.

        Args:
            stands_in: Whether this scheduler replaces an owner that does not
                answer; one scheduler of each availability zone does.
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
        known += self._count_undiscovered_seeds()
        return min(1.0, LIMIT_SHARE_FACTOR * max(1, alive) / max(1, known))

    def _count_undiscovered_seeds(self) -> int:
        """Returns how many seeds may be schedulers not discovered yet.

        A scheduler that restarts alone on its side of a network partition knows
        no other; without its seeds it would grant every limit in full.  Seeds
        may also be stale, so they count no longer than a dead member.  Seeds in
        other zones do not count, as each zone has its own part of the limits.
        """
        if steadyclock.read() >= self._count_seeds_until:
            return 0
        known_addresses = {m.address for m in self.membership.list_all()}
        others = {m.address for m in self._contacts.list_all()}
        others.update(self._seed_zones)
        return len(set(self._seeds) - known_addresses - others)

    def pick_peer(self) -> str | None:
        """Returns the address of a random live scheduler, else of a seed."""
        addresses = [
            m.address
            for m in self.membership.list_alive()
            if m.address != self._me.address
        ] or self._seeds
        return self._rng.choice(addresses) if addresses else None

    async def probe_now(self, address: str) -> None:
        """Probes at once a member that did not answer another process."""
        member = next(
            (m for m in self.membership.list_alive() if m.address == address),
            None,
        )
        if member is None or member.address == self._me.address:
            return
        if not await self._probe(address, SUSPECT_PROBE_TIMEOUT_S):
            await self._suspect(member)

    async def _suspect(self, member: membership.Member) -> None:
        """Marks a member as suspect and probes others as well."""
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
        """Announces to the zone that this scheduler leaves."""
        now = steadyclock.read()
        self.membership.leave(now)
        for address in self._pick_probe_targets(LEAVE_FANOUT):
            await self._probe(address)
        self._publish()

    async def _run_period(self) -> None:
        self.membership.tick(steadyclock.read())
        self._contacts.expire(steadyclock.read())
        target = self.membership.pick_probe_target()
        others = []
        if not target and self._seeds:
            others.append(self._rng.choice(self._seeds))
        if next(self._periods) % OTHER_ZONE_PROBE_PERIODS == 0:
            others.extend(self._pick_other_zone())
        await self._probe_non_members(others)
        if target and not await self._probe(target.address):
            await self._suspect(target)
        self._publish()

    def _pick_other_zone(self) -> list[str]:
        """Returns one contact, or one seed that is not a member now.

        Seeds that are members are left out, as they are probed as members.
        Extra probes from every scheduler of a large zone would overload them.
        """
        contacts = [member.address for member in self._contacts.list_all()]
        known = {m.address for m in self.membership.list_alive()}.union(
            contacts
        )
        if contacts and not self._probes_other_zones():
            contacts = []
            known.update(self._seed_zones)
        unknown_seeds = [seed for seed in self._seeds if seed not in known]
        pool = contacts + unknown_seeds[:MAX_UNKNOWN_SEEDS]
        return [self._rng.choice(pool)] if pool else []

    def _probes_other_zones(self) -> bool:
        """Returns whether this scheduler probes any member of other zones.

        Owners contact the owners of other regions by ``exchange``.
        """
        return self.exchange is None or self._is_joining()

    async def _probe(
        self, address: str, timeout_s: float = membership.PROBE_TIMEOUT_S
    ) -> bool:
        """Probes a scheduler and returns whether it answers in time.

        Load pattern: VMs short of CPU time answer late, and VMs of another
        region always do.  The timeout adapts to the round-trip times of all
        peers and of this one; a later answer is still processed.
        """
        outcome = _ProbeOutcome()
        if self._tasks is None:
            await self._ask(address, outcome)
            return outcome.answered
        self._tasks.start_soon(self._ask, address, outcome)
        with deadline.move_on_after(self._get_timeout_s(address, timeout_s)):
            await outcome.is_known.wait()
        return outcome.answered

    def _get_timeout_s(self, address: str, least_s: float) -> float:
        peer_rtt = self._peer_rtts.get(address)
        peer_s = peer_rtt.timeout_s if peer_rtt else 0.0
        return max(least_s, self._rtt.timeout_s, peer_s)

    def _record_round_trip(
        self, sender: membership.Member, address: str, rtt_s: float, now: float
    ) -> None:
        if sender.zone == self._me.zone or self.exchange is None:
            self._observe_rtt(address, rtt_s)
            return
        # The timeout of probes within the region does not depend on it.
        self.exchange.record_round_trip(sender, rtt_s, now)
        if address in self._seeds:
            self._seed_zones[address] = sender.zone

    def _observe_rtt(self, address: str, rtt_s: float) -> None:
        self._rtt.observe(rtt_s)
        # Moved to the end, so that the oldest is dropped first.
        peer_rtt = self._peer_rtts.pop(address, None) or _make_estimator()
        peer_rtt.observe(rtt_s)
        self._peer_rtts[address] = peer_rtt
        if len(self._peer_rtts) > MAX_MEASURED_PEERS:
            del self._peer_rtts[next(iter(self._peer_rtts))]

    async def _ask(self, address: str, outcome: _ProbeOutcome) -> None:
        try:
            answer = await self._ask_until(
                address, steadyclock.read() + MAX_PROBE_TIMEOUT_S
            )
        except peer_link.LinkError as error:
            if not isinstance(error, peer_link.ConnectGuessError):
                self._contacts.remove_address(address, steadyclock.read())
                if self.exchange is not None:
                    self.exchange.record_failure(address)
            outcome.is_known.set()
            return
        self._apply_answer(answer)
        outcome.answered = True
        outcome.is_known.set()
        sender = answer.sender
        if sender.generation > self.membership.me.generation:
            await self._on_newer(sender.address, sender.generation)

    async def _ask_until(
        self, address: str, until: float
    ) -> peer_message.Gossip:
        """Probes again while the first connection attempts were too short.

        Raises:
            LinkError: The peer did not answer in time.
        """
        while True:
            began = steadyclock.read()
            try:
                answer: peer_message.Gossip = await self._client.ask(
                    address, self._make_probe(address), until - began
                )
            except peer_link.ConnectGuessError:
                if steadyclock.read() >= until:
                    raise
            else:
                now = steadyclock.read()
                self._record_round_trip(
                    answer.sender, address, now - began, now
                )
                return answer

    def _apply_answer(self, answer: peer_message.Gossip) -> None:
        known = self.membership.version
        now = steadyclock.read()
        self._merge(answer, now)
        if answer.sender.zone != self._me.zone:
            # Its digest and its pages are those of another membership.
            is_same = self.membership.version == known
            self._quiet_probes = self._quiet_probes + 1 if is_same else 0
            return
        if answer.page is not None:
            self.membership.apply_page(answer.page, now)
        elif answer.digest:
            self.membership.compare_digest(answer.digest)
        is_same = self.membership.version == known
        self._quiet_probes = self._quiet_probes + 1 if is_same else 0

    def _merge(self, gossip: peer_message.Gossip, now: float) -> None:
        joins = self.membership.joins
        # A scheduler whose seeds are all in other zones learns the members of
        # its own zone from their contacts.
        self.membership.merge(
            [gossip.sender, *gossip.updates, *gossip.contacts], now
        )
        if self.membership.joins != joins:
            self._new_members.set()
            self._first_contact.set()
        if self._bundle_source and gossip.ends:
            self._bundle_source.update_stream_ends(gossip.ends)
        self._contacts.update(gossip.sender, now)
        ages = itertools.chain(gossip.contact_ages_s, itertools.repeat(0.0))
        for member, age_s in zip(gossip.contacts, ages, strict=False):
            self._contacts.update(member, now - age_s)
        self.summaries.merge(gossip.summaries, now)
        self.verdicts.merge(gossip.verdicts)
        if self.exchange and gossip.sender.zone != self._me.zone:
            self.exchange.record_message(
                gossip.sender, gossip.owner, bool(gossip.summaries), now
            )
            if gossip.summaries:
                self.on_summaries()
            if gossip.limit_uses is not None:
                self.on_limit_uses(gossip.sender.zone, gossip.limit_uses, now)

    def _make_message(
        self, zone: str | None = None, is_owner: bool = False
    ) -> peer_message.Gossip:
        """Returns a message.

        Args:
            zone: The zone of the recipient; None for this scheduler's zone.
            is_owner: Whether the recipient owns its zone.
        """
        now = steadyclock.read()
        is_remote = zone is not None and zone != self._me.zone
        contacts = self._pick_contacts(zone if is_remote else None, is_owner)
        return peer_message.Gossip(
            self.membership.me,
            # Changes matter only within the zone.
            [] if is_remote else self.membership.pick_updates(),
            self._pick_summaries(is_remote, now),
            contacts,
            self._bundle_source.list_stream_ends()
            if self._bundle_source
            else {},
            0 if is_remote else self.membership.digest,
            verdicts=self.verdicts.list_final(),
            owner=self.find_zone_owner() if is_remote else "",
            contact_ages_s=[
                round(self._contacts.get_age(member, now), 2)
                for member in contacts
            ],
            limit_uses=self.list_limit_uses(now)
            if is_remote and self.exchange and self.is_zone_owner
            else None,
        )

    def _pick_contacts(
        self, zone: str | None, is_owner: bool
    ) -> list[membership.Member]:
        """Returns the contacts for a message.

        Args:
            zone: The zone of the recipient, whose contacts come first; None for
                this scheduler's zone.
            is_owner: Whether the recipient owns its zone.
        """
        contacts = self._contacts.list_all()
        self._rng.shuffle(contacts)
        contacts.sort(key=lambda member: member.zone != zone)
        if self.exchange is None:
            return contacts[:CONTACTS_PER_MESSAGE]
        count = next(self._messages[zone is not None])
        is_due = count % CONTACT_MESSAGES == 0
        if zone is None:
            # The owner of another region is the contact seen last.  So all
            # members learn its address, to which requests may go.
            now = steadyclock.read()
            contacts.sort(key=lambda m: self._contacts.get_age(m, now))
            return contacts[:1] if is_due else []
        # Another member of this region names its next owner if this one fails.
        own_members = [
            member
            for member in self.membership.list_alive()
            if member.state is membership.MemberState.ALIVE
            and member.address != self._me.address
        ]
        successor = self._rng.sample(own_members, min(1, len(own_members)))
        if is_owner:
            # Or one of a third region, to which the recipient may have lost
            # its contacts during a network partition.
            others = [m for m in contacts if m.zone != zone]
            chosen = self._rng.choice([*successor, *others[:1]] or [None])
            return [chosen] if is_due and chosen is not None else []
        return [*contacts[: CONTACTS_PER_MESSAGE - 1], *successor]

    def _pick_summaries(
        self, is_remote: bool, now: float
    ) -> list[summary.ShardSummary]:
        """Returns the summaries for a message.

        Summaries are needed by schedulers of other zones only.  If each zone
        has one owner, the owners exchange their own ones directly.
        """
        if self.exchange is None:
            return self.summaries.pick(now) if self._contacts.list_all() else []
        if not is_remote or not self.is_zone_owner:
            return []
        self.update_summaries()
        return self.summaries.pick(now, self._me.zone)

    def _make_probe(self, address: str = "") -> peer_message.Gossip:
        zone = self._find_other_zone(address)
        if self.exchange is not None and zone is not None:
            return self._make_message(zone, self.is_zone_owner)
        return msgspec.structs.replace(
            self._make_message(), wanted_after=self.membership.wanted_after
        )

    def _find_other_zone(self, address: str) -> str | None:
        """Returns the other zone that an address is known to belong to."""
        zones = {m.address: m.zone for m in self._contacts.list_all()}
        return zones.get(address, self._seed_zones.get(address))

    def _publish(self) -> None:
        others = sorted(self._contacts.list_all(), key=lambda m: m.vm)
        signature = hash(
            (
                self.membership.version,
                tuple((m.vm, m.address) for m in others),
            )
        )
        # The last member to leave finds no live ones.
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


def _make_estimator() -> rtt.RttEstimator:
    return rtt.RttEstimator(SUSPECT_PROBE_TIMEOUT_S, MAX_PROBE_TIMEOUT_S)


def _find_no_owner() -> str:
    """Default until the owners of zones are known."""
    return ""


def _list_no_uses(now: float) -> dict[str, message.LimitAmounts]:
    """Default until the limits are known."""
    return {}


def _ignore_uses(
    zone: str, uses: dict[str, message.LimitAmounts], now: float
) -> None:
    """Default of ``on_limit_uses``."""


def _do_nothing() -> None:
    """Default of the listeners."""

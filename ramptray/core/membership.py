"""Which schedulers of a zone are alive, and which of them owns a shard.

A SWIM-like protocol: every period each scheduler probes one other member, and
each probe and its answer carry a few recent changes.  So a node's heartbeat
cost does not grow with the size of the zone or the number of zones.  Nothing
that must hold rests on this view: a wrong one costs efficiency only.
"""

from __future__ import annotations

import enum
import heapq
import math
import random
from collections.abc import Iterable

import msgspec
import xxhash

PROBE_INTERVAL_S = 0.5
"""Time between two probes of a node, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""How long an answer to a probe may take, in seconds."""

SUSPECT_S = 0.75
"""How long a suspected member may still speak up, in seconds."""

DEAD_RETENTION_S = 60.0
"""How long a dead member's record is kept, in seconds."""

UPDATES_PER_MESSAGE = 12
"""Changes that one message carries at most, some 2 KB: enough for all to agree
within some rounds of probes after a fifth of two hundred members has gone."""

PAGE_MEMBERS = 48
"""Members that one answer lists for whoever does not know all of them yet: some
7 KB, a few milliseconds on a link of 10 Mbit/s."""

DIFFERENT_ANSWERS = 8
"""Answers in a row by peers that know other members, after which all are listed
anew: changes on their way take fewer."""

FEW_MEMBERS = 16
"""Up to so many others, a member probes all, for a quicker word of losses where
connections are few; of more, only its neighbours."""

STRONG_PART = 0.75
"""VMs with this part of the strongest one's processor time may own shards."""

RING_PLACES = 2**64
"""Places of the ring on which members have their neighbours."""

SPREAD_FACTOR = 3
"""A change is told this many times the logarithm of the members' number."""


class MemberState(enum.Enum):
    """What is believed of a member; later ones override earlier ones."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


_ORDER = {state: place for place, state in enumerate(MemberState)}


class Member(msgspec.Struct, frozen=True):
    """A scheduler as its zone knows it.

    Attributes:
        vm: Name of the VM it runs on.
        zone: Its availability zone.
        address: IP number and port that its peers use.
        incarnation: Grows when the member refutes a suspicion or restarts.
        state: What is believed of it.
        generation: The bundle generation in force on its VM.
        availability_zone: Where the VM stands, where several availability zones
            form one scheduling zone; empty where ``zone`` tells.
        cores: Processor time that its VM has a second, in seconds of a core; 0
            where that is not told.
        link_mbps: What its VM's link carries, in megabits a second; likewise.
    """

    vm: str
    zone: str
    address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    generation: int = 0
    availability_zone: str = ""
    cores: float = 0.0
    link_mbps: float = 0.0

    def overrides(self, other: Member) -> bool:
        """Returns whether this record is newer than the other."""
        mine = (self.incarnation, _ORDER[self.state], self.generation)
        theirs = (other.incarnation, _ORDER[other.state], other.generation)
        return mine > theirs


class _Known(msgspec.Struct):
    member: Member
    since: float
    told: int = 0


class Membership:
    """One scheduler's view of its zone.

    Args:
        me: This scheduler's own record.
        rng: Chooses whom to probe.
        now: The time, in seconds.
        spreads_generations: Whether each member hears of the bundle generation
            in force at every other one.  If not, only those that probe each
            other do: among hundreds, each change of the bundle would be as many
            changes of members, told by each of them some twenty times.

    Attributes:
        version: Grows with each change of who is alive and where.
        digest: The same for two views with the same living members.
        wanted_after: Name after which the next members are to be listed by
            whoever is probed; None if all were.
    """

    def __init__(
        self,
        me: Member,
        rng: random.Random,
        now: float,
        spreads_generations: bool = True,
    ) -> None:
        self._me = me
        self._rng = rng
        self._spreads_generations = spreads_generations
        self._known: dict[str, _Known] = {me.vm: _Known(me, now)}
        self._round: list[str] = []
        self.version = 1
        self.wanted_after: str | None = ""
        self.digest = _digest(me)
        self._different = 0

    @property
    def me(self) -> Member:
        """This scheduler's own record."""
        return self._me

    def list_alive(self) -> list[Member]:
        """Returns the members that may own shards, this one included."""
        return [
            known.member
            for known in self._known.values()
            if known.member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]

    def list_all(self) -> list[Member]:
        """Returns every record, dead members included."""
        return [known.member for known in self._known.values()]

    def is_minority(self) -> bool:
        """Returns whether at most half of the members can be heard.

        Those that have left by their own will do not count.
        """
        states = [known.member.state for known in self._known.values()]
        heard = states.count(MemberState.ALIVE)
        counted = len(states) - states.count(MemberState.LEFT)
        return 2 * heard <= counted

    def set_generation(self, generation: int, now: float) -> None:
        """Notes the bundle generation in force on this VM."""
        if generation != self._me.generation:
            self._set_me(generation=generation, now=now)

    def leave(self, now: float) -> None:
        """Marks this member as leaving by its own will."""
        self._set_me(state=MemberState.LEFT, now=now)

    def pick_probe_target(self) -> Member | None:
        """Returns the next neighbour: each once in a random round."""
        while self._round:
            known = self._known.get(self._round.pop())
            if known and self._may_probe(known.member):
                return known.member
        self._round = [member.vm for member in self.list_probe_targets()]
        self._rng.shuffle(self._round)
        if not self._round:
            return None
        return self._known[self._round.pop()].member

    def list_probe_targets(self) -> list[Member]:
        """Returns the members that this one probes.

        Load pattern: hundreds of VMs.  If each probed all in turn, each would
        hold a connection to every other one.  Members stand on a ring in a
        random order; each probes those 1, 2, 4, 8 ... places ahead, so it has
        as many neighbours on either side as the logarithm of their number, and
        news pass all of them in as many steps.
        """
        others = [
            known.member
            for known in self._known.values()
            if self._may_probe(known.member)
        ]
        if len(others) <= FEW_MEMBERS:
            return others
        mine = _place_on_ring(self._me.vm)
        others.sort(key=lambda m: (_place_on_ring(m.vm) - mine) % RING_PLACES)
        steps = range(len(others).bit_length())
        return [others[2**step - 1] for step in steps]

    def list_page(self, after: str) -> list[Member]:
        """Returns members that are alive, in the order of their names.

        Args:
            after: Name after which the list begins.
        """
        later = [member for member in self.list_alive() if member.vm > after]
        return heapq.nsmallest(PAGE_MEMBERS, later, key=lambda m: m.vm)

    def apply_page(self, page: list[Member], now: float) -> None:
        """Takes the members that were listed when that was asked for."""
        self.merge(page, now)
        whole = len(page) < PAGE_MEMBERS
        self.wanted_after = None if whole else page[-1].vm

    def compare_digest(self, digest: int) -> None:
        """Has all members listed anew if others go on to know other ones.

        Changes are told some times only, so a member may miss one for good.
        """
        self._different = 0 if digest == self.digest else self._different + 1
        if self._different >= DIFFERENT_ANSWERS:
            self._different = 0
            self.wanted_after = ""

    def pick_updates(self) -> list[Member]:
        """Returns the changes to tell next, the least told ones first."""
        most = SPREAD_FACTOR * math.ceil(math.log2(len(self._known) + 1))
        fresh = [k for k in self._known.values() if k.told < most]
        fresh.sort(key=lambda known: known.told)
        chosen = fresh[:UPDATES_PER_MESSAGE]
        for known in chosen:
            known.told += 1
        return [known.member for known in chosen]

    def merge(self, updates: list[Member], now: float) -> None:
        """Takes what a peer told."""
        for update in updates:
            if update.zone != self._me.zone:
                continue
            if update.vm == self._me.vm:
                self._refute(update, now)
                continue
            known = self._known.get(update.vm)
            if known is None or update.overrides(known.member):
                self._put(update, now)
            elif known.member.overrides(update):
                # Whoever believes an older word is told the newer one again;
                # so a member that stood still learns that it counts as dead.
                known.told = 0

    def suspect(self, vm: str, now: float) -> None:
        """Notes that a member did not answer a probe."""
        known = self._known.get(vm)
        if known and known.member.state is MemberState.ALIVE:
            suspected = msgspec.structs.replace(
                known.member, state=MemberState.SUSPECT
            )
            self._put(suspected, now)

    def tick(self, now: float) -> None:
        """Declares silent suspects dead and forgets the long dead."""
        for vm, known in list(self._known.items()):
            state = known.member.state
            if state is MemberState.SUSPECT and now - known.since > SUSPECT_S:
                self._put(
                    msgspec.structs.replace(
                        known.member, state=MemberState.DEAD
                    ),
                    now,
                )
            gone = state in (MemberState.DEAD, MemberState.LEFT)
            if (
                gone
                and vm != self._me.vm
                and now - known.since > DEAD_RETENTION_S
            ):
                # Its digest went when it did.
                del self._known[vm]

    def _may_probe(self, member: Member) -> bool:
        alive = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        return alive and member.vm != self._me.vm

    def _refute(self, update: Member, now: float) -> None:
        """Answers a false word about this member with a newer incarnation."""
        if self._me.state is MemberState.LEFT:
            return
        newer = update.incarnation > self._me.incarnation
        doubted = update.state is not MemberState.ALIVE
        moved = update.address != self._me.address
        if newer or (
            update.incarnation == self._me.incarnation and (doubted or moved)
        ):
            self._set_me(incarnation=update.incarnation + 1, now=now)

    def _set_me(
        self,
        now: float,
        incarnation: int | None = None,
        state: MemberState | None = None,
        generation: int | None = None,
    ) -> None:
        me = self._me
        self._me = msgspec.structs.replace(
            me,
            incarnation=me.incarnation if incarnation is None else incarnation,
            state=me.state if state is None else state,
            generation=me.generation if generation is None else generation,
        )
        self._put(self._me, now)

    def _put(self, member: Member, now: float) -> None:
        known = self._known.get(member.vm)
        old = known.member if known else None
        told = 0
        if known and not self._spreads_generations:
            told = known.told * _differs_by_generation(known.member, member)
        self._known[member.vm] = _Known(member, now, told)
        self.digest ^= _digest(member) ^ (_digest(old) if old else 0)
        if old is None or (old.state, old.address) != (
            member.state,
            member.address,
        ):
            self.version += 1


def list_strongest(members: Iterable[Member]) -> list[Member]:
    """Returns the members whose VMs are about as strong as the strongest.

    An owner works for each request of its shard; where VMs are of unlike size,
    the small ones would be short of processor time before the others.
    """
    known = list(members)
    most = max((member.cores for member in known), default=0.0)
    return [m for m in known if m.cores >= STRONG_PART * most]


def pick_owner(key: str, candidates: list[str]) -> str | None:
    """Returns the candidate with the highest weight for a key.

    Rendezvous hashing: when a candidate goes, only its own keys move.

    Args:
        key: What is to be owned.
        candidates: Names of those that may own it.
    """
    return max(
        candidates,
        key=lambda name: (_weigh(key, name), name),
        default=None,
    )


def pick_owners(key: str, candidates: list[str], count: int) -> list[str]:
    """Returns the candidates with the highest weights for a key.

    Args:
        key: What is to be owned.
        candidates: Names of those that may own it.
        count: How many are wanted.
    """
    ranked = sorted(
        candidates, key=lambda name: (_weigh(key, name), name), reverse=True
    )
    return ranked[:count]


def get_shard_number(name: str, shards: int) -> int:
    """Returns the shard that a backend server or a prefix falls into."""
    return xxhash.xxh3_64_intdigest(name.encode()) % shards


def _place_on_ring(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _differs_by_generation(one: Member, other: Member) -> bool:
    return one == msgspec.structs.replace(other, generation=one.generation)


def _digest(member: Member) -> int:
    """Returns a living member's part of the digest; 0 for others."""
    if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
        return 0
    text = f"{member.vm}|{member.incarnation}|{member.address}"
    return xxhash.xxh3_64_intdigest(text.encode())


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())

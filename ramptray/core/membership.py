"""Tracks which schedulers of a zone are alive and assigns shards to them.

A SWIM-like protocol: in each period every scheduler probes one other member,
and probes and their responses carry a few recent updates.  The cost per node
thus does not grow with the size of the zone or the number of zones.  No
correctness guarantee depends on this view: a wrong one only costs efficiency.
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
"""Time between two probes by a node, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""How long the response to a probe may take, in seconds."""

SUSPECT_TIMEOUT_S = 0.75
"""How long a suspected member has to refute the suspicion, in seconds."""

DEAD_RETENTION_S = 60.0
"""How long a dead member's record is kept, in seconds."""

MAX_UPDATES_PER_MESSAGE = 12
"""Most updates that one message carries, some 2 KB.  It lets all members agree
within a few rounds of probes after a fifth of 200 members has failed."""

PAGE_SIZE = 48
"""Members per page of the full listing that new members request: some 7 KB, a
few milliseconds on a link of 10 Mbit/s."""

MAX_DIGEST_MISMATCHES = 8
"""Consecutive responses with a different digest after which the full listing is
requested again.  Updates that are still spreading cause fewer."""

FULL_MESH_MAX_PEERS = 16
"""Up to this number of peers, a member probes all of them, which detects
failures sooner at a small number of connections."""

MIN_OWNER_CORES_FRACTION = 0.75
"""Fraction of the largest VM's cores that a VM needs to own shards."""

RING_SIZE = 2**64
"""Number of positions on the ring that determines probe targets."""

RETRANSMIT_FACTOR = 3
"""Each update is sent this many times the logarithm of the member count."""


class MemberState(enum.Enum):
    """State of a member; later states override earlier ones."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


_PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)

_STATE_RANKS = {state: place for place, state in enumerate(MemberState)}


class Member(msgspec.Struct, frozen=True):
    """A scheduler as seen by its zone.

    Attributes:
        vm: Name of the VM it runs on.
        zone: Its availability zone.
        address: IP address and port for its peers.
        incarnation: Increases when the member refutes a suspicion or restarts.
        state: Its state.
        generation: The bundle generation in force on its VM.
        availability_zone: The VM's availability zone if several of them form
            one scheduling zone; empty if it equals ``zone``.
        cores: Processor time available to its VM, in cores; 0 if unknown.
        link_mbps: Bandwidth of its VM's link, in Mbit/s; 0 if unknown.
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
        mine = (self.incarnation, _STATE_RANKS[self.state], self.generation)
        theirs = (
            other.incarnation,
            _STATE_RANKS[other.state],
            other.generation,
        )
        return mine > theirs


class _Record(msgspec.Struct):
    member: Member
    since: float
    sent_count: int = 0


class Membership:
    """One scheduler's view of its zone.

    Args:
        me: This scheduler's own record.
        rng: Chooses whom to probe.
        now: The time, in seconds.
        spreads_generations: Whether changes of a member's bundle generation
            spread to all members.  If not, only members that probe each other
            exchange them: with hundreds of members, each new bundle would
            cause as many updates, each sent some 20 times by every member.

    Attributes:
        version: Increases with each change of a member's state or address.
        joins: Number of members that were new or have returned.
        digest: Hash of the live members; equal for equal views.
        wanted_after: Name after which the next page of the full listing
            begins; None if the listing is complete.
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
        self._records: dict[str, _Record] = {me.vm: _Record(me, now)}
        self._probe_round: list[str] = []
        self.version = 1
        self.joins = 0
        self.wanted_after: str | None = ""
        self.digest = _hash_member(me)
        self._digest_mismatches = 0

    @property
    def me(self) -> Member:
        """This scheduler's own record."""
        return self._me

    def list_alive(self) -> list[Member]:
        """Returns the live members, this one included."""
        return [
            record.member
            for record in self._records.values()
            if record.member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]

    def list_all(self) -> list[Member]:
        """Returns every record, dead members included."""
        return [record.member for record in self._records.values()]

    def is_minority(self) -> bool:
        """Returns whether at most half of the members are reachable.

        Members that left deliberately do not count.
        """
        states = [record.member.state for record in self._records.values()]
        heard = states.count(MemberState.ALIVE)
        counted = len(states) - states.count(MemberState.LEFT)
        return 2 * heard <= counted

    def set_generation(self, generation: int, now: float) -> None:
        """Sets the bundle generation in force on this VM."""
        if generation != self._me.generation:
            self._set_me(generation=generation, now=now)

    def leave(self, now: float) -> None:
        """Marks this member as having left deliberately."""
        self._set_me(state=MemberState.LEFT, now=now)

    def pick_probe_target(self) -> Member | None:
        """Returns the next probe target, in random order without repeats."""
        while self._probe_round:
            record = self._records.get(self._probe_round.pop())
            if record and self._is_probe_candidate(record.member):
                return record.member
        self._probe_round = [member.vm for member in self.list_probe_targets()]
        self._rng.shuffle(self._probe_round)
        if not self._probe_round:
            return None
        return self._records[self._probe_round.pop()].member

    def list_probe_targets(self) -> list[Member]:
        """Returns the members that this one probes.

        Load pattern: hundreds of VMs.  If each probed all others in turn, each
        would hold a connection to every other one.  Members are ordered on a
        ring by hash, and each probes those 1, 2, 4, 8 ... positions ahead.  So
        the number of connections per member, and the number of steps in which
        an update reaches all members, are logarithmic.
        """
        others = [
            record.member
            for record in self._records.values()
            if self._is_probe_candidate(record.member)
        ]
        if len(others) <= FULL_MESH_MAX_PEERS:
            return others
        mine = _get_ring_position(self._me.vm)
        others.sort(key=lambda m: (_get_ring_position(m.vm) - mine) % RING_SIZE)
        steps = range(len(others).bit_length())
        return [others[2**step - 1] for step in steps]

    def list_page(self, after: str) -> list[Member]:
        """Returns a page of the live members, sorted by name.

        Args:
            after: Name after which the page begins.
        """
        later = [member for member in self.list_alive() if member.vm > after]
        return heapq.nsmallest(PAGE_SIZE, later, key=lambda m: m.vm)

    def apply_page(self, page: list[Member], now: float) -> None:
        """Merges a requested page of the full listing."""
        self.merge(page, now)
        is_last = len(page) < PAGE_SIZE
        self.wanted_after = None if is_last else page[-1].vm

    def compare_digest(self, digest: int) -> None:
        """Requests the full listing again after repeated digest mismatches.

        Updates are sent a limited number of times, so a member may miss one.
        """
        self._digest_mismatches = (
            0 if digest == self.digest else self._digest_mismatches + 1
        )
        if self._digest_mismatches >= MAX_DIGEST_MISMATCHES:
            self._digest_mismatches = 0
            self.wanted_after = ""

    def pick_updates(self) -> list[Member]:
        """Returns the updates to send next, least often sent ones first."""
        most = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._records) + 1))
        pending = [r for r in self._records.values() if r.sent_count < most]
        pending.sort(key=lambda record: record.sent_count)
        chosen = pending[:MAX_UPDATES_PER_MESSAGE]
        for record in chosen:
            record.sent_count += 1
        return [record.member for record in chosen]

    def merge(self, updates: list[Member], now: float) -> None:
        """Merges updates from a peer."""
        for update in updates:
            if update.zone != self._me.zone:
                continue
            if update.vm == self._me.vm:
                self._refute(update, now)
                continue
            record = self._records.get(update.vm)
            if record is None or update.overrides(record.member):
                self._update_record(update, now)
            elif record.member.overrides(update):
                # The peer has an older record, so send the newer one again.
                # A member that was suspended thus learns that it counts as
                # dead.
                record.sent_count = 0

    def suspect(self, vm: str, now: float) -> None:
        """Marks a member that did not respond to a probe as suspected."""
        record = self._records.get(vm)
        if record and record.member.state is MemberState.ALIVE:
            suspected = msgspec.structs.replace(
                record.member, state=MemberState.SUSPECT
            )
            self._update_record(suspected, now)

    def tick(self, now: float) -> None:
        """Declares unrefuted suspects dead and removes expired records."""
        for vm, record in list(self._records.items()):
            state = record.member.state
            if (
                state is MemberState.SUSPECT
                and now - record.since > SUSPECT_TIMEOUT_S
            ):
                self._update_record(
                    msgspec.structs.replace(
                        record.member, state=MemberState.DEAD
                    ),
                    now,
                )
            is_gone = state in (MemberState.DEAD, MemberState.LEFT)
            if (
                is_gone
                and vm != self._me.vm
                and now - record.since > DEAD_RETENTION_S
            ):
                # The digest has excluded it since it died or left.
                del self._records[vm]

    def _is_probe_candidate(self, member: Member) -> bool:
        alive = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        return alive and member.vm != self._me.vm

    def _refute(self, update: Member, now: float) -> None:
        """Refutes an incorrect record of this member with a new incarnation."""
        if self._me.state is MemberState.LEFT:
            return
        newer = update.incarnation > self._me.incarnation
        is_suspected = update.state is not MemberState.ALIVE
        has_moved = update.address != self._me.address
        if newer or (
            update.incarnation == self._me.incarnation
            and (is_suspected or has_moved)
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
        self._update_record(self._me, now)

    def _update_record(self, member: Member, now: float) -> None:
        record = self._records.get(member.vm)
        old = record.member if record else None
        sent_count = 0
        if record and not self._spreads_generations:
            sent_count = record.sent_count * _differ_only_in_generation(
                record.member, member
            )
        self._records[member.vm] = _Record(member, now, sent_count)
        self.digest ^= _hash_member(member) ^ (_hash_member(old) if old else 0)
        if old is None or (old.state, old.address) != (
            member.state,
            member.address,
        ):
            self.version += 1
        is_new = old is None or old.state not in _PRESENT_STATES
        if is_new and member.state in _PRESENT_STATES:
            self.joins += 1


def list_strongest(members: Iterable[Member]) -> list[Member]:
    """Returns the members whose VMs have about as many cores as the largest.

    An owner does work for each request of its shard; if VMs differ in size, the
    small ones would run out of processor time before the others.
    """
    candidates = list(members)
    most = max((member.cores for member in candidates), default=0.0)
    return [m for m in candidates if m.cores >= MIN_OWNER_CORES_FRACTION * most]


def pick_owner(key: str, candidates: list[str]) -> str | None:
    """Returns the candidate with the highest weight for a key.

    Rendezvous hashing: if a candidate is removed, only its own keys move.

    Args:
        key: The key to be owned.
        candidates: Names of possible owners.
    """
    return max(
        candidates,
        key=lambda name: (_compute_weight(key, name), name),
        default=None,
    )


def pick_owners(key: str, candidates: list[str], count: int) -> list[str]:
    """Returns the candidates with the highest weights for a key.

    Args:
        key: The key to be owned.
        candidates: Names of possible owners.
        count: Number of owners to return.
    """
    ranked = sorted(
        candidates,
        key=lambda name: (_compute_weight(key, name), name),
        reverse=True,
    )
    return ranked[:count]


def get_shard_number(name: str, shards: int) -> int:
    """Returns the shard number of a backend server or a prefix."""
    return xxhash.xxh3_64_intdigest(name.encode()) % shards


def _get_ring_position(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _differ_only_in_generation(one: Member, other: Member) -> bool:
    return one == msgspec.structs.replace(other, generation=one.generation)


def _hash_member(member: Member) -> int:
    """Returns a live member's contribution to the digest; 0 for others."""
    if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
        return 0
    text = f"{member.vm}|{member.incarnation}|{member.address}"
    return xxhash.xxh3_64_intdigest(text.encode())


def _compute_weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())

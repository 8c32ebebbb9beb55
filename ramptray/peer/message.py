"""Messages between ramptray's processes beside those of the decision core."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray.bundle import signature
from ramptray.core import blocklist, membership, rollout, summary


class Hello(msgspec.Struct, frozen=True):
    """Entry or controller to scheduler: who attaches."""

    name: str
    vm: str
    kind: str


class View(msgspec.Struct, frozen=True):
    """Scheduler to an attached process: the schedulers it may use.

    Attributes:
        members: Live schedulers of the own zone.
        others: Some live schedulers of each other zone.
    """

    members: list[membership.Member]
    others: list[membership.Member]


class LowestGeneration(msgspec.Struct, frozen=True):
    """Scheduler to controller: the zone's VMs all work by this or newer."""

    generation: int


class BundleUpdate(msgspec.Struct, frozen=True):
    """Scheduler to an attached process: the bundle in force."""

    envelope: signature.Envelope


class InForceReport(msgspec.Struct, frozen=True):
    """Attached process to scheduler: the generation it works by."""

    generation: int


class LeaseReport(msgspec.Struct, frozen=True):
    """Controller to scheduler: whether it holds its zone's lease."""

    held: bool
    fencing: int


class ClaimKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: claim an idempotency key for an attempt.

    Attributes:
        key: Digest of customer, service and idempotency key.
        attempt: The request's id.
        digest: Digest of the request's body.
    """

    key: str
    attempt: str
    digest: str


class ReleaseKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: the attempt will never dispatch."""

    key: str
    attempt: str


class FinishKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: the attempt's answer was whole."""

    key: str
    attempt: str
    status: int


class ClaimDecision(msgspec.Struct, frozen=True):
    """Scheduler to entry: what the log says of a claim.

    Attributes:
        attempt: The request's id.
        verdict: A value of ``core.claim.Verdict``.
        status: Status of the earlier answer, where there is one.
    """

    attempt: str
    verdict: str
    status: int = 0


class Gossip(msgspec.Struct, frozen=True):
    """Scheduler to scheduler, and back: liveness and recent changes.

    Attributes:
        sender: The sender's own record.
        updates: Recent changes of the sender's zone.
        summaries: Shards of any zone, newest known.
        contacts: Live schedulers of other zones.
        ends: How far each stream of the log, by its name, is known to reach.
        digest: The same for senders that know the same living members; 0 for
            not told.
        wanted_after: Name after which the sender wants members listed; None
            if it does not.
        page: The members that were wanted so.
        verdicts: What was decided on rollouts, as far as it is final.
    """

    sender: membership.Member
    updates: list[membership.Member]
    summaries: list[summary.ShardSummary]
    contacts: list[membership.Member]
    ends: dict[str, int] = msgspec.field(default_factory=dict)
    digest: int = 0
    wanted_after: str | None = None
    page: list[membership.Member] | None = None
    verdicts: list[rollout.Verdict] = []


class FetchBundle(msgspec.Struct, frozen=True):
    """Scheduler to scheduler: send your bundle in force if it is newer."""

    above: int


class Replica(msgspec.Struct, frozen=True):
    """A backend server that tells of itself, outside the bundle.

    Attributes:
        service: The service it works for.
        address: IP number and port it listens on.
        zone: Its availability zone.
        slots: Requests it works on at a time.
        leaving: Whether it is to get no new work.
        run: Which of its runs this is: its start, in Unix milliseconds; 0
            where it does not tell.  A later run knows nothing of this one.
        position: Where the store keeps its word: what stands later is newer;
            -1 where that is not known.
        warm_in_s: Seconds after its word in which it is warm.
        warm_at: When it is warm, on this VM's steady clock.
        release: The release of its software; empty where it does not tell.
    """

    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    run: int = 0
    position: int = -1
    warm_in_s: float = 0.0
    warm_at: float = 0.0
    release: str = ""

    def is_older(self, other: Replica) -> bool:
        """Returns whether this word was overtaken by the other.

        A clock that was set back makes a later run look earlier, so the
        store's order goes before the starts.
        """
        if min(self.position, other.position) >= 0:
            return self.position < other.position
        return self.run < other.run


class FetchedBundle(msgspec.Struct, frozen=True):
    """Answer to ``FetchBundle``.

    Attributes:
        envelope: The bundle, if it is newer than asked.
    """

    envelope: signature.Envelope | None


class StreamRecord(msgspec.Struct, frozen=True):
    """A record of a keyed stream.

    Attributes:
        key: Its key.
        position: Its offset; -1 where that is not known.
        value: Its value, packed where there is a digest; None where the key
            was dropped.
        base: Offset of the record of this key that the packed value is the
            difference to; -1 for none.
        digest: Digest of the value that was packed; None where it was not.
    """

    key: str
    position: int
    value: bytes | None
    base: int = -1
    digest: int | None = None


class StreamNews(msgspec.Struct, frozen=True):
    """What somebody lacks of a keyed stream.

    Attributes:
        stream: The stream's name.
        start: Offset from which on records are told.
        records: The newest record of each key, by their offsets.
        end: Offset that the next record will get.
        whole: Whether the records are all there are.
        age_s: How long ago the log had nothing beyond the end, in seconds.
        trouble_s: How long ago it last did not answer whoever read it, in
            seconds; None for never.
        returned_s: How long ago it answered again after that; likewise.
        packed: The records of a whole stream, encoded and packed together; None
            where they stand in ``records``.
    """

    stream: str
    start: int
    records: list[StreamRecord]
    end: int
    whole: bool
    age_s: float = 0.0
    trouble_s: float | None = None
    returned_s: float | None = None
    packed: bytes | None = None


class FollowStreams(msgspec.Struct, frozen=True):
    """VM to VM: tell what the log's streams have beyond these offsets.

    Attributes:
        ends: Up to which offset each stream is held; -1 for nothing.
        known_s: How old what the asker was told is, in seconds: an answer that
            makes it younger is due also where there are no records.
        wait_s: How long to wait for such an answer, in seconds.
    """

    ends: dict[str, int]
    known_s: float
    wait_s: float


class ToldStreams(msgspec.Struct, frozen=True):
    """Answer to ``FollowStreams``; streams that are not held are left out."""

    news: list[StreamNews]


class BlockedContents(msgspec.Struct, frozen=True):
    """Scheduler to entry and back: contents that end backend servers.

    Also the answer to ``ListBlocks`` and ``LiftBlock``.
    """

    blocks: list[blocklist.BlockUpdate]


class ListBlocks(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: which contents are blocked."""


class LiftBlock(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: serve a content again."""

    content: str


class AskStatus(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: what do you see."""


class Status(msgspec.Struct, frozen=True):
    """Answer to ``AskStatus``: a report ready to be shown as JSON."""

    report: dict[str, Any]


class AskTimeline(msgspec.Struct, frozen=True):
    """Operator's command to scheduler, or scheduler to an attached process.

    Attributes:
        after: Only events with a later clock value.
        subject: Only events about this request, backend server or bundle.
        ticket: Tells apart the questions to an attached process.
    """

    after: int
    subject: str
    ticket: int = 0


class TimelineEvents(msgspec.Struct, frozen=True):
    """Answer to ``AskTimeline``.

    Attributes:
        events: Events, oldest first.
        ticket: The question's ticket.
    """

    events: list[dict[str, Any]]
    ticket: int = 0

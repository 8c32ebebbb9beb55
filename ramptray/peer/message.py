"""Messages between ramptray's processes, except those of ``core.message``."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray.bundle import signature
from ramptray.core import (
    blocklist,
    membership,
    message,
    release_history,
    rollout,
    stream_origin,
    summary,
)


class Hello(msgspec.Struct, frozen=True):
    """Entry or controller to scheduler: identifies the attaching process.

    Attributes:
        name: Its name.
        vm: Its VM.
        kind: "entry" or "controller".
        gateway_address: Address at which its VM opens tunnels to backend
            servers for others; empty if it does not.
    """

    name: str
    vm: str
    kind: str
    gateway_address: str = ""


class OpenTunnel(msgspec.Struct, frozen=True):
    """VM to VM: connect to a backend server and pass bytes on.

    Attributes:
        backend: The backend server.
        run: Its run, see ``core.message.Grant``.
        regions: Regions whose VMs and servers may get the bytes; None for any.
        address: Where the sender's record has it; empty from VMs of an older
            version.
    """

    backend: str
    run: int
    regions: tuple[str, ...] | None = None
    address: str = ""


class TunnelAnswer(msgspec.Struct, frozen=True):
    """Response to ``OpenTunnel``.

    Attributes:
        reason: Why there is no connection to the backend server; empty if there
            is one.
    """

    reason: str = ""


class TunneledHints(msgspec.Struct, frozen=True):
    """VM to VM: hints in a response that the receiver tunneled.

    Attributes:
        hints: The hints.
        request_id: The request.
    """

    hints: message.ServerHints
    request_id: str


class Received(msgspec.Struct, frozen=True):
    """Response to messages that need no answer."""


class View(msgspec.Struct, frozen=True):
    """Scheduler to attached process: the schedulers it may use.

    Attributes:
        members: Live schedulers of the process's own zone.
        others: Some live schedulers of each other zone.
    """

    members: list[membership.Member]
    others: list[membership.Member]


class LowestGeneration(msgspec.Struct, frozen=True):
    """Scheduler to controller: oldest generation in force in the zone."""

    generation: int


class BundleUpdate(msgspec.Struct, frozen=True):
    """Scheduler to attached process: the bundle in force."""

    envelope: signature.Envelope


class InForceReport(msgspec.Struct, frozen=True):
    """Attached process to scheduler: the bundle generation it uses."""

    generation: int


class LeaseReport(msgspec.Struct, frozen=True):
    """Controller to scheduler: whether it holds its zone's lease."""

    held: bool
    fencing: int


class ClaimKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: claims an idempotency key for an attempt.

    Attributes:
        key: Digest of customer, service and idempotency key.
        attempt: The request's id.
        digest: Digest of the request's body.
    """

    key: str
    attempt: str
    digest: str


class ReleaseKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: the attempt will never be dispatched."""

    key: str
    attempt: str


class FinishKey(msgspec.Struct, frozen=True):
    """Entry to scheduler: the attempt's response was complete."""

    key: str
    attempt: str
    status: int


class ClaimDecision(msgspec.Struct, frozen=True):
    """Scheduler to entry: a claim's status according to the log.

    Attributes:
        attempt: The request's id.
        verdict: A value of ``core.claim.ClaimStatus``.
        status: Status of the earlier response, if there is one.
    """

    attempt: str
    verdict: str
    status: int = 0


class Gossip(msgspec.Struct, frozen=True, omit_defaults=True):
    """Scheduler to scheduler, in both directions: liveness and recent changes.

    Attributes:
        sender: The sender's own member record.
        updates: Recent changes of the sender's zone.
        summaries: The newest known summaries of shards in any zone.
        contacts: Live schedulers of other zones.
        ends: Highest known end of each log stream, by its name.
        digest: Digest of the live members that the sender knows; 0 if not
            sent.
        wanted_after: Name after which to list members in the response; None
            to list none.
        page: The members requested by ``wanted_after``.
        verdicts: Final verdicts on rollouts.
        owner: Address of the scheduler that owns the sender's zone in its view;
            empty if each shard has an owner of its own.
        contact_ages_s: Seconds since each of the contacts was heard from; empty
            if not sent.
        limit_uses: What the sender's zone was granted of customers' limits in
            the last span; None if the sender does not own its zone.
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
    owner: str = ""
    contact_ages_s: list[float] = []
    limit_uses: dict[str, message.LimitAmounts] | None = None


class FetchBundle(msgspec.Struct, frozen=True):
    """Scheduler to scheduler: requests the bundle in force if it is newer."""

    above: int


class Replica(msgspec.Struct, frozen=True):
    """A backend server that registers itself, outside the bundle.

    Attributes:
        service: The service it belongs to.
        address: IP address and port it listens on.
        zone: Its availability zone.
        slots: Number of concurrent requests it accepts.
        leaving: Whether it must get no new requests.
        run: Start of its process in Unix milliseconds, which identifies the
            run; 0 if unknown.  A later run keeps no state of an earlier one.
        position: Offset of its record in the store, higher for newer records;
            -1 if unknown.
        warm_in_s: Seconds from its record until it is warm.
        warm_at: When it is warm, on this VM's steady clock.
        release: The release of its software; empty if unknown.
        is_zone_known: Whether the settings of this VM name its availability
            zone.  Those of other VMs may, so they may use it in any case.
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
    is_zone_known: bool = True

    def is_older(self, other: Replica) -> bool:
        """Returns whether this record is superseded by the other.

        If a clock was set back, a later run looks earlier, so the store's order
        takes precedence over the start times.
        """
        if min(self.position, other.position) >= 0:
            return self.position < other.position
        return self.run < other.run


class FetchedBundle(msgspec.Struct, frozen=True):
    """Response to ``FetchBundle``.

    Attributes:
        envelope: The bundle; None if it is not newer than requested.
    """

    envelope: signature.Envelope | None


class StreamRecord(msgspec.Struct, frozen=True):
    """A record of a keyed stream.

    Attributes:
        key: Its key.
        position: Its offset; -1 if unknown.
        value: Its value, packed if there is a digest; None if the key was
            deleted.
        base: Offset of the record of this key that the packed value is the
            difference from; -1 for none.
        digest: Digest of the unpacked value; None if it is not packed.
    """

    key: str
    position: int
    value: bytes | None
    base: int = -1
    digest: int | None = None


class StreamNews(msgspec.Struct, frozen=True):
    """Update of a keyed stream for a VM that is behind.

    Attributes:
        stream: The stream's name.
        start: Offset from which on records are sent.
        records: The newest record of each key, ordered by offset.
        end: Offset of the next record.
        whole: Whether the records are the whole stream.
        age_s: Seconds since the log had no records beyond the end.
        trouble_s: Seconds since the log last failed to answer its reader; None
            for never.
        returned_s: Seconds since it answered again; None for never.
        packed: The records of a whole stream, encoded and packed together; None
            if they are in ``records``.
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
    """VM to VM: requests the records of streams from these offsets on.

    Attributes:
        ends: Offset up to which the requester holds each stream; -1 for none.
        known_s: Age of the log's state known to the requester, in seconds: a
            response with a more recent state is due even without records.
        wait_s: How long to wait for such a response, in seconds.
    """

    ends: dict[str, int]
    known_s: float
    wait_s: float


class ToldStreams(msgspec.Struct, frozen=True):
    """Response to ``FollowStreams``, without streams that are not held.

    Attributes:
        news: Updates of the streams.  Their ages are those at the response.
        held_s: How long the request was held before the response, in seconds;
            None from VMs that do not tell.
    """

    news: list[StreamNews]
    held_s: float | None = None


class KeepOrigins(msgspec.Struct, frozen=True):
    """VM to VM: keep the origins of these streams."""

    records: list[stream_origin.OriginRecord]


class OriginsKept(msgspec.Struct, frozen=True):
    """Response to ``KeepOrigins``.

    Attributes:
        ambiguous: The records among them whose keys have several origins.
    """

    ambiguous: list[stream_origin.OriginRecord] = []


class FindOrigin(msgspec.Struct, frozen=True):
    """VM to VM: requests the origin of a stream.

    Attributes:
        key: The stream's key.
        asks_zone: Whether the receiver asks the other VMs of its zone.
    """

    key: bytes
    asks_zone: bool = False


class FoundOrigin(msgspec.Struct, frozen=True):
    """Response to ``FindOrigin``.

    Attributes:
        origins: The stream's origins; empty if none is known.
    """

    origins: tuple[stream_origin.Origin, ...]


class FetchReleaseHistory(msgspec.Struct, frozen=True):
    """VM to VM: requests the history of releases."""


class ReleaseHistoryUpdate(msgspec.Struct, frozen=True):
    """Response to ``FetchReleaseHistory``."""

    page: release_history.HistoryPage


class BlockedContents(msgspec.Struct, frozen=True):
    """Scheduler to entry, or back: blocked contents, which crash servers.

    Also the response to ``ListBlocks`` and ``LiftBlock``.
    """

    blocks: list[blocklist.BlockUpdate]


class ListBlocks(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: lists blocked contents."""


class LiftBlock(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: lifts the block of a content."""

    content: str


class AskStatus(msgspec.Struct, frozen=True):
    """Operator's command to scheduler: requests its status."""


class Status(msgspec.Struct, frozen=True):
    """Response to ``AskStatus``: a report that can be shown as JSON."""

    report: dict[str, Any]


class AskTimeline(msgspec.Struct, frozen=True):
    """Operator to scheduler, or scheduler to attached process: requests events.

    Attributes:
        after: Only events with a later clock value.
        subject: Only events about this request, backend server or bundle.
        ticket: Identifies a request to an attached process.
    """

    after: int
    subject: str
    ticket: int = 0


class TimelineEvents(msgspec.Struct, frozen=True):
    """Response to ``AskTimeline``.

    Attributes:
        events: Events, oldest first.
        ticket: The request's ticket.
    """

    events: list[dict[str, Any]]
    ticket: int = 0

"""Which releases may have begun a stream, for after the loss of all VMs.

One record in the store names them and the position in the stream of replicas
up to which it is complete.  Later releases stand in that stream.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Collection, Iterable, Mapping

import msgspec

from ramptray.core import membership, release_history, stream_origin

RENEWAL_INTERVAL_S = 30.0
"""Time after which the record is renewed if its position is no longer the end
of the stream of replicas, in seconds.  The store keeps that stream for 300 s or
less, and a start has to read all that follows the record."""

VERIFY_INTERVAL_S = 120.0
"""Time after which the record is read again while nothing changes, in seconds.
A write without an answer may be done later and replace a newer record, and the
store drops what follows the older one after 300 s."""

MIN_INTERVAL_S = 5.0
"""Shortest time between two records, in seconds.  Each call to the store has a
price, and a release that comes is in the stream of replicas anyway."""

MAX_WRITERS = 3
"""Number of VMs of a scheduling zone that may write the record.  The store may
refuse one VM while it serves the others."""

TAKEOVER_DELAY_S = 20.0
"""How much later than the one before it a VM writes an overdue record, in
seconds.  It is longer than the first retries of a write that fails."""

_OWNERSHIP_KEY = "release-record"

Releases = Mapping[str, Collection[str]]
"""Releases by service."""


class ReleaseRecord(msgspec.Struct, frozen=True):
    """The releases that may have begun a stream that is not yet forgotten.

    Attributes:
        releases: The releases by service, sorted.
        position: End of the stream of replicas up to which they are complete.
    """

    releases: dict[str, tuple[str, ...]]
    position: int


class KeptStream(msgspec.Struct, frozen=True):
    """What the store still has of the stream of replicas.

    Attributes:
        begin: Position of the first record that was read; 0 if there has never
            been an earlier one, None if the records wanted are no longer
            retained.
        releases: The releases that its records name.
    """

    begin: int | None
    releases: Releases


class Conclusion(msgspec.Struct, frozen=True):
    """What the store shows about former releases.

    Attributes:
        releases: The releases that may have begun a stream.
        evidence: What shows that there were no others.
    """

    releases: dict[str, tuple[str, ...]]
    evidence: release_history.Evidence


def make_record(
    page: release_history.HistoryPage, known: Releases
) -> ReleaseRecord | None:
    """Returns the record to be stored.

    Args:
        page: This VM's history and its position.
        known: The releases of all replicas known here, also of services that
            the configuration does not name yet: once it does, later records of
            replicas need not name their releases again.

    Returns:
        The record; None if this VM does not know all releases of the span, or
        no position.
    """
    if page.known_s < stream_origin.SPAN_S or page.position <= 0:
        return None
    lately = {
        service: {
            release
            for release, age_s in ages_s.items()
            if age_s < stream_origin.SPAN_S
        }
        for service, ages_s in page.ages_s.items()
    }
    return ReleaseRecord(_merge(lately, known), page.position)


def get_read_start(record: ReleaseRecord | None) -> int:
    """Returns from which position a start reads the stream of replicas.

    Args:
        record: The record in the store; None if there is none.

    Returns:
        The position; 0 for the stream's very first record.
    """
    return 0 if record is None else record.position


def conclude(
    record: ReleaseRecord | None, stream: KeptStream, listed: Releases
) -> Conclusion | None:
    """Returns what a VM may conclude that begins its history.

    Args:
        record: The record in the store; None if there is none.
        stream: The stream of replicas from ``get_read_start`` on.
        listed: The releases of all replicas that are known now.

    Returns:
        The conclusion; None if releases may have come and gone unseen.
    """
    if stream.begin is None:
        return None
    recorded: Releases = {}
    if record is not None and stream.begin <= record.position:
        recorded = record.releases
        evidence = release_history.Evidence.RECORD
    elif stream.begin == 0:
        evidence = release_history.Evidence.STREAM_BEGIN
    else:
        return None
    return Conclusion(_merge(recorded, stream.releases, listed), evidence)


def find_rank(address: str, members: Iterable[membership.Member]) -> int | None:
    """Returns when it is a VM's turn to write the record.

    Args:
        address: Address of the VM.
        members: The members of its scheduling zone.

    Returns:
        0 for the writer, higher numbers for those that stand in for it; None if
        the VM does not write.
    """
    by_name = {member.vm: member.address for member in members}
    writers = membership.pick_owners(_OWNERSHIP_KEY, list(by_name), MAX_WRITERS)
    addresses = [by_name[name] for name in writers]
    return addresses.index(address) if address in addresses else None


class WriteSchedule:
    """Decides when a VM writes the record."""

    def __init__(self) -> None:
        self._stored: ReleaseRecord | None = None
        # When another record was first seen in the store.
        self._stored_at = -math.inf
        # When the store was last read or written.
        self._observed_at = -math.inf
        # Since when the stored record names other releases.
        self._differs_since: float | None = None

    def observe_stored(self, record: ReleaseRecord | None, now: float) -> None:
        """Applies what the store holds.

        Args:
            record: The record; None if there is none.
            now: The current time, in seconds.
        """
        self._observed_at = now
        if record != self._stored:
            self._stored = record
            self._stored_at = now

    def is_due(self, record: ReleaseRecord, rank: int, now: float) -> bool:
        """Returns whether this VM has to read the store and write the record.

        It writes if that is still so once the store was read.

        Args:
            record: The record as it would be written now.
            rank: See ``find_rank``.
            now: The current time, in seconds.
        """
        if self._stored and self._stored.releases == record.releases:
            self._differs_since = None
            due_at = self._stored_at + RENEWAL_INTERVAL_S
            if self._stored.position == record.position:
                # Nothing follows the record, so nothing that it needs is lost
                # when the store drops old records.
                due_at = self._observed_at + VERIFY_INTERVAL_S
        else:
            if self._differs_since is None:
                self._differs_since = now
            due_at = max(self._differs_since, self._stored_at + MIN_INTERVAL_S)
        return now >= due_at + rank * TAKEOVER_DELAY_S


def _merge(*parts: Releases) -> dict[str, tuple[str, ...]]:
    merged: dict[str, set[str]] = {}
    for service, listed in itertools.chain.from_iterable(
        part.items() for part in parts
    ):
        merged.setdefault(service, set()).update(listed)
    return {
        service: tuple(sorted(listed))
        for service, listed in sorted(merged.items())
        if listed
    }

"""Which release began a stream, and which VMs remember it.

A stream goes on only at the release that wrote its first event.  That fact is
fixed when the first event is forwarded and must outlive the VM that forwarded
it, as the caller may return at any other VM.
"""

from __future__ import annotations

import collections
import enum
import hashlib
import itertools
from collections.abc import Iterable, Sequence

import msgspec

from ramptray.core import membership

KEY_BYTES = 16
"""Size of a stream's key, in bytes.  Callers choose the ids it is made of, and
two of them must not collide."""

MAX_RETENTION_S = 60.0
"""Longest time for which an origin is kept, in seconds: callers that wait
longer cannot resume."""

RETENTION_MARGIN_S = 5.0
"""Time for which an origin is kept beyond the patience of its caller, in
seconds."""

SPAN_S = MAX_RETENTION_S + RETENTION_MARGIN_S
"""Time for which a release may have begun a stream that is resumed now, after
it was listed last, in seconds.  A caller makes several attempts, so the time
limit of a route does not bound it.  The margin covers the time in which VMs
that have not read of its removal may still grant its servers."""

MAX_ORIGINS = 20_000
"""Number of origins that a VM keeps, some 6 MB; the oldest are dropped."""

COPIES = 3
"""Number of other VMs that keep a stream's origin.  With the VM that serves the
stream, the loss of any three VMs leaves one that knows it."""

ASKED_COPIES = COPIES + 1
"""Number of VMs that are asked for an origin: one has perhaps joined since."""

ALL_KEEP_MEMBERS = 16
"""Up to this number of members, each may keep origins."""

KEEPER_SHARE = 0.1
"""Share of the further members that may keep origins.  A connection between any
two of hundreds of VMs would cost descriptors and memory on both sides."""


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    Attributes:
        service: The service.
        release: The release of the backend server that sent the first event;
            empty if it names none.
    """

    service: str
    release: str


class OriginRecord(msgspec.Struct, frozen=True, array_like=True):
    """The origin of one stream, as VMs exchange it.

    Attributes:
        key: The stream's key, see ``make_key``.
        origins: Its origin; several if attempts of the same id began at
            different ones.
        left_s: Seconds for which it is kept.
    """

    key: bytes
    origins: tuple[Origin, ...]
    left_s: float


class Source(enum.Enum):
    """How the origin of a resumed stream is known.

    Attributes:
        KEPT: This VM keeps it.
        PEER: Another VM keeps it.
        STORED: No VM keeps it, but the store does.
        ONLY_RELEASE: No other release has served while the stream may have
            begun.
        AMBIGUOUS: Attempts of the same id began at different origins.
        UNKNOWN: No VM that was reached keeps it.
        UNNAMED: The caller did not say which attempt began it.
    """

    KEPT = "kept"
    PEER = "peer"
    STORED = "stored"
    ONLY_RELEASE = "only_release"
    AMBIGUOUS = "ambiguous"
    UNKNOWN = "unknown"
    UNNAMED = "unnamed"


def make_key(customer: str, request_id: str) -> bytes:
    """Returns the key of the stream that an attempt began.

    Customers cannot name the attempts of others.

    Args:
        customer: The customer whose key the caller holds.
        request_id: The id that the caller gave the attempt.
    """
    hasher = hashlib.blake2b(digest_size=KEY_BYTES)
    encoded = customer.encode()
    hasher.update(len(encoded).to_bytes(4))
    hasher.update(encoded)
    hasher.update(request_id.encode())
    return hasher.digest()


def compute_retention(patience_s: float | None) -> float:
    """Returns for how many seconds an origin is kept.

    Args:
        patience_s: Seconds that the caller waits for the whole stream; None if
            it did not say.
    """
    if patience_s is None:
        return MAX_RETENTION_S
    return min(patience_s + RETENTION_MARGIN_S, MAX_RETENTION_S)


class _Kept(msgspec.Struct):
    origins: tuple[Origin, ...]
    until: float


class OriginTable:
    """Keeps origins for a while; the set of a key's origins only grows.

    Attributes:
        dropped: Number of origins dropped for want of room.
    """

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self.dropped = 0
        self._max_origins = max_origins
        # Ordered by when each was added or prolonged.
        self._kept: collections.OrderedDict[bytes, _Kept] = (
            collections.OrderedDict()
        )
        # Equal origins share one object.
        self._origins: dict[tuple[Origin, ...], tuple[Origin, ...]] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def merge(self, record: OriginRecord, now: float) -> tuple[Origin, ...]:
        """Adds a record and returns all origins of its key.

        Args:
            record: The record.
            now: The current time, in seconds.
        """
        self._discard_expired(now)
        until = now + min(max(0.0, record.left_s), MAX_RETENTION_S)
        origins = set(record.origins)
        if known := self._kept.pop(record.key, None):
            origins.update(known.origins)
            until = max(until, known.until)
        merged = self._share(origins)
        self._kept[record.key] = _Kept(merged, until)
        if len(self._kept) > self._max_origins:
            self._kept.popitem(last=False)
            self.dropped += 1
        return merged

    def find(self, key: bytes, now: float) -> tuple[Origin, ...]:
        """Returns the origins of a key; empty if none is known."""
        known = self._kept.get(key)
        return known.origins if known and known.until > now else ()

    def list_records(
        self, now: float, keys: Iterable[bytes] | None = None
    ) -> list[OriginRecord]:
        """Returns the records that are in force.

        Args:
            now: The current time, in seconds.
            keys: Their keys; None for all.
        """
        wanted = self._kept if keys is None else keys
        return [
            OriginRecord(key, known.origins, known.until - now)
            for key in wanted
            if (known := self._kept.get(key)) and known.until > now
        ]

    def _share(self, origins: set[Origin]) -> tuple[Origin, ...]:
        ordered = tuple(
            sorted(origins, key=lambda each: (each.service, each.release))
        )
        if len(self._origins) > self._max_origins:
            self._origins.clear()
        return self._origins.setdefault(ordered, ordered)

    def _discard_expired(self, now: float) -> None:
        """Discards expired origins at the old end."""
        while self._kept:
            key = next(iter(self._kept))
            if self._kept[key].until > now:
                return
            del self._kept[key]


def list_keepers(
    members: Sequence[membership.Member],
) -> list[membership.Member]:
    """Returns the members that may keep origins.

    Args:
        members: The members of the scheduling zone.
    """
    further = max(0, len(members) - ALL_KEEP_MEMBERS)
    by_name = {member.vm: member for member in members}
    names = membership.pick_owners(
        "origins",
        list(by_name),
        ALL_KEEP_MEMBERS + round(further * KEEPER_SHARE),
    )
    return [by_name[name] for name in names]


def rank_keepers(
    key: bytes, keepers: Sequence[membership.Member]
) -> list[membership.Member]:
    """Returns the members in the order in which they keep a stream's origin.

    VMs that know the same members get the same order, and a member that leaves
    or joins does not change that of the others.  Members of different
    availability zones alternate, so that copies survive the loss of a zone.

    Args:
        key: The stream's key.
        keepers: The members that may keep origins.
    """
    by_name = {member.vm: member for member in keepers}
    ranked = membership.pick_owners(key.hex(), list(by_name), len(by_name))
    seen: collections.Counter[str] = collections.Counter()
    rounds: dict[str, int] = {}
    for name in ranked:
        zone = by_name[name].availability_zone
        rounds[name] = seen[zone]
        seen[zone] += 1
    return [by_name[name] for name in sorted(ranked, key=rounds.__getitem__)]


def join_answers(
    answers: Iterable[tuple[Origin, ...]],
) -> tuple[Origin, ...]:
    """Returns all origins that VMs named for one key."""
    return tuple(dict.fromkeys(itertools.chain.from_iterable(answers)))

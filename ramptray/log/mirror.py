"""A VM's copy of a keyed stream, and the updates that it sends to other VMs.

An update holds only records and deletions that are new to the receiver, and a
large value as the difference from a former one.  No sockets, no clock.
"""

from __future__ import annotations

import collections
import itertools
import operator

import msgspec
import xxhash

from ramptray import decoding
from ramptray.bundle import delta
from ramptray.log import keyedstream
from ramptray.peer import message as peer_message

MAX_FORMER_VALUES = 8
"""Former values to keep of a large record, so that a VM that is several changes
behind gets a difference too."""

MIN_DELTA_BYTES = 2048
"""Smallest value that is sent as a difference; smaller ones fit into one or two
packets."""

MAX_TOMBSTONES = 1000
"""Deleted keys to keep; a VM that is further behind gets the whole stream."""

MAX_PACKED_VALUES = 16
"""Size of the cache of packed values: most followers need the same ones."""


_RECORDS_ENCODER = msgspec.msgpack.Encoder()
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[peer_message.StreamRecord])


class MirrorError(Exception):
    """An update is damaged or does not match the records held here."""


class _Version(msgspec.Struct, frozen=True):
    """A former value of a key.

    Attributes:
        position: Offset of its record.
        value: The value.
        until: Offset up to which it is known to be the key's newest value.  A
            receiver that holds the stream up to an offset after ``position``
            and not after ``until`` holds this value.
    """

    position: int
    value: bytes
    until: int

    def is_held_at(self, start: int) -> bool:
        """Returns whether a receiver holds it that has the stream to there."""
        return self.position < start <= self.until


class Mirror:
    """Copy of one keyed stream up to its ``end``.

    Attributes:
        end: Offset up to which records are held; None before the first.
    """

    def __init__(self) -> None:
        self.end: int | None = None
        self._records: dict[str, keyedstream.Change] = {}
        self._former_values: dict[str, collections.deque[_Version]] = {}
        self._tombstones: dict[str, int] = {}
        # VMs behind this offset get the whole stream: deletions before it may
        # be unknown here.
        self._full_before = 0
        # The end of the stream, and all records up to it, packed.
        self._packed_stream: tuple[int, bytes] | None = None
        self._packed_values: collections.OrderedDict[
            tuple[str, int, int], bytes
        ] = collections.OrderedDict()

    def apply(self, changes: keyedstream.Changes, whole: bool) -> None:
        """Applies records in their order.

        Args:
            changes: The records.
            whole: Whether they are the whole stream rather than a continuation
                of the records held.
        """
        if whole:
            self._records.clear()
            self._tombstones.clear()
            self._full_before = changes.end
        held_until = self._get_held_until(changes)
        for change in changes.records:
            self._apply_change(change, held_until)
        self.end = changes.end
        while len(self._tombstones) > MAX_TOMBSTONES:
            key = next(iter(self._tombstones))
            self._full_before = self._tombstones.pop(key) + 1

    def make_update(self, stream: str, start: int) -> peer_message.StreamNews:
        """Returns an update for a VM that holds the stream up to an offset.

        Args:
            stream: The stream's name.
            start: Offset of the first missing record; -1 for the whole stream.
        """
        end = self.end or 0
        if start < self._full_before:
            packed = self._pack_stream(end)
            return peer_message.StreamNews(
                stream, start, [], end, True, packed=packed
            )
        records = [
            self._pack_record(change, start)
            for change in self._records.values()
            if change.position >= start
        ]
        records.extend(
            peer_message.StreamRecord(key, position, None)
            for key, position in self._tombstones.items()
            if position >= start
        )
        records.sort(key=lambda record: record.position)
        return peer_message.StreamNews(stream, start, records, end, False)

    def unpack(self, update: peer_message.StreamNews) -> keyedstream.Changes:
        """Returns the records of a peer's update.

        Raises:
            MirrorError: The update is damaged, or does not continue the records
                held.
        """
        held = -1 if self.end is None else self.end
        if not update.whole and update.start > held:
            raise MirrorError(f"records before {update.start} are not held")
        if update.packed is not None:
            records = _unpack_stream(update.packed)
            return keyedstream.Changes(
                [self._unpack_record(record) for record in records], update.end
            )
        last = max((r.position for r in update.records), default=-1)
        if update.end > held and not update.whole and last != update.end - 1:
            raise MirrorError(f"the last record before {update.end} is missing")
        return keyedstream.Changes(
            [self._unpack_record(record) for record in update.records],
            update.end,
        )

    def _get_held_until(self, changes: keyedstream.Changes) -> int:
        """Returns the offset before which no record of the stream is missing.

        An update from another VM omits records that were replaced by later
        ones, so the values before it may have been replaced earlier than the
        update shows.
        """
        start = self.end or 0
        positions = (change.position for change in changes.records)
        if all(map(operator.eq, positions, itertools.count(start))):
            return start + len(changes.records)
        return start

    def _apply_change(
        self, change: keyedstream.Change, held_until: int
    ) -> None:
        before = self._records.pop(change.key, None)
        self._tombstones.pop(change.key, None)
        if change.value is None:
            self._tombstones[change.key] = change.position
            self._former_values.pop(change.key, None)
            return
        self._records[change.key] = change
        if before is not None and before.value is not None:
            until = min(change.position, held_until)
            self._store_former(
                change.key, _Version(before.position, before.value, until)
            )

    def _store_former(self, key: str, version: _Version) -> None:
        if len(version.value) < MIN_DELTA_BYTES or version.position < 0:
            return
        values = self._former_values.setdefault(
            key, collections.deque(maxlen=MAX_FORMER_VALUES)
        )
        if not values or values[-1].position != version.position:
            values.append(version)

    def _pack_stream(self, end: int) -> bytes:
        """Returns all records, packed together.

        Load pattern: hundreds of VMs start at once and request thousands of
        records from the same few VMs.  Packed together they take a tenth of
        the bytes, and they are packed once for all receivers.
        """
        if self._packed_stream is None or self._packed_stream[0] != end:
            records = [self._pack_record(c, -1) for c in self._records.values()]
            records.sort(key=lambda record: record.position)
            packed = delta.make_binary_delta(
                b"", _RECORDS_ENCODER.encode(records)
            )
            self._packed_stream = (end, packed)
        return self._packed_stream[1]

    def _pack_record(
        self, change: keyedstream.Change, start: int
    ) -> peer_message.StreamRecord:
        value = change.value or b""
        if len(value) < MIN_DELTA_BYTES:
            return peer_message.StreamRecord(change.key, change.position, value)
        base = next(
            (
                version
                for version in self._former_values.get(change.key, ())
                if version.is_held_at(start)
            ),
            None,
        )
        cache_key = (change.key, change.position, base.position if base else -1)
        if cache_key not in self._packed_values:
            former = base.value if base else b""
            self._packed_values[cache_key] = delta.make_binary_delta(
                former, value
            )
            while len(self._packed_values) > MAX_PACKED_VALUES:
                self._packed_values.popitem(last=False)
        return peer_message.StreamRecord(
            change.key,
            change.position,
            self._packed_values[cache_key],
            cache_key[2],
            xxhash.xxh3_64_intdigest(value),
        )

    def _unpack_record(
        self, record: peer_message.StreamRecord
    ) -> keyedstream.Change:
        packed = record.value
        if packed is None or record.digest is None:
            return keyedstream.Change(record.key, packed, record.position)
        try:
            value = delta.apply_binary_delta(self._find_base(record), packed)
        except delta.DeltaError as error:
            raise MirrorError(f"{record.key}: {error}") from error
        if xxhash.xxh3_64_intdigest(value) != record.digest:
            raise MirrorError(f"{record.key}: digest mismatch")
        return keyedstream.Change(record.key, value, record.position)

    def _find_base(self, record: peer_message.StreamRecord) -> bytes:
        """Returns the value that a record is a difference to."""
        if record.base < 0:
            return b""
        newest = self._records.get(record.key)
        if newest and newest.position == record.base and newest.value:
            return newest.value
        for version in self._former_values.get(record.key, ()):
            if version.position == record.base:
                return version.value
        raise MirrorError(f"{record.key}: the base record is not held")


def _unpack_stream(packed: bytes) -> list[peer_message.StreamRecord]:
    """Returns the records of a packed stream.

    Raises:
        MirrorError: The packed stream is damaged.
    """
    try:
        with decoding.translate_errors():
            return _RECORDS_DECODER.decode(
                delta.apply_binary_delta(b"", packed)
            )
    except decoding.DecodeError as error:
        raise MirrorError(f"packed stream: {error}") from error

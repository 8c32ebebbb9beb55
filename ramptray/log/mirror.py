"""What a VM holds of a keyed stream, ready to be told to other VMs.

What is told depends on what has changed since the asker's last word: dropped
and new records only, and a large value as its difference to the one that the
asker holds.  A plain object without sockets or a clock.
"""

from __future__ import annotations

import collections

import msgspec
import xxhash

from ramptray.bundle import delta
from ramptray.log import keyedstream
from ramptray.peer import message as peer_message

MAX_FORMER_VALUES = 8
"""Former values of a large record that are kept, so that a VM that is some
changes behind gets a difference too."""

MIN_DELTA_BYTES = 2048
"""Values from this size on are told as differences; smaller ones fit a packet
or two as they are."""

MAX_TOMBSTONES = 1000
"""Dropped keys that are remembered; who is further behind is told all."""

MAX_PACKED_VALUES = 16
"""Packed values that are kept: VMs that follow mostly ask for the same ones."""


_RECORDS_ENCODER = msgspec.msgpack.Encoder()
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[peer_message.StreamRecord])


class MirrorError(Exception):
    """What a peer told does not fit to what is held, or is damaged."""


class _Version(msgspec.Struct, frozen=True):
    """A value of a key, and its offset."""

    position: int
    value: bytes


class Mirror:
    """Holds one keyed stream up to its ``end``.

    Attributes:
        end: Offset up to which it is held; None while nothing is.
    """

    def __init__(self) -> None:
        self.end: int | None = None
        self._newest: dict[str, keyedstream.Change] = {}
        self._former: dict[str, collections.deque[_Version]] = {}
        self._dropped: dict[str, int] = {}
        # Who holds less than up to here is told all: drops may be unknown.
        self._whole_before = 0
        # All records, packed, and the end up to which they are.
        self._whole: tuple[int, bytes] | None = None
        self._packed: collections.OrderedDict[tuple[str, int, int], bytes] = (
            collections.OrderedDict()
        )

    def apply(self, changes: keyedstream.Changes, whole: bool) -> None:
        """Takes records in their order.

        Args:
            changes: The records.
            whole: Whether they are all there are, instead of what follows
                those that are held.
        """
        if whole:
            self._newest.clear()
            self._dropped.clear()
            self._whole_before = changes.end
        for change in changes.records:
            self._take(change)
        self.end = changes.end
        while len(self._dropped) > MAX_TOMBSTONES:
            key = next(iter(self._dropped))
            self._whole_before = self._dropped.pop(key) + 1

    def make_update(self, stream: str, start: int) -> peer_message.StreamNews:
        """Returns what somebody lacks who holds the stream up to an offset.

        Args:
            stream: The stream's name.
            start: Offset of the first record that is lacked; -1 for all.
        """
        end = self.end or 0
        if start < self._whole_before:
            packed = self._pack_whole(end)
            return peer_message.StreamNews(
                stream, start, [], end, True, packed=packed
            )
        records = [
            self._pack(change, start)
            for change in self._newest.values()
            if change.position >= start
        ]
        records.extend(
            peer_message.StreamRecord(key, position, None)
            for key, position in self._dropped.items()
            if position >= start
        )
        records.sort(key=lambda record: record.position)
        return peer_message.StreamNews(stream, start, records, end, False)

    def unpack(self, news: peer_message.StreamNews) -> keyedstream.Changes:
        """Returns the records that a peer told.

        Raises:
            MirrorError: They are damaged, or do not follow what is held.
        """
        held = -1 if self.end is None else self.end
        if not news.whole and news.start > held:
            raise MirrorError(f"records before {news.start} are not held")
        if news.packed is not None:
            records = _unpack_whole(news.packed)
            return keyedstream.Changes(
                [self._unpack(record) for record in records], news.end
            )
        last = max((r.position for r in news.records), default=-1)
        if news.end > held and not news.whole and last != news.end - 1:
            raise MirrorError(f"the last record before {news.end} is missing")
        return keyedstream.Changes(
            [self._unpack(record) for record in news.records], news.end
        )

    def _take(self, change: keyedstream.Change) -> None:
        before = self._newest.pop(change.key, None)
        self._dropped.pop(change.key, None)
        if change.value is None:
            self._dropped[change.key] = change.position
            self._former.pop(change.key, None)
            return
        self._newest[change.key] = change
        if before is not None and before.value is not None:
            self._keep(change.key, _Version(before.position, before.value))

    def _keep(self, key: str, version: _Version) -> None:
        if len(version.value) < MIN_DELTA_BYTES or version.position < 0:
            return
        kept = self._former.setdefault(
            key, collections.deque(maxlen=MAX_FORMER_VALUES)
        )
        if not kept or kept[-1].position != version.position:
            kept.append(version)

    def _pack_whole(self, end: int) -> bytes:
        """Returns all records in one piece.

        Load pattern: hundreds of VMs start at once and ask the same few for
        thousands of records.  Packed together they are a tenth of the bytes,
        and they are packed once for all who ask.
        """
        if self._whole is None or self._whole[0] != end:
            records = [self._pack(c, -1) for c in self._newest.values()]
            records.sort(key=lambda record: record.position)
            packed = delta.pack(b"", _RECORDS_ENCODER.encode(records))
            self._whole = (end, packed)
        return self._whole[1]

    def _pack(
        self, change: keyedstream.Change, start: int
    ) -> peer_message.StreamRecord:
        value = change.value or b""
        if len(value) < MIN_DELTA_BYTES:
            return peer_message.StreamRecord(change.key, change.position, value)
        base = max(
            (
                version
                for version in self._former.get(change.key, ())
                if version.position < start
            ),
            key=lambda version: version.position,
            default=None,
        )
        name = (change.key, change.position, base.position if base else -1)
        if name not in self._packed:
            former = base.value if base else b""
            self._packed[name] = delta.pack(former, value)
            while len(self._packed) > MAX_PACKED_VALUES:
                self._packed.popitem(last=False)
        return peer_message.StreamRecord(
            change.key,
            change.position,
            self._packed[name],
            name[2],
            xxhash.xxh3_64_intdigest(value),
        )

    def _unpack(self, record: peer_message.StreamRecord) -> keyedstream.Change:
        packed = record.value
        if packed is None or record.digest is None:
            return keyedstream.Change(record.key, packed, record.position)
        try:
            value = delta.unpack(self._find(record), packed)
        except delta.DeltaError as error:
            raise MirrorError(f"{record.key}: {error}") from error
        if xxhash.xxh3_64_intdigest(value) != record.digest:
            raise MirrorError(f"{record.key}: another digest than told")
        return keyedstream.Change(record.key, value, record.position)

    def _find(self, record: peer_message.StreamRecord) -> bytes:
        """Returns the value that a record is a difference to."""
        if record.base < 0:
            return b""
        newest = self._newest.get(record.key)
        if newest and newest.position == record.base and newest.value:
            return newest.value
        for version in self._former.get(record.key, ()):
            if version.position == record.base:
                return version.value
        raise MirrorError(f"{record.key}: the record it rests on is not held")


def _unpack_whole(packed: bytes) -> list[peer_message.StreamRecord]:
    """Returns the records of a whole stream.

    Raises:
        MirrorError: They are damaged.
    """
    try:
        return _RECORDS_DECODER.decode(delta.unpack(b"", packed))
    except (delta.DeltaError, msgspec.MsgspecError) as error:
        raise MirrorError(f"the whole stream: {error}") from error

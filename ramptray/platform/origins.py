"""Stores the origins of streams in a topic of the store."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec

from ramptray import decoding
from ramptray.core import stream_origin
from ramptray.log import originlog
from ramptray.platform import store, stream_position

TOPIC = "keyed.origins"
CALL_TIMEOUT_S = 0.4
"""Timeout of one read, in seconds: a caller waits for it."""

MAX_PAGES = 16
"""Largest number of pages of 1 MB that one read takes."""


class _StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The origin of one stream in the store.

    Its first fields are those of ``stream_origin.OriginRecord``, which is what
    VMs of an older version read and write.

    Attributes:
        until_unix_s: Until when it is kept, in Unix time.  Callers may use an
            id again, so an older origin may be that of another stream.  0 in
            records of an older version, which are not used.
    """

    key: bytes
    origins: tuple[stream_origin.Origin, ...]
    left_s: Annotated[float, msgspec.Meta(ge=0, le=stream_origin.SPAN_S)]
    until_unix_s: float = 0.0


class TopicOriginLog(originlog.OriginLog):
    """Appends origins under the VM's name; their order in the topic counts.

    Args:
        client: Client of the store.
        vm: Name of this VM.
        read_clock: Returns the Unix time, in seconds.
    """

    def __init__(
        self,
        client: store.Store,
        vm: str,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = client
        self._vm = vm
        self._read_clock = read_clock

    async def append(
        self, records: Sequence[stream_origin.OriginRecord]
    ) -> None:
        """See the base class."""
        now = self._read_clock()
        stored = [
            _StoredOrigin(
                record.key, record.origins, record.left_s, now + record.left_s
            )
            for record in records
        ]
        await self._store.append(
            TOPIC, self._vm, msgspec.msgpack.encode(stored)
        )

    async def read(self, position: int | None) -> originlog.StoredOrigins:
        """See the base class."""
        found: list[stream_origin.OriginRecord] = []
        if position is None:
            position = stream_position.make_position(self._store.generation, 0)
        for _ in range(MAX_PAGES):
            changes = await self._store.read_retained(
                TOPIC, position, CALL_TIMEOUT_S
            )
            for change in changes.records:
                with self._store.intake.guard(TOPIC, change.key):
                    found.extend(_decode(change, self._read_clock()))
            position = changes.end
            if not changes.records:
                break
        return originlog.StoredOrigins(found, position)


def _decode(
    change: store.Change, unix_s: float
) -> list[stream_origin.OriginRecord]:
    """Returns the origins of a record that are still kept.

    Raises:
        DecodeError: The record is invalid.
    """
    stored = decoding.decode_msgpack(change.value or b"", list[_StoredOrigin])
    return [
        stream_origin.OriginRecord(each.key, each.origins, left_s)
        for each in stored
        # A clock that was set back may not prolong it.
        if (left_s := min(each.left_s, each.until_unix_s - unix_s)) > 0
    ]

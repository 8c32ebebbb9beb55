"""Stores the release record in a keyed topic of the store."""

from __future__ import annotations

from typing import Annotated

import anyio
import msgspec

from ramptray import decoding
from ramptray.core import release_record
from ramptray.log import releaselog
from ramptray.platform import record as replica_record
from ramptray.platform import store, stream_position

TOPIC = "keyed.releases"
KEY = "releases"

CALL_TIMEOUT_S = 1.5
"""Timeout of one read, in seconds.  Other VMs are asked only after it, and a
slow store answers within 0.4 s."""

MAX_PAGES = 200
"""Largest number of pages of the stream of replicas to read.  The store keeps
200 MB of it in pages of 1 MB."""

FIRST_GENERATION = 1
"""The generation of a store that was never restored from an older copy.

The stream of a restored store lacks the records that were lost, so even if it
begins at offset 0, releases may be missing."""


class _ReleaseRecord(msgspec.Struct, frozen=True):
    """Record value."""

    releases: dict[str, tuple[str, ...]]
    position: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class TopicReleaseLog(releaselog.ReleaseLog):
    """Stores the record under one key, and reads the topic of replicas.

    Args:
        client: Client of the store.
        replica_topic: The topic of replicas.
    """

    def __init__(self, client: store.Store, replica_topic: str) -> None:
        self._store = client
        self._replica_topic = replica_topic

    async def save(self, record: release_record.ReleaseRecord) -> None:
        """See the base class."""
        value = _ReleaseRecord(record.releases, record.position)
        await self._store.append(TOPIC, KEY, msgspec.json.encode(value))

    async def load(self) -> release_record.ReleaseRecord | None:
        """See the base class."""
        changes = None
        with anyio.move_on_after(CALL_TIMEOUT_S):
            changes = await self._store.read_newest(TOPIC)
        if changes is None:
            raise store.StoreTimeoutError(f"{TOPIC}: no answer in time")
        for change in changes.records:
            if change.key == KEY and change.value is not None:
                return self._decode(change.value)
        return None

    def _decode(self, value: bytes) -> release_record.ReleaseRecord | None:
        """Returns the record of a value; None if the value is invalid."""
        with self._store.intake.guard(TOPIC, KEY):
            raw = decoding.decode_json(value, _ReleaseRecord)
            return release_record.ReleaseRecord(raw.releases, raw.position)
        return None

    async def read_replicas(
        self, start: int, end: int
    ) -> release_record.KeptStream:
        """See the base class."""
        generation = stream_position.get_generation(end)
        position = start or stream_position.make_position(generation, 0)
        is_first = not start and generation <= FIRST_GENERATION
        begin = 0 if is_first else position
        releases: dict[str, set[str]] = {}
        for _ in range(MAX_PAGES):
            try:
                changes = await self._store.read_changes(
                    self._replica_topic, position, 0.0, CALL_TIMEOUT_S
                )
            except store.TrimmedError:
                return release_record.KeptStream(None, {})
            for change in changes.records:
                _add_release(releases, change)
            position = changes.end
            if position >= end:
                return release_record.KeptStream(begin, releases)
            if not changes.records:
                break
        raise store.StoreError(
            f"{self._replica_topic}: ends at {position} instead of {end}"
        )


def _add_release(releases: dict[str, set[str]], change: store.Change) -> None:
    """Adds the release that a record of a replica names.

    VMs use no replica whose record is invalid, so it began no stream.  A record
    whose zone is unknown here may have been valid for another VM.
    """
    if change.value is None:
        return
    try:
        replica = replica_record.parse_record(change.value)
    except replica_record.RecordError:
        return
    releases.setdefault(replica.service, set()).add(replica.release)

"""Claims on idempotency keys, which ensure that a request runs at most once.

The order of records in a log stream decides between competing claims.  A claim
holds its key if the key is free or its holder has released it.  A claim of an
attempt that was already released is void, since its append may have taken
effect long after the attempt gave up.
"""

from __future__ import annotations

import enum

import msgspec
import xxhash

from ramptray.core import message, request

PARTITIONS = 16
"""Number of streams over which the keys are distributed."""

SERVICE = "claims"
"""Service name of the shards by which schedulers own partitions."""


class ClaimStatus(enum.Enum):
    """Status of an attempt's claim."""

    HELD = "held"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    REUSED = "reused"
    VOID = "void"
    UNAVAILABLE = "unavailable"


class RecordKind(enum.Enum):
    """Kind of a record of a claim stream."""

    CLAIM = "claim"
    RELEASE = "release"
    DONE = "done"


class ClaimRecord(msgspec.Struct, frozen=True):
    """A record of a claim stream.

    Attributes:
        kind: The kind.
        key: Digest of customer, service and idempotency key.
        attempt: Id of the request.
        digest: Digest of the body; empty for other kinds than claims.
        status: Status of the response; 0 for other kinds than done.
    """

    kind: RecordKind
    key: str
    attempt: str
    digest: str = ""
    status: int = 0


class _KeyState(msgspec.Struct):
    holder: str | None = None
    digest: str = ""
    status: int = 0
    done: bool = False
    released: set[str] = msgspec.field(default_factory=set)


class ClaimLedger:
    """State of a claim stream, a pure function of its records."""

    def __init__(self) -> None:
        self._keys: dict[str, _KeyState] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def apply(self, record: ClaimRecord) -> None:
        """Applies the next record of the stream."""
        state = self._keys.setdefault(record.key, _KeyState())
        match record.kind:
            case RecordKind.CLAIM:
                free = state.holder is None and not state.done
                if free and record.attempt not in state.released:
                    state.holder = record.attempt
                    state.digest = record.digest
            case RecordKind.RELEASE:
                state.released.add(record.attempt)
                if state.holder == record.attempt and not state.done:
                    state.holder = None
            case RecordKind.DONE:
                if state.holder == record.attempt:
                    state.done = True
                    state.status = record.status

    def get_claim_status(
        self, key: str, attempt: str, digest: str
    ) -> ClaimStatus | None:
        """Returns the status of an attempt's claim by the records so far.

        Returns:
            None if the attempt's claim has not been read yet.
        """
        state = self._keys.get(key)
        if state is None:
            return None
        if attempt in state.released:
            return ClaimStatus.VOID
        if state.holder is None:
            return None
        if state.holder == attempt:
            return ClaimStatus.HELD
        if state.digest != digest:
            return ClaimStatus.REUSED
        return ClaimStatus.DONE if state.done else ClaimStatus.IN_PROGRESS

    def get_response_status(self, key: str) -> int:
        """Returns the status of the response to the key's holder."""
        state = self._keys.get(key)
        return state.status if state else 0


def get_partition(key: str) -> int:
    """Returns the partition of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % PARTITIONS


def get_partition_shard(zone: str, key: str) -> message.ShardKey:
    """Returns the shard whose owner handles a key's partition in a zone."""
    return message.ShardKey(zone, SERVICE, get_partition(key))


def make_finish(status: ClaimStatus) -> request.Finish:
    """Returns the end of a request whose attempt may not run.

    The outcome is ``not_run`` only if neither this attempt nor another one with
    the key can have run.
    """
    outcomes = {
        ClaimStatus.IN_PROGRESS: (
            message.Outcome.UNKNOWN,
            message.Reason.KEY_IN_PROGRESS,
        ),
        ClaimStatus.DONE: (message.Outcome.UNKNOWN, message.Reason.KEY_DONE),
        ClaimStatus.REUSED: (
            message.Outcome.NOT_RUN,
            message.Reason.KEY_REUSED,
        ),
        ClaimStatus.VOID: (
            message.Outcome.NOT_RUN,
            message.Reason.LOG_UNAVAILABLE,
        ),
        ClaimStatus.UNAVAILABLE: (
            message.Outcome.NOT_RUN,
            message.Reason.LOG_UNAVAILABLE,
        ),
    }
    outcome, reason = outcomes[status]
    return request.Finish(outcome, reason, retry_after_s=1.0)

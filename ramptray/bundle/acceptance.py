"""Determines the bundle in force as a pure function of the log's records.

All readers of the same records get the same result, so of two concurrent
rollouts the one that comes first in the log wins on every VM.  The log discards
old records, so readers also write checkpoints, which hold the bundle in force
after an offset.
"""

from __future__ import annotations

import enum

import msgspec
from result import Err, Ok

from ramptray.bundle import delta, model, parsing, signature


class Rollout(msgspec.Struct, frozen=True):
    """A log record by which operators put a bundle in force."""

    envelope: signature.Envelope


class Checkpoint(msgspec.Struct, frozen=True):
    """A log record of the bundle in force after reading up to an offset.

    Attributes:
        envelope: The bundle in force at that offset.
        through_offset: The last offset read.
    """

    envelope: signature.Envelope
    through_offset: int


class DeltaRollout(msgspec.Struct, frozen=True):
    """A rollout that holds only the delta to the bundle it replaces.

    Attributes:
        base: Digest of the bundle it replaces.
        digest: Digest of the full text.
        delta: Delta to the base, see ``delta.make_delta``.
        signatures: Signatures of the full text.
    """

    base: str
    digest: str
    delta: str
    signatures: dict[str, str]


Record = Rollout | DeltaRollout | Checkpoint


class RolloutStatus(enum.Enum):
    """Result of applying a log record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    WRONG_BASE = "wrong_base"
    BAD_SIGNATURE = "bad_signature"
    INVALID = "invalid"
    NO_HISTORY = "no_history"
    CHECKPOINT = "checkpoint"


class InForce(msgspec.Struct, frozen=True):
    """A bundle in force, with its signed text."""

    bundle: model.Bundle
    envelope: signature.Envelope

    @property
    def generation(self) -> int:
        """The bundle's generation."""
        return self.bundle.generation


class BundleTracker:
    """Tracks the bundle in force from peers; its generation never decreases."""

    def __init__(self) -> None:
        self.in_force: InForce | None = None

    def apply_peer_bundle(self, envelope: signature.Envelope) -> bool:
        """Applies a bundle that is in force at a peer.

        Returns:
            Whether the bundle in force changed.
        """
        candidate = _parse(envelope)
        return candidate is not None and self.advance_to(candidate)

    def advance_to(self, candidate: InForce) -> bool:
        """Puts a bundle in force if it is newer than the current one."""
        current = self.in_force
        if current and candidate.generation <= current.generation:
            return False
        self.in_force = candidate
        return True


class RolloutLogTracker(BundleTracker):
    """Tracks the bundle in force from the log of rollouts.

    The generation in force never decreases.

    Args:
        trust: The operators that may sign the first bundle.
    """

    def __init__(self, trust: model.Operators) -> None:
        super().__init__()
        self._trust = trust
        self.next_offset = 0
        self.statuses: dict[str, RolloutStatus] = {}
        self._log_in_force: InForce | None = None
        self._first_offset = 0
        # Records held until a checkpoint supplies the history before them.
        self._pending_records: list[tuple[int, Record]] | None = None

    @property
    def log_in_force(self) -> InForce | None:
        """The bundle in force according to the records read, without peers."""
        return self._log_in_force

    @property
    def first_offset(self) -> int:
        """The first offset of the contiguous history that was read."""
        return self._first_offset

    def skip_to(self, offset: int) -> None:
        """Skips records that the log has discarded.

        Args:
            offset: The first offset that the log still holds.
        """
        if offset <= self.next_offset:
            return
        self.next_offset = offset
        self._first_offset = offset
        self._log_in_force = None
        self._pending_records = []

    def apply(self, offset: int, record: Record) -> RolloutStatus:
        """Applies the next record of the log.

        Records must be passed in the order of their offsets.
        """
        if offset < self.next_offset:
            return RolloutStatus.REPEATED
        self.next_offset = offset + 1
        if self._pending_records is not None:
            return self._apply_pending(offset, record)
        if isinstance(record, Checkpoint):
            return RolloutStatus.CHECKPOINT
        return self._apply_rollout(record)

    def _apply_pending(self, offset: int, record: Record) -> RolloutStatus:
        """Holds records until a checkpoint that covers the missing history.

        The records after the checkpoint's ``through_offset`` are then replayed,
        since one of them may have been accepted before the checkpoint itself
        reached the log.
        """
        assert self._pending_records is not None
        covers_gap = (
            isinstance(record, Checkpoint)
            and record.through_offset + 1 >= self._first_offset
        )
        candidate = (
            _parse(record.envelope)
            if covers_gap and isinstance(record, Checkpoint)
            else None
        )
        if not isinstance(record, Checkpoint) or candidate is None:
            self._pending_records.append((offset, record))
            return RolloutStatus.NO_HISTORY
        replay = self._pending_records
        self._pending_records = None
        self._log_in_force = candidate
        self.advance_to(candidate)
        for replayed_offset, replayed in replay:
            if isinstance(replayed, Checkpoint):
                continue
            if replayed_offset > record.through_offset:
                self._apply_rollout(replayed)
        return RolloutStatus.CHECKPOINT

    def _apply_rollout(self, record: Rollout | DeltaRollout) -> RolloutStatus:
        if isinstance(record, Rollout):
            status = self._apply_envelope(record.envelope)
            self.statuses[record.envelope.digest] = status
            return status
        status = self._apply_delta(record)
        self.statuses[record.digest] = status
        return status

    def _apply_delta(self, record: DeltaRollout) -> RolloutStatus:
        current = self._log_in_force
        if current is not None and record.digest == current.envelope.digest:
            return RolloutStatus.REPEATED
        if current is None or record.base != current.envelope.digest:
            return RolloutStatus.WRONG_BASE
        try:
            full_text = delta.apply_delta(current.envelope.text, record.delta)
        except delta.DeltaError:
            return RolloutStatus.INVALID
        envelope = signature.Envelope(full_text, record.signatures)
        if envelope.digest != record.digest:
            return RolloutStatus.INVALID
        return self._apply_envelope(envelope)

    def _apply_envelope(self, envelope: signature.Envelope) -> RolloutStatus:
        candidate = _parse(envelope)
        if candidate is None:
            return RolloutStatus.INVALID
        current = self._log_in_force
        if current is not None and envelope.digest == current.envelope.digest:
            return RolloutStatus.REPEATED
        base = current.envelope.digest if current else None
        generation = current.generation + 1 if current else 1
        extends_base = candidate.bundle.base == base
        if not extends_base or candidate.generation != generation:
            return RolloutStatus.WRONG_BASE
        operators = current.bundle.operators if current else self._trust
        valid_signatures = signature.count_valid(envelope, operators.keys)
        if valid_signatures < operators.signatures_required:
            return RolloutStatus.BAD_SIGNATURE
        self._log_in_force = candidate
        self.advance_to(candidate)
        return RolloutStatus.ACCEPTED


def _parse(envelope: signature.Envelope) -> InForce | None:
    match parsing.parse_bundle(envelope.text):
        case Ok(bundle):
            return InForce(bundle, envelope)
        case Err(_):
            return None

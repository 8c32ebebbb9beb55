"""Which bundle is in force: a pure function of the log's records.

Every reader of the same records reaches the same answer, so of two racing
rollouts the one first in the log wins everywhere.  The log forgets old records,
so readers also leave checkpoints: the bundle in force after an offset.
"""

from __future__ import annotations

import enum

import msgspec
from result import Err, Ok

from ramptray.bundle import delta, model, parsing, signature


class Rollout(msgspec.Struct, frozen=True):
    """A record by which operators put a bundle in force."""

    envelope: signature.Envelope


class Checkpoint(msgspec.Struct, frozen=True):
    """A record of the bundle in force after reading up to an offset.

    Attributes:
        envelope: The bundle that was in force.
        through_offset: The last offset that had been read.
    """

    envelope: signature.Envelope
    through_offset: int


class DeltaRollout(msgspec.Struct, frozen=True):
    """A rollout that carries only the difference to the bundle it replaces.

    Attributes:
        base: Digest of the bundle it replaces.
        digest: Digest of its own text.
        delta: The difference, see ``delta``.
        signatures: Signatures of the whole text.
    """

    base: str
    digest: str
    delta: str
    signatures: dict[str, str]


Record = Rollout | DeltaRollout | Checkpoint


class RolloutStatus(enum.Enum):
    """What became of a rollout."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    WRONG_BASE = "wrong_base"
    BAD_SIGNATURE = "bad_signature"
    INVALID = "invalid"
    NO_HISTORY = "no_history"
    CHECKPOINT = "checkpoint"


class InForce(msgspec.Struct, frozen=True):
    """A bundle in force."""

    bundle: model.Bundle
    envelope: signature.Envelope

    @property
    def generation(self) -> int:
        """The bundle's generation."""
        return self.bundle.generation


class BundleTracker:
    """Holds the bundle in force as told by peers; only ever moves up."""

    def __init__(self) -> None:
        self.in_force: InForce | None = None

    def apply_peer_bundle(self, envelope: signature.Envelope) -> bool:
        """Takes a bundle that is in force at a peer.

        Returns:
            Whether the bundle in force has changed.
        """
        candidate = _parse(envelope)
        return candidate is not None and self.advance_to(candidate)

    def advance_to(self, candidate: InForce) -> bool:
        """Puts a bundle in force if it is newer than the present one."""
        current = self.in_force
        if current and candidate.generation <= current.generation:
            return False
        self.in_force = candidate
        return True


class RolloutLogTracker(BundleTracker):
    """Follows the log of rollouts and never steps down.

    Args:
        trust: Who may sign the first bundle.
    """

    def __init__(self, trust: model.Operators) -> None:
        super().__init__()
        self._trust = trust
        self.next_offset = 0
        self.statuses: dict[str, RolloutStatus] = {}
        self._log_view: InForce | None = None
        self._first_retained = 0
        # Records read while the history before them is unknown.
        self._unjoined: list[tuple[int, Record]] | None = None

    @property
    def log_view(self) -> InForce | None:
        """The bundle in force by the log alone, as far as it was read."""
        return self._log_view

    @property
    def first_offset(self) -> int:
        """The offset at which the history that was read begins."""
        return self._first_retained

    def skip_to(self, offset: int) -> None:
        """Notes that records before this offset are gone from the log."""
        if offset <= self.next_offset:
            return
        self.next_offset = offset
        self._first_retained = offset
        self._log_view = None
        self._unjoined = []

    def apply(self, offset: int, record: Record) -> RolloutStatus:
        """Takes the next record of the log.

        Records must be given in the order of their offsets.
        """
        if offset < self.next_offset:
            return RolloutStatus.REPEATED
        self.next_offset = offset + 1
        if self._unjoined is not None:
            return self._read_unjoined(offset, record)
        if isinstance(record, Checkpoint):
            return RolloutStatus.CHECKPOINT
        return self._judge_rollout(record)

    def _read_unjoined(self, offset: int, record: Record) -> RolloutStatus:
        """Waits for a checkpoint that no missing record precedes.

        The records after the offset that the checkpoint speaks for are then
        judged anew, since one of them may have been accepted before the
        checkpoint itself reached the log.
        """
        assert self._unjoined is not None
        joined = (
            isinstance(record, Checkpoint)
            and record.through_offset + 1 >= self._first_retained
        )
        candidate = (
            _parse(record.envelope)
            if joined and isinstance(record, Checkpoint)
            else None
        )
        if not isinstance(record, Checkpoint) or candidate is None:
            self._unjoined.append((offset, record))
            return RolloutStatus.NO_HISTORY
        replay = self._unjoined
        self._unjoined = None
        self._log_view = candidate
        self.advance_to(candidate)
        for past, earlier in replay:
            if isinstance(earlier, Checkpoint):
                continue
            if past > record.through_offset:
                self._judge_rollout(earlier)
        return RolloutStatus.CHECKPOINT

    def _judge_rollout(self, record: Rollout | DeltaRollout) -> RolloutStatus:
        if isinstance(record, Rollout):
            verdict = self._judge(record.envelope)
            self.statuses[record.envelope.digest] = verdict
            return verdict
        verdict = self._judge_delta(record)
        self.statuses[record.digest] = verdict
        return verdict

    def _judge_delta(self, record: DeltaRollout) -> RolloutStatus:
        view = self._log_view
        if view is not None and record.digest == view.envelope.digest:
            return RolloutStatus.REPEATED
        if view is None or record.base != view.envelope.digest:
            return RolloutStatus.WRONG_BASE
        try:
            whole = delta.apply_delta(view.envelope.text, record.delta)
        except delta.DeltaError:
            return RolloutStatus.INVALID
        envelope = signature.Envelope(whole, record.signatures)
        if envelope.digest != record.digest:
            return RolloutStatus.INVALID
        return self._judge(envelope)

    def _judge(self, envelope: signature.Envelope) -> RolloutStatus:
        candidate = _parse(envelope)
        if candidate is None:
            return RolloutStatus.INVALID
        view = self._log_view
        if view is not None and envelope.digest == view.envelope.digest:
            return RolloutStatus.REPEATED
        base = view.envelope.digest if view else None
        generation = view.generation + 1 if view else 1
        follows = candidate.bundle.base == base
        if not follows or candidate.generation != generation:
            return RolloutStatus.WRONG_BASE
        operators = view.bundle.operators if view else self._trust
        signed = signature.count_valid(envelope, operators.keys)
        if signed < operators.signatures_required:
            return RolloutStatus.BAD_SIGNATURE
        self._log_view = candidate
        self.advance_to(candidate)
        return RolloutStatus.ACCEPTED


def _parse(envelope: signature.Envelope) -> InForce | None:
    match parsing.parse_bundle(envelope.text):
        case Ok(bundle):
            return InForce(bundle, envelope)
        case Err(_):
            return None

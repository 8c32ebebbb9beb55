"""Replicas known from the store's records.

A record disappears when its replica stops, but also when the replica could not
renew it during an outage of the store.  In the latter case the record is back
soon after the store.  A replica whose record disappears around an outage is
therefore kept for a short time.

That time is counted from when the store last had the record, not from when this
VM learns of the removal.  Otherwise the way of the removal to this VM would
add to it.
"""

from __future__ import annotations

import collections
import contextlib
import logging
from collections.abc import Collection, Iterable, Mapping, Sequence

import msgspec

from ramptray.core import propagation
from ramptray.log import intake
from ramptray.peer import message as peer_message
from ramptray.platform import record, store, topic
from ramptray.scheduler import distributor

LOG = logging.getLogger(__name__)

UNRELIABLE_AFTER_ERROR_S = 3.0
"""How long after an error of the store removals of records are unreliable, in
seconds: expired records are back about two seconds after the store."""

RECOVERY_WINDOW_S = 0.5
"""Removals read within this time after the store's recovery are attributed to
the outage, in seconds."""

RETENTION_AFTER_RECOVERY_S = 2.2
"""How long after the store's recovery a replica is kept whose record was
removed during the outage, in seconds.

A record that is not back about two seconds after the store does not return."""

GONE_RETENTION_S = 60.0
"""How long a replica that has gone stays listed as leaving, in seconds.

A shard owner that cannot reach the store may still grant it; such grants must
be declined."""

MASS_REMOVAL_COUNT = 2
"""Number of records removed together that suggests an undetected outage."""


class _KnownReplica(msgspec.Struct):
    replica: peer_message.Replica
    gone_at: float | None = None
    forget_at: float | None = None


class ReplicaRegistry:
    """Keeps the known replicas; uses no sockets and no clock.

    Args:
        retention_s: How long a replica is kept whose record was removed under
            unreliable conditions while the store was responding, in seconds.
            It must be less than the time for which a stopped replica may still
            be sent work.
        zones: The availability zones in the settings; empty if any may exist.
        limits: How long a change may take to be in force on this VM.
        records: Counts the records that are passed over.

    Attributes:
        missed_count: Number of replicas, or releases of them, that came and
            went unseen.
    """

    def __init__(
        self,
        retention_s: float,
        zones: Collection[str] = (),
        limits: propagation.PropagationLimits | None = None,
        records: intake.RecordIntake | None = None,
    ) -> None:
        self.missed_count = 0
        self._intake = records or intake.RecordIntake()
        self._limits = limits or propagation.PropagationLimits()
        self._retention_s = retention_s
        self._zones = zones
        self._known: dict[str, _KnownReplica] = {}
        # Run of each replica that has announced that it is leaving.
        self._leaving_runs: dict[str, int] = {}
        # Why this VM grants a replica to no request, by the replica's name: its
        # record is invalid or names an unknown availability zone.
        self._unusable: dict[str, str] = {}
        self._error_at = float("-inf")
        self._recovered_at = float("-inf")

    @property
    def unusable_count(self) -> int:
        """Number of records that are invalid or whose zone is unknown."""
        return len(self._unusable)

    def record_store_error(self, now: float) -> None:
        """Records that the store did not respond."""
        self._error_at = now

    def record_store_recovery(self, now: float) -> None:
        """Records that the store responds again."""
        self._error_at = now
        self._recovered_at = now

    def get_outage(self, now: float) -> distributor.LogOutage:
        """Returns the last outage of the store, as seen by its reader."""
        return distributor.LogOutage(
            _get_age(self._error_at, now), _get_age(self._recovered_at, now)
        )

    def merge_outage(self, outage: distributor.LogOutage, now: float) -> None:
        """Merges an outage seen by the VM that reads the store for this one."""
        if outage.ago_s is not None:
            self._error_at = max(self._error_at, now - outage.ago_s)
        if outage.returned_s is not None:
            self._recovered_at = max(
                self._recovered_at, now - outage.returned_s
            )

    def list_replicas(self) -> dict[str, peer_message.Replica]:
        """Returns the replicas by name; those that have gone are leaving."""
        return {name: known.replica for name, known in self._known.items()}

    def find_position(self, name: str) -> int | None:
        """Returns the position of a replica's record, None if unknown."""
        known = self._known.get(name)
        return known.replica.position if known else None

    def apply_changes(
        self,
        changes: Iterable[store.Change],
        now: float,
        current_at: float = float("-inf"),
    ) -> None:
        """Applies records in the store's order.

        Args:
            changes: The records.
            now: When they were learned.
            current_at: When the store had none of them yet; minus infinity if
                unknown.
        """
        changes = list(changes)
        self.missed_count += _count_replaced(changes)
        # The last record of a key wins.  Applying all removals after all other
        # records would permanently drop live replicas whose records were
        # removed and written again in the same batch.
        removals: dict[str, int] = {}
        for change in changes:
            if change.value is None:
                removals[change.key] = change.position
            else:
                removals.pop(change.key, None)
                with self._intake.guard(topic.REPLICA_TOPIC, change.key):
                    self._apply_record(change, now)
        self._apply_removals(removals, now, current_at)

    def apply_snapshot(
        self,
        newest: Iterable[store.Change],
        now: float,
        end: int = -1,
        current_at: float = float("-inf"),
    ) -> None:
        """Applies a snapshot: replicas not in it have no record.

        Args:
            newest: The newest record of each replica.
            now: When they were read.
            end: Position of the store's next record; -1 if unknown.
            current_at: When the store last had the records known before; minus
                infinity if unknown.
        """
        records = list(newest)
        self.apply_changes(records, now, current_at)
        present = {change.key for change in records if change.value}
        # A known record at or after the end was written after this snapshot.
        missing = [
            name
            for name, known in self._known.items()
            if name not in present and not (0 <= end <= known.replica.position)
        ]
        self._apply_removals(dict.fromkeys(missing, -1), now, current_at)

    @property
    def has_missing_records(self) -> bool:
        """Whether a listed replica has no record in the store."""
        return any(known.gone_at is not None for known in self._known.values())

    @property
    def next_expiry_at(self) -> float:
        """When the next kept replica expires; infinity if there is none."""
        return min(
            (
                known.gone_at
                for known in self._known.values()
                if known.gone_at is not None
            ),
            default=float("inf"),
        )

    def expire(self, now: float) -> bool:
        """Removes expired replicas; returns whether there were any."""
        expired = [
            name
            for name, known in self._known.items()
            if known.gone_at is not None and known.gone_at <= now
        ]
        for name in expired:
            self._mark_gone(name, "its record did not return", now)
        forgotten = [
            name
            for name, known in self._known.items()
            if known.forget_at is not None and known.forget_at <= now
        ]
        for name in forgotten:
            del self._known[name]
        return bool(expired or forgotten)

    def _apply_record(self, change: store.Change, now: float) -> None:
        name, position = change.key, change.position
        try:
            replica = record.parse_record(
                change.value or b"", name, position, self._zones
            )
        except record.RecordError as error:
            self._reject_record(name, str(error), position)
            return
        if replica.warm_in_s:
            replica = self._set_warm_at(name, replica, now)
        if replica.is_zone_known:
            self._unusable.pop(name, None)
        else:
            self._note_unusable(name, f"zone: {replica.zone} is not known")
        if not self._is_superseded(name, replica):
            self._update(name, replica)

    def _set_warm_at(
        self, name: str, replica: peer_message.Replica, now: float
    ) -> peer_message.Replica:
        """Returns a replica with the time at which it is warm.

        Reading the same record again does not change that time.
        """
        warm_at = now + replica.warm_in_s
        known = self._known.get(name)
        if (
            known is not None
            and known.replica.position == replica.position >= 0
        ):
            warm_at = known.replica.warm_at
        return msgspec.structs.replace(replica, warm_at=warm_at)

    def _reject_record(self, name: str, detail: str, position: int) -> None:
        """Stops using a replica whose record is invalid.

        The replica has not announced that it is leaving, so its next valid
        record is accepted.
        """
        self._note_unusable(name, detail)
        known = self._known.get(name)
        if known is None or known.replica.position > position >= 0:
            return
        unused = msgspec.structs.replace(
            known.replica, leaving=True, position=position
        )
        self._known[name] = _KnownReplica(unused)

    def _note_unusable(self, name: str, detail: str) -> None:
        """Notes, and logs once, why a replica is granted to no request."""
        self._intake.count_passed_over(topic.REPLICA_TOPIC)
        if name not in self._unusable:
            LOG.warning(
                "record passed over",
                extra={"backend": name, "detail": detail},
            )
        self._unusable[name] = detail

    def _is_superseded(self, name: str, replica: peer_message.Replica) -> bool:
        """Returns whether a newer record of the replica is known."""
        known = self._known.get(name)
        return known is not None and replica.is_older(known.replica)

    def _update(self, name: str, replica: peer_message.Replica) -> None:
        if replica.leaving:
            self._leaving_runs[name] = replica.run
        elif self._leaving_runs.get(name) == replica.run:
            # A stale read: a run that is leaving never becomes ready again.
            replica = msgspec.structs.replace(replica, leaving=True)
        before = self._known.get(name)
        self._known[name] = _KnownReplica(replica)
        if before is None or not _is_same_except_position(
            before.replica, replica
        ):
            LOG.info(
                "backend server known",
                extra={
                    "backend": name,
                    "service": replica.service,
                    "address": replica.address,
                    "leaving": replica.leaving,
                    "run": replica.run,
                    "warm_in_s": replica.warm_in_s,
                    "new_run": before and before.replica.run != replica.run,
                },
            )

    def _apply_removals(
        self, removals: Mapping[str, int], now: float, current_at: float
    ) -> None:
        """Applies removals of records.

        Args:
            removals: Position of each removal by replica; -1 if unknown.
            now: When the removals were learned.
            current_at: When the store had none of them yet.
        """
        kept_until = self._get_kept_until(len(removals), now, current_at)
        for name, position in removals.items():
            self._unusable.pop(name, None)
            known = self._known.get(name)
            self.missed_count += known is None
            if known is None or known.gone_at or known.forget_at:
                continue
            if known.replica.position > position >= 0:
                continue
            if position >= 0:
                known.replica = msgspec.structs.replace(
                    known.replica, position=position
                )
            if known.replica.leaving:
                self._mark_gone(name, "it was leaving", now)
            elif kept_until > now:
                self._retain(name, kept_until)
            else:
                self._mark_gone(name, "its record was removed", now)

    def _get_kept_until(
        self, count: int, now: float, current_at: float
    ) -> float:
        """Returns until when replicas are kept whose records were removed.

        Args:
            count: Number of records removed together.
            now: When the removals were learned.
            current_at: When the store had none of them yet.
        """
        recovered_s = now - self._recovered_at
        is_near_outage = (
            recovered_s < RECOVERY_WINDOW_S
            or now - self._error_at < UNRELIABLE_AFTER_ERROR_S
        )
        if not is_near_outage and count < MASS_REMOVAL_COUNT:
            return now
        age_s = now - current_at
        is_late = not is_near_outage and current_at > float("-inf")
        if is_late or age_s <= self._limits.bound_s:
            # The store was away for this VM only, or not at all.  An old copy
            # alone is no evidence of an outage: this VM may have learned late.
            return min(
                now + self._retention_s,
                current_at + self._limits.longest_listed_s,
            )
        if recovered_s < RECOVERY_WINDOW_S:
            return self._recovered_at + RETENTION_AFTER_RECOVERY_S
        return now + self._retention_s

    def _retain(self, name: str, until: float) -> None:
        self._known[name].gone_at = until
        LOG.info(
            "backend server kept without a record", extra={"backend": name}
        )

    def _mark_gone(self, name: str, reason: str, now: float) -> None:
        replica = msgspec.structs.replace(
            self._known[name].replica, leaving=True
        )
        self._known[name] = _KnownReplica(
            replica, forget_at=now + GONE_RETENTION_S
        )
        LOG.info(
            "backend server gone", extra={"backend": name, "reason": reason}
        )


def _count_replaced(changes: Sequence[store.Change]) -> int:
    """Returns how many replicas had several releases within these records.

    Only the last one stays listed, but other VMs may have used the others.
    """
    counts = collections.Counter(change.key for change in changes)
    releases: dict[str, set[tuple[str, str]]] = {}
    for change in changes:
        if counts[change.key] == 1:
            continue
        with contextlib.suppress(record.RecordError):
            found = record.parse_record(change.value or b"")
            named = releases.setdefault(change.key, set())
            named.add((found.service, found.release))
    return sum(len(named) > 1 for named in releases.values())


def _get_age(since: float, now: float) -> float | None:
    """Returns the seconds since a time; None if it is minus infinity."""
    return None if since == float("-inf") else now - since


def _is_same_except_position(
    one: peer_message.Replica, other: peer_message.Replica
) -> bool:
    """Returns whether two replicas are equal except for their positions."""
    return one == msgspec.structs.replace(other, position=one.position)

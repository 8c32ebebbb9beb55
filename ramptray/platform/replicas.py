"""Which replicas there are, as far as the store's records can be believed.

A record goes when its replica has gone, and also when the store itself was away
and the replica could not renew it.  Such a record is back soon after the store.
So a replica whose record goes while the store may have been away is kept for a
short while.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterable, Mapping

import msgspec

from ramptray.peer import message as peer_message
from ramptray.platform import record, store
from ramptray.scheduler import distributor

LOG = logging.getLogger(__name__)

UNRELIABLE_AFTER_ERROR_S = 3.0
"""How long after an error of the store its word on gone records is doubted, in
seconds: records that lapsed are back about two seconds after the store."""

RECOVERY_WINDOW_S = 0.5
"""Records that are read so soon after the store is back went while it was away,
in seconds."""

RETENTION_AFTER_RECOVERY_S = 2.2
"""How long a replica whose record went while the store was away is kept after
that, in seconds: a record that is not back about two seconds after the store is
gone for good."""

GONE_RETENTION_S = 60.0
"""How long a replica that has gone is still listed as leaving, in seconds: an
owner that the store turns away may go on granting it, and must be told no."""

MASS_REMOVAL_COUNT = 2
"""So many records that go together may mean that the store was away unseen."""


class _Known(msgspec.Struct):
    replica: peer_message.Replica
    gone_at: float | None = None
    forget_at: float | None = None


class ReplicaRegistry:
    """Keeps the replicas; a plain object without sockets or a clock.

    Args:
        hold_s: How long a replica is kept whose record went in doubt while the
            store answered, in seconds; less than the time in which a replica
            that has gone may still be sent work.
        zones: The availability zones that there are; empty for any.
    """

    def __init__(self, hold_s: float, zones: Collection[str] = ()) -> None:
        self._hold_s = hold_s
        self._zones = zones
        self._known: dict[str, _Known] = {}
        # The run of each replica that has said that it leaves.
        self._left: dict[str, int] = {}
        # Why records name no replica that may be used.
        self._unusable: dict[str, str] = {}
        self._trouble_at = float("-inf")
        self._returned_at = float("-inf")

    @property
    def unusable_count(self) -> int:
        """How many records name no replica that may be used."""
        return len(self._unusable)

    def record_store_error(self, now: float) -> None:
        """Notes that the store did not answer."""
        self._trouble_at = now

    def record_store_recovery(self, now: float) -> None:
        """Notes that the store answers again."""
        self._trouble_at = now
        self._returned_at = now

    def get_outage(self, now: float) -> distributor.LogOutage:
        """Returns how the store has failed whoever reads it."""
        return distributor.LogOutage(
            _get_age(self._trouble_at, now), _get_age(self._returned_at, now)
        )

    def merge_outage(self, told: distributor.LogOutage, now: float) -> None:
        """Takes how the store has failed the VM that read it for this one."""
        if told.ago_s is not None:
            self._trouble_at = max(self._trouble_at, now - told.ago_s)
        if told.returned_s is not None:
            self._returned_at = max(self._returned_at, now - told.returned_s)

    def list_replicas(self) -> dict[str, peer_message.Replica]:
        """Returns the replicas by their ids; those gone count as leaving."""
        return {name: known.replica for name, known in self._known.items()}

    def apply_changes(
        self, changes: Iterable[store.Change], now: float
    ) -> None:
        """Takes records in the store's order."""
        # The last record of a key decides: taking all that went after all that
        # came lost live replicas for good whose records came back at once.
        gone: dict[str, int] = {}
        for change in changes:
            if change.value is None:
                gone[change.key] = change.position
            else:
                gone.pop(change.key, None)
                self._take(change, now)
        self._take_gone(gone, now)

    def apply_snapshot(
        self, newest: Iterable[store.Change], now: float, end: int = -1
    ) -> None:
        """Takes the newest record of each replica; others have none.

        Args:
            newest: The records.
            now: When they were read.
            end: Where the store's next record will stand; -1 where that is not
                known.
        """
        records = list(newest)
        self.apply_changes(records, now)
        present = {change.key for change in records if change.value}
        # Whose record stands behind the end was written after an old read.
        missing = [
            name
            for name, known in self._known.items()
            if name not in present and not (0 <= end <= known.replica.position)
        ]
        self._take_gone(dict.fromkeys(missing, -1), now)

    @property
    def has_missing_records(self) -> bool:
        """Whether a replica is kept whose record is missing."""
        return any(known.gone_at is not None for known in self._known.values())

    def expire(self, now: float) -> bool:
        """Drops those that were kept long enough; tells whether there are."""
        expired = [
            name
            for name, known in self._known.items()
            if known.gone_at is not None and known.gone_at <= now
        ]
        for name in expired:
            self._drop(name, "its record is still missing", now)
        forgotten = [
            name
            for name, known in self._known.items()
            if known.forget_at is not None and known.forget_at <= now
        ]
        for name in forgotten:
            del self._known[name]
        return bool(expired or forgotten)

    def _take(self, change: store.Change, now: float) -> None:
        name, position = change.key, change.position
        try:
            replica = record.parse_record(
                change.value or b"", name, position, self._zones
            )
        except record.RecordError as error:
            self._pass_over(name, str(error), position)
            return
        if replica.warm_in_s:
            replica = self._set_warm_at(name, replica, now)
        self._unusable.pop(name, None)
        if not self._is_overtaken(name, replica):
            self._put(name, replica)

    def _set_warm_at(
        self, name: str, replica: peer_message.Replica, now: float
    ) -> peer_message.Replica:
        """Returns a replica with the time at which it is warm.

        The same word that is read again tells nothing new.
        """
        warm_at = now + replica.warm_in_s
        known = self._known.get(name)
        if (
            known is not None
            and known.replica.position == replica.position >= 0
        ):
            warm_at = known.replica.warm_at
        return msgspec.structs.replace(replica, warm_at=warm_at)

    def _pass_over(self, name: str, detail: str, position: int) -> None:
        """Uses a replica no more whose record makes no sense.

        It has not said that it leaves: its next sound record is taken.
        """
        if name not in self._unusable:
            LOG.warning(
                "record passed over",
                extra={"backend": name, "detail": detail},
            )
        self._unusable[name] = detail
        known = self._known.get(name)
        if known is None or known.replica.position > position >= 0:
            return
        unused = msgspec.structs.replace(
            known.replica, leaving=True, position=position
        )
        self._known[name] = _Known(unused)

    def _is_overtaken(self, name: str, replica: peer_message.Replica) -> bool:
        """Returns whether a newer word is known: this one changes nothing."""
        known = self._known.get(name)
        return known is not None and replica.is_older(known.replica)

    def _put(self, name: str, replica: peer_message.Replica) -> None:
        if replica.leaving:
            self._left[name] = replica.run
        elif self._left.get(name) == replica.run:
            # An old read: a run that leaves never comes back.
            replica = msgspec.structs.replace(replica, leaving=True)
        before = self._known.get(name)
        self._known[name] = _Known(replica)
        if before is None or not _is_alike(before.replica, replica):
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

    def _take_gone(self, gone: Mapping[str, int], now: float) -> None:
        """Takes that records have gone.

        Args:
            gone: Whose, and where the store says so; -1 where that is not
                known.
            now: When that was read.
        """
        doubted = now - self._trouble_at < UNRELIABLE_AFTER_ERROR_S
        for name, position in gone.items():
            self._unusable.pop(name, None)
            known = self._known.get(name)
            if known is None or known.gone_at or known.forget_at:
                continue
            if known.replica.position > position >= 0:
                continue
            if position >= 0:
                known.replica = msgspec.structs.replace(
                    known.replica, position=position
                )
            if known.replica.leaving:
                self._drop(name, "it was leaving", now)
            elif now - self._returned_at < RECOVERY_WINDOW_S:
                self._hold(name, self._returned_at + RETENTION_AFTER_RECOVERY_S)
            elif doubted or len(gone) >= MASS_REMOVAL_COUNT:
                self._hold(name, now + self._hold_s)
            else:
                self._drop(name, "its record has gone", now)

    def _hold(self, name: str, until: float) -> None:
        self._known[name].gone_at = until
        LOG.info(
            "backend server kept without a record", extra={"backend": name}
        )

    def _drop(self, name: str, reason: str, now: float) -> None:
        replica = msgspec.structs.replace(
            self._known[name].replica, leaving=True
        )
        self._known[name] = _Known(replica, forget_at=now + GONE_RETENTION_S)
        LOG.info(
            "backend server gone", extra={"backend": name, "reason": reason}
        )


def _get_age(since: float, now: float) -> float | None:
    """Returns the seconds since a moment, None where there was none."""
    return None if since == float("-inf") else now - since


def _is_alike(one: peer_message.Replica, other: peer_message.Replica) -> bool:
    """Returns whether two words differ in their places in the store at most."""
    return one == msgspec.structs.replace(other, position=one.position)

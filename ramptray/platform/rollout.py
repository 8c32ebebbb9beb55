"""Operators' rollout orders, and the reported status of each rollout."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Annotated

import msgspec

from ramptray import decoding
from ramptray.bundle import model
from ramptray.core import rollout
from ramptray.log import intake, verdictlog
from ramptray.platform import settings, store, topic

LOG = logging.getLogger(__name__)

KEY_PREFIX = "rollout/"
STATUS_TOPIC = "keyed.status"


class _Order(msgspec.Struct, frozen=True, kw_only=True):
    service: model.Name
    release: Annotated[str, msgspec.Meta(min_length=1)] = msgspec.field(
        name="targetVersion"
    )
    length_s: model.PositiveFloat = msgspec.field(name="durationS")


class _Status(msgspec.Struct, frozen=True, kw_only=True):
    state: rollout.State
    release: str = msgspec.field(name="targetVersion")


class RolloutOrderRegistry:
    """Keeps the rollout orders; uses no sockets and no clock.

    Args:
        terms: How many of a service's requests a bad release may get.
        records: Counts the records that are passed over.
    """

    def __init__(
        self,
        terms: settings.RolloutTerms,
        records: intake.RecordIntake | None = None,
    ) -> None:
        self._terms = terms
        self._intake = records or intake.RecordIntake()
        self._orders: dict[str, rollout.Order] = {}

    def list_orders(self) -> dict[str, rollout.Order]:
        """Returns the orders by service."""
        return dict(self._orders)

    def apply(
        self, changes: Iterable[store.Change], is_snapshot: bool, now: float
    ) -> bool:
        """Applies records in the store's order.

        An order that a snapshot lacks is kept: a store restored from an older
        copy may have lost it, and its verdict stays valid in any case.

        Args:
            changes: The records; those of other kinds are ignored.
            is_snapshot: Whether they are all records of the topic.
            now: When they were read, in seconds.

        Returns:
            Whether any order has changed.
        """
        before = dict(self._orders)
        for change in changes:
            if change.key.startswith(KEY_PREFIX):
                self._apply_change(change, now)
        return before != self._orders

    def _apply_change(self, change: store.Change, now: float) -> None:
        service = change.key.removeprefix(KEY_PREFIX)
        if change.value is None:
            self._orders.pop(service, None)
            return
        with self._intake.guard(topic.CONFIG_TOPIC, change.key):
            raw = decoding.decode_json(change.value, _Order)
            self._set_order(service, raw, now)

    def _set_order(self, service: str, raw: _Order, now: float) -> None:
        order = rollout.Order(
            raw.service,
            raw.release,
            raw.length_s,
            now,
            self._terms.share,
            self._terms.slack,
        )
        if not order.is_same(self._orders.get(service)):
            self._orders[service] = order
            LOG.info("rollout ordered", extra=msgspec.to_builtins(order))


class TopicVerdictLog(verdictlog.VerdictLog):
    """Stores each verdict as the newest record of its service.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.Store) -> None:
        self._store = client

    async def save(self, verdict: rollout.Verdict) -> rollout.Verdict:
        """See the base class."""
        snapshot = await self._store.read_newest(STATUS_TOPIC)
        saved = self._find_saved(snapshot.records, verdict)
        if saved is not None and (
            saved.state.is_final or saved.state is verdict.state
        ):
            return saved
        status = _Status(state=verdict.state, release=verdict.release)
        await self._store.append(
            STATUS_TOPIC,
            KEY_PREFIX + verdict.service,
            msgspec.json.encode(status),
            snapshot.end,
        )
        return verdict

    def _find_saved(
        self, records: Iterable[store.Change], wanted: rollout.Verdict
    ) -> rollout.Verdict | None:
        """Returns the saved verdict on the same release of the same service.

        An invalid one counts as missing, so that it is written again.
        """
        for record in records:
            is_wanted = record.key == KEY_PREFIX + wanted.service
            if not is_wanted or record.value is None:
                continue
            with self._store.intake.guard(STATUS_TOPIC, record.key):
                status = decoding.decode_json(record.value, _Status)
                if status.release == wanted.release:
                    return rollout.Verdict(
                        wanted.service, status.release, status.state, "kept"
                    )
        return None

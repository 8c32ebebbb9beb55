"""Operators' orders to roll a release out, and what is told of them."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Annotated

import msgspec

from ramptray.bundle import model
from ramptray.core import rollout
from ramptray.log import verdictlog
from ramptray.platform import page, settings, store

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
    """Keeps the orders; a plain object without sockets or a clock.

    Args:
        terms: How much of a service a bad release may get.
    """

    def __init__(self, terms: settings.RolloutTerms) -> None:
        self._terms = terms
        self._orders: dict[str, rollout.Order] = {}

    def list_orders(self) -> dict[str, rollout.Order]:
        """Returns the orders by their services."""
        return dict(self._orders)

    def apply(
        self, changes: Iterable[store.Change], whole: bool, now: float
    ) -> bool:
        """Takes records in the store's order.

        An order that is missing after a read of everything stays: an older copy
        of the store may lack it, and what was decided on it holds anyway.

        Args:
            changes: The records; those of other kinds are passed over.
            whole: Whether they are all there are.
            now: When they were read, in seconds.

        Returns:
            Whether any order has changed.
        """
        before = dict(self._orders)
        for change in changes:
            if change.key.startswith(KEY_PREFIX):
                self._take(change, now)
        return before != self._orders

    def _take(self, change: store.Change, now: float) -> None:
        service = change.key.removeprefix(KEY_PREFIX)
        if change.value is None:
            self._orders.pop(service, None)
            return
        try:
            raw = msgspec.json.decode(change.value, type=_Order)
        except (msgspec.MsgspecError, UnicodeError) as error:
            LOG.error(
                "rollout passed over",
                extra={"service": service, "detail": str(error)},
            )
            return
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
    """Keeps what was decided as the newest record under the service.

    Args:
        opened: The store.
    """

    def __init__(self, opened: store.Store) -> None:
        self._store = opened

    async def save(self, verdict: rollout.Verdict) -> rollout.Verdict:
        """See the base class."""
        found = await self._store.read_newest(STATUS_TOPIC)
        kept = _find(found.records, verdict)
        if kept is not None and (
            kept.state.is_final or kept.state is verdict.state
        ):
            return kept
        status = _Status(state=verdict.state, release=verdict.release)
        await self._store.append(
            STATUS_TOPIC,
            KEY_PREFIX + verdict.service,
            msgspec.json.encode(status),
            found.end,
        )
        return verdict


def _find(
    records: Iterable[store.Change], wanted: rollout.Verdict
) -> rollout.Verdict | None:
    """Returns what is kept on the same release of the same service."""
    for record in records:
        if record.key != KEY_PREFIX + wanted.service or record.value is None:
            continue
        try:
            status = msgspec.json.decode(record.value, type=_Status)
        except msgspec.MsgspecError as error:
            raise page.StoreError(f"{record.key}: {error}") from error
        if status.release == wanted.release:
            return rollout.Verdict(
                wanted.service, status.release, status.state, "kept"
            )
    return None

"""Verdicts on rollouts: their exchange between VMs and their storage."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

import anyio
import msgspec

from ramptray.core import rollout, shard
from ramptray.log import error as log_error
from ramptray.log import verdictlog

LOG = logging.getLogger(__name__)

RETRY_DELAY_S = 0.5
"""Delay before another attempt to write a verdict to the log, in seconds."""


class VerdictStore:
    """The latest verdict on each service's rollout.

    Final verdicts are sent to other VMs.  A verdict that is stored in the log
    takes precedence over one that a VM has decided by itself.
    """

    def __init__(self) -> None:
        self._verdicts: dict[str, rollout.Verdict] = {}
        self._listeners: list[Callable[[rollout.Verdict], None]] = []

    def on_change(self, listener: Callable[[rollout.Verdict], None]) -> None:
        """Registers a listener for each verdict that is new on this VM."""
        self._listeners.append(listener)

    def get(self, service: str) -> rollout.Verdict | None:
        """Returns the verdict on a service's rollout, if there is one."""
        return self._verdicts.get(service)

    def list_final(self) -> list[rollout.Verdict]:
        """Returns the verdicts to send to other VMs."""
        return [v for v in self._verdicts.values() if v.state.is_final]

    def merge(self, verdicts: Iterable[rollout.Verdict]) -> None:
        """Merges verdicts made by this VM or read from other VMs or the log."""
        for verdict in verdicts:
            if not verdict.replaces(self._verdicts.get(verdict.service)):
                continue
            self._verdicts[verdict.service] = verdict
            LOG.info("rollout", extra=msgspec.to_builtins(verdict))
            for listener in self._listeners:
                listener(verdict)


class RolloutManager:
    """Applies rollouts to the shards that are open here.

    Args:
        list_owners: Returns the owners of the open shards.

    Attributes:
        verdicts: The known verdicts on rollouts.
        on_verdict: Called with each verdict that this VM makes.
    """

    def __init__(
        self, list_owners: Callable[[], Iterable[shard.ShardOwner]]
    ) -> None:
        self.verdicts = VerdictStore()
        self.verdicts.on_change(self._apply_verdict)
        self.on_verdict: Callable[[rollout.Verdict], None] = _ignore_verdict
        self._list_owners = list_owners

    def set_order(
        self,
        owner: shard.ShardOwner,
        order: rollout.Order | None,
        is_owned: bool,
    ) -> None:
        """Sets the rollout order in force for a shard's service.

        Args:
            owner: The shard.
            order: The order, or None if there is none.
            is_owned: Whether this scheduler owns the shard; otherwise it is a
                stand-in for the owner.
        """
        verdict = self.verdicts.get(owner.shard.service)
        owner.releases.set_order(order, verdict)
        if is_owned:
            self._publish_verdict(owner)

    def advance(
        self, owner: shard.ShardOwner, is_owned: bool, now: float
    ) -> None:
        """Advances a shard's rollout, if there is one.

        Any scheduler that detects a bad release rolls it back.  Only the owner
        promotes a good one, since a stand-in sees only part of the requests.
        """
        if is_owned:
            owner.releases.advance(now)
        self._publish_verdict(owner)

    def _publish_verdict(self, owner: shard.ShardOwner) -> None:
        if owner.releases.rollout is None:
            return
        verdict = owner.releases.rollout.make_verdict()
        if verdict.replaces(self.verdicts.get(verdict.service)):
            self.verdicts.merge([verdict])
            self.on_verdict(verdict)

    def _apply_verdict(self, verdict: rollout.Verdict) -> None:
        for owner in self._list_owners():
            current = owner.releases.rollout
            if current and owner.shard.service == verdict.service:
                current.apply_verdict(verdict)


class VerdictWriter:
    """Writes this VM's verdicts to the log, and retries until it succeeds.

    Args:
        verdict_log: Stores verdicts.
        store: The verdicts that this VM knows; updated with what was stored.
    """

    def __init__(
        self, verdict_log: verdictlog.VerdictLog, store: VerdictStore
    ) -> None:
        self._verdict_log = verdict_log
        self._store = store
        self._pending: dict[str, rollout.Verdict] = {}
        self._has_pending = anyio.Event()

    def enqueue(self, verdict: rollout.Verdict) -> None:
        """Queues a verdict, which replaces an earlier one on its service."""
        self._pending[verdict.service] = verdict
        self._has_pending.set()

    def save_all(self, orders: Mapping[str, rollout.Order]) -> None:
        """Queues all known verdicts, as the log may have lost some.

        Args:
            orders: The orders in force, by service.  A verdict on a former one
                would replace that on the current one.
        """
        for service, order in orders.items():
            verdict = self._store.get(service)
            if verdict is not None and verdict.release == order.release:
                self.enqueue(verdict)

    async def run(self) -> None:
        """Writes queued verdicts until cancelled."""
        if self._pending:
            # A former run may have failed while it wrote them.
            self._has_pending.set()
        while True:
            await self._has_pending.wait()
            self._has_pending = anyio.Event()
            for service, verdict in list(self._pending.items()):
                await self._save(service, verdict)

    async def _save(self, service: str, verdict: rollout.Verdict) -> None:
        try:
            stored = await self._verdict_log.save(verdict)
        except log_error.LogError as error:
            LOG.warning(
                "verdict not kept yet",
                extra={"service": service, "detail": str(error)},
            )
            await anyio.sleep(RETRY_DELAY_S)
            self._has_pending.set()
            return
        if self._pending.get(service) is verdict:
            del self._pending[service]
        LOG.info("verdict stored", extra=msgspec.to_builtins(stored))
        self._store.merge([msgspec.structs.replace(stored, is_kept=True)])


def _ignore_verdict(verdict: rollout.Verdict) -> None:
    """Default of on_verdict."""

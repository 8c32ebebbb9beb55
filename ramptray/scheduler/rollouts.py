"""What this VM knows of decided rollouts, and the task that keeps it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

import anyio
import msgspec

from ramptray.core import rollout, shard
from ramptray.log import error as log_error
from ramptray.log import verdictlog

LOG = logging.getLogger(__name__)

RETRY_DELAY_S = 0.5
"""Pause before a verdict is tried to be kept again, in seconds."""


class VerdictStore:
    """The newest verdict on each service's rollout.

    Final verdicts are told to other VMs; what the log keeps goes before what a
    VM has decided by itself.
    """

    def __init__(self) -> None:
        self._verdicts: dict[str, rollout.Verdict] = {}
        self._listeners: list[Callable[[rollout.Verdict], None]] = []

    def on_change(self, listener: Callable[[rollout.Verdict], None]) -> None:
        """Calls back with each verdict that is new here."""
        self._listeners.append(listener)

    def get(self, service: str) -> rollout.Verdict | None:
        """Returns the verdict on a service's rollout, if there is one."""
        return self._verdicts.get(service)

    def list_final(self) -> list[rollout.Verdict]:
        """Returns the verdicts that other VMs are to know of."""
        return [v for v in self._verdicts.values() if v.state.is_final]

    def merge(self, found: Iterable[rollout.Verdict]) -> None:
        """Takes verdicts of this VM, of others, or of the log."""
        for verdict in found:
            if not verdict.goes_before(self._verdicts.get(verdict.service)):
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
        verdicts: What is known of decided rollouts.
        on_verdict: Called with what is decided here.
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
        """Takes the order that is in force for a shard's service.

        Args:
            owner: The shard.
            order: The order, None where there is none.
            is_owned: Whether this scheduler owns the shard, instead of standing
                in for its owner.
        """
        known = self.verdicts.get(owner.shard.service)
        owner.releases.set_order(order, known)
        if is_owned:
            self._publish_verdict(owner)

    def advance(
        self, owner: shard.ShardOwner, is_owned: bool, now: float
    ) -> None:
        """Goes on with a shard's rollout, if there is one.

        A bad release is given up by whoever finds out.  A good one is promoted
        by the owner only: who stands in sees a part of what runs.
        """
        if is_owned:
            owner.releases.decide(now)
        self._publish_verdict(owner)

    def _publish_verdict(self, owner: shard.ShardOwner) -> None:
        if owner.releases.rollout is None:
            return
        verdict = owner.releases.rollout.tell()
        if verdict.goes_before(self.verdicts.get(verdict.service)):
            self.verdicts.merge([verdict])
            self.on_verdict(verdict)

    def _apply_verdict(self, verdict: rollout.Verdict) -> None:
        for owner in self._list_owners():
            found = owner.releases.rollout
            if found and owner.shard.service == verdict.service:
                found.learn(verdict)


class VerdictWriter:
    """Keeps what this VM decides, as soon as the log takes it.

    Args:
        kept: Where verdicts are kept.
        store: What this VM knows.
    """

    def __init__(
        self, kept: verdictlog.VerdictLog, store: VerdictStore
    ) -> None:
        self._verdict_log = kept
        self._store = store
        self._pending: dict[str, rollout.Verdict] = {}
        self._has_pending = anyio.Event()

    def enqueue(self, verdict: rollout.Verdict) -> None:
        """Has a verdict kept; the newest of a service replaces others."""
        self._pending[verdict.service] = verdict
        self._has_pending.set()

    async def run(self) -> None:
        """Keeps verdicts until cancelled."""
        while True:
            await self._has_pending.wait()
            self._has_pending = anyio.Event()
            for service, verdict in list(self._pending.items()):
                await self._save(service, verdict)

    async def _save(self, service: str, verdict: rollout.Verdict) -> None:
        try:
            kept = await self._verdict_log.save(verdict)
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
        LOG.info("verdict kept", extra=msgspec.to_builtins(kept))
        self._store.merge([msgspec.structs.replace(kept, is_kept=True)])


def _ignore_verdict(verdict: rollout.Verdict) -> None:
    """Stands in until somebody listens."""

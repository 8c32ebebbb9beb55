"""The task that brings a zone's engines to the state the bundle declares."""

from __future__ import annotations

import logging

import anyio

from ramptray import steadyclock, timeline
from ramptray.bundle import acceptance, model
from ramptray.core import engine_orders, lease
from ramptray.engine import client as engine_client
from ramptray.engine import orders

LOG = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.5
TAKEOVER_GRACE_S = 10.0
"""Time after a takeover during which engines that do not respond count as
loading, in seconds."""

UNLOAD_DELAY_S = 3.0
"""Time for which all VMs must have used a bundle before old versions are
unloaded, in seconds."""


class Reconciler:
    """Sends orders to the engines of one zone while the lease is held."""

    def __init__(
        self,
        zone: str,
        state: lease.Lease,
        events: timeline.Timeline,
        order_timeout_s: float,
    ) -> None:
        self._zone = zone
        self._lease = state
        self._timeline = events
        self._order_timeout_s = order_timeout_s
        self._client = orders.OrderClient(engine_client.EngineClient())
        self._in_force: acceptance.InForce | None = None
        self._lowest_generation = 0
        self._adopted_since: float | None = None
        self._held_since: float | None = None

    def set_bundle(self, in_force: acceptance.InForce) -> None:
        """Sets the bundle in force."""
        self._in_force = in_force
        self._adopted_since = None

    def set_lowest_generation(self, generation: int) -> None:
        """Sets the lowest bundle generation that a live VM uses."""
        self._lowest_generation = generation

    async def run(self) -> None:
        """Reconciles until cancelled."""
        while True:
            await anyio.sleep(RECONCILE_INTERVAL_S)
            now = steadyclock.read()
            if not self._lease.holds(now):
                self._held_since = None
                continue
            self._held_since = self._held_since or now
            if self._in_force is not None:
                await self._reconcile(self._in_force.bundle, now)

    async def _reconcile(self, bundle: model.Bundle, now: float) -> None:
        desired = make_desired_states(bundle, self._zone)
        states = await self._fetch_states(bundle, list(desired))
        assert self._held_since is not None
        in_grace_period = now - self._held_since < TAKEOVER_GRACE_S
        unreachable = len(desired) - len(states)
        for order in engine_orders.plan_orders(
            desired,
            states,
            bundle.weights.loads_at_once,
            unreachable if in_grace_period else 0,
            self._may_unload(bundle, now),
        ):
            url = bundle.backend_servers[order.backend].url
            await self._send_order(url, order)

    async def _fetch_states(
        self, bundle: model.Bundle, names: list[str]
    ) -> dict[str, engine_orders.EngineState]:
        states: dict[str, engine_orders.EngineState] = {}

        async def fetch(name: str) -> None:
            url = bundle.backend_servers[name].url
            try:
                states[name] = await self._client.fetch_state(url)
            except engine_client.EngineError as error:
                LOG.debug("could not fetch the state of %s: %s", name, error)

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(fetch, name)
        return states

    def _may_unload(self, bundle: model.Bundle, now: float) -> bool:
        """Returns whether no VM can still route by an older bundle."""
        if self._lowest_generation < bundle.generation:
            self._adopted_since = None
            return False
        self._adopted_since = self._adopted_since or now
        return now - self._adopted_since > UNLOAD_DELAY_S

    async def _send_order(self, url: str, order: engine_orders.Order) -> None:
        """Sends one order, if the lease outlasts the time it may take."""
        if not self._lease.may_send_order(steadyclock.read()):
            return
        fencing = self._lease.fencing_token
        try:
            with anyio.fail_after(self._order_timeout_s):
                await self._client.send(url, order, fencing)
        except (engine_client.EngineError, TimeoutError) as error:
            LOG.warning(
                "order not confirmed: %r",
                error,
                extra={"backend": order.backend, "order": order.kind.value},
            )
            return
        self._timeline.note(
            "order",
            order.backend,
            order=order.kind.value,
            argument=order.argument,
            fencing=fencing,
        )
        LOG.info(
            "order sent",
            extra={
                "backend": order.backend,
                "order": order.kind.value,
                "argument": order.argument,
                "fencing": fencing,
            },
        )


def make_desired_states(
    bundle: model.Bundle, zone: str
) -> dict[str, engine_orders.DesiredState]:
    """Returns the state that the bundle declares for each engine of a zone."""
    return {
        name: engine_orders.DesiredState(
            f"{server.service}@{bundle.services[server.service].version}",
            server.role,
        )
        for name, server in bundle.backend_servers.items()
        if server.zone == zone
        and bundle.services[server.service].kind is model.ServiceKind.MODEL
    }

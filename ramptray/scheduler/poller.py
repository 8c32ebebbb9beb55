"""Polls engines for their load and the platform for its list of VMs."""

from __future__ import annotations

import logging

import anyio

from ramptray.bundle import model
from ramptray.engine import client as engine_client
from ramptray.log import client as log_client
from ramptray.log import vmlist
from ramptray.scheduler import event, gossip, hub

LOG = logging.getLogger(__name__)

VM_LIST_INTERVAL_S = 2.0
MAX_CONCURRENT_POLLS = 16
"""Maximum number of engines polled at the same time."""


class Poller:
    """Polls the platform's VMs and the engines of this scheduler's shards.

    Args:
        scheduler_hub: Receives the results and names the engines to poll.
        gossiper: Receives the addresses of schedulers as seeds.
        vms: The platform's list of VMs.
        interval_s: Time between two polls of the engines, in seconds.
    """

    def __init__(
        self,
        scheduler_hub: hub.Hub,
        gossiper: gossip.Gossiper,
        vms: vmlist.VmList,
        interval_s: float,
    ) -> None:
        self._hub = scheduler_hub
        self._gossiper = gossiper
        self._vms = vms
        self._interval_s = interval_s
        self._client = engine_client.EngineClient()
        self._cache_positions: dict[str, int] = {}
        self._limit = anyio.CapacityLimiter(MAX_CONCURRENT_POLLS)
        self._wake = anyio.Event()
        scheduler_hub.on_new_backends = self._on_new_backends

    async def run(self) -> None:
        """Polls until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_vm_list)
            tasks.start_soon(self._run_engines)

    def _on_new_backends(self) -> None:
        self._wake.set()

    async def _run_vm_list(self) -> None:
        while True:
            await self._poll_vms()
            await anyio.sleep(VM_LIST_INTERVAL_S)

    async def _run_engines(self) -> None:
        while True:
            await self._poll_engines()
            with anyio.move_on_after(self._interval_s):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _poll_vms(self) -> None:
        try:
            listed = await self._vms.fetch()
        except log_client.PlatformError as error:
            LOG.info("could not fetch the list of VMs: %s", error)
            return
        schedulers = [vm.address for vm in listed if vm.role == "entry"]
        self._gossiper.add_seeds(schedulers)
        leaving = frozenset(
            vm.name
            for vm in listed
            if vm.role == "backend" and vm.state is vmlist.VmState.LEAVING
        )
        self._hub.post(event.LeavingBackendsListed(leaving))

    async def _poll_engines(self) -> None:
        in_force = self._hub.in_force
        if in_force is None:
            return
        async with anyio.create_task_group() as tasks:
            for name in self._hub.list_owned_backends():
                server = in_force.bundle.backend_servers.get(name)
                if server is not None:
                    tasks.start_soon(
                        self._poll_engine, in_force.bundle, name, server.url
                    )

    async def _poll_engine(
        self, bundle: model.Bundle, name: str, url: str
    ) -> None:
        async with self._limit:
            try:
                report = await self._client.fetch_load(url)
            except engine_client.EngineError:
                self._hub.post(event.LoadReported(name, None))
                return
            self._hub.post(event.LoadReported(name, report))
            if _is_model(bundle, name):
                await self._poll_cache(name, url)

    async def _poll_cache(self, name: str, url: str) -> None:
        after = self._cache_positions.get(name, 0)
        try:
            events = await self._client.fetch_cache_events(url, after)
        except engine_client.EngineError:
            return
        self._cache_positions[name] = events.next
        if events.stored or events.removed:
            self._hub.post(event.CacheChanged(name, events))


def _is_model(bundle: model.Bundle, name: str) -> bool:
    service = bundle.services[bundle.backend_servers[name].service]
    return service.kind is model.ServiceKind.MODEL

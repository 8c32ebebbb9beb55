"""``ramptray-node``: callers' relay and scheduler of one VM, in one process."""

from __future__ import annotations

import contextlib
import logging
import random
import signal
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from ramptray import process, runtime, steadyclock
from ramptray.bundle import acceptance
from ramptray.caller import metrics
from ramptray.core import blocklist, membership, retry
from ramptray.entry import dispatcher, prober
from ramptray.node import listener, probe, suspension
from ramptray.node import settings as node_settings
from ramptray.peer import link as peer_link
from ramptray.peer import server as peer_server
from ramptray.platform import blocks as platform_blocks
from ramptray.platform import config, follower, header, store
from ramptray.platform import rollout as platform_rollout
from ramptray.platform import settings as vm_settings
from ramptray.relay import client as relay_client
from ramptray.relay import server as relay_server
from ramptray.relay import service
from ramptray.relay import socket_stream as streams
from ramptray.scheduler import (
    block_sync,
    event,
    gossip,
    handler,
    hub,
    rollouts,
)

LOG = logging.getLogger(__name__)

MISSING_REPLICA_RETENTION_S = 1.6
"""How long replicas whose records went together are kept, in seconds; less than
the two seconds in which a replica that has gone may still be sent work."""


REACHED_PART = 0.5
"""A VM that reaches less than this part of the backend servers' places sends
new callers elsewhere: at most one side of a cut has less than half."""

METRICS_PATH = "/metrics"

ACCEPT_PAUSE_S = 0.01
"""Pause after a connection that could not be taken, in seconds, so that a lack
of descriptors does not become a busy loop."""


class Node:
    """The tasks of one VM and what they share.

    Args:
        tuned: The product's settings.
        given: The settings of this VM.
    """

    def __init__(
        self,
        tuned: node_settings.NodeSettings,
        given: vm_settings.VmSettings,
    ) -> None:
        self._tuned = tuned
        self._given = given
        self._stopping = False
        self._rng = random.Random()
        self._equipment = runtime.make_vm_runtime(
            "node", given.vm, given.zone, tuned.log_events, tuned.ring_events
        )
        self._store = store.Store(given.store)
        self._measures = metrics.Metrics()
        self._dialect = header.PlatformDialect()
        self._relay_client = relay_client.RelayClient(self._dialect)
        self._me = membership.Member(
            given.vm,
            config.DOMAIN,
            given.peers,
            int(time.time()),
            availability_zone=given.zone,
            cores=given.cores,
            link_mbps=given.link_mbps,
        )
        self._follower = follower.Follower(
            self._me,
            given.seeds,
            given.first_start,
            self._store,
            self._equipment.client,
            MISSING_REPLICA_RETENTION_S,
            given.zones,
            given.limit_terms,
            given.rollout_terms,
            self._take_bundle,
        )
        self._blocks = blocklist.Blocklist()
        self._block_sync = block_sync.BlockSync(
            platform_blocks.TopicBlockLog(self._store),
            self._blocks,
            load_at_start=not given.first_start,
        )
        self._store.add_rollback_listener(self._block_sync.save_all)
        self._gossiper = self._make_gossiper()
        self._follower.pick_peer = self._gossiper.pick_peer
        self._hub = hub.Hub(
            given.peers,
            config.DOMAIN,
            hub.Options(tuned.policy, 0.0, True, False),
            self._gossiper,
            None,
            self._equipment.timeline,
            self._blocks,
        )
        self._hub.content_blocker.on_crash = self._block_sync.request_reload
        self._verdict_keeper = rollouts.VerdictWriter(
            platform_rollout.TopicVerdictLog(self._store),
            self._hub.rollouts.verdicts,
        )
        self._hub.rollouts.on_verdict = self._verdict_keeper.enqueue
        self._gossiper.verdicts = self._hub.rollouts.verdicts
        self._handler = handler.SchedulerHandler(
            self._hub, self._gossiper, self._follower, self._equipment.timeline
        )
        self._equipment.client.serve_locally(given.peers, self._handler)
        self._desk = dispatcher.Dispatcher(
            node_settings.Home(given.vm, config.DOMAIN, given.peers),
            self._equipment,
            self._make_budget(),
            shares_limits=True,
            blocks=self._blocks,
            longest_pause_s=tuned.longest_pause_s,
        )
        self._prober = prober.Prober(
            self._desk.backends, self._relay_client.probe
        )
        self._relay = relay_server.RelayServer(
            self._dialect, self._make_service().serve
        )

    async def run(self, stop: process.Stop) -> None:
        """Serves until a stop is asked for and what runs has ended."""
        peers = peer_server.PeerServer(
            self._handler, self._equipment.clock, None
        )
        try:
            await peers.start(self._given.peers)
        except peer_link.LinkError as error:
            raise process.ProcessError(str(error)) from error
        async with anyio.create_task_group() as tasks:
            for task in (
                self._hub.run,
                self._desk.run,
                self._gossiper.run,
                self._follower.run,
                self._relay_client.run,
                self._prober.run,
                self._block_sync.run,
                self._verdict_keeper.run,
                suspension.SuspensionDetector(self._return_from_suspension).run,
                self._watch_reload,
            ):
                tasks.start_soon(task)

            def check(address: str) -> None:
                tasks.start_soon(self._gossiper.probe_now, address)

            self._desk.on_silent_owner = check
            self._desk.backends.on_unreachable_zone = (
                self._relay_client.expire_idle
            )

            def close_former_runs(backend: str, run: int) -> None:
                tasks.start_soon(
                    self._relay_client.close_former_runs, backend, run
                )

            self._desk.backends.on_backend_restart = close_former_runs
            await self._serve(tasks, stop)
            await peers.stop()
            await self._equipment.client.close()
            tasks.cancel_scope.cancel()

    async def _serve(
        self, tasks: anyio.abc.TaskGroup, stop: process.Stop
    ) -> None:
        probes = probe.ProbeServer(
            {
                vm_settings.READY_PATH: self._show_ready,
                METRICS_PATH: self._show_metrics,
            }
        )
        metrics_address = f"{self._given.ip}:{self._tuned.metrics_port}"
        for address, handle in (
            (self._given.callers, self._relay.handle),
            (self._given.readiness, probes.handle),
            (metrics_address, probes.handle),
        ):
            opened = listener.open_socket(address)
            tasks.start_soon(_accept, opened, handle)
        LOG.info(
            "started",
            extra={"address": self._given.callers, "peers": self._given.peers},
        )
        await stop.event.wait()
        await self._leave()

    async def _leave(self) -> None:
        """Ends in order: nothing that was taken in is cut."""
        began = steadyclock.read()
        ends_at = began + self._given.grace_s - self._tuned.exit_margin_s
        self._stopping = True
        self._relay.state.stopping = True
        LOG.info("stopping", extra={"active": self._relay.state.active})
        with anyio.move_on_after(self._tuned.lame_duck_s):
            await self._gossiper.leave()
            await anyio.sleep(self._tuned.lame_duck_s)
        self._relay.refuse_new_requests()
        while self._relay.state.active and steadyclock.read() < ends_at:
            await anyio.sleep(0.05)
        LOG.info("stopped", extra={"active": self._relay.state.active})

    def _show_ready(self) -> probe.Page:
        if self._desk.in_force is None:
            return probe.Page(probe.UNAVAILABLE, "no configuration yet\n")
        if self._stopping:
            return probe.Page(probe.UNAVAILABLE, "stopping\n")
        if self._note_cut():
            return probe.Page(probe.UNAVAILABLE, "cut off from most\n")
        return probe.Page(probe.OK, "ready\n")

    def _note_cut(self) -> bool:
        """Returns whether most of the deployment is beyond reach from here.

        Then callers are better served by VMs of other zones, which have more
        engines: new ones are sent there, and connected ones are asked to close.
        Those that come all the same are served.  Losing VMs alone says
        nothing: they may be down while all engines are at hand.
        """
        minority = self._gossiper.membership.is_minority()
        part = self._desk.backends.reachable_share
        cut = minority and part < REACHED_PART
        if cut != self._relay.state.diverting:
            self._relay.state.diverting = cut
            LOG.warning(
                "callers sent elsewhere" if cut else "callers taken again",
                extra={"minority": minority, "reachable_part": round(part, 2)},
            )
        return cut

    def _show_metrics(self) -> probe.Page:
        now = steadyclock.read()
        blocked = self._blocks.count_in_force(now)
        hints = self._desk.server_hints
        gauges = [
            *self._follower.list_gauges(now),
            metrics.Gauge("blocked_contents", {}, blocked),
            metrics.Gauge("limited_servers", {}, hints.count_limited()),
            metrics.Gauge("leaving_servers", {}, hints.count_leaving()),
            metrics.Gauge("paused_servers", {}, hints.count_paused(now)),
            *(
                metrics.Gauge("invalid_server_hints", {"header": name}, count)
                for name, count in self._dialect.invalid.items()
            ),
        ]
        text = self._measures.format() + metrics.format_gauges(gauges)
        return probe.Page(probe.OK, text)

    def _take_bundle(self, in_force: acceptance.InForce) -> None:
        self._desk.backends.apply_bundle(in_force)
        self._desk.server_hints.discard_except(
            in_force.bundle.backend_servers, steadyclock.read()
        )
        self._relay.state.limits = in_force.bundle.relay
        self._hub.post(event.BundleChanged(in_force))
        self._gossiper.membership.set_generation(
            in_force.generation, steadyclock.read()
        )

    def _return_from_suspension(self, away_s: float) -> None:
        """Has everything looked at anew that may have gone meanwhile.

        Connections were likely given up at their other ends.
        """
        self._relay_client.expire_all_idle()
        self._follower.wake()

    async def _watch_reload(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload()

    def _reload(self) -> None:
        """Takes new seeds; all else of the file holds for a process's life."""
        try:
            given = vm_settings.read_settings(vm_settings.get_path())
        except vm_settings.SettingsError as error:
            LOG.error("settings not reloaded", extra={"detail": str(error)})
            return
        self._gossiper.add_seeds(list(given.seeds))
        LOG.info("settings reloaded", extra={"seeds": given.seeds})

    def _make_gossiper(self) -> gossip.Gossiper:
        return gossip.Gossiper(
            self._me,
            list(self._given.seeds),
            self._equipment.client,
            self._rng,
            lambda view: self._hub.post(event.ViewChanged(view)),
            lambda lowest: None,
            self._follower.fetch,
            self._follower,
            spreads_generations=False,
        )

    def _make_budget(self) -> retry.RetryBudget:
        part = self._tuned.retry_part
        return retry.RetryBudget(
            retry.BudgetRules(
                self._given.retry_ratio * part,
                self._given.retry_slack * part / self._tuned.budget_vms,
                self._given.retry_window_s,
            )
        )

    def _make_service(self) -> service.RelayService:
        return service.RelayService(
            config.DOMAIN,
            self._desk,
            self._relay_client,
            self._measures,
            self._equipment.timeline,
            self._tuned.content_key.encode(),
        )


async def _accept(
    opened: socket.socket,
    handle: Callable[[streams.SocketStream], Coroutine[Any, Any, None]],
) -> None:
    """Takes connections; one that fails at once costs no other."""
    with contextlib.closing(opened):
        async with anyio.create_task_group() as tasks:
            await _accept_all(opened, handle, tasks)


async def _accept_all(
    opened: socket.socket,
    handle: Callable[[streams.SocketStream], Coroutine[Any, Any, None]],
    tasks: anyio.abc.TaskGroup,
) -> None:
    while True:
        try:
            stream = await streams.accept(opened)
        except OSError as error:
            LOG.warning("connection not taken", extra={"detail": repr(error)})
            await anyio.sleep(ACCEPT_PAUSE_S)
            continue
        tasks.start_soon(handle, stream)


async def main(tuned: node_settings.NodeSettings, stop: process.Stop) -> None:
    """Serves until a stop is asked for and what runs has ended."""
    try:
        given = vm_settings.read_settings(vm_settings.get_path())
    except vm_settings.SettingsError as error:
        raise process.ProcessError(str(error)) from error
    await Node(tuned, given).run(stop)


run = process.make_command(
    "ramptray-node",
    node_settings.NodeSettings,
    main,
    "Relays callers' requests and schedules them, on one VM of a platform.",
)

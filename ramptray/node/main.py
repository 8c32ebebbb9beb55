"""``ramptray-node``: HTTP relay and scheduler of one VM, in one process."""

from __future__ import annotations

import contextlib
import logging
import math
import random
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import anyio
import anyio.abc

from ramptray import (
    connecting,
    process,
    resources,
    runtime,
    steadyclock,
    supervision,
)
from ramptray.bundle import acceptance
from ramptray.caller import metrics
from ramptray.core import blocklist, membership, propagation, retry
from ramptray.entry import (
    dispatcher,
    origin_store,
    prober,
    release_sync,
    server_hints,
)
from ramptray.node import (
    listener,
    loop_monitor,
    probe,
    settings_watcher,
    suspension,
)
from ramptray.node import settings as node_settings
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.peer import server as peer_server
from ramptray.platform import blocks as platform_blocks
from ramptray.platform import follower, header, release_records, store, topic
from ramptray.platform import origins as platform_origins
from ramptray.platform import rollout as platform_rollout
from ramptray.platform import settings as vm_settings
from ramptray.relay import client as relay_client
from ramptray.relay import resumption, service, tunnel, tunnel_server
from ramptray.relay import server as relay_server
from ramptray.relay import socket_stream as streams
from ramptray.scheduler import (
    block_sync,
    event,
    gossip,
    handler,
    hub,
    region_exchange,
    rollouts,
)

LOG = logging.getLogger(__name__)

MISSING_REPLICA_RETENTION_S = 1.6
"""How long replicas whose records disappeared together are kept, in seconds.
Requests may be sent to a replica for at most two seconds after it is gone, so
this must be shorter."""

MIN_REACHABLE_SHARE = 0.5
"""A VM that reaches less than this share of the backend servers' slots sends
new callers elsewhere. When the network is split in two, at most one side
reaches less than half."""

METRICS_PATH = "/metrics"

ACCEPT_RETRY_DELAY_S = 0.01
"""Delay after a failed accept, in seconds. Without it, the accept loop would
spin when the process runs out of file descriptors."""

ACCEPT_LOG_INTERVAL_S = 1.0
"""Least time between two log lines of failed accepts, in seconds."""

STOP_LOG_INTERVAL_S = 1.0
"""How often a stopping VM logs what it still holds, in seconds."""

LAST_ACCEPT_TRIES = 10
"""How often a stopping VM tries again to accept what waits in the queue: other
connections that end free file descriptors."""

FINISH_S = 1.0
"""Time that requests accepted last by a stopping VM have to finish, in seconds,
or half of its time if that is less.  Longer requests may be cut; the load
balancer takes up to three seconds to send none."""

END_S = 0.2
"""Longest time in which a stopping VM refuses requests that have arrived at its
end, in seconds; it takes some milliseconds unless the VM is busy."""

MIN_END_S = 0.05
"""Shortest such time, in seconds: requests are refused also by a process that
stood still until it had to exit."""

END_CHECK_INTERVAL_S = 0.01
"""How often a stopping VM checks whether it has refused them, in seconds."""


class Node:
    """Creates the components of one VM and runs their tasks.

    Args:
        settings: Settings that are the same on all VMs.
        vm: Settings that the platform gives this VM.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        vm: vm_settings.VmSettings,
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._stopping = False
        self._stop_deadline = math.inf
        self._rng = random.Random()
        self._runtime = runtime.make_vm_runtime(
            "node", vm.vm, vm.zone, settings.log_events, settings.ring_events
        )
        self._store = store.Store(vm.store)
        self._supervisor = supervision.Supervisor()
        self._metrics = metrics.Metrics()
        self._resources = resources.ResourceBudget(
            resources.raise_descriptor_limit(vm.max_descriptors), vm.memory_mb
        )
        self._dialect = header.PlatformDialect()
        self._relay_client = relay_client.RelayClient(
            self._dialect,
            tunnel.PeerTunnels(self._runtime.client),
            self._resources,
        )
        self._member = membership.Member(
            vm.vm,
            vm.scheduling_zone,
            vm.peers,
            int(time.time()),
            availability_zone=vm.zone,
            cores=vm.cores,
            link_mbps=vm.link_mbps,
        )
        self._follower = follower.Follower(
            self._member,
            vm.seeds,
            vm.first_start,
            self._store,
            self._runtime.client,
            MISSING_REPLICA_RETENTION_S,
            vm.zones,
            vm.limit_terms,
            vm.rollout_terms,
            propagation.PropagationLimits(vm.propagation_s),
            self._apply_bundle,
        )
        self._blocks = blocklist.Blocklist()
        self._block_sync = block_sync.BlockSync(
            platform_blocks.TopicBlockLog(self._store),
            self._blocks,
        )
        self._store.add_rollback_listener(self._block_sync.save_all)
        self._gossiper = self._make_gossiper()
        self._follower.pick_peer = self._gossiper.pick_peer
        self._hub = hub.Hub(
            vm.peers,
            vm.scheduling_zone,
            hub.Options(settings.policy, 0.0, True, False),
            self._gossiper,
            None,
            self._runtime.timeline,
            self._blocks,
        )
        self._hub.content_blocker.on_crash = self._block_sync.request_reload
        self._verdict_writer = rollouts.VerdictWriter(
            platform_rollout.TopicVerdictLog(self._store),
            self._hub.rollouts.verdicts,
        )
        self._hub.rollouts.on_verdict = self._verdict_writer.enqueue
        self._store.add_rollback_listener(self._save_verdicts)
        self._gossiper.verdicts = self._hub.rollouts.verdicts
        self._gossiper.find_zone_owner = self._hub.find_zone_owner
        self._gossiper.update_summaries = self._hub.update_summaries
        self._gossiper.on_summaries = self._hub.apply_remote_summaries
        self._handler = handler.SchedulerHandler(
            self._hub, self._gossiper, self._follower, self._runtime.timeline
        )
        self._runtime.client.serve_locally(vm.peers, self._handler)
        assert self._hub.limits is not None
        self._limits = self._hub.limits
        self._gossiper.list_limit_uses = self._limits.list_zone_uses
        self._gossiper.on_limit_uses = self._limits.set_zone_use
        self._budget = retry.RetryBudget(self._make_budget_rules(1))
        self._dispatcher = dispatcher.Dispatcher(
            node_settings.DispatcherSettings(
                vm.vm, vm.scheduling_zone, vm.peers
            ),
            self._runtime,
            self._budget,
            shares_limits=True,
            blocks=self._blocks,
            longest_pause_s=settings.longest_pause_s,
            awaits_view=True,
            gateway_address=vm.peers,
        )
        for component in (self._hub, self._dispatcher.backends):
            component.describe_record = self._follower.describe_replica
        self._origins = origin_store.OriginStore(
            vm.peers,
            self._runtime.client,
            self._dispatcher.backends.releases,
            platform_origins.TopicOriginLog(self._store, vm.vm),
            self._dispatcher.backends.routes,
        )
        self._dispatcher.backends.on_releases = self._origins.update_releases
        self._handler.origins = self._origins
        self._release_sync = release_sync.ReleaseSync(
            vm.peers,
            self._runtime.client,
            self._dispatcher.backends.releases,
            lambda: self._follower.replica_position,
            self._follower.list_releases,
            release_records.TopicReleaseLog(self._store, topic.REPLICA_TOPIC),
        )
        self._handler.releases = self._release_sync
        self._follower.on_gap = self._handle_gap
        self._tunnel_server = tunnel_server.TunnelServer(
            self._dispatcher.backends,
            self._dispatcher.server_hints,
            vm.zones.get(vm.zone, ""),
            self._runtime.clock,
            self._resources,
        )
        self._handler.on_tunneled_hints = self._apply_tunneled_hints
        self._prober = prober.Prober(
            self._dispatcher.backends, self._relay_client.probe
        )
        self._loop_monitor = loop_monitor.LoopMonitor()
        self._relay = relay_server.RelayServer(
            self._dialect, self._make_service().serve, self._resources
        )
        self._relay.state.awaits_limits = True

    async def run(self, stop: process.Stop) -> None:
        """Serves until a stop is requested and running requests have ended."""
        peers = peer_server.PeerServer(
            self._handler,
            self._runtime.clock,
            None,
            {tunnel.METHOD: self._tunnel_server.serve},
            self._resources.max_incoming_links,
        )
        try:
            await peers.start(self._vm.peers)
        except peer_link.LinkError as error:
            raise process.ProcessError(str(error)) from error
        async with anyio.create_task_group() as tasks:
            # These hold the state of running requests, which a failure may
            # leave half changed.
            for name, task in (
                ("scheduler", self._hub.run),
                ("dispatcher", self._dispatcher.run),
                ("gossip", self._gossiper.run),
            ):
                tasks.start_soon(self._supervisor.run_critical, name, task)
            for name, task in (
                ("follower", self._follower.run),
                ("backend connections", self._relay_client.run),
                ("prober", self._prober.run),
                ("blocks", self._block_sync.run),
                ("origins", self._origins.run),
                ("releases", self._release_sync.run),
                ("verdicts", self._verdict_writer.run),
                ("loop monitor", self._loop_monitor.run),
                ("memory", self._resources.run),
                (
                    "suspension",
                    suspension.SuspensionDetector(self._handle_suspension).run,
                ),
                (
                    "settings",
                    settings_watcher.SettingsWatcher(
                        vm_settings.get_path(), self._apply_settings
                    ).run,
                ),
            ):
                tasks.start_soon(self._supervisor.keep_running, name, task)

            def probe_member(address: str) -> None:
                tasks.start_soon(
                    self._supervisor.attempt,
                    "probe of a member",
                    lambda: self._gossiper.probe_now(address),
                )

            self._dispatcher.on_silent_owner = probe_member
            self._dispatcher.backends.on_unreachable_zone = (
                self._relay_client.expire_idle
            )

            def leave_lost_runs(backend: str, run: int) -> None:
                tasks.start_soon(
                    self._supervisor.attempt,
                    "search for lost runs",
                    lambda: self._relay_client.leave_lost_runs(backend, run),
                )

            self._dispatcher.backends.on_backend_restart = leave_lost_runs
            exit_at = await self._serve(stop)
            left_s = max(0.0, exit_at - steadyclock.read())
            await peers.stop(min(peer_server.STOP_GRACE_S, left_s / 2))
            await self._runtime.client.close()
            tasks.cancel_scope.cancel()

    async def _serve(self, stop: process.Stop) -> float:
        """Serves callers; returns when this process has to exit.

        Answers that are cut have ended when this returns: links to peers take
        time to stop, and the process may be killed meanwhile.
        """
        probes = probe.ProbeServer(
            {
                vm_settings.READY_PATH: self._make_ready_page,
                METRICS_PATH: self._make_metrics_page,
            }
        )
        callers = _Acceptor(
            listener.open_socket(self._vm.callers),
            self._relay.handle,
            self._resources,
            is_for_callers=True,
        )
        others = [self._make_probe_acceptor(self._vm.readiness, probes)]
        others.extend(self._open_metrics(probes))
        async with anyio.create_task_group() as connections:
            for acceptor in (callers, *others):
                connections.start_soon(acceptor.run)
            LOG.info(
                "started",
                extra={"address": self._vm.callers, "peers": self._vm.peers},
            )
            await stop.event.wait()
            # The time to stop runs from the signal, which may have come while
            # this process stood still.
            signalled_at = self._loop_monitor.find_earliest_arrival()
            exit_at = signalled_at + self._vm.grace_s
            await self._shut_down(exit_at - self._settings.exit_margin_s)
            await self._end_callers(callers, exit_at)
            connections.cancel_scope.cancel()
        return exit_at

    def _make_probe_acceptor(
        self, address: str, probes: probe.ProbeServer
    ) -> _Acceptor:
        return _Acceptor(
            listener.open_socket(address), probes.handle, self._resources
        )

    def _open_metrics(self, probes: probe.ProbeServer) -> Iterator[_Acceptor]:
        """Yields the acceptor of the metrics, which callers do not need."""
        address = f"{self._vm.ip}:{self._settings.metrics_port}"
        try:
            yield self._make_probe_acceptor(address, probes)
        except OSError as error:
            LOG.error(
                "metrics not served",
                extra={"address": address, "detail": str(error)},
            )

    async def _shut_down(self, deadline: float) -> None:
        """Shuts down gracefully: waits for the requests that were accepted.

        Args:
            deadline: When to wait no longer, in seconds of the steady clock.
        """
        self._stopping = True
        self._stop_deadline = deadline
        self._relay.state.stopping = True
        LOG.info("stopping", extra=self._describe_work())
        self._dispatcher.begin_stop(deadline)
        left_s = max(0.0, deadline - steadyclock.read())
        accept_s = left_s - min(FINISH_S, left_s / 2)
        with anyio.move_on_after(min(self._settings.lame_duck_s, accept_s)):
            await self._gossiper.leave()
            await self._origins.hand_over()
            await anyio.sleep(self._settings.lame_duck_s)
        self._relay.refuse_new_requests()
        self._tunnel_server.stopping = True
        log_at = steadyclock.read()
        while (self._relay.is_busy or self._tunnel_server.active) and (
            left_s := deadline - steadyclock.read()
        ) > 0:
            if steadyclock.read() >= log_at:
                log_at += STOP_LOG_INTERVAL_S
                LOG.info("still stopping", extra=self._describe_work())
            await anyio.sleep(min(0.05, left_s))
        LOG.info("stopped", extra=self._describe_work())

    def _describe_work(self) -> dict[str, Any]:
        """Returns what a stopping VM still holds, for logs."""
        states = self._dispatcher.count_states()
        return {
            "active": self._relay.state.active,
            "waiting": states["waiting"],
            "dispatched": states["dispatched"],
            "connections": self._relay.state.connections,
            "tunnels": self._tunnel_server.active,
            "left_s": round(self._stop_deadline - steadyclock.read(), 3),
        }

    def _list_stop_gauges(self, now: float) -> Iterator[metrics.Gauge]:
        for state, count in self._dispatcher.count_states().items():
            yield metrics.Gauge("requests_held", {"state": state}, count)
        if self._stopping:
            left_s = max(0.0, self._stop_deadline - now)
            yield metrics.Gauge("stop_seconds_left", {}, left_s)

    async def _end_callers(self, callers: _Acceptor, exit_at: float) -> None:
        """Answers what callers have sent so far, and ends their connections.

        Args:
            callers: Accepts their connections.
            exit_at: When this process has to exit, in seconds of the steady
                clock.
        """
        self._relay.end_requests()
        await callers.stop()
        now = steadyclock.read()
        left_s = max(0.0, exit_at - now)
        deadline = now + max(MIN_END_S, min(END_S, left_s / 2))
        while True:
            await anyio.sleep(END_CHECK_INTERVAL_S)
            if not self._relay.is_busy or steadyclock.read() >= deadline:
                return

    def _make_ready_page(self) -> probe.Page:
        if self._dispatcher.in_force is None:
            return probe.Page(probe.UNAVAILABLE, "no configuration yet\n")
        if self._stopping:
            return probe.Page(probe.UNAVAILABLE, "stopping\n")
        if self._update_diverting():
            return probe.Page(probe.UNAVAILABLE, "cut off from most\n")
        if self._resources.is_crowded():
            return probe.Page(probe.UNAVAILABLE, "too many connections\n")
        return probe.Page(probe.OK, "ready\n")

    def _update_diverting(self) -> bool:
        """Updates whether new callers are sent to other VMs, and returns it.

        VMs of other zones can then use more engines, so new callers are sent
        there and connected callers are asked to close their connections.
        Requests that arrive anyway are served.  Unreachable VMs alone are not
        enough: they may be down while all engines are still reachable.
        """
        minority = self._gossiper.membership.is_minority()
        reachable_share = self._dispatcher.backends.reachable_share
        cut = minority and reachable_share < MIN_REACHABLE_SHARE
        if cut != self._relay.state.diverting:
            self._relay.state.diverting = cut
            LOG.warning(
                "callers sent elsewhere" if cut else "callers accepted again",
                extra={
                    "minority": minority,
                    "reachable_part": round(reachable_share, 2),
                },
            )
        return cut

    def _make_metrics_page(self) -> probe.Page:
        now = steadyclock.read()
        blocked = self._blocks.count_in_force(now)
        hints = self._dispatcher.server_hints
        failures = self._runtime.client.failures
        gauges = [
            *self._follower.list_gauges(now),
            metrics.Gauge("blocked_contents", {}, blocked),
            metrics.Gauge("limited_servers", {}, hints.count_limited()),
            metrics.Gauge("brittle_servers", {}, hints.count_brittle()),
            metrics.Gauge("leaving_servers", {}, hints.count_leaving()),
            metrics.Gauge("limit_part", {}, self._limits.part),
            metrics.Gauge("paused_servers", {}, hints.count_paused(now)),
            metrics.Gauge("links_down", {}, len(failures.list_down(now))),
            *(
                metrics.Gauge("link_failures", {"kind": kind.value}, count)
                for kind, count in failures.counts.items()
            ),
            *(
                metrics.Gauge("connect_failures", {"kind": kind}, count)
                for kind, count in self._dispatcher.connect_failures.items()
            ),
            *(
                metrics.Gauge("hedges", {"result": result}, count)
                for result, count in self._dispatcher.hedges.items()
            ),
            *self._dispatcher.gateway_use.list_gauges(now),
            metrics.Gauge("tunnels_open", {}, self._tunnel_server.active),
            *(
                metrics.Gauge("tunnels", {"outcome": outcome}, count)
                for outcome, count in self._tunnel_server.counts.items()
            ),
            *self._dispatcher.redirects.list_gauges(),
            *self._origins.list_gauges(),
            *self._relay.closes.list_gauges(),
            *self._loop_monitor.list_gauges(),
            *self._supervisor.list_gauges(),
            *self._resources.list_gauges(),
            *self._list_stop_gauges(now),
            *(
                metrics.Gauge("region_delay_seconds", {"zone": zone}, delay_s)
                for zone, delay_s in self._gossiper.list_delays().items()
            ),
            *(
                metrics.Gauge("invalid_server_hints", {"header": name}, count)
                for name, count in self._dialect.invalid.items()
            ),
        ]
        text = self._metrics.format() + metrics.format_gauges(gauges)
        return probe.Page(probe.OK, text)

    def _apply_bundle(self, in_force: acceptance.InForce) -> None:
        self._dispatcher.backends.apply_bundle(in_force)
        self._dispatcher.server_hints.discard_except(
            in_force.bundle.backend_servers, steadyclock.read()
        )
        self._relay.state.limits = in_force.bundle.relay
        self._relay.state.awaits_limits = False
        self._hub.post(event.BundleChanged(in_force))
        self._gossiper.membership.set_generation(
            in_force.generation, steadyclock.read()
        )

    def _handle_gap(self, since: float, position: int) -> None:
        self._release_sync.begin(since, position)
        # A store that came back from an older copy may have lost them, which
        # VMs that do not read it themselves see by the gap only.
        self._origins.save_all()

    def _save_verdicts(self) -> None:
        in_force = self._follower.in_force
        if in_force is not None:
            self._verdict_writer.save_all(in_force.bundle.rollouts)

    def _apply_tunneled_hints(
        self, tunneled: peer_message.TunneledHints
    ) -> None:
        hints = tunneled.hints
        self._dispatcher.server_hints.observe(
            server_hints.HeadReceived(
                tunneled.request_id,
                hints.backend,
                hints.run,
                hints.limit_per_s,
                hints.is_leaving,
                hints.pause_s,
                "",
                hints.limit_per_s,
                hints.max_refusals_per_s,
            ),
            steadyclock.read(),
        )

    def _handle_suspension(self, suspended_s: float) -> None:
        """Drops idle connections and wakes the follower.

        The other ends have probably closed the connections, and other state
        may be out of date.
        """
        self._relay_client.expire_all_idle()
        self._follower.wake()

    def _apply_settings(self, vm: vm_settings.VmSettings) -> None:
        """Applies the file's seeds; other settings need a restart."""
        self._gossiper.set_seeds(list(vm.seeds))

    def _make_gossiper(self) -> gossip.Gossiper:
        return gossip.Gossiper(
            self._member,
            list(self._vm.seeds),
            self._runtime.client,
            self._rng,
            self._apply_view,
            lambda lowest: None,
            self._follower.fetch,
            self._follower,
            spreads_generations=False,
            exchange=region_exchange.RegionExchange(
                self._vm.scheduling_zone, self._rng
            )
            if self._vm.scheduling_zones.is_divided
            else None,
        )

    def _make_budget_rules(self, vms: int) -> retry.BudgetRules:
        """Returns this VM's part of the retry budget.

        Args:
            vms: Number of VMs that are known.
        """
        return retry.divide_rules(
            retry.BudgetRules(
                self._vm.retry_ratio,
                self._vm.retry_slack,
                self._vm.retry_window_s,
            ),
            self._settings.retry_part,
            max(vms, self._settings.budget_vms),
        )

    def _apply_view(self, view: peer_message.View) -> None:
        self._hub.post(event.ViewChanged(view))
        self._origins.update_members(view.members, view.others)
        self._release_sync.update_members(view.members)
        self._relay_client.expire_gateways(
            {member.address for member in (*view.members, *view.others)}
        )
        known = [
            member
            for member in self._gossiper.membership.list_all()
            if member.state is not membership.MemberState.LEFT
        ]
        # The membership covers one scheduling zone; others are about as large.
        zones = len(self._vm.scheduling_zones.names)
        self._budget.rules = self._make_budget_rules(zones * len(known))

    def _make_service(self) -> service.RelayService:
        return service.RelayService(
            self._vm.scheduling_zone,
            self._dispatcher,
            self._relay_client,
            self._metrics,
            self._runtime.timeline,
            self._origins,
            resumption.ResumptionResolver(
                self._origins,
                self._dispatcher.backends.releases,
                self._dispatcher.backends.routes,
                self._follower.confirm_replicas,
            ),
            self._settings.content_key.encode(),
        )


class _Acceptor:
    """Accepts connections; a failed accept does not affect the others.

    Args:
        listening_socket: Closed when accepting ends.
        handle: Serves a connection.
        budget: Descriptors that the connections share with others.
        is_for_callers: Whether connections wait until there is room for them.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        handle: Callable[[streams.SocketStream], Coroutine[Any, Any, None]],
        budget: resources.ResourceBudget,
        is_for_callers: bool = False,
    ) -> None:
        self._listening_socket = listening_socket
        self._handle = handle
        self._budget = budget
        self._is_for_callers = is_for_callers
        self._failures = 0
        self._logged_at = -math.inf
        self._stopping = False
        self._wait: anyio.CancelScope | None = None
        self._closed = anyio.Event()

    async def run(self) -> None:
        """Accepts connections until stopped, and serves them to their end."""
        async with anyio.create_task_group() as tasks:
            with contextlib.closing(self._listening_socket):
                await self._accept_all(tasks)
            self._closed.set()

    async def stop(self) -> None:
        """Accepts what waits in the queue, then closes the listening socket.

        Closing it would reset the connections in its queue, whose requests may
        have arrived.
        """
        self._stopping = True
        if self._wait is not None:
            self._wait.cancel()
        await self._closed.wait()

    async def _accept_all(self, tasks: anyio.abc.TaskGroup) -> None:
        last_tries = LAST_ACCEPT_TRIES
        while True:
            try:
                await self._accept_queued(tasks)
            except OSError as error:
                self._log_failure(error)
                if connecting.is_local_shortage(error):
                    self._budget.relieve()
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                last_tries -= self._stopping
                if last_tries:
                    continue
            if self._stopping:
                return
            # Only this wait is cancelled: a cancelled accept may drop a
            # connection that it has taken from the queue.
            with anyio.CancelScope() as self._wait:
                await anyio.wait_readable(self._listening_socket)

    def _log_failure(self, error: OSError) -> None:
        """Logs a failed accept, at most once a second."""
        self._failures += 1
        now = steadyclock.read()
        if now - self._logged_at < ACCEPT_LOG_INTERVAL_S:
            return
        self._logged_at = now
        LOG.warning(
            "accepting a connection failed",
            extra={
                "detail": repr(error),
                "failures": self._failures,
                **self._budget.describe(),
            },
        )

    async def _accept_queued(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            if self._is_for_callers:
                await self._wait_for_room()
            stream = await streams.accept_queued(self._listening_socket)
            if stream is None:
                break
            tasks.start_soon(self._serve, stream)
        if self._is_for_callers:
            self._budget.end_wait_of_callers()

    async def _wait_for_room(self) -> None:
        """Waits until the next caller, if there is one, may be accepted."""
        while (
            not self._stopping
            and streams.is_readable(self._listening_socket)
            and (wait_s := self._budget.make_room_for_callers())
        ):
            await anyio.sleep(wait_s)

    async def _serve(self, stream: streams.SocketStream) -> None:
        try:
            await self._handle(stream)
        except Exception:
            # A bug must end this connection only, not the others.
            LOG.exception("serving a connection failed")


async def main(
    settings: node_settings.NodeSettings, stop: process.Stop
) -> None:
    """Serves until a stop is requested and running requests have ended."""
    try:
        vm = vm_settings.read_settings(vm_settings.get_path())
    except vm_settings.SettingsError as error:
        raise process.ProcessError(str(error)) from error
    resources.prepare_heap()
    await Node(settings, vm).run(stop)


run = process.make_command(
    "ramptray-node",
    node_settings.NodeSettings,
    main,
    "Relays callers' requests and schedules them, on one VM of a platform.",
)

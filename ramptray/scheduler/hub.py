"""The task that owns a scheduler's shards and attached processes."""

from __future__ import annotations

import collections
import logging
import random
from collections.abc import Callable, Container, Iterable
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from ramptray import deadline, mailbox, steadyclock, timeline, wallclock
from ramptray.bundle import acceptance
from ramptray.core import (
    backend,
    blocklist,
    claim,
    gateways,
    limit,
    membership,
    message,
    owner_effect,
    policy,
    redirection,
    shard,
)
from ramptray.entry import block_propagator
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import (
    attached_process,
    content_blocker,
    event,
    gossip,
    observations,
    query,
    rollouts,
    rules,
    unplaced,
)

if TYPE_CHECKING:
    # Importing an HTTP client is slow, and only programs that poll engines
    # need it.
    from ramptray.engine import client as engine_client
    from ramptray.scheduler import claims

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
IDLE_TICK_INTERVAL_S = 0.5
STILL_WAITING_INTERVAL_S = 0.18
"""Longest time without a message to an entry that has waiting requests, in
seconds; less than half the time after which it considers its owner lost."""

SUMMARY_INTERVAL_S = 0.5
MAX_EARLY_MESSAGES = 5000
"""Limit of messages held until this scheduler has a configuration."""
REDIRECT_LOG_INTERVAL_S = 5.0
"""Time between two log lines on the redirects of a shard, in seconds."""
IDLE_SHARD_TIMEOUT_S = 5.0
"""Time after which an empty shard that another scheduler owns is closed, in
seconds."""


class Options(msgspec.Struct, frozen=True):
    """Options of a hub.

    Attributes:
        policy: Name of the policy that selects backend servers.
        report_grace_s: How long a new owner waits for the first report of a
            backend server.
        shares_limits: Whether a customer's limit applies to all services
            together instead of to each shard.
        sends_bundle: Whether the hub sends attached processes the bundle.
    """

    policy: str = policy.TokenPolicy.name
    report_grace_s: float = shard.REPORT_GRACE_S
    shares_limits: bool = False
    sends_bundle: bool = True


class Hub:
    """Owns the shards; changes them only in response to mailbox events.

    Attributes:
        in_force: The bundle in force, if any.
        timeline: Records events for operators.
        shards: The open shards.
        content_blocker: Blocks what crashes backend servers.
        view: The schedulers of this zone and some of the others.
        on_new_backends: Called when backend servers should be polled at once.
        describe_record: Returns on what this VM's belief about a backend server
            rests, for logs.
        rollouts: Applies rollouts to the shards.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        options: Options,
        gossiper: gossip.Gossiper,
        claim_manager: claims.ClaimManager | None,
        events: timeline.Timeline,
        blocks: blocklist.Blocklist | None = None,
    ) -> None:
        self.blocks = blocklist.Blocklist() if blocks is None else blocks
        self.blocks.on_change(self._propagate_blocks)
        self.content_blocker = content_blocker.ContentBlocker(
            self.blocks, events
        )
        self.in_force: acceptance.InForce | None = None
        self.timeline = events
        self.shards: dict[message.ShardKey, shard.ShardOwner] = {}
        self.view = peer_message.View([], [])
        self.on_new_backends: Callable[[], None] = _do_nothing
        self.describe_record: Callable[[str], dict[str, Any]] = _describe_none
        self.rollouts = rollouts.RolloutManager(lambda: self.shards.values())
        self._address = address
        self._zone = zone
        self._options = options
        self._gossiper = gossiper
        self._claim_manager = claim_manager
        self._limits = (
            limit.Limits({}, random.getrandbits(48))
            if options.shares_limits
            else None
        )
        self._attached = attached_process.AttachedProcesses()
        self._gateways = gateways.GatewayDirectory()
        self._observations = observations.BackendObservations()
        self._listed_leaving: frozenset[str] = frozenset()
        self._reported_leaving: set[str] = set()
        self._empty_since: dict[message.ShardKey, float] = {}
        self._summaries_sent_at = 0.0
        self._unusable_since: dict[message.ShardKey, float] = {}
        self._redirects_logged_at = 0.0
        self._redirects_logged: dict[
            message.ShardKey,
            collections.Counter[tuple[str, redirection.Reason]],
        ] = {}
        self._lowest_generation = 0
        self._owners: dict[str, str] = {}
        self._timeline_queries = query.TimelineQueries()
        # Messages about requests that arrived before the first bundle.
        self._early: dict[
            str,
            tuple[peer_link.Session, message.Enqueue | message.Running],
        ] = {}
        self._unplaced = unplaced.UnplacedRequests()
        self._has_work = anyio.Event()
        self._mailbox = mailbox.Mailbox(
            lambda posted: self._handle(posted, steadyclock.read())
        )

    def post(self, posted: Any) -> None:
        """Adds an event to the mailbox."""
        self._mailbox.post(posted)

    async def run(self) -> None:
        """Handles events until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_ticks)
            await self._mailbox.run()

    def owns(self, key: message.ShardKey) -> bool:
        """Returns whether this scheduler owns a shard, in its view."""
        return self._find_owner(key) == self._address

    def find_zone_owner(self) -> str:
        """Returns the address of the owner of all shards of this zone.

        Returns:
            The address; empty if it is unknown or each shard has an owner.
        """
        if not self._options.shares_limits:
            return ""
        return self._find_owner(message.ShardKey(self._zone, ""))

    def _find_owner(self, key: message.ShardKey) -> str:
        """Returns the address of a shard's owner; empty if it is unknown."""
        name = key.get_owner_key(self._options.shares_limits)
        if name not in self._owners:
            strongest = membership.list_strongest(self.view.members)
            members = {m.vm: m.address for m in strongest}
            owner = membership.pick_owner(name, list(members))
            self._owners[name] = "" if owner is None else members[owner]
        return self._owners[name]

    def list_owned_backends(self) -> list[str]:
        """Returns the backend servers that this scheduler polls."""
        return [
            name
            for key, owner in self.shards.items()
            if self.owns(key)
            for name in owner.fleet.backends
        ]

    @property
    def limits(self) -> limit.Limits | None:
        """The limits that span all services, if they do."""
        return self._limits

    def list_attached(self) -> list[attached_process.AttachedProcess]:
        """Returns the attached processes."""
        return [attached for _, attached in self._attached]

    async def _run_ticks(self) -> None:
        while True:
            if all(owner.is_empty for owner in self.shards.values()):
                self._has_work = anyio.Event()
                with anyio.move_on_after(IDLE_TICK_INTERVAL_S):
                    await self._has_work.wait()
            due_at = steadyclock.read_loop() + TICK_INTERVAL_S
            await anyio.sleep(TICK_INTERVAL_S)
            self._confirm_waiting(steadyclock.read())
            # The tick refuses requests whose wait is over.  Messages that free
            # places for them may be unread.
            await deadline.look_if_late(due_at)
            self._tick(steadyclock.read())

    def _handle(self, posted: Any, now: float) -> None:
        match posted:
            case event.MessageReceived(session, body):
                self._handle_message(session, body, now)
            case event.SessionOpened(session):
                self._attached.open(session)
            case event.SessionClosed(session):
                self._close(session, now)
            case event.BundleChanged(in_force):
                self._apply_bundle(in_force)
                self._open_own_shards(now)
                self._forward_early(now)
                for request in self._unplaced.take(now):
                    self._place_running(request, now)
            case event.ViewChanged(view):
                self._apply_view(view)
                self._open_own_shards(now)
            case event.LowestGenerationChanged(generation):
                self._lowest_generation = generation
                for session, attached in self._attached:
                    if attached.hello.kind == "controller":
                        session.send(peer_message.LowestGeneration(generation))
            case event.LoadReported(name, report):
                self._apply_load_report(name, report)
            case event.CacheChanged(name, changes):
                self._apply_cache_changes(name, changes)
            case event.LeavingBackendsListed(names):
                self._listed_leaving = names
                self._update_leaving_states()
            case event.ClaimDecided(session, decision):
                session.send(decision)
            case event.TimelineRequested():
                self._request_events(posted)

    def _request_events(self, request: event.TimelineRequested) -> None:
        vm = self._gossiper.membership.me.vm
        sessions = [
            session
            for session, attached in self._attached
            if attached.hello.vm == vm
        ]
        self._timeline_queries.ask(request, sessions)

    def _handle_message(
        self, session: peer_link.Session, body: Any, now: float
    ) -> None:
        attached = self._attached.get(session)
        match body:
            case peer_message.Hello():
                self._handle_hello(session, body)
            case _ if attached is None:
                session.close()
            case message.SyncDone(entry):
                for owner in self.shards.values():
                    self._send_effects(owner.receive(entry, body, now))
            case message.SpeedLearned(name):
                self._observations.speeds[name] = body
                for owner in self.shards.values():
                    owner.receive(attached.hello.name, body, now)
            case message.ServerHints():
                self._apply_server_hints(attached, body, now)
            case message.LimitUse():
                if self._limits is not None:
                    self._limits.apply_report(body, now)
            case message.Enqueue(info) | message.Running(info):
                if self.in_force is None and self._hold_early(session, body):
                    return
                self._forward_to_shard(attached, info.shard, body, now)
            case (
                message.Withdraw()
                | message.Decline()
                | message.FirstToken()
                | message.Ended()
            ):
                self._forward_to_request_owner(attached, body, now)
            case peer_message.TimelineEvents():
                self._timeline_queries.forward_answer(session, body)
            case peer_message.BlockedContents(blocks):
                new = self.blocks.merge(blocks, now)
                block_propagator.log_merged_blocks(new, attached.hello.name)
            case peer_message.InForceReport(generation):
                attached.generation = generation
            case peer_message.LeaseReport(held):
                attached.holds_lease = held
            case _ if self._claim_manager is None:
                LOG.warning(
                    "message about claims on a scheduler that serves no claims",
                    extra={"message_type": type(body).__name__},
                )
            case peer_message.ClaimKey():
                self._claim_manager.post(event.ClaimRequested(session, body))
            case peer_message.ReleaseKey():
                self._claim_manager.post(event.ClaimReleased(body))
            case peer_message.FinishKey():
                self._claim_manager.post(event.ClaimFinished(body))

    def _apply_server_hints(
        self,
        attached: attached_process.AttachedProcess,
        hints: message.ServerHints,
        now: float,
    ) -> None:
        self._observations.record_hints(hints, attached.hello.name, now)
        for owner in self.shards.values():
            self._send_effects(owner.receive(attached.hello.name, hints, now))

    def _handle_hello(
        self, session: peer_link.Session, hello: peer_message.Hello
    ) -> None:
        self._attached.add(session, hello)
        session.send(self._choose_view(hello))
        if self.in_force and self._options.sends_bundle:
            session.send(peer_message.BundleUpdate(self.in_force.envelope))
        if hello.kind != "entry":
            session.send(peer_message.LowestGeneration(self._lowest_generation))
            return
        if len(self.blocks):
            updates = self.blocks.list_updates(steadyclock.read())
            session.send(peer_message.BlockedContents(updates))
        self._attached.add_entry(session, hello.name)
        self._unplaced.remove_entry(hello.name)
        if hello.gateway_address:
            self._gateways.add_entry(hello.name, hello.gateway_address)
        for owner in self.shards.values():
            owner.begin_sync(hello.name)

    def _is_local(self, hello: peer_message.Hello) -> bool:
        """Returns whether an attached process runs on this VM."""
        return hello.vm == self._gossiper.membership.me.vm

    def _choose_view(self, hello: peer_message.Hello) -> peer_message.View:
        """Returns the view to send to an attached process.

        A process uses only the view of its own VM's scheduler.  Others get an
        empty one, since a view lists every VM and is large.
        """
        if self._is_local(hello):
            return self.view
        return peer_message.View([], [])

    def _close(self, session: peer_link.Session, now: float) -> None:
        self._timeline_queries.drop_session(session)
        entry = self._attached.remove(session)
        if entry is None:
            return
        self._gateways.remove_entry(entry)
        self._unplaced.mark_lost(entry, now)
        for owner in self.shards.values():
            owner.detach_entry(entry, now)

    def _forward_to_shard(
        self,
        attached: attached_process.AttachedProcess,
        key: message.ShardKey,
        body: message.EntryMessage,
        now: float,
    ) -> None:
        if isinstance(body, message.Running):
            name = attached.hello.name
            self._place_running(unplaced.UnplacedRequest(name, body, now), now)
            return
        if isinstance(body, message.Enqueue):
            self._unplaced.remove(body.request.request_id)
            reject = self.content_blocker.check(body.request, now)
            if reject is not None:
                self._send_effects(
                    [owner_effect.SendToEntry(attached.hello.name, reject)]
                )
                return
        owner = self._get_shard(key, now)
        self._has_work.set()
        if owner is not None:
            self._send_effects(owner.receive(attached.hello.name, body, now))
            if isinstance(body, message.Enqueue):
                self._confirm_queued(attached, owner, body.request.request_id)
            return
        if isinstance(body, message.Enqueue):
            reject = message.Reject(
                body.request.request_id,
                message.Reason.NOT_READY,
                1.0,
                body.request.asks_again,
            )
            self._send_effects(
                [owner_effect.SendToEntry(attached.hello.name, reject)]
            )

    def _place_running(
        self, request: unplaced.UnplacedRequest, now: float
    ) -> None:
        """Counts a running request, or keeps it until its server is listed."""
        running = request.make_message(now)
        owner = self._get_shard(running.request.shard, now)
        self._has_work.set()
        if owner is not None:
            self._send_effects(owner.receive(request.entry, running, now))
        if owner is None or not owner.holds(running.request.request_id):
            self._unplaced.add(request)
        elif request.lost_at is not None:
            owner.detach_entry(request.entry, now)

    def _confirm_queued(
        self,
        attached: attached_process.AttachedProcess,
        owner: shard.ShardOwner,
        request_id: str,
    ) -> None:
        """Confirms to an entry that its request is queued.

        An entry that gets no reply considers the owner lost.
        """
        if owner.is_waiting(request_id):
            self._send_to_entry(attached.hello.name, message.Queued(request_id))

    def _hold_early(
        self,
        session: peer_link.Session,
        body: message.Enqueue | message.Running,
    ) -> bool:
        """Holds a message until there is a configuration, if there is room.

        Load pattern: all VMs start at once.  Others may choose this scheduler
        as their owner before it has read the configuration.  The entry moves
        its request to another owner if that takes too long.
        """
        if len(self._early) >= MAX_EARLY_MESSAGES:
            return False
        self._early[body.request.request_id] = session, body
        if isinstance(body, message.Enqueue):
            session.send(message.Queued(body.request.request_id))
        return True

    def _forward_early(self, now: float) -> None:
        """Forwards the messages that were held, in their order."""
        early, self._early = self._early, {}
        for session, body in early.values():
            attached = self._attached.get(session)
            if attached is not None:
                self._forward_to_shard(attached, body.request.shard, body, now)

    def _forward_to_request_owner(
        self,
        attached: attached_process.AttachedProcess,
        body: content_blocker.RequestUpdate,
        now: float,
    ) -> None:
        if isinstance(body, message.Withdraw | message.Ended):
            self._early.pop(body.request_id, None)
            self._unplaced.remove(body.request_id)
        for owner in self.shards.values():
            if owner.holds(body.request_id):
                self.content_blocker.observe(owner, body, now)
                out = owner.receive(attached.hello.name, body, now)
                self._note_ejections(owner)
                self._send_effects(out)
                return

    def _note_ejections(self, owner: shard.ShardOwner) -> None:
        for ejection in owner.fleet.take_ejections():
            self.timeline.note(
                "ejected",
                ejection.backend,
                entry=ejection.entry,
                ejected_s=ejection.ejected_s,
                failures=ejection.failures,
            )

    def _propagate_blocks(self, updates: list[blocklist.BlockUpdate]) -> None:
        """Sends blocks to the entries, and rejects blocked queued requests."""
        notification = peer_message.BlockedContents(updates)
        for session, attached in self._attached:
            if attached.hello.kind == "entry":
                session.send(notification)
        for update in updates:
            if update.lifted:
                continue
            for owner in self.shards.values():
                self._send_effects(
                    owner.refuse_blocked(
                        blocklist.split_key(update.content), update.left_s
                    )
                )

    def _send_effects(
        self, effects: Iterable[owner_effect.SendToEntry]
    ) -> None:
        for effect in effects:
            self._send_to_entry(effect.entry, effect.message)
            self._record_effect(effect)

    def _send_to_entry(
        self,
        entry: str,
        sent: message.OwnerMessage | message.Queued | message.StillWaiting,
    ) -> None:
        self._attached.send(entry, sent, steadyclock.read())

    def _record_effect(self, effect: owner_effect.SendToEntry) -> None:
        basis = {
            "entry": effect.entry,
            "generation": self.in_force.generation if self.in_force else None,
            **(msgspec.to_builtins(effect.basis) if effect.basis else {}),
        }
        match effect.message:
            case message.Grant(request_id, _, name, gateways=tunneled):
                if tunneled:
                    basis["gateways"] = tunneled
                if record := self.describe_record(name):
                    basis["record"] = record
                self.timeline.note("grant", request_id, backend=name, **basis)
            case message.Reject(request_id, reason, retry_after_s):
                self.timeline.note(
                    "attempt_refused" if effect.message.asks_again else "shed",
                    request_id,
                    reason=reason.value,
                    retry_after_s=round(retry_after_s, 2),
                    limit_part=self._limits and round(self._limits.part, 2),
                    stands_in=self._limits and self._limits.stands_in,
                    owner=self._address,
                    **basis,
                )
            case message.Redirect(request_id, zone, reason=reason):
                self.timeline.note(
                    "spill", request_id, zone=zone, reason=reason, **basis
                )

    def _get_shard(
        self, key: message.ShardKey, now: float
    ) -> shard.ShardOwner | None:
        if key in self.shards:
            return self.shards[key]
        bundle = self.in_force.bundle if self.in_force else None
        if bundle is None or key.service not in bundle.services:
            return None
        owner = shard.ShardOwner(
            key,
            self._address,
            rules.make_rules(bundle, key),
            rules.list_backend_infos(bundle, key),
            policy.make_policy(self._options.policy),
            now,
            self._options.report_grace_s,
            self._limits,
            self._observations.speeds,
            self.content_blocker.detector,
            self._gateways,
        )
        self._apply_known_hints(owner, bundle.backend_servers, now)
        self.shards[key] = owner
        self._apply_rollout(key, owner)
        self._update_leaving_states()
        self.on_new_backends()
        return owner

    def _apply_bundle(self, in_force: acceptance.InForce) -> None:
        self.in_force = in_force
        bundle = in_force.bundle
        self._observations.discard_except(
            bundle.backend_servers, steadyclock.read()
        )
        update = peer_message.BundleUpdate(in_force.envelope)
        for session, _ in self._attached:
            if self._options.sends_bundle:
                session.send(update)
        for key, owner in list(self.shards.items()):
            if key.service not in bundle.services:
                # The servers work on, and a later bundle may bring the service
                # back.
                owner.remove_backends()
                continue
            infos = rules.list_backend_infos(bundle, key)
            new = {
                info.name
                for info in infos
                if not owner.fleet.is_configured(info.name)
            }
            owner.configure(rules.make_rules(bundle, key), infos)
            if new:
                self._apply_known_hints(owner, new, steadyclock.read())
            self._apply_rollout(key, owner)
        self._update_leaving_states()
        self.on_new_backends()
        self.timeline.note("bundle", f"generation-{bundle.generation}")
        LOG.info("bundle in force", extra={"generation": bundle.generation})

    def _apply_known_hints(
        self, owner: shard.ShardOwner, backends: Container[str], now: float
    ) -> None:
        """Gives a shard what is known of servers that are new to it."""
        for entry, hints in self._observations.list_hints(now):
            if hints.backend in backends:
                owner.fleet.apply_hints(hints, entry, now)

    def _apply_rollout(
        self, key: message.ShardKey, owner: shard.ShardOwner
    ) -> None:
        assert self.in_force is not None
        order = self.in_force.bundle.rollouts.get(key.service)
        self.rollouts.set_order(owner, order, self.owns(key))

    def _apply_view(self, view: peer_message.View) -> None:
        former = {m.vm for m in self.view.members}
        self.view = view
        self._owners.clear()
        self._update_limit_share()
        if self._claim_manager is not None:
            partitions = self._list_partitions()
            self._claim_manager.post(event.PartitionsChanged(partitions))
        for session, attached in self._attached:
            if self._is_local(attached.hello):
                session.send(view)
        present = {m.vm for m in view.members}
        # Only the changes: with hundreds of VMs, all names would take about
        # 4 KB a line.
        self.timeline.note(
            "membership",
            self._zone,
            count=len(present),
            joined=sorted(present - former),
            gone=sorted(former - present),
        )

    def _update_limit_share(self) -> None:
        """Updates this scheduler's share of limits that span all services."""
        if self._limits is not None:
            key = message.ShardKey(self._zone, "")
            is_stand_in = not self.owns(key)
            part = self._gossiper.get_limit_share(is_stand_in)
            if round(part, 2) != round(self._limits.part, 2):
                LOG.info(
                    "part of limits changed",
                    extra={
                        "limit_part": round(part, 2),
                        "stands_in": is_stand_in,
                    },
                )
            self._limits.set_part(part, is_stand_in)
            live = {member.vm for member in self.view.members}
            self._limits.set_live_entries(
                frozenset(
                    attached.hello.name
                    for _, attached in self._attached
                    if attached.hello.kind == "entry"
                    and attached.hello.vm in live
                )
            )

    def _open_own_shards(self, now: float) -> None:
        """Opens each owned shard, so that other zones learn its capacity."""
        if self.in_force is None:
            return
        for name, service in self.in_force.bundle.services.items():
            for number in range(service.shards):
                key = message.ShardKey(self._zone, name, number)
                if self.owns(key):
                    self._get_shard(key, now)

    def _list_partitions(self) -> frozenset[int]:
        return frozenset(
            number
            for number in range(claim.PARTITIONS)
            if self.owns(message.ShardKey(self._zone, claim.SERVICE, number))
        )

    def _apply_load_report(
        self, name: str, report: engine_client.LoadReport | None
    ) -> None:
        if report is None:
            for owner in self.shards.values():
                owner.fleet.note_missing_report(name)
            return
        for owner in self.shards.values():
            owner.apply_load_report(
                name,
                report.running + report.waiting,
                report.versions,
                report.step_s,
            )
        if report.leaving:
            self._reported_leaving.add(name)
        else:
            self._reported_leaving.discard(name)
        self._update_leaving_states()

    def _apply_cache_changes(
        self, name: str, changes: engine_client.CacheEvents
    ) -> None:
        for owner in self.shards.values():
            if known := owner.fleet.backends.get(name):
                known.cache.evict(changes.removed)
                known.cache.add(changes.stored)

    def _update_leaving_states(self) -> None:
        leaving = self._listed_leaving | self._reported_leaving
        for owner in self.shards.values():
            for name in owner.fleet.backends:
                is_leaving = name in leaving or not owner.fleet.is_configured(
                    name
                )
                owner.fleet.set_state(
                    name,
                    backend.BackendState.LEAVING
                    if is_leaving
                    else backend.BackendState.ACTIVE,
                )

    def _confirm_waiting(self, now: float) -> None:
        """Tells entries that this scheduler still holds their requests."""
        for owner in self.shards.values():
            for entry, count in owner.list_waiting_entries().items():
                silence_s = self._attached.get_idle_time(entry, now)
                if silence_s >= STILL_WAITING_INTERVAL_S:
                    self._send_to_entry(entry, message.StillWaiting(count))

    def _tick(self, now: float) -> None:
        for key, owner in self.shards.items():
            self.rollouts.advance(owner, self.owns(key), now)
            self._send_effects(owner.tick(now))
            self._log_usable(key, owner, now)
        if now - self._summaries_sent_at >= SUMMARY_INTERVAL_S:
            self._summaries_sent_at = now
            self._update_limit_share()
            self._exchange_summaries(now)
            self._close_idle_shards(now)
            for key in self._unusable_since.keys() - self.shards.keys():
                del self._unusable_since[key]
        if now - self._redirects_logged_at >= REDIRECT_LOG_INTERVAL_S:
            self._redirects_logged_at = now
            self._log_redirects()

    def _log_usable(
        self, key: message.ShardKey, owner: shard.ShardOwner, now: float
    ) -> None:
        """Logs when a shard has no usable backend server, and has one again."""
        if owner.fleet.has_usable:
            since = self._unusable_since.pop(key, None)
            if since is not None:
                LOG.info(
                    "backend servers are usable again",
                    extra={
                        "shard": key.format(),
                        "after_s": round(now - since, 2),
                    },
                )
        elif key not in self._unusable_since:
            self._unusable_since[key] = now
            LOG.warning(
                "no backend server is usable",
                extra={
                    "shard": key.format(),
                    **msgspec.to_builtins(owner.fleet.count_states()),
                },
            )

    def _log_redirects(self) -> None:
        """Logs how many requests were redirected since the last time."""
        for key, owner in self.shards.items():
            counts = owner.redirector.counts
            new = counts - self._redirects_logged.get(
                key, collections.Counter()
            )
            for (zone, reason), count in new.items():
                LOG.info(
                    "requests redirected",
                    extra={
                        "shard": key.format(),
                        "to_zone": zone,
                        "reason": reason.value,
                        "count": count,
                    },
                )
            self._redirects_logged[key] = counts.copy()

    def _exchange_summaries(self, now: float) -> None:
        self._put_summaries(now)
        self.apply_remote_summaries()

    def update_summaries(self) -> None:
        """Replaces the summaries of the owned shards by current ones."""
        self._put_summaries(steadyclock.read())

    def _put_summaries(self, now: float) -> None:
        mine = [
            owner.summarize(now, wallclock.read())
            for key, owner in self.shards.items()
            if self.owns(key)
        ]
        self._gossiper.summaries.put(mine, now)

    def apply_remote_summaries(self) -> None:
        """Gives each shard the newest summaries of the other zones."""
        now = steadyclock.read()
        for key, owner in self.shards.items():
            owner.set_remote_summaries(
                self._gossiper.list_remote_summaries(key, now), now
            )

    def _close_idle_shards(self, now: float) -> None:
        services = self.in_force.bundle.services if self.in_force else {}
        for key, owner in list(self.shards.items()):
            is_needed = self.owns(key) and key.service in services
            if is_needed or not owner.is_empty:
                self._empty_since.pop(key, None)
                continue
            since = self._empty_since.setdefault(key, now)
            if now - since > IDLE_SHARD_TIMEOUT_S:
                del self.shards[key]
                self._redirects_logged.pop(key, None)
                del self._empty_since[key]


def _describe_none(backend_name: str) -> dict[str, Any]:
    """Default of ``Hub.describe_record``."""
    return {}


def _do_nothing() -> None:
    """Default of on_new_backends."""

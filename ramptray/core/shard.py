"""The owner of one shard: its queue, grants, load shedding and engine state.

The owner keeps soft state only.  A new owner rebuilds it from the entries.
Two owners at the same time cost efficiency but violate no guarantee to callers.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

import msgspec
import xxhash

from ramptray.core import (
    anti_affinity,
    fleet,
    gateways,
    granting,
    limit,
    message,
    owner_effect,
    policy,
    queue,
    redirection,
    release,
    remote_shards,
    selector,
    shedding,
    summary,
    suspicion,
    wait_estimator,
)
from ramptray.core import backend as backends
from ramptray.core import rules as shard_rules

REPORT_GRACE_S = 1.0
"""Seconds that a new owner waits for a server's first load report."""


class ShardOwner:
    """Schedules the requests of one shard on its backend servers.

    Attributes:
        shard: The shard.
        counters: Numbers of decisions since this owner took over.
        fleet: Its backend servers.
        releases: Restricts requests to releases during a rollout.
        redirector: Redirects requests to other zones.
    """

    def __init__(
        self,
        shard: message.ShardKey,
        address: str,
        rules: shard_rules.ShardRules,
        infos: list[backends.BackendInfo],
        placement_policy: policy.Policy,
        now: float,
        report_grace_s: float = REPORT_GRACE_S,
        limits: limit.Limits | None = None,
        speeds: Mapping[str, message.SpeedLearned] | None = None,
        suspicions: suspicion.Suspicions | None = None,
        gateway_directory: gateways.GatewayDirectory | None = None,
    ) -> None:
        self.shard = shard
        self._gateways = gateway_directory or gateways.GatewayDirectory()
        self.fleet = fleet.Fleet(
            now + report_grace_s, speeds or {}, self._gateways
        )
        self._address = address
        self._order = _ServerOrder(address)
        self._queue = queue.ShardQueue(rules.ranks)
        self._syncing: dict[str, set[str]] = {}
        self._entries: set[str] = set()
        self._remote = remote_shards.RemoteShards(shard)
        self._limits = limits or limit.Limits(rules.limits)
        self.releases = release.ReleaseGate(
            self.fleet, placement_policy, self._limits
        )
        self._wait_estimator = wait_estimator.WaitEstimator(
            self._queue, self.fleet, self._limits
        )
        suspicions = suspicions or suspicion.NoSuspicions()
        server_selector = selector.Selector(
            self.fleet,
            placement_policy,
            self._limits,
            self.releases,
            suspicions,
        )
        self.redirector = redirection.Redirector(
            shard.zone,
            self._queue,
            self.fleet,
            server_selector,
            self._remote,
            now,
        )
        self._shedder = shedding.Shedder(
            self._queue,
            self.fleet,
            self._limits,
            self._wait_estimator,
            self.redirector,
            self._entries,
            self.releases,
            now,
        )
        self.counters = self._shedder.counters
        self._granter = granting.Granter(
            address,
            rules,
            self._queue,
            self.fleet,
            self._limits,
            server_selector,
            self._wait_estimator,
            self.releases,
            self.counters,
            anti_affinity.TrialGate(self.fleet, suspicions),
        )
        self.configure(rules, infos)

    def configure(
        self, rules: shard_rules.ShardRules, infos: list[backends.BackendInfo]
    ) -> None:
        """Applies the rules and backend servers of the bundle in force."""
        self._rules = rules
        self._granter.rules = rules
        self.releases.zones = rules.zones
        self._shedder.queue_cost = rules.queue_cost
        self._queue.set_ranks(rules.ranks)
        self._limits.set_rates(rules.limits)
        self.redirector.zones = rules.zones
        self.fleet.configure(
            sorted(infos, key=self._order.get_key), rules.version
        )

    def remove_backends(self) -> None:
        """Removes all servers; those with requests stay until these end."""
        self.fleet.configure([], self._rules.version)

    def apply_load_report(
        self,
        name: str,
        running: int,
        versions: tuple[str, ...] = (),
        step_s: float = 0.0,
    ) -> None:
        """Applies an engine's load report, which lags behind its state."""
        self.fleet.apply_load_report(
            name, running, versions, step_s, self._rules.version
        )

    def set_remote_summaries(
        self, summaries: list[summary.ShardSummary], now: float
    ) -> None:
        """Replaces the summaries of the same shard in other zones."""
        self._remote.set_summaries(summaries, now)
        self._limits.borrow(remote.uses for remote in summaries)

    def summarize(self, now: float, version: int) -> summary.ShardSummary:
        """Returns the summary of this shard for other zones.

        Args:
            now: The owner's clock in seconds.
            version: Must be larger than that of every earlier summary.
        """
        limited = (
            self._wait_estimator.get_rate_limit(now) is not None
            or self.fleet.eligibility.get_shortest_pause(
                len(self._entries), now
            )
            > 0.0
        )
        capacity = self.redirector.measure(now)
        return summary.ShardSummary(
            self.shard,
            self._address,
            0 if limited else self._rules.queue_cost,
            tuple(tier.cost for tier in self._queue.tiers),
            self.fleet.has_usable,
            version,
            self._limits.list_uses(now),
            capacity.slots,
            capacity.free_slots,
            self.redirector.list_waits(now),
            round(capacity.prefill_rate, 1),
            round(capacity.fixed_s, 4),
            round(capacity.step_s, 5),
            capacity.regions,
            releases=capacity.releases,
        )

    def holds(self, request_id: str) -> bool:
        """Returns whether a request is queued or running here."""
        return request_id in self._queue or request_id in self.fleet

    def is_waiting(self, request_id: str) -> bool:
        """Returns whether a request is queued here."""
        return request_id in self._queue

    @property
    def is_empty(self) -> bool:
        """Whether no request is queued or running."""
        return not self._queue and self.fleet.is_empty

    def _is_sole_entry(self, entry: str) -> bool:
        """Returns whether no other entry could use this shard's servers."""
        return not (self._entries - {entry} or self._gateways.has_others(entry))

    @property
    def waiting_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def list_waiting(self) -> list[int]:
        """Returns the number of queued requests of each tier."""
        return [tier.count for tier in self._queue.tiers]

    def list_shed(self, now: float) -> dict[str, int]:
        """Returns the number of recently refused requests of each tier."""
        return self._shedder.list_shed(now)

    def receive(
        self, entry: str, received: message.EntryMessage, now: float
    ) -> list[owner_effect.SendToEntry]:
        """Handles a message from an entry and returns the messages to send."""
        match received:
            case message.Enqueue(request):
                return self._enqueue(entry, request, now)
            case message.Running():
                self._handle_running(entry, received, now)
            case message.Withdraw(request_id):
                self._discard(request_id)
            case message.Decline():
                return [
                    *self._handle_decline(entry, received, now),
                    *self.grant(now),
                ]
            case message.FirstToken(request_id):
                if backend := self.fleet.find(request_id):
                    self.fleet.record_first_token(received, now)
                    return self.grant(now, [backend])
                return []
            case message.Ended(request_id):
                return self.grant(now, self._handle_ended(received, now))
            case message.SyncDone():
                self._finish_sync(entry)
            case message.SpeedLearned():
                self.fleet.apply_speed(received)
                return []
            case message.ServerHints():
                self.fleet.apply_hints(received, entry, now)
        return self.grant(now)

    def grant(
        self, now: float, only: list[backends.Backend] | None = None
    ) -> list[owner_effect.SendToEntry]:
        """Grants as many requests as fit; see ``granting.Granter.grant``."""
        granted = self._granter.grant(now, only)
        for effect in granted:
            placed = self.fleet.get_placed(effect.message.request_id)
            if placed is not None:
                self.redirector.count_grant(placed.request, now)
        return granted

    def refuse_blocked(
        self, causes: frozenset[str], left_s: float
    ) -> list[owner_effect.SendToEntry]:
        """Refuses the queued requests that a new block covers.

        Args:
            causes: What the covered requests have in common.
            left_s: Duration of the block, in seconds.
        """
        return self._shedder.refuse_blocked(causes, left_s)

    def begin_sync(self, entry: str) -> None:
        """Begins to resynchronize an entry that has attached."""
        self._syncing[entry] = self.fleet.list_requests_of_entry(entry)
        self._discard_entry(entry)

    def detach_entry(self, entry: str, now: float) -> None:
        """Drops an entry's queued requests; running ones keep their slots."""
        self._syncing.pop(entry, None)
        self._entries.discard(entry)
        self._discard_entry(entry)
        self.fleet.mark_orphaned(entry, now)

    def tick(self, now: float) -> list[owner_effect.SendToEntry]:
        """Refuses requests past their deadline and frees orphaned slots."""
        self._shedder.observe_releases(now)
        out = self._shedder.refuse_expired(now)
        self.fleet.refresh(now, self._limits.server_part)
        out += self.redirector.redirect_late(self._queue.list_all(), now)
        self._granter.demote_late(now)
        out += self._shedder.refuse_late(now)
        out += self._shedder.refuse_paused(self._queue.list_all(), now)
        self.fleet.free_orphans(now)
        return [*out, *self._shedder.spill_over(now), *self.grant(now)]

    def _enqueue(
        self, entry: str, request: message.RequestInfo, now: float
    ) -> list[owner_effect.SendToEntry]:
        self._entries.add(entry)
        self._gateways.record_silent(entry, request.silent, now)
        request_id = request.request_id
        if request_id in self._syncing.get(entry, set()):
            # The grant was lost with the entry's connection.
            self._syncing[entry].discard(request_id)
            self.fleet.free(request_id)
        placed = self.fleet.get_placed(request_id)
        if placed and placed.request.attempt < request.attempt:
            # The Ended message of the previous attempt was lost.
            self.fleet.free(request_id)
        if self.holds(request_id):
            return []
        self.counters.enqueued += 1
        if self.redirector.has_come_back(request):
            self._remote.record_silence(request.spilled_from)
        waiting = self._queue.make(request, entry, now)
        if refused := self._shedder.admit(waiting, now):
            return [refused]
        self._queue.push(waiting)
        if out := self._shedder.refuse_unreachable(waiting, now):
            return out
        if out := self.redirector.redirect_late([waiting], now, False):
            return out
        granted = self.grant(now)
        if request_id in self._queue:
            granted += self.redirector.redirect_late([waiting], now)
        paused = self._shedder.refuse_paused([waiting], now)
        return [*granted, *paused, *self._shedder.make_room(waiting, now)]

    def list_waiting_entries(self) -> dict[str, int]:
        """Returns the number of queued requests of each entry."""
        return collections.Counter(w.entry for w in self._queue.list_all())

    def _handle_running(
        self, entry: str, running: message.Running, now: float
    ) -> None:
        request_id = running.request.request_id
        self._queue.discard(request_id)
        backend = self.fleet.backends.get(running.backend)
        if backend is None or backend.info.run != running.run:
            # Either the server has restarted, which ended its requests, or this
            # run of it is not known here yet.
            return
        if placed := self.fleet.get_placed(request_id):
            placed.orphaned_at = None
            self._syncing.get(entry, set()).discard(request_id)
            return
        began_at = now - running.running_s
        self.fleet.place(running.request, backend, entry, "", began_at)

    def _handle_decline(
        self, entry: str, decline: message.Decline, now: float
    ) -> list[owner_effect.SendToEntry]:
        """Frees the slot of a declined grant and requeues the request."""
        request_id = decline.request_id
        backend = self.fleet.find(request_id)
        if backend is None:
            return []
        # A request that an entry reported as running has no grant ID here.
        own_grant_id = backend.placed[request_id].grant_id
        if own_grant_id not in ("", decline.grant_id):
            return []
        placed = self.fleet.free(request_id)
        self.counters.declined += 1
        failed = decline.unreachable or decline.avoid or decline.silent
        if placed is None:
            return []
        self._wait_estimator.count_decline(placed.request, placed.started)
        if not (decline.waits or failed):
            # The entry has moved it to another owner, which counts it.
            if not (placed.request.spilled_from or placed.request.attempt):
                self._shedder.refund(placed.request, placed.asked_at)
            return []
        self._gateways.record_silent(entry, decline.silent, now)
        self._record_gateway_failures(entry, backend, decline, now)
        if decline.unreachable:
            self.fleet.record_unreachable(
                backend, entry, now, self._is_sole_entry(entry)
            )
        request = msgspec.structs.replace(
            placed.request, avoid=decline.avoid, silent=decline.silent
        )
        waiting = self._queue.make(request, entry, placed.asked_at)
        self._queue.push_front(waiting)
        return self._shedder.refuse_unreachable(waiting, now)

    def _record_gateway_failures(
        self,
        entry: str,
        backend: backends.Backend,
        decline: message.Decline,
        now: float,
    ) -> None:
        """Records gateways that failed, and what they report of the server."""
        self._gateways.record_failures(entry, decline.failed_gateways, now)
        for address, failure in decline.failed_gateways.items():
            reporter = self._gateways.find_entry(address)
            if reporter is None:
                continue
            if failure is message.GatewayFailure.REFUSED:
                self.fleet.record_unreachable(backend, reporter, now, False)
            elif failure is message.GatewayFailure.SILENT:
                name = backend.info.name
                self._gateways.add_silent(reporter, name, now)

    def _handle_ended(
        self, ended: message.Ended, now: float
    ) -> list[backends.Backend]:
        """Returns the backend server on which a slot became free, if any."""
        if ended.request_id not in self.fleet:
            self._queue.discard(ended.request_id)
            return []
        self.releases.record_response(ended)
        placed = self.fleet.get_placed(ended.request_id)
        is_sole = placed is None or self._is_sole_entry(placed.entry)
        backend = self.fleet.end(ended, now, is_sole)
        return [backend] if backend else []

    def _finish_sync(self, entry: str) -> None:
        for request_id in self._syncing.pop(entry, set()):
            self.fleet.free(request_id)

    def _discard(self, request_id: str) -> None:
        if waiting := self._queue.discard(request_id):
            self._shedder.refund(waiting.request, waiting.counted_at)
        self.fleet.free(request_id)

    def _discard_entry(self, entry: str) -> None:
        """Drops an entry's queued requests; it sends them again if they wait.

        The limits are refunded, as an owner that is silent for a while would
        else count requests that another owner has granted.
        """
        for waiting in self._queue.discard_entry(entry):
            self._shedder.refund(waiting.request, waiting.counted_at)


class _ServerOrder:
    """Orders backend servers of equal rank differently for each owner.

    When all VMs start at once, each one owns every shard until it has found the
    others.  With a common order they would all fill the same few backend
    servers first.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        # Cached, as each new configuration sorts thousands of servers.
        self._keys: dict[str, int] = {}

    def get_key(self, info: backends.BackendInfo) -> int:
        """Returns the sort key of a backend server."""
        if info.name not in self._keys:
            key = f"{self._address}/{info.name}".encode()
            self._keys[info.name] = xxhash.xxh3_64_intdigest(key)
        return self._keys[info.name]

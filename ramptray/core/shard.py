"""The owner of one shard: queue, grants, sheds and the view of its engines.

The owner keeps soft state only.  A successor rebuilds it from the entries, and
two owners at once cost efficiency but no promise.
"""

from __future__ import annotations

import collections
import itertools
import math
from collections.abc import Mapping

import msgspec
import xxhash

from ramptray.core import backend as backends
from ramptray.core import (
    fleet,
    limit,
    message,
    meter,
    policy,
    queue,
    release,
    separation,
    summary,
)

HEADS_TRIED = 4
"""Customers whose first request is tried before a tier is left waiting."""

DRAIN_WINDOW_S = 5.0
"""Span over which the rate of grants, and what is refused, is measured, in
seconds."""

SHED_WINDOW_S = 60.0
"""Span over which sheds are counted for operators, in seconds."""

LEARN_S = 3.0
"""How long a new owner waits for word of the other zones, in seconds."""

HEAR_S = 1.0
"""How long a new owner waits for a backend server's own word, in seconds."""

MIN_RETRY_S = 0.5
"""Shortest advice on when to come back, in seconds."""

OUT_OF_REACH_RETRY_S = 1.0
"""When to come back where an entry reaches no backend server, in seconds: by
then the balancer has perhaps heard that other VMs are better placed."""

MAX_RETRY_S = 30.0
"""Longest advice on when to come back, in seconds."""


class Basis(msgspec.Struct, frozen=True):
    """What an owner knew when it decided on a request, for the logs.

    Attributes:
        waiting: Requests that waited in the shard.
        running: Requests that ran on the backend server chosen, or on all.
        places: How many may run there.
        expected_s: Seconds to the first token that were expected; None where
            no backend server was chosen.
        step_s: Seconds between two tokens that were expected; likewise.
        left_s: Seconds that were left for an answer in time; None where there
            is no objective.
        rate_limit_per_s: Requests a second that this owner may send to the
            backend server; None where nothing limits them.
    """

    waiting: int
    running: int
    places: int
    expected_s: float | None = None
    step_s: float | None = None
    left_s: float | None = None
    rate_limit_per_s: float | None = None


class ToEntry(msgspec.Struct, frozen=True):
    """Effect: send this message to the named entry."""

    entry: str
    message: message.OwnerMessage
    basis: Basis | None = None


class ShardRules(msgspec.Struct, frozen=True):
    """What the bundle says about a shard.

    Attributes:
        ranks: Rank of each tier by name; 0 is the highest.
        queue_cost: Cost that may wait, as ``queue.weigh`` counts it.
        headroom: Part of each engine's places kept for the highest tier.
        shares: Weight of each customer within a tier.
        limits: Rates of each customer in this zone.
        version: The model version to serve, as ``service@version``.
    """

    ranks: dict[str, int]
    queue_cost: int
    headroom: float
    shares: dict[str, float]
    limits: dict[str, limit.Rate]
    version: str = ""


class Counters(msgspec.Struct):
    """What the shard has done since its owner took over."""

    enqueued: int = 0
    granted: int = 0
    shed: int = 0
    redirected: int = 0
    declined: int = 0


class ShardOwner:
    """Decides who goes next, and where, for one shard.

    Attributes:
        releases: Which releases may get requests.
    """

    def __init__(
        self,
        shard: message.ShardKey,
        address: str,
        rules: ShardRules,
        infos: list[backends.BackendInfo],
        chosen: policy.Policy,
        now: float,
        hear_s: float = HEAR_S,
        limits: limit.Limits | None = None,
        speeds: Mapping[str, message.SpeedLearned] | None = None,
        is_suspect: separation.IsSuspect = separation.suspect_nobody,
    ) -> None:
        self.shard = shard
        self.counters = Counters()
        self.fleet = fleet.Fleet(now + hear_s, speeds or {})
        self._address = address
        self._policy = chosen
        self._grant_ids = itertools.count(1)
        self._queue = queue.ShardQueue(rules.ranks)
        self._syncing: dict[str, set[str]] = {}
        self._born = now
        self._shed: dict[str, meter.RateMeter] = {}
        self._drained = meter.RateMeter(DRAIN_WINDOW_S)
        self._refused = meter.RateMeter(DRAIN_WINDOW_S)
        self._refused_count = meter.RateMeter(DRAIN_WINDOW_S)
        self._elsewhere: dict[str, summary.ShardSummary] = {}
        self._limits = limits or limit.Limits(rules.limits)
        self._is_suspect = is_suspect
        self._place_keys: dict[str, int] = {}
        self.releases = release.ReleaseGate(self.fleet, chosen, self._limits)
        self.configure(rules, infos)

    # Configuration and outside views.

    def configure(
        self, rules: ShardRules, infos: list[backends.BackendInfo]
    ) -> None:
        """Takes the rules and backend servers of the bundle in force."""
        self._rules = rules
        self._queue.set_ranks(rules.ranks)
        self._limits.set_rates(rules.limits)
        self.fleet.configure(
            sorted(infos, key=self._make_place_key), rules.version
        )

    def _make_place_key(self, info: backends.BackendInfo) -> int:
        """Returns a backend server's place in this owner's own order.

        Load pattern: all VMs start at once, and each owns everything until it
        has found the others.  In one order for all they would fill the same
        few backend servers first.
        """
        # Each configuration orders thousands of servers anew.
        if info.name not in self._place_keys:
            key = f"{self._address}/{info.name}".encode()
            self._place_keys[info.name] = xxhash.xxh3_64_intdigest(key)
        return self._place_keys[info.name]

    def correct_load(
        self,
        name: str,
        running: int,
        versions: tuple[str, ...] = (),
        step_s: float = 0.0,
    ) -> None:
        """Takes an engine's lagging load report."""
        self.fleet.correct_load(
            name, running, versions, step_s, self._rules.version
        )

    def set_elsewhere(self, summaries: list[summary.ShardSummary]) -> None:
        """Takes what is known of the same shard in the other zones."""
        self._elsewhere = {found.shard.zone: found for found in summaries}
        self._limits.borrow(found.uses for found in summaries)

    def summarize(self, now: float, version: int) -> summary.ShardSummary:
        """Returns what the other zones need to know of this shard.

        Args:
            now: The owner's clock in seconds.
            version: Larger than that of every earlier summary.
        """
        limited = self._get_rate_limit(now) is not None
        return summary.ShardSummary(
            self.shard,
            self._address,
            0 if limited else self._rules.queue_cost,
            tuple(tier.cost for tier in self._queue.tiers),
            self.fleet.has_usable,
            version,
            self._limits.list_uses(now),
        )

    def holds(self, request_id: str) -> bool:
        """Tells whether a request waits or runs here."""
        return request_id in self._queue or request_id in self.fleet

    def is_waiting(self, request_id: str) -> bool:
        """Tells whether a request waits here."""
        return request_id in self._queue

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits and nothing runs."""
        return not self._queue and self.fleet.is_empty

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def list_waiting(self) -> list[int]:
        """Returns the number of waiting requests of each tier."""
        return [tier.count for tier in self._queue.tiers]

    def list_shed(self, now: float) -> dict[str, int]:
        """Returns how many requests of each tier were shed lately."""
        return {tier: shed.get_sum(now) for tier, shed in self._shed.items()}

    # Messages from entries.

    def receive(
        self, entry: str, received: message.EntryMessage, now: float
    ) -> list[ToEntry]:
        """Takes one message from an entry and returns what to send."""
        match received:
            case message.Enqueue(request):
                return self._enqueue(entry, request, now)
            case message.Running():
                self._note_running(entry, received, now)
            case message.Withdraw(request_id):
                self._forget(request_id)
            case message.Decline():
                return [
                    *self._take_back(entry, received, now),
                    *self.grant(now),
                ]
            case message.FirstToken(request_id):
                if backend := self.fleet.find(request_id):
                    self.fleet.begin_answer(received, now)
                    return self.grant(now, [backend])
                return []
            case message.Ended(request_id):
                return self.grant(now, self._end(received, now))
            case message.SyncDone():
                self._finish_sync(entry)
            case message.SpeedLearned():
                self.fleet.take_speed(received)
                return []
            case message.LimitNamed():
                self.fleet.take_limit(received)
        return self.grant(now)

    def refuse_waiting(self, content: str, left_s: float) -> list[ToEntry]:
        """Refuses what waits with a content that is blocked from now on."""
        found = [
            waiting
            for waiting in self._queue.list_all()
            if waiting.request.content == content
        ]
        for waiting in found:
            self._queue.remove(waiting)
        return [
            ToEntry(
                waiting.entry,
                message.Reject(
                    waiting.request.request_id, message.Reason.BLOCKED, left_s
                ),
                self._make_basis(),
            )
            for waiting in found
        ]

    def begin_sync(self, entry: str) -> None:
        """Notes that an entry has attached and will tell all it has."""
        self._syncing[entry] = self.fleet.list_of_entry(entry)
        self._queue.discard_entry(entry)

    def lose_entry(self, entry: str, now: float) -> None:
        """Drops what an entry had waiting; what runs keeps its place."""
        self._syncing.pop(entry, None)
        self._queue.discard_entry(entry)
        self.fleet.lose_entry(entry, now)

    def tick(self, now: float) -> list[ToEntry]:
        """Gives up what is past its deadline and frees lost places."""
        out = [
            self._reject(waiting, _get_expiry_reason(waiting, now), now)
            for waiting in self._queue.list_expired(now)
        ]
        self.fleet.refresh(now, self._limits.part)
        self._demote_late(now)
        out += self._refuse_late(now)
        self.fleet.free_orphans(now)
        return [*out, *self._send_elsewhere(now), *self.grant(now)]

    def _demote_late(self, now: float) -> None:
        """Moves requests that cannot be in time behind all that can.

        Load pattern: all backend servers name a limit at once.  Requests are
        then served at a known pace, and those beyond it are late from the
        start.
        """
        rate_per_s = self._get_rate_limit(now)
        pause_s = 1.0 / rate_per_s if rate_per_s else 0.0
        ahead = 0
        for waiting in sorted(
            self._queue.list_all(), key=lambda each: each.rank
        ):
            if waiting.is_late:
                continue
            if self._is_too_late(waiting, now, ahead * pause_s):
                self._queue.demote(waiting)
            else:
                ahead += 1

    def _get_rate_limit(self, now: float) -> float | None:
        """Returns the requests a second that this owner may send in all."""
        return self.fleet.get_rate_limit(now, self._limits.part)

    def _refuse_late(self, now: float) -> list[ToEntry]:
        """Refuses late requests at once while others wait in time.

        Load pattern: more is asked than the engines can do for some seconds.
        Late requests then wait in vain behind those that may be in time, and
        are refused in the end; sooner, their callers lose less.  What has run
        before is not refused: it may go on somewhere.
        """
        return [
            self._reject(waiting, message.Reason.OVERLOADED, now)
            for waiting in self._queue.list_behind()
            if not waiting.request.attempt
        ]

    # Decisions.

    def grant(
        self, now: float, only: list[backends.Backend] | None = None
    ) -> list[ToEntry]:
        """Grants as much as fits, highest tier first.

        Args:
            now: The owner's clock in seconds.
            only: The backend servers that have got room; None for any.
        """
        out = self._grant_at(now, only)
        if out and only is not None and self._queue:
            # Those who waited behind them may go elsewhere too.
            out += self._grant_at(now, None)
        return out

    def _grant_at(
        self, now: float, only: list[backends.Backend] | None
    ) -> list[ToEntry]:
        out: list[ToEntry] = []
        ahead: list[message.RequestInfo] = []
        for rank, tier in enumerate(self._queue.tiers):
            share = 1.0 if rank == 0 else 1.0 - self._rules.headroom
            while granted := self._grant_one(tier, share, now, only, ahead):
                out.append(granted)
            if not tier.count:
                continue
            ahead.extend(w.request for w in tier.list_heads(HEADS_TRIED))
            if len(ahead) >= HEADS_TRIED:
                break
        return out

    def _make_demand(
        self, waiting: queue.Waiting, share: float, now: float
    ) -> policy.Demand:
        return policy.Demand(
            waiting.request,
            share,
            now,
            waiting.deadline,
            waiting.late_at,
            waiting.is_late,
            self._limits.part,
        )

    def _grant_one(
        self,
        tier: queue.TierQueue,
        share: float,
        now: float,
        only: list[backends.Backend] | None,
        ahead: list[message.RequestInfo],
    ) -> ToEntry | None:
        """Grants one request of a tier, if there is a place for one.

        Args:
            tier: The tier.
            share: The part of each engine's places that it may use.
            now: The owner's clock in seconds.
            only: The backend servers that have got room; None for any.
            ahead: Waiting requests of higher tiers; the places that they may
                take are not for this one.
        """
        if not tier.count:
            return None
        self._demote_late_heads(tier, now)
        window = self._list_candidates() if only is None else only
        passed: list[queue.Waiting] = []
        for waiting in tier.list_heads(HEADS_TRIED):
            candidates = window
            if only is None and not self._policy.looks_at_all:
                candidates = self.fleet.add_holders(window, waiting.request)
            chosen = self.releases.choose(
                self._make_demand(waiting, share, now),
                self._leave_to_others(
                    self._list_fit(candidates, waiting.request), ahead
                ),
            )
            if chosen is not None:
                for other in passed:
                    other.passed_over += waiting.cost
                return self._place(tier, waiting, chosen, now)
            if waiting.is_starved:
                return None
            passed.append(waiting)
        return None

    def _list_fit(
        self, candidates: list[backends.Backend], request: message.RequestInfo
    ) -> list[backends.Backend]:
        """Returns the candidates that a request should go to."""
        usable = self.fleet.leave_out(candidates, request)
        usable = self.releases.list_open(usable)
        return separation.keep_apart(usable, request, self._is_suspect)

    def _leave_to_others(
        self,
        candidates: list[backends.Backend],
        ahead: list[message.RequestInfo],
    ) -> list[backends.Backend]:
        """Returns the candidates that no waiting request ahead may go to.

        Behind a cut, those are the backend servers on the other side.
        """
        if not ahead or not candidates:
            return candidates
        taken = {
            candidate.info.name
            for request in ahead
            for candidate in self.fleet.leave_out(candidates, request)
        }
        return [c for c in candidates if c.info.name not in taken]

    def _demote_late_heads(self, tier: queue.TierQueue, now: float) -> None:
        """Lets those pass whose answer may still begin in time."""
        while late := [
            waiting
            for waiting in tier.list_heads(HEADS_TRIED)
            if not waiting.is_late and self._is_too_late(waiting, now)
        ]:
            for waiting in late:
                self._queue.demote(waiting)

    def _is_too_late(
        self, waiting: queue.Waiting, now: float, wait_s: float = 0.0
    ) -> bool:
        """Returns whether an answer can begin in time nowhere any more.

        Args:
            waiting: The request.
            now: The owner's clock in seconds.
            wait_s: Seconds that the requests before it take at the rate limit.
        """
        if waiting.late_at == math.inf:
            return False
        demand = self._make_demand(waiting, 1.0, now)
        demand = msgspec.structs.replace(demand, wait_s=wait_s)
        fastest = self.fleet.list_fastest(waiting.request)
        return not any(self._policy.suits(demand, known) for known in fastest)

    def _list_candidates(self) -> list[backends.Backend]:
        if self._policy.looks_at_all:
            return self.fleet.list_all()
        return self.fleet.take_window()

    def _place(
        self,
        tier: queue.TierQueue,
        waiting: queue.Waiting,
        chosen: backends.Backend,
        now: float,
    ) -> ToEntry:
        request = waiting.request
        grant_id = f"{self._address}#{next(self._grant_ids)}"
        uncached = chosen.count_uncached(request)
        expected_s = chosen.estimate_first_token(uncached, now)
        self._queue.remove(waiting)
        tier.charge(waiting, self._rules.shares.get(request.customer, 1.0))
        self.fleet.place(
            request, chosen, waiting.entry, grant_id, now, waiting.since
        )
        self._drained.add(waiting.cost, now)
        self.counters.granted += 1
        self.releases.note_sent(chosen)
        return ToEntry(
            waiting.entry,
            message.Grant(
                request.request_id,
                grant_id,
                chosen.info.name,
                self._address,
                chosen.version,
                chosen.info.url,
                chosen.get_speed(),
                chosen.info.run,
                chosen.limit_per_s,
            ),
            Basis(
                len(self._queue),
                len(chosen.placed),
                chosen.info.max_running,
                round(expected_s, 4),
                round(chosen.step_s, 5),
                _get_left(waiting, now),
                chosen.get_rate_limit(now, self._limits.part),
            ),
        )

    def _enqueue(
        self, entry: str, request: message.RequestInfo, now: float
    ) -> list[ToEntry]:
        request_id = request.request_id
        if request_id in self._syncing.get(entry, set()):
            # Its grant was lost when the entry's link broke.
            self._syncing[entry].discard(request_id)
            self.fleet.free(request_id)
        placed = self.fleet.get_placed(request_id)
        if placed and placed.request.attempt < request.attempt:
            # The word that the earlier attempt has ended was lost.
            self.fleet.free(request_id)
        if self.holds(request_id):
            return []
        self.counters.enqueued += 1
        waiting = self._queue.make(request, entry, now)
        wait_s = self._check_limit(waiting, now)
        if wait_s > 0:
            self._count_shed(request.tier, now)
            return [
                ToEntry(
                    entry,
                    message.Reject(
                        request_id, message.Reason.CUSTOMER_LIMIT, wait_s
                    ),
                    self._make_basis(),
                )
            ]
        self._queue.push(waiting)
        if refused := self._refuse_out_of_reach(waiting, now):
            return refused
        granted = self.grant(now)
        return [*granted, *self._make_room(waiting, now)]

    def _check_limit(self, waiting: queue.Waiting, now: float) -> float:
        """Returns how long a request must wait for its customer's limit.

        A request that was admitted before, here or elsewhere, is not counted
        again.
        """
        request = waiting.request
        if request.spilled_from or request.attempt:
            return 0.0
        counted = _count(waiting)
        wait_s = self._limits.check(request.customer, counted, now)
        if wait_s == 0.0:
            waiting.counted_at = now
        return wait_s

    def list_waiting_entries(self) -> dict[str, int]:
        """Returns how many requests of each entry wait."""
        return collections.Counter(w.entry for w in self._queue.list_all())

    def _make_room(self, newest: queue.Waiting, now: float) -> list[ToEntry]:
        out: list[ToEntry] = []
        while self._queue.cost > self._rules.queue_cost:
            victim = self._queue.pick_victim()
            if victim is None or len(self._queue) == 1:
                break
            out.append(self._turn_away(victim, now))
        if newest.request.request_id not in self._queue:
            return out
        if self._is_hopeless(newest, now):
            reason = message.Reason.DEADLINE
            out.append(self._turn_away(newest, now, reason))
        return [*out, *self._send_elsewhere(now)]

    def _send_elsewhere(self, now: float) -> list[ToEntry]:
        """Turns everything away while no backend server is left here.

        A young owner first waits for word of the other zones.
        """
        if self.fleet.has_usable:
            return []
        is_young = now - self._born <= LEARN_S
        lowest_first = sorted(self._queue.list_all(), key=lambda w: -w.rank)
        return [
            self._turn_away(waiting, now)
            for waiting in lowest_first
            if not is_young or self._list_rooms(waiting)
        ]

    def _is_hopeless(self, waiting: queue.Waiting, now: float) -> bool:
        """Tells whether a request cannot meet its deadline.

        While a lower tier waits, a request is never refused early: it goes
        before all of them as soon as any engine has room.
        """
        if self._queue.has_lower(waiting.rank):
            return False
        return now + self._estimate_wait(waiting, now) > waiting.deadline

    def _estimate_wait(self, waiting: queue.Waiting, now: float) -> float:
        if rate_per_s := self._get_rate_limit(now):
            return self._queue.get_count_ahead(waiting) / rate_per_s
        rate = self._drained.get_rate(now)
        return self._queue.get_cost_ahead(waiting) / rate if rate else 0.0

    def _estimate_return(self, waiting: queue.Waiting, now: float) -> float:
        """Returns when a request that is refused now may be served.

        Load pattern: many are refused within a few seconds and come back.  Told
        the same short time they would meet each other again, so each is told
        how long it takes to serve all that were refused lately.
        """
        self._refused.add(waiting.cost, now)
        self._refused_count.add(1, now)
        if rate_per_s := self._get_rate_limit(now):
            ahead = self._queue.get_count_ahead(waiting)
            refused = self._refused_count.get_sum(now)
            return (ahead + refused) / rate_per_s
        rate = self._drained.get_rate(now)
        return self._refused.get_sum(now) / rate if rate else 0.0

    def _turn_away(
        self,
        waiting: queue.Waiting,
        now: float,
        reason: message.Reason = message.Reason.OVERLOADED,
    ) -> ToEntry:
        """Sends a request to a zone with room, or gives it up."""
        rooms = self._list_rooms(waiting)
        if not rooms:
            return self._reject(waiting, reason, now)
        target = min(rooms, key=lambda found: sum(found.waiting))
        self._queue.remove(waiting)
        self.counters.redirected += 1
        return ToEntry(
            waiting.entry,
            message.Redirect(
                waiting.request.request_id, target.shard.zone, target.owner
            ),
            self._make_basis(),
        )

    def _list_rooms(self, waiting: queue.Waiting) -> list[summary.ShardSummary]:
        tried = (*waiting.request.spilled_from, self.shard.zone)
        return [
            found
            for zone, found in self._elsewhere.items()
            if zone not in tried and found.has_room(waiting.rank, waiting.cost)
        ]

    def _reject(
        self, waiting: queue.Waiting, reason: message.Reason, now: float
    ) -> ToEntry:
        self._queue.remove(waiting)
        self._count_shed(waiting.request.tier, now)
        if waiting.counted_at is not None:
            self._limits.give_back(
                waiting.request.customer, _count(waiting), waiting.counted_at
            )
        if not self.fleet.has_usable:
            reason = message.Reason.NO_BACKEND
        wait_s = self._estimate_wait(waiting, now)
        least_s = MIN_RETRY_S
        if reason is message.Reason.NO_BACKEND:
            least_s = OUT_OF_REACH_RETRY_S
        wait_s = max(wait_s, self._estimate_return(waiting, now))
        retry_s = min(max(wait_s, least_s), MAX_RETRY_S)
        return ToEntry(
            waiting.entry,
            message.Reject(waiting.request.request_id, reason, retry_s),
            self._make_basis(),
        )

    def _make_basis(self) -> Basis:
        open_ones = [b for b in self.fleet.list_all() if not b.is_lost]
        return Basis(
            len(self._queue),
            sum(len(known.placed) for known in open_ones),
            sum(known.info.max_running for known in open_ones),
        )

    # Bookkeeping.

    def _count_shed(self, tier: str, now: float) -> None:
        self.counters.shed += 1
        shed = self._shed.setdefault(tier, meter.RateMeter(SHED_WINDOW_S))
        shed.add(1, now)

    def _note_running(
        self, entry: str, running: message.Running, now: float
    ) -> None:
        request_id = running.request.request_id
        self._queue.discard(request_id)
        backend = self.fleet.backends.get(running.backend)
        if backend is None or backend.info.run != running.run:
            # Of another run nothing is at work any more, or not known here.
            return
        if placed := self.fleet.get_placed(request_id):
            placed.orphaned_at = None
            self._syncing.get(entry, set()).discard(request_id)
            return
        began = now - running.running_s
        self.fleet.place(running.request, backend, entry, "", began)

    def _take_back(
        self, entry: str, decline: message.Decline, now: float
    ) -> list[ToEntry]:
        """Frees the place of a declined grant; the request waits again."""
        request_id = decline.request_id
        backend = self.fleet.find(request_id)
        if backend is None:
            return []
        # What an entry told of as running has no grant of this owner.
        known = backend.placed[request_id].grant_id
        if known not in ("", decline.grant_id):
            return []
        placed = self.fleet.free(request_id)
        self.counters.declined += 1
        failed = decline.unreachable or decline.avoid or decline.silent
        if placed is None or not failed:
            return []
        if decline.unreachable:
            backend.note_unreachable(now)
        request = msgspec.structs.replace(
            placed.request, avoid=decline.avoid, silent=decline.silent
        )
        waiting = self._queue.make(request, entry, placed.asked_at)
        self._queue.restore(waiting)
        return self._refuse_out_of_reach(waiting, now)

    def _refuse_out_of_reach(
        self, waiting: queue.Waiting, now: float
    ) -> list[ToEntry]:
        """Gives up a request whose entry can reach no backend server.

        Its caller may come back to another VM.
        """
        if not self.fleet.is_out_of_reach(waiting.request):
            return []
        return [self._turn_away(waiting, now, message.Reason.NO_BACKEND)]

    def _end(self, ended: message.Ended, now: float) -> list[backends.Backend]:
        """Returns the backend server that has got room, if any."""
        if ended.request_id not in self.fleet:
            self._queue.discard(ended.request_id)
            return []
        self.releases.judge(ended)
        backend = self.fleet.end(ended, now)
        return [backend] if backend else []

    def _finish_sync(self, entry: str) -> None:
        for request_id in self._syncing.pop(entry, set()):
            self.fleet.free(request_id)

    def _forget(self, request_id: str) -> None:
        self._queue.discard(request_id)
        self.fleet.free(request_id)


def _count(waiting: queue.Waiting) -> int:
    """Returns what a request counts against its customer's limit."""
    counted = waiting.request.limit_tokens
    return waiting.cost if counted is None else counted


def _get_left(waiting: queue.Waiting, now: float) -> float | None:
    """Returns the seconds left for an answer in time, for the logs."""
    if waiting.late_at == math.inf:
        return None
    return round(waiting.late_at - now, 4)


def _get_expiry_reason(waiting: queue.Waiting, now: float) -> message.Reason:
    """Returns why a request does not wait any longer."""
    if waiting.deadline <= now:
        return message.Reason.DEADLINE
    return message.Reason.OVERLOADED

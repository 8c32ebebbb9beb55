"""The backend servers of one shard and the requests placed on them."""

from __future__ import annotations

import heapq
import itertools
import math
import statistics
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from ramptray.core import (
    availability,
    candidate,
    eligibility,
    gateways,
    message,
    queue,
    rtt,
)
from ramptray.core import backend as backends
from ramptray.core import speed as speeds

ORPHAN_TIMEOUT_S = 30.0
"""Time after which the request of a lost entry loses its slot, in seconds."""

MAX_REMOVED = 1000
"""Largest number of removed backend servers whose state is kept."""

MAX_FASTEST = 8
"""Number of the fastest backend servers checked for a latency objective."""


class Ejection(msgspec.Struct, frozen=True):
    """A backend server that gets no requests for a while, for the logs.

    Attributes:
        backend: The backend server.
        entry: The entry whose report caused the ejection.
        ejected_s: Its length in seconds.
        failures: Number of ejections in a row.
    """

    backend: str
    entry: str
    ejected_s: float
    failures: int


class StateCounts(msgspec.Struct, frozen=True):
    """Numbers of a shard's backend servers, for the logs.

    Attributes:
        servers: All that are known.
        leaving: Those that are leaving.
        refusing: Those that were ejected several times in a row.
    """

    servers: int
    leaving: int
    refusing: int


class Fleet:
    """Keeps a shard's view of its backend servers.

    Args:
        report_due_at: Until then a backend server gets no requests before its
            first load report.
        learned: Speeds learned by earlier owners.
        gateway_directory: The entries through which others reach servers.

    Attributes:
        backends: The backend servers by name.
        eligibility: Filters the servers that a request may go to.
        common_symptoms: How requests fail on more than half of the servers.
    """

    def __init__(
        self,
        report_due_at: float,
        learned: Mapping[str, message.SpeedLearned],
        gateway_directory: gateways.GatewayDirectory | None = None,
    ) -> None:
        self.backends: dict[str, backends.Backend] = {}
        self.eligibility = eligibility.Eligibility(
            self.backends, gateway_directory
        )
        self.common_symptoms: frozenset[availability.Symptom] = frozenset()
        self._report_due_at = report_due_at
        self._speeds = dict(learned)
        self._hints: dict[str, message.ServerHints] = {}
        self._wanted: frozenset[str] = frozenset()
        self._removed: dict[str, backends.Backend] = {}
        self._backend_of: dict[str, backends.Backend] = {}
        self._line = speeds.LatencyLine()
        self._foreign = 0
        self._rtt = rtt.RttEstimator(0.0, backends.MAX_RTT_S)
        self._fastest: list[backends.Backend] = []
        self._pool = candidate.ReleasePools()
        self._holders = candidate.PrefixHolderIndex()
        self._ejections: list[Ejection] = []

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._backend_of

    @property
    def is_empty(self) -> bool:
        """Whether no request occupies a slot."""
        return not self._backend_of

    @property
    def has_usable(self) -> bool:
        """Whether any server is worth waiting for: neither leaving nor lost."""
        return any(not known.is_lost for known in self.backends.values())

    def count_states(self) -> StateCounts:
        """Returns how many backend servers are in which state."""
        known = self.backends.values()
        return StateCounts(
            len(known),
            sum(k.state is backends.BackendState.LEAVING for k in known),
            sum(k.availability.is_lost for k in known),
        )

    def configure(
        self, infos: Iterable[backends.BackendInfo], version: str
    ) -> None:
        """Sets the backend servers that may get new requests.

        Servers that are no longer listed stay until their last request ends.
        Their state is kept, as a later configuration may list them again.

        Args:
            infos: Facts on each of them from the bundle.
            version: The model version to serve.
        """
        wanted = {info.name: info for info in infos}
        self._wanted = frozenset(wanted)
        for name, info in wanted.items():
            known = self.backends.get(name)
            if known is None:
                self._replace_backend(info, self._removed.pop(name, None))
            elif not known.info.equals_except_warm_at(info):
                self._replace_backend(info, known)
            else:
                known.info = info
        for known in self.backends.values():
            known.choose_version(version)
            self._pool.update(known)
        self._hints = {n: k for n, k in self._hints.items() if n in wanted}
        for name in set(self.backends) - set(wanted):
            self._pool.discard(name)
            self.backends[name].state = backends.BackendState.LEAVING
            if not self.backends[name].placed:
                self._removed[name] = self.backends.pop(name)
        for name in list(self._removed)[:-MAX_REMOVED]:
            del self._removed[name]
        self._foreign = sum(known.foreign for known in self.backends.values())

    def is_configured(self, name: str) -> bool:
        """Returns whether the bundle lists a server for new requests."""
        return name in self._wanted

    def set_state(self, name: str, state: backends.BackendState) -> None:
        """Sets a server's state; its own hint that it is leaving prevails."""
        if known := self.backends.get(name):
            hints = self._get_hints(known.info)
            if hints and hints.is_leaving:
                state = backends.BackendState.LEAVING
            known.state = state
            self._pool.update(known)

    def apply_load_report(
        self,
        name: str,
        running: int,
        versions: tuple[str, ...],
        step_s: float,
        wanted: str,
    ) -> None:
        """Applies an engine's load report, which lags behind.

        Args:
            name: The backend server.
            running: Requests that run or wait there.
            versions: Loaded model versions.
            step_s: Seconds between two tokens; 0 if not reported.
            wanted: The model version to serve.
        """
        if known := self.backends.get(name):
            known.report_due_at = 0.0
            others = known.foreign
            known.apply_load_report(running, step_s, self._get_own_share())
            self._foreign += known.foreign - others
            known.versions = versions
            known.choose_version(wanted)
            self._pool.update(known)

    def _get_own_share(self) -> float:
        """Returns which fraction of all placed requests are this owner's."""
        own = len(self._backend_of)
        return own / (own + self._foreign) if own else 1.0

    def note_missing_report(self, name: str) -> None:
        """Lets a backend server get requests without a first load report."""
        if known := self.backends.get(name):
            known.report_due_at = 0.0
            known.own_limit = math.inf

    def apply_speed(self, learned: message.SpeedLearned) -> None:
        """Applies a speed that another owner has learned."""
        self._speeds[learned.backend] = learned
        known = self.backends.get(learned.backend)
        if known and known.info.run == learned.run:
            known.apply_speed(learned.speed)

    def apply_hints(
        self, hints: message.ServerHints, entry: str, now: float
    ) -> None:
        """Applies the hints that a backend server sends with its responses.

        Args:
            hints: The hints.
            entry: The entry that got the response, to which a pause applies.
            now: The owner's clock in seconds.
        """
        hints = hints.merge_previous(self._hints.get(hints.backend))
        self._hints[hints.backend] = hints
        known = self.backends.get(hints.backend)
        if known and known.info.run == hints.run:
            self._apply_to_backend(known, hints)
            if hints.pause_s > 0.0:
                until = now + hints.pause_s
                known.pauses.add(entry, until)
                self.eligibility.record_pause(until)

    def _apply_to_backend(
        self, known: backends.Backend, hints: message.ServerHints
    ) -> None:
        known.limit_per_s = hints.limit_per_s
        known.growth.set_max_refusals(
            hints.max_refusals_per_s, len(known.placed)
        )
        if hints.is_leaving:
            known.state = backends.BackendState.LEAVING
        self._pool.update(known)

    def _get_hints(
        self, info: backends.BackendInfo
    ) -> message.ServerHints | None:
        """Returns the hints of a backend server's current run."""
        hints = self._hints.get(info.name)
        return hints if hints and hints.run == info.run else None

    def list_all(self) -> list[backends.Backend]:
        """Returns every backend server."""
        return list(self.backends.values())

    def next_window(self) -> list[backends.Backend]:
        """Returns the next few backend servers with a free slot."""
        return self._pool.next_window()

    def add_holders(
        self, window: list[backends.Backend], request: message.RequestInfo
    ) -> list[backends.Backend]:
        """Adds the servers that may hold the request's prefix to a window.

        The window of a request that is bound to a release is one over its
        servers.
        """
        if len(window) == len(self._pool):
            return window
        if request.release is not None:
            window = self._pool.next_window(request.release)
        holders = (
            self.backends.get(name)
            for name in self._holders.find(request.prefix)
        )
        return [*(h for h in holders if h is not None), *window]

    def place(
        self,
        request: message.RequestInfo,
        chosen: backends.Backend,
        entry: str,
        grant_id: str,
        now: float,
        asked_at: float | None = None,
    ) -> None:
        """Occupies a slot on a backend server for a request.

        Args:
            request: The request.
            chosen: The backend server.
            entry: The entry that serves its caller.
            grant_id: The grant; empty if another owner granted it.
            now: Time of the placement.
            asked_at: Time at which it was queued; None for ``now``.
        """
        placed = chosen.place(request, entry, grant_id, now)
        placed.asked_at = now if asked_at is None else asked_at
        self._pool.update(chosen)
        self._holders.add(request.prefix, chosen.info.name)
        self._backend_of[request.request_id] = chosen

    def find(self, request_id: str) -> backends.Backend | None:
        """Returns the backend server on which a request is placed."""
        return self._backend_of.get(request_id)

    def get_placed(self, request_id: str) -> backends.PlacedRequest | None:
        """Returns a placed request, or None."""
        backend = self._backend_of.get(request_id)
        return backend.placed.get(request_id) if backend else None

    def record_first_token(self, first: message.FirstToken, now: float) -> None:
        """Learns from a first token, also for servers of unknown speed."""
        backend = self._backend_of[first.request_id]
        knew = backend.speed.is_learned
        backend.record_first_token(first, now)
        if backend.speed.is_learned and not knew:
            for other in self.backends.values():
                self._assume_speed(other)

    def refresh(self, now: float, part: float) -> None:
        """Updates what is derived from all servers; called at each tick.

        These are the common symptoms, trials while no server is usable, servers
        whose learned slowness is no longer trusted, and the list of the fastest
        servers, in which rate-limited ones come last.

        Args:
            now: The owner's clock in seconds.
            part: This owner's share of each limit.
        """
        self.common_symptoms = self._find_common_symptoms(now)
        self._allow_trials(now)
        self._expire_speeds(now)
        self._fastest = heapq.nsmallest(
            MAX_FASTEST,
            (known for known in self.backends.values() if known.is_open(now)),
            key=lambda known: (
                known.get_rate_wait(now, part),
                known.speed.factor,
            ),
        )

    def _allow_trials(self, now: float) -> None:
        """Tries ejected servers again sooner while there is no other one."""
        if not any(known.is_open(now) for known in self.backends.values()):
            for known in self.backends.values():
                known.availability.allow_trial(now)

    def _expire_speeds(self, now: float) -> None:
        """Stops trusting the slowness of servers that get no requests.

        Load pattern: all servers stall for a while.  Those whose estimate then
        misses the latency objectives idle, while the others are full and
        requests are refused.  A speed from another owner is trusted at first.
        """
        old: list[backends.Backend] = []
        factors: list[float] = []
        for known in self.backends.values():
            if known.used_at == float("-inf"):
                known.used_at = now
            if not known.speed.is_learned or not known.is_open(now):
                continue
            if known.has_old_speed(now):
                old.append(known)
            else:
                factors.append(known.speed.factor)
        if not (old and factors):
            return
        usual = statistics.median_low(factors)
        for known in old:
            known.speed.expire(usual)

    def _find_common_symptoms(
        self, now: float
    ) -> frozenset[availability.Symptom]:
        usable = [
            known.availability
            for known in self.backends.values()
            if not known.is_lost
        ]
        return frozenset(
            symptom
            for symptom in availability.Symptom
            if 2 * sum(each.shows(symptom, now) for each in usable)
            > len(usable)
        )

    def get_rate_limit(self, now: float, part: float) -> float | None:
        """Returns the total rate limit of all servers, in requests per second.

        Args:
            now: The owner's clock in seconds.
            part: This owner's share of each limit.

        Returns:
            The rate; None if some server has no limit, or none is usable.
        """
        rate_per_s = None
        for known in self.backends.values():
            if known.is_lost:
                continue
            limit = known.get_rate_limit(now, part)
            if limit is None:
                return None
            rate_per_s = (rate_per_s or 0.0) + limit
        return rate_per_s

    def estimate_work(self, request: message.RequestInfo) -> float:
        """Estimates how long a request occupies a slot, in seconds.

        The server has the speed of the shard's latency line; nothing is cached.
        """
        prefill_s = self._line.estimate(request.prompt_tokens)
        return prefill_s + self._get_step_s() * request.output_tokens

    def _get_step_s(self) -> float:
        """Returns the time between tokens on a server with the line's speed."""
        if self._line.step_s is not None:
            return self._line.step_s
        # The speeds may come from an earlier owner.
        known = (one.step_s / one.speed.factor for one in self._fastest)
        return next(known, speeds.DEFAULT_STEP_S)

    def estimate_capacity(self, now: float) -> float:
        """Estimates how many slots all open servers together are worth.

        Each counts by its speed relative to the shard's latency line.
        """
        return sum(
            max(0, known.info.max_running - known.foreign) / known.speed.factor
            for known in self.backends.values()
            if known.is_open(now)
        )

    def list_fastest(
        self, waiting: queue.QueuedRequest, now: float
    ) -> list[backends.Backend]:
        """Returns the fastest backend servers that a request may go to."""
        usable = self.eligibility.filter_eligible(self._fastest, waiting, now)
        return usable or self.eligibility.filter_reachable(
            self.list_all(), waiting.request
        )

    def end(
        self, ended: message.Ended, now: float, is_sole_entry: bool = True
    ) -> backends.Backend | None:
        """Frees the slot of a request that has ended.

        Args:
            ended: How the request ended.
            now: The owner's clock in seconds.
            is_sole_entry: Whether no other entry uses the shard.

        Returns:
            The backend server with the freed slot, if any.
        """
        backend = self._backend_of[ended.request_id]
        if not ended.certain:
            backend.placed[ended.request_id].orphaned_at = now
            return None
        del self._backend_of[ended.request_id]
        symptom = availability.find_symptom(
            ended.refused, ended.broken, ended.failed
        )
        placed = backend.placed[ended.request_id]
        until = backend.availability.unreachable_until
        backend.end(
            ended, now, symptom not in self.common_symptoms, is_sole_entry
        )
        self._note_ejection(backend, placed.entry, until, now)
        if ended.broken:
            self.eligibility.record_failure(now)
        self._pool.update(backend)
        return backend

    def record_unreachable(
        self,
        backend: backends.Backend,
        entry: str,
        now: float,
        is_sole_entry: bool,
    ) -> None:
        """Records that a backend server refused an entry's connection."""
        until = backend.availability.unreachable_until
        is_isolated = all(
            other.availability.refuses(entry, now)
            for other in self.backends.values()
            if other is not backend and not other.is_lost
        )
        backend.availability.record_unreachable(
            now, entry, is_sole_entry, is_isolated
        )
        self.eligibility.record_failure(now)
        self._note_ejection(backend, entry, until, now)

    def _note_ejection(
        self,
        backend: backends.Backend,
        entry: str,
        former_until: float,
        now: float,
    ) -> None:
        state = backend.availability
        if state.unreachable_until > former_until:
            ejected_s = round(state.unreachable_until - now, 2)
            self._ejections.append(
                Ejection(backend.info.name, entry, ejected_s, state.failures)
            )

    def take_ejections(self) -> list[Ejection]:
        """Returns the ejections since the last call."""
        ejections, self._ejections = self._ejections, []
        return ejections

    def free(self, request_id: str) -> backends.PlacedRequest | None:
        """Frees a request's slot, if it has one."""
        backend = self._backend_of.pop(request_id, None)
        if backend is None:
            return None
        placed = backend.remove(request_id)
        self._pool.update(backend)
        return placed

    def iterate_placed(self) -> Iterator[backends.PlacedRequest]:
        """Yields the requests placed on all servers."""
        return itertools.chain.from_iterable(
            known.placed.values() for known in self.backends.values()
        )

    def list_requests_of_entry(self, entry: str) -> set[str]:
        """Returns the placed requests of an entry."""
        return {
            request_id
            for request_id, backend in self._backend_of.items()
            if backend.placed[request_id].entry == entry
        }

    def mark_orphaned(self, entry: str, now: float) -> None:
        """Marks a lost entry's requests as orphaned; they keep their slots."""
        for known in self.backends.values():
            known.pauses.remove(entry)
        for request_id in self.list_requests_of_entry(entry):
            self._backend_of[request_id].cancel_prefill(request_id)
            placed = self._backend_of[request_id].placed[request_id]
            if placed.orphaned_at is None:
                placed.orphaned_at = now

    def free_orphans(self, now: float) -> None:
        """Frees slots of requests orphaned for ``ORPHAN_TIMEOUT_S``."""
        for request_id, backend in list(self._backend_of.items()):
            orphaned_at = backend.placed[request_id].orphaned_at
            if orphaned_at is not None and now - orphaned_at > ORPHAN_TIMEOUT_S:
                self.free(request_id)

    def _replace_backend(
        self, info: backends.BackendInfo, former: backends.Backend | None
    ) -> None:
        """Creates a new view of a backend server and moves its requests to it.

        A new run starts empty: the requests of the former run have ended.
        """
        new = backends.Backend(info, self._report_due_at, self._line, self._rtt)
        is_same_run = former is not None and former.info.run == info.run
        if former and is_same_run:
            new.inherit(former)
        learned = self._speeds.get(info.name)
        if learned and learned.run == info.run:
            new.apply_speed(learned.speed)
        if hints := self._get_hints(info):
            self._apply_to_backend(new, hints)
        self._assume_speed(new)
        self.backends[info.name] = new
        if former and not is_same_run:
            for request_id in former.placed:
                del self._backend_of[request_id]
            former = None
        for request_id, placed in (former.placed if former else {}).items():
            moved = new.place(
                placed.request, placed.entry, placed.grant_id, placed.started
            )
            moved.orphaned_at = placed.orphaned_at
            moved.asked_at = placed.asked_at
            moved.answers_since = placed.answers_since
            moved.is_tunneled = placed.is_tunneled
            self._backend_of[request_id] = new

    def _assume_speed(self, backend: backends.Backend) -> None:
        if not (backend.speed.is_learned or backend.speed.is_expired):
            backend.assume_speed_of(self.backends.values())

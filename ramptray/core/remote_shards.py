"""The same shard in other zones, as known from their summaries.

Load pattern: a region gets several times its usual load while another one is
idle.  Until the next summary, every request sent there counts against the free
slots of the last one; otherwise all requests of a burst would go to the zone
that had a few free slots when the summary was made.
"""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from ramptray.core import message, policy, queue, summary

MAX_OBJECTIVE_AGE_S = 2.0
"""Age of a summary from which on it is not used for objectives, in seconds.  It
still shows where there are usable servers."""

DELAYS_PER_REDIRECT = 4
"""One-way delays by which a redirect postpones the first event: those of the
request to the owner, the grant, the body, and the first event."""

CHOICES = 2
"""Zones among which the best one is chosen, taken at random.  Several owners
that all chose the best zone would fill the same slots (power of two
choices)."""


class _Remote(msgspec.Struct):
    """A summary, when it was made, and the requests sent there since then.

    Attributes:
        summary: The summary.
        made_at: When it was made, on this owner's clock in seconds.
        sent_at: When requests were sent there that it does not include.
        is_silent: Whether its owner has not replied to a request since then.
    """

    summary: summary.ShardSummary
    made_at: float
    sent_at: collections.deque[float]
    is_silent: bool = False


class RemoteShards:
    """Finds other zones with capacity for a request.

    Args:
        shard: The shard in this zone.
    """

    def __init__(self, shard: message.ShardKey) -> None:
        self._zone = shard.zone
        self._rng = random.Random(shard.format())
        self._remotes: dict[str, _Remote] = {}

    @property
    def has_delays(self) -> bool:
        """Whether the delay to some zone is known."""
        return any(
            remote.summary.delay_s is not None
            for remote in self._remotes.values()
        )

    def set_summaries(
        self, summaries: Iterable[summary.ShardSummary], now: float
    ) -> None:
        """Replaces the summaries with the newest one of each zone."""
        former, self._remotes = self._remotes, {}
        for new in summaries:
            delay_s = new.delay_s or 0.0
            known = former.get(new.shard.zone)
            if known is not None and known.summary.version == new.version:
                known.summary = new
                self._remotes[new.shard.zone] = known
                continue
            made_at = now - new.age_s - delay_s
            # A request reaches the other owner at least one delay after it was
            # redirected, so later ones are not included in the summary.
            sent_at = collections.deque(
                at
                for at in (known.sent_at if known else ())
                if at + delay_s > made_at
            )
            self._remotes[new.shard.zone] = _Remote(new, made_at, sent_at)

    def list_summaries(self, now: float) -> list[summary.ShardSummary]:
        """Returns the summaries with the ages that they have now."""
        return [
            msgspec.structs.replace(
                remote.summary, age_s=max(0.0, now - remote.made_at)
            )
            for remote in self._remotes.values()
        ]

    def record_redirect(self, zone: str, now: float) -> None:
        """Counts a request that was sent to a zone."""
        if remote := self._remotes.get(zone):
            remote.sent_at.append(now)

    def record_silence(self, addresses: Iterable[str]) -> None:
        """Records owners that did not reply to redirected requests.

        Until their next summaries, no request is sent there for its objective.
        """
        silent = set(addresses)
        for remote in self._remotes.values():
            if remote.summary.owner in silent:
                remote.is_silent = True

    def has_room(self, waiting: queue.QueuedRequest) -> bool:
        """Returns whether some zone would accept a request."""
        return bool(self._list_with_room(waiting))

    def pick(self, waiting: queue.QueuedRequest) -> summary.ShardSummary | None:
        """Returns the zone that would begin a response first, or None.

        Zones of unknown speed are compared by the cost of their queues.
        """
        return self._pick_best(
            self._list_with_room(waiting),
            lambda remote: (
                self._estimate_first(remote, waiting),
                float(sum(remote.summary.waiting)),
            ),
        )

    def pick_for_deadline(
        self, waiting: queue.QueuedRequest, now: float
    ) -> summary.ShardSummary | None:
        """Returns a zone with capacity that meets a request's deadline."""
        in_time = [
            remote
            for remote in self._list_with_room(waiting)
            if remote.summary.delay_s is None
            or self._is_fresh(remote, now)
            and now + self._estimate_first(remote, waiting) <= waiting.deadline
        ]
        return self._pick_best(
            in_time,
            lambda remote: (
                self._estimate_first(remote, waiting),
                float(sum(remote.summary.waiting)),
            ),
        )

    def pick_for_objective(
        self, waiting: queue.QueuedRequest, now: float
    ) -> summary.ShardSummary | None:
        """Returns a zone that meets a request's objective, or None.

        Of two such zones, it is the one where the response ends first.
        """
        in_time = [
            remote
            for remote in self._list_with_room(waiting)
            if remote.summary.delay_s is not None
            and self._is_fresh(remote, now)
            and now + self._estimate_first(remote, waiting) <= waiting.late_at
        ]
        return self._pick_best(
            in_time,
            lambda remote: (
                self._estimate_first(remote, waiting)
                + remote.summary.step_s * waiting.request.output_tokens,
            ),
        )

    def _pick_best(
        self,
        remotes: list[_Remote],
        key: Callable[[_Remote], tuple[float, ...]],
    ) -> summary.ShardSummary | None:
        if len(remotes) > CHOICES:
            remotes = self._rng.sample(remotes, CHOICES)
        best = min(remotes, key=key, default=None)
        return best.summary if best else None

    def _estimate_first(
        self, remote: _Remote, waiting: queue.QueuedRequest
    ) -> float:
        """Estimates the seconds from now to a first event from a zone.

        Returns:
            The time; infinite if the zone's speed is unknown.
        """
        found = remote.summary
        if found.prefill_rate <= 0.0:
            return math.inf
        request = waiting.request
        first_s = found.fixed_s + request.prompt_tokens / found.prefill_rate
        missing = len(remote.sent_at) + 1 - found.free_slots
        wait_s = 0.0
        if missing > 0:
            slot_s = first_s + found.step_s * request.output_tokens
            wait_s = found.get_wait(waiting.tier_rank)
            wait_s += missing * slot_s / max(1, found.slots)
        way_s = DELAYS_PER_REDIRECT * (found.delay_s or 0.0) + policy.TRANSIT_S
        return wait_s + first_s * policy.FIRST_MARGIN + way_s

    @staticmethod
    def _is_fresh(remote: _Remote, now: float) -> bool:
        is_recent = now - remote.made_at <= MAX_OBJECTIVE_AGE_S
        return is_recent and not remote.is_silent

    def _list_with_room(self, waiting: queue.QueuedRequest) -> list[_Remote]:
        excluded = (*waiting.request.spilled_from, self._zone)
        return [
            remote
            for zone, remote in self._remotes.items()
            if zone not in excluded
            and remote.summary.owner not in excluded
            and remote.summary.allows(waiting.request)
            and remote.summary.has_room(waiting.tier_rank, waiting.cost)
        ]

"""Which releases of a service may get a request while one is rolled out."""

from __future__ import annotations

from ramptray.core import backend as backends
from ramptray.core import fleet, limit, message, policy, rollout


class ReleaseGate:
    """Applies a rollout to a shard's choices and passes answers to it.

    Args:
        servers: The shard's backend servers.
        placement_policy: How they are chosen.
        limits: Whose part of what all owners share is this owner's.

    Attributes:
        rollout: The rollout that is ordered, if there is one.
    """

    def __init__(
        self,
        servers: fleet.Fleet,
        placement_policy: policy.Policy,
        limits: limit.Limits,
    ) -> None:
        self.rollout: rollout.Rollout | None = None
        self._fleet = servers
        self._policy = placement_policy
        self._limits = limits

    def set_order(
        self, order: rollout.Order | None, verdict: rollout.Verdict | None
    ) -> None:
        """Takes the rollout that is ordered, and what is known of it."""
        if order is None:
            self.rollout = None
            return
        if self.rollout is None or not order.is_same(self.rollout.order):
            self.rollout = rollout.Rollout(order)
        if verdict is not None:
            self.rollout.learn(verdict)

    def decide(self, now: float) -> None:
        """Goes on with the rollout as far as time and evidence allow."""
        if self.rollout is None:
            return
        new: list[backends.Backend] = []
        old: list[backends.Backend] = []
        for known in self._fleet.list_all():
            (new if self._is_new(known) else old).append(known)
        places = rollout.Places(
            _count_places(new),
            _count_places(old),
            sum(len(known.placed) for known in old),
        )
        self.rollout.decide(places, now)

    def filter_allowed(
        self, candidates: list[backends.Backend]
    ) -> list[backends.Backend]:
        """Returns the candidates whose release may get a request now."""
        if self.rollout is None:
            return candidates
        part = self._limits.part
        return [
            candidate
            for candidate in candidates
            if self.rollout.may_send(candidate.info.release, part)
        ]

    def choose(
        self, demand: policy.Demand, candidates: list[backends.Backend]
    ) -> backends.Backend | None:
        """Chooses a place; a release that is tried out comes first.

        By cost alone servers that nothing is known of might never be chosen,
        and nothing would be learned of the release.
        """
        tried: list[backends.Backend] = []
        if self.rollout is not None and not self.rollout.state.is_final:
            tried = [c for c in candidates if self._is_new(c)]
        chosen = self._policy.choose(demand, tried) if tried else None
        return chosen or self._policy.choose(demand, candidates)

    def count_sent(self, chosen: backends.Backend) -> None:
        """Counts a request that was granted."""
        if self.rollout is not None:
            self.rollout.note_sent(self._is_new(chosen))

    def record_answer(self, ended: message.Ended) -> None:
        """Tells the rollout how an answer went, if that says anything."""
        backend = self._fleet.find(ended.request_id)
        placed = self._fleet.get_placed(ended.request_id)
        if self.rollout is None or backend is None or placed is None:
            return
        failed = ended.failed or (ended.broken and not ended.gone)
        if not failed and not ended.whole:
            return
        later = ended.output_tokens - ended.first_tokens
        self.rollout.take(
            rollout.Answer(
                self._is_new(backend),
                placed.request.route,
                failed,
                placed.first_ratio,
                ended.decode_s / later if later > 0 else None,
            )
        )

    def _is_new(self, known: backends.Backend) -> bool:
        assert self.rollout is not None
        return known.info.release == self.rollout.order.release


def _count_places(servers: list[backends.Backend]) -> int:
    """Returns the places of those that may get work."""
    return sum(b.info.max_running for b in servers if not b.is_lost)

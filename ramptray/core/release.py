"""Selects the releases that may receive a request during a rollout."""

from __future__ import annotations

from ramptray.core import backend as backends
from ramptray.core import fleet, limit, message, policy, rollout


class ReleaseGate:
    """Applies a rollout to a shard's server choice and reports responses to it.

    Args:
        servers: The shard's backend servers.
        placement_policy: Chooses a server among the candidates.
        limits: Gives this owner's part of what all owners share.

    Attributes:
        rollout: The ordered rollout, if any.
        zones: Number of scheduling zones, whose owners share the requests that
            a release may receive beyond its share.
    """

    def __init__(
        self,
        servers: fleet.Fleet,
        placement_policy: policy.Policy,
        limits: limit.Limits,
    ) -> None:
        self.rollout: rollout.Rollout | None = None
        self.zones = 1
        self._fleet = servers
        self._policy = placement_policy
        self._limits = limits

    def set_order(
        self, order: rollout.Order | None, verdict: rollout.Verdict | None
    ) -> None:
        """Applies the ordered rollout and its known verdict, if any.

        Until a verdict of the log or a final one is known, the ordered release
        gets requests only if no other one is there.
        """
        if order is None:
            self.rollout = None
            return
        if self.rollout is None or not order.is_same(self.rollout.order):
            self.rollout = rollout.Rollout(order)
        if verdict is not None:
            self.rollout.apply_verdict(verdict)

    def advance(self, now: float) -> None:
        """Advances the rollout as far as time and evidence allow."""
        if self.rollout is None:
            return
        new: list[backends.Backend] = []
        old: list[backends.Backend] = []
        for server in self._fleet.list_all():
            (new if self._is_new(server) else old).append(server)
        capacity = rollout.Capacity(
            _count_slots(new),
            _count_slots(old),
            sum(len(server.placed) for server in old),
        )
        self.rollout.advance(capacity, now)

    def filter_allowed(
        self, candidates: list[backends.Backend]
    ) -> list[backends.Backend]:
        """Returns the candidates whose release may receive a request now."""
        if self.rollout is None:
            return candidates
        part = self._limits.part / self.zones
        # Only the ordered release can await one.
        ordered = self.rollout.order.release
        held_back = ordered if self._awaits_verdict(ordered) else None
        return [
            candidate
            for candidate in candidates
            if self.rollout.may_receive(candidate.info.release, part)
            and candidate.info.release != held_back
        ]

    def may_continue(self, release: str) -> bool:
        """Returns whether streams that a release began may go on there.

        No other release can continue them, so they are held back only if the
        release was rolled back, or if that is not known yet.
        """
        return not (
            self.is_rolled_back(release) or self._awaits_verdict(release)
        )

    def is_rolled_back(self, release: str) -> bool:
        """Returns whether a release is known to have been rolled back."""
        return self.rollout is not None and self.rollout.is_rolled_back(release)

    def choose(
        self, demand: policy.Demand, candidates: list[backends.Backend]
    ) -> backends.Backend | None:
        """Chooses a server, preferring the release that is rolled out.

        By cost alone, servers without measurements might never be chosen, and
        the rollout would get no data on the release.
        """
        new: list[backends.Backend] = []
        if self.rollout is not None and not self.rollout.state.is_final:
            new = [c for c in candidates if self._is_new(c)]
        chosen = self._policy.choose(demand, new) if new else None
        return chosen or self._policy.choose(demand, candidates)

    def count_request(self, chosen: backends.Backend) -> None:
        """Counts a granted request towards its server's release."""
        if self.rollout is not None:
            self.rollout.count_request(self._is_new(chosen))

    def record_response(self, ended: message.Ended) -> None:
        """Reports a complete or failed response to the rollout."""
        backend = self._fleet.find(ended.request_id)
        placed = self._fleet.get_placed(ended.request_id)
        if self.rollout is None or backend is None or placed is None:
            return
        failed = ended.failed or (ended.broken and not ended.gone)
        if not failed and not ended.whole:
            return
        later = ended.output_tokens - ended.first_tokens
        self.rollout.record_response(
            rollout.Response(
                self._is_new(backend),
                placed.request.route,
                failed,
                placed.first_ratio,
                ended.decode_s / later if later > 0 else None,
            )
        )

    def _awaits_verdict(self, release: str) -> bool:
        """Returns whether others serve until the verdict on a release is known.

        If the log is out of reach, they serve until it answers.
        """
        return (
            self.rollout is not None
            and self.rollout.awaits_verdict(release)
            and any(
                server.info.release != release and not server.is_lost
                for server in self._fleet.list_all()
            )
        )

    def _is_new(self, server: backends.Backend) -> bool:
        assert self.rollout is not None
        return server.info.release == self.rollout.order.release


def _count_slots(servers: list[backends.Backend]) -> int:
    """Returns the number of slots of the servers that are not lost."""
    return sum(b.info.max_running for b in servers if not b.is_lost)

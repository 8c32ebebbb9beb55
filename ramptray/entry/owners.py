"""Selects the scheduler that an entry sends a shard's requests to."""

from __future__ import annotations

import logging
from collections.abc import Iterable

import msgspec

from ramptray.core import membership, message, rtt
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 1.0
"""How long a silent scheduler is avoided at first, in seconds: about the time
in which the membership detects a failed one."""

MAX_BACKOFF_S = 8.0
"""Longest time for which a silent scheduler is avoided, in seconds."""

MIN_REPLY_TIMEOUT_S = 0.12
"""Lower bound of the timeout for a scheduler's first reply on a request, in
seconds.  In one region a round trip and the decision take a few milliseconds, a
first token a few hundred.  It also limits how long a request waits for a link
that is not open yet; the greeting of an open one gives the first sample."""

MAX_REPLY_TIMEOUT_S = 1.0
"""Upper bound of this timeout, in seconds, for schedulers that reply late.  By
then the membership has detected whether the scheduler has failed."""


class _Backoff(msgspec.Struct, frozen=True):
    """Until when a silent scheduler is avoided, and for how long in all."""

    until: float
    length_s: float


class OwnerSelector:
    """Chooses a shard's owner among the live, reachable schedulers.

    Args:
        zone: The entry's own zone.
        local: Address of the scheduler on the same VM; it is never backed off.
        shares_limits: See ``ShardKey.get_owner_key``.
        awaits_view: Whether there is no owner before the first view that lists
            a scheduler, which the local one sends when it has joined.
    """

    def __init__(
        self,
        zone: str,
        local: str,
        shares_limits: bool = False,
        awaits_view: bool = False,
    ) -> None:
        self._awaits_view = awaits_view
        self._shares_limits = shares_limits
        self.remote_members: list[membership.Member] = []
        self._zone = zone
        self._local = local
        self._members: dict[str, membership.Member] = {}
        self._down: set[str] = set()
        self._last_message_at: dict[str, float] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._reply_times: dict[str, rtt.RttEstimator] = {}
        # Cache: with hundreds of schedulers, picking the owner anew for each
        # request would cost more than the messages to it.
        self._picked_owners: dict[tuple[str, str], str | None] = {}

    def apply_view(self, view: peer_message.View) -> frozenset[str]:
        """Applies a new membership view and returns the addresses in it."""
        self._members = {m.vm: m for m in view.members}
        self._awaits_view = self._awaits_view and not self._members
        self.remote_members = view.others
        self._picked_owners.clear()
        return frozenset(m.address for m in (*view.members, *view.others))

    def mark_down(self, address: str) -> None:
        """Records that the link to a scheduler is broken."""
        self._down.add(address)
        self._picked_owners.clear()

    def mark_up(self, address: str) -> None:
        """Records that the link to a scheduler is open."""
        self._down.discard(address)
        self._picked_owners.clear()

    def remove(self, address: str) -> None:
        """Removes the state of a scheduler that has left the view."""
        self._down.discard(address)
        self._picked_owners.clear()
        self._last_message_at.pop(address, None)
        self._backoffs.pop(address, None)
        self._reply_times.pop(address, None)

    def is_down(self, address: str) -> bool:
        """Returns whether the link to a scheduler is broken."""
        return address in self._down

    def is_usable(self, address: str, now: float) -> bool:
        """Returns whether a scheduler is neither down nor avoided as silent."""
        return not (self.is_down(address) or self._is_backed_off(address, now))

    def record_message(self, address: str, now: float) -> None:
        """Records that a scheduler has sent a message; ends its backoff."""
        self._last_message_at[address] = now
        if self._backoffs.pop(address, None):
            LOG.info("owner replies again", extra={"owner": address})

    def has_replied(self, address: str) -> bool:
        """Returns whether a scheduler's reply time is known."""
        return address in self._reply_times

    def record_reply(self, address: str, delay_s: float) -> None:
        """Records how long a scheduler took for its first reply."""
        if address not in self._reply_times:
            self._reply_times[address] = rtt.RttEstimator(
                MIN_REPLY_TIMEOUT_S, MAX_REPLY_TIMEOUT_S
            )
        self._reply_times[address].observe(delay_s)

    def record_link_rtt(self, address: str, rtt_s: float) -> None:
        """Records the round trip of a new link's greeting, in seconds.

        Only the first one counts, as replies are later known better.
        """
        if address not in self._reply_times:
            self.record_reply(address, rtt_s)

    def get_rtt_s(self, address: str | None) -> float:
        """Returns a scheduler's usual reply time in seconds; 0 if unknown."""
        estimator = self._reply_times.get(address) if address else None
        return estimator.mean_s if estimator else 0.0

    def get_jitter_s(self, address: str) -> float:
        """Returns how late a scheduler's messages may be, in seconds."""
        estimator = self._reply_times.get(address)
        return estimator.jitter_s if estimator else 0.0

    def get_reply_timeout_s(self, address: str) -> float:
        """Returns a scheduler's reply timeout in seconds."""
        estimator = self._reply_times.get(address)
        return estimator.timeout_s if estimator else MIN_REPLY_TIMEOUT_S

    def get_silence_s(self, address: str, since: float, now: float) -> float:
        """Returns for how long a scheduler has been silent, in seconds.

        Args:
            address: The scheduler.
            since: When it was sent a message that it has to reply to.
            now: The entry's clock.
        """
        return now - max(since, self._last_message_at.get(address, 0.0))

    def back_off(self, address: str, now: float) -> bool:
        """Avoids a silent scheduler for a while, twice as long each time.

        Returns:
            Whether a new backoff has begun.
        """
        if address == self._local or self._is_backed_off(address, now):
            return False
        previous = self._backoffs.get(address)
        length_s = (
            min(previous.length_s * 2, MAX_BACKOFF_S)
            if previous
            else FIRST_BACKOFF_S
        )
        self._backoffs[address] = _Backoff(now + length_s, length_s)
        LOG.warning(
            "owner is silent",
            extra={"owner": address, "not_asked_for_s": length_s},
        )
        return True

    def get_availability_zone(self, address: str) -> str:
        """Returns a scheduler's availability zone; empty if it is unknown."""
        return next(
            (
                m.availability_zone
                for m in self._members.values()
                if m.address == address
            ),
            "",
        )

    def is_remote(self, address: str) -> bool:
        """Returns whether a scheduler may belong to another zone."""
        members = {member.address for member in self._members.values()}
        return address != self._local and address not in members

    def is_zone_reachable(self, zone: str) -> bool:
        """Returns whether a scheduler of another zone can be reached."""
        return any(
            member.zone == zone and member.address not in self._down
            for member in self.remote_members
        )

    def find_owner(self, shard: message.ShardKey, now: float) -> str | None:
        """Returns the address of the scheduler to use for a shard.

        While the owner is silent, the fallback is a scheduler of this VM's
        availability zone, the same one for all VMs of the zone.  If there is
        none, it is the scheduler on this VM, which knows less about the load
        caused by the other VMs but replies at once.
        """
        if self._awaits_view:
            return None
        owner = self._pick_owner(shard)
        if owner is not None and not self._is_backed_off(owner, now):
            return owner
        zone = self.get_availability_zone(self._local)
        near = [
            m
            for m in self._members.values()
            if m.availability_zone == zone
            and not self._is_backed_off(m.address, now)
        ]
        if zone and (fallback := self._pick_among(shard, near)):
            return fallback
        # Also applies while the last scheduler of a deployment leaves.
        return None if self._local in self._down else self._local

    def _pick_owner(self, shard: message.ShardKey) -> str | None:
        """Returns the owner in the shard's zone, or else in another zone."""
        key = (shard.zone, shard.get_owner_key(self._shares_limits))
        if key not in self._picked_owners:
            found = (
                self._pick_among(shard, members)
                for members in (
                    [m for m in self._members.values() if m.zone == shard.zone],
                    [m for m in self.remote_members if m.zone == shard.zone],
                    self.remote_members,
                )
            )
            self._picked_owners[key] = next(filter(None, found), None)
        return self._picked_owners[key]

    def _pick_among(
        self, shard: message.ShardKey, members: Iterable[membership.Member]
    ) -> str | None:
        """Returns the address of the shard's owner among these members."""
        usable = {
            m.vm: m.address
            for m in membership.list_strongest(
                m for m in members if m.address not in self._down
            )
        }
        name = shard.get_owner_key(self._shares_limits)
        owner = membership.pick_owner(name, list(usable))
        return None if owner is None else usable[owner]

    def _is_backed_off(self, address: str, now: float) -> bool:
        backoff = self._backoffs.get(address)
        return backoff is not None and now < backoff.until

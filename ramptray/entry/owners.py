"""Which scheduler an entry asks: live ones, reachable ones, silent ones."""

from __future__ import annotations

import logging
from collections.abc import Iterable

import msgspec

from ramptray.core import membership, message, rtt
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

FIRST_BACKOFF_S = 1.0
"""How long a silent scheduler is not asked, in seconds: about the time in which
the membership finds a dead one."""

MAX_BACKOFF_S = 8.0
"""How long a scheduler that stays silent is not asked at most, in seconds."""


MIN_REPLY_TIMEOUT_S = 0.12
"""How long a scheduler may leave a new request without a word at least, in
seconds: a round trip and its work take a few milliseconds, a first token some
hundred."""

MAX_REPLY_TIMEOUT_S = 1.0
"""The same at most, in seconds, where it has been answering late: by then the
membership has found out whether it is lost."""


class _Doubt(msgspec.Struct, frozen=True):
    """Why a scheduler is not asked for a while."""

    until: float
    length_s: float


class OwnerSelector:
    """Chooses the owner of a shard from what is known of the schedulers.

    Args:
        zone: The entry's own zone.
        local: Address of the scheduler on the same VM; it is never doubted.
        shares_limits: See ``ShardKey.get_owner_key``.
    """

    def __init__(
        self, zone: str, local: str, shares_limits: bool = False
    ) -> None:
        self._shares_limits = shares_limits
        self.remote_members: list[membership.Member] = []
        self._zone = zone
        self._local = local
        self._members: dict[str, membership.Member] = {}
        self._down: set[str] = set()
        self._heard: dict[str, float] = {}
        self._doubts: dict[str, _Doubt] = {}
        self._rtts: dict[str, rtt.RttEstimator] = {}
        # Picked among hundreds for each request, an owner would cost more than
        # the messages to it.
        self._picked: dict[tuple[str, str], str | None] = {}

    def apply_view(self, view: peer_message.View) -> frozenset[str]:
        """Takes a new view and returns the addresses in it."""
        self._members = {m.vm: m for m in view.members}
        self.remote_members = view.others
        self._picked.clear()
        return frozenset(m.address for m in (*view.members, *view.others))

    def mark_down(self, address: str) -> None:
        """Notes that the link to a scheduler is broken."""
        self._down.add(address)
        self._picked.clear()

    def mark_up(self, address: str) -> None:
        """Notes that the link to a scheduler is open."""
        self._down.discard(address)
        self._picked.clear()

    def remove(self, address: str) -> None:
        """Forgets a scheduler that is in no view any more."""
        self._down.discard(address)
        self._picked.clear()
        self._heard.pop(address, None)
        self._doubts.pop(address, None)
        self._rtts.pop(address, None)

    def is_down(self, address: str) -> bool:
        """Returns whether the link to a scheduler is broken."""
        return address in self._down

    def record_message(self, address: str, now: float) -> None:
        """Notes that a message of a scheduler has come."""
        self._heard[address] = now
        if self._doubts.pop(address, None):
            LOG.info("owner replies again", extra={"owner": address})

    def record_reply(self, address: str, delay_s: float) -> None:
        """Observes how long a scheduler took for its first reply."""
        if address not in self._rtts:
            self._rtts[address] = rtt.RttEstimator(
                MIN_REPLY_TIMEOUT_S, MAX_REPLY_TIMEOUT_S
            )
        self._rtts[address].observe(delay_s)

    def get_reply_timeout_s(self, address: str) -> float:
        """Returns after how many seconds a scheduler's answer is missing."""
        known = self._rtts.get(address)
        return known.timeout_s if known else MIN_REPLY_TIMEOUT_S

    def get_silence_s(self, address: str, since: float, now: float) -> float:
        """Returns for how long a scheduler has said nothing, in seconds.

        Args:
            address: The scheduler.
            since: When it was asked something that it has to answer.
            now: The entry's clock.
        """
        return now - max(since, self._heard.get(address, 0.0))

    def back_off(self, address: str, now: float) -> bool:
        """Asks a silent scheduler no more for a while; longer each time.

        Returns:
            Whether it was asked until now.
        """
        if address == self._local or self._is_doubted(address, now):
            return False
        former = self._doubts.get(address)
        length_s = (
            min(former.length_s * 2, MAX_BACKOFF_S)
            if former
            else FIRST_BACKOFF_S
        )
        self._doubts[address] = _Doubt(now + length_s, length_s)
        LOG.warning(
            "owner is silent",
            extra={"owner": address, "not_asked_for_s": length_s},
        )
        return True

    def get_availability_zone(self, address: str) -> str:
        """Returns where a scheduler stands; empty where that is unknown."""
        return next(
            (
                m.availability_zone
                for m in self._members.values()
                if m.address == address
            ),
            "",
        )

    def is_zone_reachable(self, zone: str) -> bool:
        """Returns whether a scheduler of another zone can be reached."""
        return any(
            member.zone == zone and member.address not in self._down
            for member in self.remote_members
        )

    def find_owner(self, shard: message.ShardKey, now: float) -> str | None:
        """Returns the address of the scheduler to ask for a shard.

        While the owner is silent one of the same availability zone stands in,
        the same for all VMs there; or else the one of the same VM, which knows
        less of the others' load, but answers at once.
        """
        owner = self._pick_first(shard)
        if owner is not None and not self._is_doubted(owner, now):
            return owner
        zone = self.get_availability_zone(self._local)
        near = [
            m
            for m in self._members.values()
            if m.availability_zone == zone
            and not self._is_doubted(m.address, now)
        ]
        if zone and (stand_in := self._pick(shard, near)):
            return stand_in
        # Also while the last scheduler of a deployment leaves.
        return None if self._local in self._down else self._local

    def _pick_first(self, shard: message.ShardKey) -> str | None:
        """Returns the owner in its own zone, or else in the others."""
        key = (shard.zone, shard.get_owner_key(self._shares_limits))
        if key not in self._picked:
            found = (
                self._pick(shard, members)
                for members in (
                    [m for m in self._members.values() if m.zone == shard.zone],
                    [m for m in self.remote_members if m.zone == shard.zone],
                    self.remote_members,
                )
            )
            self._picked[key] = next(filter(None, found), None)
        return self._picked[key]

    def _pick(
        self, shard: message.ShardKey, members: Iterable[membership.Member]
    ) -> str | None:
        """Returns the address of the owner among these members."""
        usable = {
            m.vm: m.address
            for m in membership.list_strongest(
                m for m in members if m.address not in self._down
            )
        }
        name = shard.get_owner_key(self._shares_limits)
        owner = membership.pick_owner(name, list(usable))
        return None if owner is None else usable[owner]

    def _is_doubted(self, address: str, now: float) -> bool:
        doubt = self._doubts.get(address)
        return doubt is not None and now < doubt.until

"""Known schedulers of other zones."""

from __future__ import annotations

import msgspec

from ramptray.core import membership

CONTACTS_PER_ZONE = 4
"""Maximum number of contacts kept for each other zone."""

MAX_CONTACT_AGE_S = 60.0
"""Time after which a contact without any sign of life is removed, in seconds.
It is not longer than the membership keeps dead members, as a contact that joins
its zone's membership again must not bring back a dead one."""


class _Contact(msgspec.Struct, frozen=True):
    """A contact and when it was last seen, directly or by others."""

    member: membership.Member
    seen_at: float


class Contacts:
    """A few live schedulers of each other zone.

    Args:
        zone: Zone of this scheduler, of which no contacts are kept.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._zones: dict[str, dict[str, _Contact]] = {}
        self._silent_since: dict[str, float] = {}

    def list_all(self) -> list[membership.Member]:
        """Returns the contacts of all zones."""
        return [
            contact.member
            for contacts in self._zones.values()
            for contact in contacts.values()
        ]

    def list_zones(self) -> dict[str, list[membership.Member]]:
        """Returns the contacts by zone; no zone is empty."""
        return {
            zone: [contact.member for contact in contacts.values()]
            for zone, contacts in self._zones.items()
            if contacts
        }

    def get_age(self, member: membership.Member, now: float) -> float:
        """Returns the seconds since a contact was seen; 0 if unknown."""
        contact = self._zones.get(member.zone, {}).get(member.vm)
        return max(0.0, now - contact.seen_at) if contact else 0.0

    def update(self, member: membership.Member, seen_at: float) -> None:
        """Adds, updates or removes a contact by a received member record.

        Args:
            member: The record.
            seen_at: When the scheduler was last seen by any VM.
        """
        if member.zone == self._zone:
            return
        contacts = self._zones.setdefault(member.zone, {})
        if member.state is not membership.MemberState.ALIVE:
            contacts.pop(member.vm, None)
            return
        if seen_at <= self._silent_since.get(member.address, float("-inf")):
            return
        known = contacts.get(member.vm)
        if known is not None:
            seen_at = max(seen_at, known.seen_at)
            if not member.overrides(known.member):
                member = known.member
        contacts[member.vm] = _Contact(member, seen_at)
        while len(contacts) > CONTACTS_PER_ZONE:
            oldest = min(contacts, key=lambda vm: contacts[vm].seen_at)
            del contacts[oldest]

    def remove_address(self, address: str, now: float) -> None:
        """Removes the contacts at an address that did not answer.

        Others may still list them; they are added again only after somebody
        has seen them.  The last contact of a zone stays until it expires,
        as it may be behind a network partition.
        """
        for contacts in self._zones.values():
            for vm, contact in list(contacts.items()):
                if contact.member.address == address and len(contacts) > 1:
                    del contacts[vm]
                    self._silent_since[address] = now

    def expire(self, now: float) -> None:
        """Removes the contacts that were not seen for long."""
        for contacts in self._zones.values():
            for vm, contact in list(contacts.items()):
                if now - contact.seen_at > MAX_CONTACT_AGE_S:
                    del contacts[vm]
        self._silent_since = {
            address: since
            for address, since in self._silent_since.items()
            if now - since <= MAX_CONTACT_AGE_S
        }

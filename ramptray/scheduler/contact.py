"""Known schedulers of other zones."""

from __future__ import annotations

from ramptray.core import membership

CONTACTS_PER_ZONE = 4
"""Maximum number of contacts kept for each other zone."""


class Contacts:
    """A few live schedulers of each other zone.

    Args:
        zone: Zone of this scheduler, of which no contacts are kept.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._zones: dict[str, dict[str, membership.Member]] = {}

    def list_all(self) -> list[membership.Member]:
        """Returns the contacts of all zones."""
        return [
            member
            for members in self._zones.values()
            for member in members.values()
        ]

    def update(self, member: membership.Member) -> None:
        """Adds, updates or removes a contact by a received member record."""
        if member.zone == self._zone:
            return
        contacts = self._zones.setdefault(member.zone, {})
        if member.state is not membership.MemberState.ALIVE:
            contacts.pop(member.vm, None)
            return
        known = contacts.get(member.vm)
        if known is None or member.overrides(known):
            contacts[member.vm] = member
        while len(contacts) > CONTACTS_PER_ZONE:
            contacts.pop(next(iter(contacts)))

    def remove_address(self, address: str) -> None:
        """Removes the contacts at an address that did not answer."""
        for contacts in self._zones.values():
            for vm, member in list(contacts.items()):
                if member.address == address:
                    del contacts[vm]

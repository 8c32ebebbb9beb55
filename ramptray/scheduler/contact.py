"""Schedulers of other zones that a scheduler keeps in touch with."""

from __future__ import annotations

from ramptray.core import membership

CONTACTS_PER_ZONE = 4
"""Schedulers of each other zone that are remembered."""


class Contacts:
    """A few live schedulers of each other zone.

    Args:
        zone: The own zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._zones: dict[str, dict[str, membership.Member]] = {}

    def list_all(self) -> list[membership.Member]:
        """Returns all of them."""
        return [
            member
            for members in self._zones.values()
            for member in members.values()
        ]

    def update(self, member: membership.Member) -> None:
        """Takes what was told of a scheduler of any zone."""
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
        """Forgets whoever did not answer at an address."""
        for contacts in self._zones.values():
            for vm, member in list(contacts.items()):
                if member.address == address:
                    del contacts[vm]

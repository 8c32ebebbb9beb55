"""Requests that run at backend servers which the configuration does not list.

A server whose service or record is removed works on what it has.  An owner that
learns of such requests only then counts them once the server is listed again;
otherwise it would send the server more than it has slots for.
"""

from __future__ import annotations

import msgspec

from ramptray.core import fleet, message

MAX_UNPLACED = 5000
"""Limit of the requests that are kept."""


class UnplacedRequest(msgspec.Struct, frozen=True):
    """A request that runs at a server which is not listed.

    Attributes:
        entry: The entry that serves its caller.
        running: The entry's message.
        received_at: When it was received, on the owner's clock in seconds.
        lost_at: When the entry was lost, on the same clock; None if it is
            attached.
    """

    entry: str
    running: message.Running
    received_at: float
    lost_at: float | None = None

    def make_message(self, now: float) -> message.Running:
        """Returns the message as the entry would send it now."""
        running_s = self.running.running_s + now - self.received_at
        return msgspec.structs.replace(self.running, running_s=running_s)

    def is_expired(self, now: float) -> bool:
        """Returns whether its slot would be free, as its entry was lost."""
        return (
            self.lost_at is not None
            and now - self.lost_at > fleet.ORPHAN_TIMEOUT_S
        )


class UnplacedRequests:
    """Keeps such requests until they end or their servers are listed."""

    def __init__(self) -> None:
        self._kept: dict[str, UnplacedRequest] = {}

    def add(self, request: UnplacedRequest) -> None:
        """Adds a request if there is room."""
        if len(self._kept) < MAX_UNPLACED:
            self._kept[request.running.request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Removes a request that has ended or waits again."""
        self._kept.pop(request_id, None)

    def remove_entry(self, entry: str) -> None:
        """Removes the requests of an entry, which sends them again."""
        self._kept = {
            name: each
            for name, each in self._kept.items()
            if each.entry != entry
        }

    def mark_lost(self, entry: str, now: float) -> None:
        """Marks the requests of an entry that is lost."""
        for name, each in self._kept.items():
            if each.entry == entry:
                self._kept[name] = msgspec.structs.replace(each, lost_at=now)

    def take(self, now: float) -> list[UnplacedRequest]:
        """Removes and returns all requests but those that have expired."""
        kept, self._kept = self._kept, {}
        return [each for each in kept.values() if not each.is_expired(now)]

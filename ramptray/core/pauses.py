"""Pauses that a backend server has asked of entries, and the return from them.

Load pattern: a server turns requests away and asks each entry for a pause, and
all that has waited meanwhile would reach it in the moment when the pause ends.
So one request of the entry first tries whether the server takes work again.
"""

from __future__ import annotations


class Pauses:
    """The pauses of one backend server, by entry."""

    __slots__ = ("_trials", "_until")

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._trials: dict[str, str] = {}

    def take(self, entry: str, until: float) -> None:
        """Takes a pause; the longest one in force holds.

        Args:
            entry: The entry that got the answer.
            until: When it ends, on the owner's clock in seconds.
        """
        self._until[entry] = max(until, self._until.get(entry, until))

    def get_remaining_s(self, entry: str, now: float) -> float:
        """Returns the seconds until an entry may send there, 0 for now."""
        if not self._until:
            return 0.0
        return max(0.0, self._until.get(entry, now) - now)

    def allows(self, entry: str, now: float) -> bool:
        """Returns whether an entry may send one more request there now."""
        if not self._until or entry not in self._until:
            return True
        return self._until[entry] <= now and entry not in self._trials

    def note_sent(self, entry: str, request_id: str, sent_at: float) -> None:
        """Notes a request; the first one after a pause is a trial."""
        until = self._until.get(entry)
        if until is not None and until <= sent_at:
            self._trials.setdefault(entry, request_id)

    def note_answer(self, entry: str, request_id: str, now: float) -> None:
        """Notes that an answer has begun, which ends a trial well.

        A pause that was asked for during the trial stays in force.
        """
        if self._trials.get(entry) != request_id:
            return
        del self._trials[entry]
        if self._until[entry] <= now:
            del self._until[entry]

    def note_end(self, entry: str, request_id: str) -> None:
        """Notes that a request has ended, which ends its trial."""
        if self._trials.get(entry) == request_id:
            del self._trials[entry]

    def forget(self, entry: str) -> None:
        """Forgets the pause of an entry."""
        self._until.pop(entry, None)
        self._trials.pop(entry, None)

    def get_earliest_end(self, entries: int, now: float) -> float:
        """Returns the seconds until some entry may send there, 0 for now.

        Args:
            entries: How many entries ask for this server.
            now: The owner's clock in seconds.
        """
        left = [until - now for until in self._until.values() if until > now]
        return min(left) if left and len(left) >= entries else 0.0

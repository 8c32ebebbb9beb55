"""Pauses that a backend server has requested from entries.

Load pattern: a server refuses requests and asks each entry for a pause.  All
requests queued meanwhile would reach it the moment the pause ends, so the entry
first sends a single trial request.
"""

from __future__ import annotations


class Pauses:
    """The pauses of one backend server, by entry."""

    __slots__ = ("_trials", "_until")

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._trials: dict[str, str] = {}

    def add(self, entry: str, until: float) -> None:
        """Adds a pause; overlapping pauses end with the latest.

        Args:
            entry: The entry that got the response.
            until: End of the pause, on the owner's clock in seconds.
        """
        self._until[entry] = max(until, self._until.get(entry, until))

    def get_remaining_s(self, entry: str, now: float) -> float:
        """Returns the seconds until the end of an entry's pause, or 0."""
        if not self._until:
            return 0.0
        return max(0.0, self._until.get(entry, now) - now)

    def may_send(self, entry: str, now: float) -> bool:
        """Returns whether an entry may send another request now."""
        if not self._until or entry not in self._until:
            return True
        return self._until[entry] <= now and entry not in self._trials

    def record_sent(self, entry: str, request_id: str, sent_at: float) -> None:
        """Records a sent request; the first one after a pause is a trial."""
        until = self._until.get(entry)
        if until is not None and until <= sent_at:
            self._trials.setdefault(entry, request_id)

    def record_response_start(
        self, entry: str, request_id: str, now: float
    ) -> None:
        """Records the start of a response, with which a trial succeeds.

        A pause requested during the trial stays in force.
        """
        if self._trials.get(entry) != request_id:
            return
        del self._trials[entry]
        if self._until[entry] <= now:
            del self._until[entry]

    def record_end(self, entry: str, request_id: str) -> None:
        """Records the end of a request, which also ends its trial."""
        if self._trials.get(entry) == request_id:
            del self._trials[entry]

    def remove(self, entry: str) -> None:
        """Removes the pause and the trial of an entry."""
        self._until.pop(entry, None)
        self._trials.pop(entry, None)

    def get_earliest_end(self, entries: int, now: float) -> float:
        """Returns the seconds until any entry may send to the server.

        Args:
            entries: Number of entries that use the server; if some of them has
                no pause, the result is 0.
            now: The owner's clock in seconds.
        """
        left = [until - now for until in self._until.values() if until > now]
        return min(left) if left and len(left) >= entries else 0.0

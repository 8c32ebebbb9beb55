"""Registry of the processes attached to a scheduler."""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

from ramptray.core import message
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message


class AttachedProcess(msgspec.Struct):
    """The state of an attached process."""

    hello: peer_message.Hello
    generation: int = 0
    holds_lease: bool = False


class AttachedProcesses:
    """Tracks the session of each attached process, and entries by name.

    A session is open before its process has sent its Hello.
    """

    def __init__(self) -> None:
        self._sessions: dict[peer_link.Session, AttachedProcess | None] = {}
        self._entries: dict[str, peer_link.Session] = {}
        self._sent_at: dict[str, float] = {}

    def __iter__(self) -> Iterator[tuple[peer_link.Session, AttachedProcess]]:
        """Iterates over the processes that have sent their Hello."""
        for session, attached in self._sessions.items():
            if attached is not None:
                yield session, attached

    def open(self, session: peer_link.Session) -> None:
        """Adds a session whose process has not sent its Hello yet."""
        self._sessions[session] = None

    def get(self, session: peer_link.Session) -> AttachedProcess | None:
        """Returns the process of a session, if it has sent its Hello."""
        return self._sessions.get(session)

    def add(
        self, session: peer_link.Session, hello: peer_message.Hello
    ) -> None:
        """Adds a process that has sent its Hello."""
        self._sessions[session] = AttachedProcess(hello)

    def add_entry(self, session: peer_link.Session, name: str) -> None:
        """Adds an entry's session and closes its previous one, if any."""
        previous = self._entries.get(name)
        self._entries[name] = session
        if previous is not None:
            previous.close()

    def remove(self, session: peer_link.Session) -> str | None:
        """Removes a session.

        Returns:
            The name of the entry that is disconnected by it; None if the
            session belonged to no entry, or if the entry has a newer session.
        """
        attached = self._sessions.pop(session, None)
        if attached is None:
            return None
        name = attached.hello.name
        if self._entries.get(name) is not session:
            return None
        del self._entries[name]
        self._sent_at.pop(name, None)
        return name

    def send(
        self,
        entry: str,
        sent: message.OwnerMessage | message.Queued | message.StillWaiting,
        now: float,
    ) -> None:
        """Sends a message to an entry, if it is attached."""
        session = self._entries.get(entry)
        if session is not None:
            session.send(sent)
            self._sent_at[entry] = now

    def get_idle_time(self, entry: str, now: float) -> float:
        """Returns the seconds since the last message sent to an entry."""
        return now - self._sent_at.get(entry, -math.inf)

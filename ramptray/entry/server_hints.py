"""Hints of backend servers: what they say of themselves in their answers.

Hints are sent to a scheduler ahead of the next request on the same link, so
that no request is granted there without them.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Iterable

import msgspec

from ramptray.core import message

LOG = logging.getLogger(__name__)

MAX_PAUSE_S = 600.0
"""Longest pause that is kept where the settings name no other, in seconds."""

LEAVING_RETENTION_S = 600.0
"""How long a leaving backend server is remembered after it has gone from the
configuration, in seconds: an older copy of the store may bring it back."""


class UnusableReason(enum.Enum):
    """Why nothing may be sent to a backend server now."""

    LEAVING = "leaving"
    PAUSED = "paused"


class HeadReceived(msgspec.Struct, frozen=True):
    """The head of a backend server's answer has arrived.

    Attributes:
        request_id: The request.
        backend: The backend server.
        run: Which of its runs, see ``message.Grant``.
        limit_per_s: The request limit that it names; None for none.
        is_leaving: Whether it says that it is leaving.
        pause_s: Seconds for which it wants nothing from this VM; None where it
            does not say.
        owner: Address of the scheduler that granted the attempt.
        granted_limit_per_s: The request limit that this scheduler applied.
    """

    request_id: str
    backend: str
    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    owner: str = ""
    granted_limit_per_s: float | None = None


class _Hints(msgspec.Struct):
    """What a backend server has said in one of its runs.

    Attributes:
        run: The run.
        limit_per_s: Its request limit; None for none.
        is_leaving: Whether it is leaving; final for the run.
        paused_until: When its pause ends, on the entry's clock.
        last_listed_at: When it was last seen in the configuration, likewise.
    """

    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    paused_until: float = 0.0
    last_listed_at: float = 0.0

    def is_needed(self, now: float) -> bool:
        """Returns whether it still says anything."""
        return (
            self.limit_per_s is not None
            or self.is_leaving
            or self.paused_until > now
        )

    def outlasts_record(self, now: float) -> bool:
        """Returns whether it binds while the configuration lacks the server.

        The server's record may lapse or come back in an older copy.
        """
        lately = now - self.last_listed_at < LEAVING_RETENTION_S
        return self.paused_until > now or (self.is_leaving and lately)


class ServerHintStore:
    """Keeps the hints of each backend server and passes them on.

    Args:
        send: Sends a message to a scheduler, by its address.
        list_links: Returns the schedulers that this entry is attached to.
        longest_pause_s: Longest pause that is kept, in seconds.
    """

    def __init__(
        self,
        send: Callable[[str, message.ServerHints], None],
        list_links: Callable[[], Iterable[str]],
        longest_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        self._known: dict[str, _Hints] = {}
        self._send = send
        self._list_links = list_links
        self._longest_pause_s = longest_pause_s

    def count_limited(self) -> int:
        """Returns how many backend servers name a request limit."""
        return sum(k.limit_per_s is not None for k in self._known.values())

    def count_leaving(self) -> int:
        """Returns how many backend servers have said that they are leaving."""
        return sum(known.is_leaving for known in self._known.values())

    def count_paused(self, now: float) -> int:
        """Returns how many backend servers have asked for a pause."""
        return sum(known.paused_until > now for known in self._known.values())

    def observe(self, received: HeadReceived, now: float) -> None:
        """Takes what an answer says of its backend server."""
        known = self._get(received.backend, received.run)
        known.last_listed_at = now
        changed = [
            self._take_limit(known, received),
            self._take_leaving(known, received),
            self._take_pause(known, received, now),
        ]
        if known.is_needed(now):
            self._known[received.backend] = known
        else:
            self._known.pop(received.backend, None)
        hints = _make_message(received.backend, known, now)
        if any(changed):
            for address in set(self._list_links()):
                self._send(address, hints)
        elif known.limit_per_s != received.granted_limit_per_s:
            # The owner missed it, or an older answer reached it last.
            self._send(received.owner, hints)

    def find_unusable_reason(
        self, backend: str, run: int, now: float
    ) -> UnusableReason | None:
        """Returns why nothing may be sent to a backend server; None if it may.

        Args:
            backend: The backend server.
            run: Which of its runs.
            now: The entry's clock.
        """
        known = self._known.get(backend)
        if known is None or known.run != run:
            return None
        if known.is_leaving:
            return UnusableReason.LEAVING
        return UnusableReason.PAUSED if known.paused_until > now else None

    def send_one(self, address: str, backend: str, now: float) -> None:
        """Sends a scheduler what is known here of a backend server."""
        if known := self._known.get(backend):
            self._send(address, _make_message(backend, known, now))

    def send_all(self, address: str, now: float) -> None:
        """Sends a scheduler all hints that are known here."""
        for backend in self._known:
            self.send_one(address, backend, now)

    def discard_except(self, backends: Iterable[str], now: float) -> None:
        """Drops the hints of all other backend servers."""
        if not self._known:
            return
        listed = set(backends)
        for backend, known in list(self._known.items()):
            if backend in listed:
                known.last_listed_at = now
            elif not known.outlasts_record(now):
                del self._known[backend]

    def _get(self, backend: str, run: int) -> _Hints:
        known = self._known.get(backend)
        if known is None or known.run != run:
            return _Hints(run)
        return known

    def _take_limit(self, known: _Hints, received: HeadReceived) -> bool:
        """Takes the request limit; returns whether it has changed."""
        former_per_s = known.limit_per_s
        if received.limit_per_s == former_per_s:
            return False
        known.limit_per_s = received.limit_per_s
        _log(
            "server limit changed",
            received,
            limit_per_s=received.limit_per_s,
            former_per_s=former_per_s,
        )
        return True

    def _take_leaving(self, known: _Hints, received: HeadReceived) -> bool:
        """Takes that it is leaving; returns whether that is new."""
        if known.is_leaving or not received.is_leaving:
            return False
        known.is_leaving = True
        _log("server is leaving", received)
        return True

    def _take_pause(
        self, known: _Hints, received: HeadReceived, now: float
    ) -> bool:
        """Takes the pause that it asks for; returns whether it ends later."""
        if not received.pause_s:
            return False
        pause_s = min(received.pause_s, self._longest_pause_s)
        if now + pause_s <= known.paused_until:
            return False
        left_s = max(0.0, known.paused_until - now)
        known.paused_until = now + pause_s
        _log(
            "server asks for a pause",
            received,
            pause_s=pause_s,
            asked_s=received.pause_s,
            former_left_s=round(left_s, 3),
        )
        return True


def _make_message(
    backend: str, known: _Hints, now: float
) -> message.ServerHints:
    return message.ServerHints(
        backend,
        known.run,
        known.limit_per_s,
        known.is_leaving,
        max(0.0, known.paused_until - now),
    )


def _log(text: str, received: HeadReceived, **inputs: object) -> None:
    LOG.info(
        text,
        extra={
            "backend": received.backend,
            "run": received.run,
            "request_id": received.request_id,
            **inputs,
        },
    )

"""Hints that backend servers give about themselves in response headers.

Hints are sent to a scheduler before the next request on the same link, so the
scheduler always applies them when it grants that request.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Iterable

import msgspec

from ramptray.core import message, retention

LOG = logging.getLogger(__name__)

MAX_PAUSE_S = 600.0
"""Default of the longest pause that is applied, in seconds."""


class UnusableReason(enum.Enum):
    """Why no request may be sent to a backend server now."""

    LEAVING = "leaving"
    PAUSED = "paused"


class HeadReceived(msgspec.Struct, frozen=True):
    """The head of a backend server's response has arrived.

    Attributes:
        request_id: The request.
        backend: The backend server.
        run: Which of its runs, see ``message.Grant``.
        limit_per_s: The request limit in the response; None for none.
        is_leaving: Whether the server reports that it is leaving.
        pause_s: Seconds for which the server asks this VM to send no requests;
            None if it does not ask.
        owner: Address of the scheduler that granted the attempt.
        granted_limit_per_s: The request limit that this scheduler applied.
        max_refusals_per_s: Refusals in a second that the server survives; None
            if it names no number.
    """

    request_id: str
    backend: str
    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    owner: str = ""
    granted_limit_per_s: float | None = None
    max_refusals_per_s: float | None = None


class _Hints(msgspec.Struct):
    """Hints that a backend server has given in one of its runs.

    Attributes:
        run: The run.
        limit_per_s: Its request limit; None for none.
        is_leaving: Whether it is leaving; never reset within a run.
        paused_until: When its pause ends, on the entry's clock.
        max_refusals_per_s: Refusals in a second that it survives; None if it
            names no number.
    """

    run: int
    limit_per_s: float | None = None
    is_leaving: bool = False
    paused_until: float = 0.0
    max_refusals_per_s: float | None = None

    def is_needed(self, now: float) -> bool:
        """Returns whether any of the hints still applies."""
        return (
            self.limit_per_s is not None
            or self.max_refusals_per_s is not None
            or self.is_leaving
            or self.paused_until > now
        )


class ServerHintStore:
    """Stores the hints of each backend server and sends them to schedulers.

    Args:
        send: Sends a message to a scheduler, by its address.
        list_schedulers: Returns the addresses of the schedulers that this entry
            is attached to.
        longest_pause_s: Longer pauses are cut to this, in seconds.
    """

    def __init__(
        self,
        send: Callable[[str, message.ServerHints], None],
        list_schedulers: Callable[[], Iterable[str]],
        longest_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        self._hints: dict[str, _Hints] = {}
        self._retention = retention.ServerRetention()
        self._send = send
        self._list_schedulers = list_schedulers
        self._longest_pause_s = longest_pause_s

    def count_limited(self) -> int:
        """Returns how many backend servers have set a request limit."""
        return sum(
            hints.limit_per_s is not None for hints in self._hints.values()
        )

    def count_brittle(self) -> int:
        """Returns how many backend servers survive few refusals."""
        return sum(
            hints.max_refusals_per_s is not None
            for hints in self._hints.values()
        )

    def count_leaving(self) -> int:
        """Returns how many backend servers have reported that they leave."""
        return sum(hints.is_leaving for hints in self._hints.values())

    def count_paused(self, now: float) -> int:
        """Returns how many backend servers have asked for a pause."""
        return sum(hints.paused_until > now for hints in self._hints.values())

    def observe(self, received: HeadReceived, now: float) -> None:
        """Applies the hints of a response and sends changes to schedulers.

        Those of a run before the one that is known are outdated.
        """
        known = self._hints.get(received.backend)
        if known is not None and 0 < received.run < known.run:
            return
        hints = self._get(received.backend, received.run)
        self._retention.renew(received.backend)
        changed = [
            self._apply_limit(hints, received),
            self._apply_max_refusals(hints, received),
            self._apply_leaving(hints, received),
            self._apply_pause(hints, received, now),
        ]
        if hints.is_needed(now):
            self._hints[received.backend] = hints
        else:
            self._hints.pop(received.backend, None)
        body = _make_message(received.backend, hints, now)
        if any(changed):
            for address in set(self._list_schedulers()):
                self._send(address, body)
        elif hints.limit_per_s != received.granted_limit_per_s:
            # The owner missed the limit, or received that of an older response
            # last.
            self._send(received.owner, body)

    def find_unusable_reason(
        self, backend: str, run: int, now: float
    ) -> UnusableReason | None:
        """Returns why no request may be sent to a server; None if one may.

        Args:
            backend: The backend server.
            run: Which of its runs.
            now: The entry's clock.
        """
        hints = self._hints.get(backend)
        if hints is None or hints.run != run:
            return None
        if hints.is_leaving:
            return UnusableReason.LEAVING
        return UnusableReason.PAUSED if hints.paused_until > now else None

    def send_one(self, address: str, backend: str, now: float) -> None:
        """Sends a scheduler the hints of a backend server, if there are any."""
        if hints := self._hints.get(backend):
            self._send(address, _make_message(backend, hints, now))

    def send_all(self, address: str, now: float) -> None:
        """Sends a scheduler the hints of all backend servers."""
        for backend in self._hints:
            self.send_one(address, backend, now)

    def discard_except(self, backends: Iterable[str], now: float) -> None:
        """Discards hints of servers that have not been configured for long.

        Args:
            backends: The backend servers of the configuration.
            now: The entry's clock.
        """
        if not self._hints:
            return
        for backend in self._retention.find_expired(
            self._hints, set(backends), now
        ):
            if self._hints[backend].paused_until <= now:
                del self._hints[backend]

    def _get(self, backend: str, run: int) -> _Hints:
        hints = self._hints.get(backend)
        if hints is None or hints.run != run:
            return _Hints(run)
        return hints

    def _apply_limit(self, hints: _Hints, received: HeadReceived) -> bool:
        """Applies the request limit; returns whether it has changed."""
        former_per_s = hints.limit_per_s
        if received.limit_per_s == former_per_s:
            return False
        hints.limit_per_s = received.limit_per_s
        _log(
            "server limit changed",
            received,
            limit_per_s=received.limit_per_s,
            former_per_s=former_per_s,
        )
        return True

    def _apply_max_refusals(
        self, hints: _Hints, received: HeadReceived
    ) -> bool:
        """Applies the survived refusals; returns whether they have changed."""
        if received.max_refusals_per_s == hints.max_refusals_per_s:
            return False
        hints.max_refusals_per_s = received.max_refusals_per_s
        _log(
            "server survives few refusals"
            if received.max_refusals_per_s is not None
            else "refusals of a server do not matter any more",
            received,
            max_refusals_per_s=received.max_refusals_per_s,
        )
        return True

    def _apply_leaving(self, hints: _Hints, received: HeadReceived) -> bool:
        """Applies that the server is leaving; returns whether that is new."""
        if hints.is_leaving or not received.is_leaving:
            return False
        hints.is_leaving = True
        _log("server is leaving", received)
        return True

    def _apply_pause(
        self, hints: _Hints, received: HeadReceived, now: float
    ) -> bool:
        """Applies a requested pause; returns whether it ends later."""
        if not received.pause_s:
            return False
        pause_s = min(received.pause_s, self._longest_pause_s)
        if now + pause_s <= hints.paused_until:
            return False
        left_s = max(0.0, hints.paused_until - now)
        hints.paused_until = now + pause_s
        _log(
            "server asks for a pause",
            received,
            pause_s=pause_s,
            asked_s=received.pause_s,
            former_left_s=round(left_s, 3),
        )
        return True


def _make_message(
    backend: str, hints: _Hints, now: float
) -> message.ServerHints:
    return message.ServerHints(
        backend,
        hints.run,
        hints.limit_per_s,
        hints.is_leaving,
        max(0.0, hints.paused_until - now),
        hints.max_refusals_per_s,
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

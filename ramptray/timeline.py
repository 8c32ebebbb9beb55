"""A bounded ring of typed events, ordered over processes by their clocks."""

from __future__ import annotations

import collections
import itertools
from typing import Any

from ramptray.core import clock

RING_EVENTS = 20_000
"""Events a process keeps."""


class Timeline:
    """The latest events of one process.

    Attributes:
        enabled: Whether events are kept at all.
    """

    def __init__(
        self, process: str, zone: str, hybrid_clock: clock.HybridClock
    ) -> None:
        self.enabled = True
        self._process = process
        self._zone = zone
        self._clock = hybrid_clock
        self._ring: collections.deque[tuple[int, str, str, dict[str, Any]]] = (
            collections.deque(maxlen=RING_EVENTS)
        )

    def note(self, kind: str, subject: str, **details: Any) -> None:
        """Keeps an event.

        Args:
            kind: What happened.
            subject: The request, backend server or bundle it happened to.
            **details: Further facts, JSON values.
        """
        if self.enabled:
            self._ring.append((self._clock.tick(), kind, subject, details))

    def list_events(self, after: int, subject: str) -> list[dict[str, Any]]:
        """Returns kept events later than a clock value, oldest first."""
        newest_first = itertools.takewhile(
            lambda event: event[0] > after, reversed(self._ring)
        )
        return [
            {
                "clock": value,
                "process": self._process,
                "zone": self._zone,
                "kind": kind,
                "subject": about,
                **details,
            }
            for value, kind, about, details in newest_first
            if not subject or _concerns(subject, about, details)
        ][::-1]


def _concerns(subject: str, about: str, details: dict[str, Any]) -> bool:
    return subject == about or subject in details.values()

"""Ring buffer of events, ordered across processes by hybrid logical clocks."""

from __future__ import annotations

import collections
import itertools
import logging
from typing import Any

from ramptray import logsink
from ramptray.core import clock, request

LOG = logging.getLogger(__name__)

RING_EVENTS = 20_000
"""Default number of events that a process keeps."""


MAX_SUBJECT_CHARS = 256
"""Longest subject that is kept: an id that a caller chooses may be as long as a
head."""


class Timeline:
    """The latest events of one process.

    Args:
        process: Name of the process.
        zone: Availability zone of the process.
        hybrid_clock: Clock of the process.
        log_events: Whether events are also logged, so that the time line can
            be built after the process has ended.
        ring_events: Number of events to keep; 0 for none.
    """

    def __init__(
        self,
        process: str,
        zone: str,
        hybrid_clock: clock.HybridClock,
        log_events: bool = False,
        ring_events: int = RING_EVENTS,
    ) -> None:
        self._process = process
        self._zone = zone
        self._clock = hybrid_clock
        self._log_events = log_events
        self._ring: collections.deque[tuple[int, str, str, dict[str, Any]]] = (
            collections.deque(maxlen=ring_events)
        )

    def note(self, kind: str, subject: str, **details: Any) -> None:
        """Records an event.

        Args:
            kind: Type of the event.
            subject: The request, backend server or bundle that it concerns.
            **details: Further fields, JSON values.
        """
        if not self._ring.maxlen:
            return
        event = (self._clock.tick(), kind, subject[:MAX_SUBJECT_CHARS], details)
        self._ring.append(event)
        if self._log_events:
            self._log(event)

    def _log(self, event: tuple[int, str, str, dict[str, Any]]) -> None:
        described = self._to_dict(event)
        if not logsink.write_event(__name__, "event", described):
            LOG.info("event", extra={"event": described})

    def list_events(self, after: int, subject: str) -> list[dict[str, Any]]:
        """Returns the events of a subject after a clock value, oldest first."""
        subject = subject[:MAX_SUBJECT_CHARS]
        newest_first = itertools.takewhile(
            lambda event: event[0] > after, reversed(self._ring)
        )
        described = [self._to_dict(event) for event in newest_first]
        return [e for e in reversed(described) if matches_subject(subject, e)]

    def _to_dict(
        self, event: tuple[int, str, str, dict[str, Any]]
    ) -> dict[str, Any]:
        value, kind, subject, details = event
        return {
            "clock": value,
            "process": self._process,
            "zone": self._zone,
            "kind": kind,
            "subject": subject,
            **details,
        }


def matches_subject(subject: str, event: dict[str, Any]) -> bool:
    """Returns whether an event is about a subject; an empty one matches all.

    An owner's events of a request's further attempts are about the request.
    """
    return (
        not subject
        or subject in event.values()
        or str(event["subject"]).startswith(f"{subject}{request.HEDGE_MARK}")
    )

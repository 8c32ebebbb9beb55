"""Whether a backend server is in reach and takes what it is sent."""

from __future__ import annotations

import math

UNREACHABLE_S = 0.5
"""How long the first refused connection keeps new work away, in seconds."""

MAX_UNREACHABLE_S = 8.0
"""How long a refused connection keeps new work away at most, in seconds."""

EJECT_AFTER_BREAKS = 3
"""After so many answers in a row that broke off, new work stays away for a
while: a backend server that fails at once always has room and would get all."""

REFUSAL_WEIGHT = 0.3
"""Weight of the newest answer in the part of requests that a server refuses."""

REFUSAL_FORGET_S = 2.0
"""Time in which two thirds of that part are forgotten, in seconds: a server
that has recovered gets work again within the time of a few answers."""

LOST_AFTER_FAILURES = 4
"""Refused connections in a row after which the server counts as lost."""


class Availability:
    """Keeps new work away from a server that fails, longer each time.

    Attributes:
        failures: Refused connections in a row.
        breaks: Answers in a row that broke off or were refusals.
        unreachable_until: Until then it gets no new work.
    """

    __slots__ = (
        "breaks",
        "failures",
        "unreachable_until",
        "_refused_at",
        "_refused_part",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.breaks = 0
        self.unreachable_until = 0.0
        self._refused_part = 0.0
        self._refused_at = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether no request should wait for the server."""
        return self.failures >= LOST_AFTER_FAILURES

    def note_unreachable(self, now: float) -> None:
        """Keeps new work away after a refused connection, longer each time.

        Requests refused at the same moment count as one failure.
        """
        if now < self.unreachable_until:
            return
        pause = min(UNREACHABLE_S * 2**self.failures, MAX_UNREACHABLE_S)
        self.failures += 1
        self.unreachable_until = now + pause

    def note_end(
        self,
        refused: bool,
        broken: bool,
        whole: bool,
        now: float,
        paused: bool = False,
    ) -> None:
        """Takes how an answer ended.

        Args:
            refused: The server turned the request away.
            broken: The answer broke off, or the server hung.
            whole: The answer came to its end.
            now: The owner's clock in seconds.
            paused: The server has asked the VM that it turned away for a
                pause: that VM stays away anyway, and others may send.
        """
        if refused or whole:
            self._note_refusal(refused, now)
        if broken or (refused and not paused):
            self.breaks += 1
            if self.breaks >= EJECT_AFTER_BREAKS:
                self.note_unreachable(now)
        elif whole:
            self.breaks = 0

    def get_refusal_rate(self, now: float) -> float:
        """Returns the part of requests that it probably turns away now."""
        if not self._refused_part:
            return 0.0
        age_s = now - self._refused_at
        return self._refused_part * math.exp(-age_s / REFUSAL_FORGET_S)

    def _note_refusal(self, refused: bool, now: float) -> None:
        part = self.get_refusal_rate(now)
        self._refused_part = part + REFUSAL_WEIGHT * (refused - part)
        self._refused_at = now

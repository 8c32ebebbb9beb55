"""Whether a backend server is reachable and accepts requests."""

from __future__ import annotations

import math

UNREACHABLE_S = 0.5
"""Ejection time after the first refused connection, in seconds."""

MAX_UNREACHABLE_S = 8.0
"""Maximum ejection time after a refused connection, in seconds."""

EJECT_AFTER_BREAKS = 3
"""Consecutive broken responses after which a server is ejected for a while: a
server that fails immediately always has free slots and would attract all
requests."""

REFUSAL_WEIGHT = 0.3
"""Weight of the newest response in a server's refusal rate."""

REFUSAL_FORGET_S = 2.0
"""Time constant of the refusal rate's decay, in seconds: about two
thirds of the rate are forgotten after this time, so that a server that has
recovered gets requests again within the time of a few responses."""

LOST_AFTER_FAILURES = 4
"""Consecutive refused connections after which a server counts as lost."""


class Availability:
    """Ejects a failing server, with exponential backoff.

    Attributes:
        failures: Consecutive refused connections.
        breaks: Consecutive broken or refused responses.
        unreachable_until: End of the ejection; no new requests before.
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
        """Whether it counts as lost, so that no request waits for it."""
        return self.failures >= LOST_AFTER_FAILURES

    def record_unreachable(self, now: float) -> None:
        """Ejects the server after a refused connection, with backoff.

        Connections refused during an ejection do not count again.
        """
        if now < self.unreachable_until:
            return
        pause = min(UNREACHABLE_S * 2**self.failures, MAX_UNREACHABLE_S)
        self.failures += 1
        self.unreachable_until = now + pause

    def record_end(
        self,
        refused: bool,
        broken: bool,
        whole: bool,
        now: float,
        paused: bool = False,
    ) -> None:
        """Records how a response ended.

        Args:
            refused: The server refused the request.
            broken: The response broke off, or the server hung.
            whole: The response was complete.
            now: The owner's clock in seconds.
            paused: The server has asked the refused VM for a pause.  That VM
                sends nothing meanwhile and others may send, so the refusal
                does not count towards an ejection.
        """
        if refused or whole:
            self._update_refusal_rate(refused, now)
        if broken or (refused and not paused):
            self.breaks += 1
            if self.breaks >= EJECT_AFTER_BREAKS:
                self.record_unreachable(now)
        elif whole:
            self.breaks = 0

    def get_refusal_rate(self, now: float) -> float:
        """Returns the estimated fraction of requests that it refuses."""
        if not self._refused_part:
            return 0.0
        age_s = now - self._refused_at
        return self._refused_part * math.exp(-age_s / REFUSAL_FORGET_S)

    def _update_refusal_rate(self, refused: bool, now: float) -> None:
        part = self.get_refusal_rate(now)
        self._refused_part = part + REFUSAL_WEIGHT * (refused - part)
        self._refused_at = now

"""Bounds the load of a server that does not survive many refusals.

Such a server falls over if it has to refuse more than some requests in a second
for want of room, and it may have less room than its record says.  The load
therefore grows from what it has admitted by less than it may refuse, and
halves with a refusal (additive increase, multiplicative decrease).
"""

from __future__ import annotations

HOLD_S = 1.0
"""How long the load does not grow after a refusal, in seconds: the span over
which the server counts its refusals."""

REFUSAL_PART = 0.5
"""Part of the refusals that one owner risks, as two may send to the server."""


class SlotGrowth:
    """Limits the concurrent requests on one server."""

    __slots__ = ("_admitted", "_held_until", "_step")

    def __init__(self) -> None:
        self._step: int | None = None
        self._admitted = 1
        self._held_until = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the server bounds its refusals."""
        return self._step is not None

    def set_max_refusals(
        self, max_refusals_per_s: float | None, running: int
    ) -> None:
        """Sets how many refusals in a second the server survives.

        Args:
            max_refusals_per_s: The number; None if it does not matter.
            running: Requests that run there now.
        """
        if max_refusals_per_s is None:
            self._step = None
            return
        if self._step is None:
            self._admitted = max(1, running)
        self._step = max(1, int(max_refusals_per_s * REFUSAL_PART))

    def record_admitted(self, running: int) -> None:
        """Records that the server has admitted so many requests at once."""
        self._admitted = max(self._admitted, running)

    def record_refused(self, running: int, now: float) -> None:
        """Records a refusal.

        Args:
            running: Requests that were there, the refused one included.
            now: The owner's clock in seconds.
        """
        self._admitted = max(1, min(self._admitted, (running - 1) // 2))
        self._held_until = now + HOLD_S

    def get_limit(self, now: float) -> float:
        """Returns how many requests may run at once; infinite if any number."""
        if self._step is None:
            return float("inf")
        return self._admitted + (0 if now < self._held_until else self._step)

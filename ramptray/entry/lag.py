"""How late this process comes to its own ticks."""

from __future__ import annotations

import msgspec

from ramptray.core import message

AWAY_S = 1.0
"""Ticks further apart than this, in seconds, were not due in between."""

LAG_WEIGHT = 0.2
"""Weight of the newest tick in how late this process usually is."""

LEAST_TAKEN_PART = 0.2
"""Least part of the time to a first token that its engine has taken, whatever
this process adds to it."""

LATE_TICKS = 3
"""So many ticks in a row may be late before owners are doubted all the same."""


class TickLag:
    """Smoothed lateness of a periodic tick.

    Args:
        period_s: Time between two ticks, in seconds.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._ticked_at = 0.0
        self._late_ticks = 0
        self._lag_s = 0.0

    def observe(self, now: float) -> bool:
        """Takes a tick; returns whether unread messages may wait.

        Load pattern: a VM short of processor time comes late to its own ticks.
        Owners that have answered meanwhile are not lost.
        """
        late_s = now - self._ticked_at - self._period_s
        if late_s < AWAY_S:
            self._lag_s += LAG_WEIGHT * (max(0.0, late_s) - self._lag_s)
        self._ticked_at = now
        is_late = self._period_s < late_s < AWAY_S
        self._late_ticks = self._late_ticks + 1 if is_late else 0
        return 0 < self._late_ticks <= LATE_TICKS

    def exclude(self, first: message.FirstToken) -> message.FirstToken:
        """Returns a first token's time without what this process adds to it.

        Load pattern: VMs short of processor time read answers late.  With that
        in them all engines would look slow, to the other VMs too.
        """
        least_s = LEAST_TAKEN_PART * first.elapsed_s
        taken_s = max(least_s, first.elapsed_s - self._lag_s)
        return msgspec.structs.replace(first, elapsed_s=taken_s)

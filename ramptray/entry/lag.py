"""Measures how late this process runs its periodic tick."""

from __future__ import annotations

import msgspec

from ramptray.core import message

MAX_TICK_DELAY_S = 1.0
"""A longer delay than this, in seconds, is no lag: no tick was due in between,
as the entry was idle."""

SMOOTHING_FACTOR = 0.2
"""Weight of the newest tick in the moving average of the lag."""

MIN_ENGINE_SHARE = 0.2
"""Minimum share of the time to first token that is attributed to the engine,
however large the lag of this process is."""

MAX_LATE_TICKS = 3
"""Number of consecutive late ticks after which silent owners are suspected
nevertheless."""


class TickLag:
    """Moving average of the delay of a periodic tick.

    Args:
        interval_s: Time between two ticks, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._ticked_at = 0.0
        self._late_ticks = 0
        self._lag_s = 0.0

    def observe(self, now: float) -> bool:
        """Records a tick; returns whether received messages may be unread.

        Load pattern: a VM is short of CPU time and runs its ticks late.  An
        owner may have replied in the meantime, so its silence is no evidence of
        a failure.
        """
        delay_s = now - self._ticked_at - self._interval_s
        if delay_s < MAX_TICK_DELAY_S:
            self._lag_s += SMOOTHING_FACTOR * (max(0.0, delay_s) - self._lag_s)
        self._ticked_at = now
        is_late = self._interval_s < delay_s < MAX_TICK_DELAY_S
        self._late_ticks = self._late_ticks + 1 if is_late else 0
        return 0 < self._late_ticks <= MAX_LATE_TICKS

    def exclude_lag(
        self, first: message.FirstToken, delay_s: float = 0.0
    ) -> message.FirstToken:
        """Returns a first token's time without the lag of this process.

        Load pattern: VMs short of CPU time read responses late.  If that delay
        were included, all engines would look slow, and the other VMs would
        learn these times too.

        Args:
            first: The first token.
            delay_s: One-way delay to the engine's zone in seconds, which is
                excluded both ways.
        """
        min_s = MIN_ENGINE_SHARE * first.elapsed_s
        engine_s = max(min_s, first.elapsed_s - self._lag_s - 2 * delay_s)
        return msgspec.structs.replace(first, elapsed_s=engine_s)

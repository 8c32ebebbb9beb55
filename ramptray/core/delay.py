"""How long an answer usually takes, and when its absence means something.

Load pattern: the VM that is asked is short of processor time and answers late.
A fixed bound takes it for lost; another VM then does its work a second time,
which costs all of them more processor time still.
"""

from __future__ import annotations

MEAN_WEIGHT = 0.125
"""Weight of the newest answer in the usual delay."""

DEVIATION_WEIGHT = 0.25
"""Weight of the newest answer in the usual deviation from it."""

DEVIATIONS = 4.0
"""How many usual deviations later than usual an answer is missing."""


class AnswerDelay:
    """Learns the delay of one peer's answers and how much it varies.

    Args:
        least_s: Shortest time after which an answer is missing, in seconds.
        most_s: Longest time after which it is, in seconds.
    """

    __slots__ = ("_deviation_s", "_least_s", "_mean_s", "_most_s")

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def note(self, delay_s: float) -> None:
        """Takes the delay of an answer, in seconds."""
        error_s = delay_s - self._mean_s
        self._mean_s += MEAN_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )

    @property
    def longest_s(self) -> float:
        """Seconds after which an answer is missing rather than late."""
        longest_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(self._most_s, max(self._least_s, longest_s))

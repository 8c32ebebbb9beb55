"""What a replayed load was worth to its callers."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable

from bench.replay import caller

FAILED_AGAIN_PART = 0.3
"""Fraction of its worth that a call costs whose retry after a refusal is
refused or fails as well."""

IDLE_REFUSAL_PART = 0.5
"""Fraction of its worth that a call costs that is refused while the system is
nearly idle."""

FREE_WAIT_PART = 1 / 8
"""Fraction of the objective during which waiting without a result is free."""

FULL_WAIT_PART = 3 / 4
"""Fraction of a caller's time limit from which waiting without a result costs
the full worth."""

WINDOW_S = 2.0
"""Length of the windows of which the worst are told, in seconds."""


@dataclasses.dataclass(slots=True)
class Sums:
    """Sums over calls.

    Attributes:
        asked: Calls.
        in_time: Served in time, counted from the first try.
        late: Served later.
        refused: Not served, and refused at last.
        failed: Not served for other reasons.
        tries_refused: Refused tries.
        again: Calls refused, retried, and refused again or failed.
        again_cost: What those cost, in worth.
        owed: Worth of all, were they in time.
        earned: Worth of what was served, less what was lost in vain.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    tries_refused: int = 0
    again: int = 0
    again_cost: float = 0.0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def worth(self) -> float:
        """Part of what is owed that was earned."""
        return self.earned / self.owed if self.owed else math.nan

    @property
    def served(self) -> float:
        """Fraction of the calls that were served at all."""
        done = self.in_time + self.late
        return done / self.asked if self.asked else math.nan

    def add(self, call: caller.Call) -> None:
        """Adds a call."""
        self.asked += 1
        self.owed += call.kind.worth
        self.tries_refused += call.refusals
        if call.is_in_vain:
            self.again += 1
            self.again_cost += FAILED_AGAIN_PART * call.kind.worth
        if call.is_in_time:
            self.in_time += 1
        elif call.is_done:
            self.late += 1
        elif call.was_refused:
            self.refused += 1
        else:
            self.failed += 1
        self.earned += get_worth(call)


def get_worth(call: caller.Call) -> float:
    """Returns what a call was worth, from its first try.

    See "What counts as service" in docs/distance-and-overload.md.  The cost of
    waiting grows linearly between its two bounds, which the page leaves open.
    """
    worth = call.kind.worth
    if call.is_in_time:
        return worth
    if call.is_done:
        return worth * call.kind.late_part
    free_s = call.kind.objective_s * FREE_WAIT_PART
    full_s = call.kind.timeout_s * FULL_WAIT_PART
    cost = min(max(0.0, (call.vain_s - free_s) / (full_s - free_s)), 1.0)
    cost += FAILED_AGAIN_PART * call.is_in_vain
    cost += IDLE_REFUSAL_PART * (call.idle_refusals > 0)
    return -worth * min(cost, 1.0)


def sum_up(calls: Iterable[caller.Call]) -> Sums:
    """Returns the sums over calls."""
    sums = Sums()
    for call in calls:
        sums.add(call)
    return sums


def sum_up_kinds(calls: Iterable[caller.Call]) -> dict[str, Sums]:
    """Returns the sums of each kind."""
    kinds: dict[str, Sums] = collections.defaultdict(Sums)
    for call in calls:
        kinds[call.kind_name].add(call)
    return dict(kinds)


def find_worst(calls: Iterable[caller.Call]) -> float:
    """Returns the mean worth of the two worst windows."""
    windows: dict[int, Sums] = collections.defaultdict(Sums)
    for call in calls:
        windows[int(call.asked_at // WINDOW_S)].add(call)
    worst = sorted(window.worth for window in windows.values())[:2]
    return sum(worst) / len(worst) if worst else math.nan

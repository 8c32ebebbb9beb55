"""What a scheduler that knew the future could have served in time.

The oracle knows every call and its size beforehand.  Tier by tier, the cheapest
calls first, it gives each call a slot for a whole interval that begins early
enough for the objective, or leaves it out.  Callers never retry.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable

from bench.replay import caller, pattern

WAY_S = 0.004
"""Time of a request to its owner and of the grant back, in seconds."""


class Pace(enum.Enum):
    """How fast a server is assumed to work on a request.

    Attributes:
        ALONE: As if no other request ran there: no scheduler can be faster.
        SHARED: As if all slots were occupied by requests of the mean size.
    """

    ALONE = "alone"
    SHARED = "shared"


@dataclasses.dataclass(slots=True)
class _Slot:
    """A slot of a server with its occupied intervals, in order."""

    fields: pattern.Engines
    begins: list[float] = dataclasses.field(default_factory=list)
    ends: list[float] = dataclasses.field(default_factory=list)

    def find_begin(
        self, earliest: float, latest: float, length_s: float
    ) -> float | None:
        """Returns the first time at which an interval is free; None if none."""
        place = bisect.bisect_right(self.ends, earliest)
        begin = earliest
        while begin <= latest:
            if place == len(self.begins) or (
                begin + length_s <= self.begins[place]
            ):
                return begin
            begin = max(begin, self.ends[place])
            place += 1
        return None

    def occupy(self, begin: float, length_s: float) -> None:
        """Occupies an interval that is free."""
        place = bisect.bisect(self.begins, begin)
        self.begins.insert(place, begin)
        self.ends.insert(place, begin + length_s)


def find_in_time(
    given: pattern.Pattern, calls: Iterable[caller.Call], pace: Pace
) -> set[str]:
    """Returns the names of the calls that the oracle serves in time.

    Servers do not fail in it, and customers have no limits.
    """
    all_calls = list(calls)
    slots = [
        _Slot(fields)
        for fields in given.engines
        for _ in range(fields.count * fields.places)
    ]
    share = {
        id(fields): _estimate_prefill_share(fields, all_calls, pace)
        for fields in given.engines
    }
    fastest = given.engines[0]
    ordered = sorted(
        all_calls,
        key=lambda call: (call.kind.tier, _estimate(call, fastest, pace, 0)[1]),
    )
    return {call.name for call in ordered if _place(call, slots, share, pace)}


def _place(
    call: caller.Call,
    slots: list[_Slot],
    share: dict[int, float],
    pace: Pace,
) -> bool:
    """Occupies the first slot that is early enough, the slowest servers first.

    Those are of the least use to other calls.
    """
    late_at = call.asked_at + call.kind.objective_s
    for fields, group in itertools.groupby(
        reversed(slots), key=lambda slot: slot.fields
    ):
        first_s, length_s = _estimate(call, fields, pace, share[id(fields)])
        earliest = call.asked_at + WAY_S
        latest = min(late_at - first_s, call.deadline - length_s)
        found = [
            (begin, number, slot)
            for number, slot in enumerate(group)
            if (begin := slot.find_begin(earliest, latest, length_s))
            is not None
        ]
        if found:
            begin, _, slot = min(found, key=lambda each: each[:2])
            slot.occupy(begin, length_s)
            return True
    return False


def _estimate(
    call: caller.Call, fields: pattern.Engines, pace: Pace, share: float
) -> tuple[float, float]:
    """Returns the seconds to the first event and to the end of a response."""
    others = fields.places - 1 if pace is Pace.SHARED else 0
    step_s = fields.step_s * (1 + fields.step_growth * others) / (1 - share)
    prefill_s = call.prompt_tokens / fields.prefill_tokens_per_s
    in_event = min(fields.event_tokens, call.output_tokens)
    first_s = fields.fixed_s + prefill_s / (1 - share) + in_event * step_s
    rest_s = (call.output_tokens - in_event) * step_s
    if in_event * step_s > call.kind.max_gap_s:
        return math.inf, math.inf
    return first_s, first_s + rest_s


def _estimate_prefill_share(
    fields: pattern.Engines, calls: list[caller.Call], pace: Pace
) -> float:
    """Returns the fraction of a full server's time that prompts take."""
    if pace is Pace.ALONE or not calls:
        return 0.0
    prompts = sum(call.prompt_tokens for call in calls)
    outputs = sum(call.output_tokens for call in calls)
    step_s = fields.step_s * (1 + fields.step_growth * (fields.places - 1))
    prefill_s = prompts / fields.prefill_tokens_per_s
    decode_s = outputs * step_s / fields.places
    return prefill_s / (prefill_s + decode_s)

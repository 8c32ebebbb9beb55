"""Replicas that name request limits during a soak, and whether they hold."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable, Mapping

from bench import promise
from test import harm, node, verdict

RATES = (0.4, 1.0, 1.5, 3.0)
"""Limits that are named, in requests a second."""

SPELL_S = (6.0, 12.0)
"""Least and most time for which a limit is named, in seconds."""

PAUSE_S = (0.5, 3.0)
"""Least and most time between two spells, in seconds."""

KNOWN_AFTER_S = 3.0
"""Time from a limit's first naming until it must be kept, in seconds."""

LINK_CALM_S = 0.5
"""Time after a fault of a link in which late requests arrive, in seconds."""

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5


@dataclasses.dataclass
class LimitPeriod:
    """A time in which a replica named a limit.

    Attributes:
        name: The replica.
        rate: Requests a second.
        since: When it began.
        until: When it ended.
    """

    name: str
    rate: float
    since: float
    until: float = float("inf")

    @property
    def allowed(self) -> float:
        """The most requests in any window."""
        return self.rate * FACTOR * WINDOW_S + SLACK


class Limiter:
    """Has replicas name limits, one spell after the other.

    Args:
        harmer: Sets what replicas do.
        rng: Chooses.
        names: The replicas.

    Attributes:
        spells: What was named when.
    """

    def __init__(
        self, harmer: harm.Harm, rng: random.Random, names: list[str]
    ) -> None:
        self.spells: list[LimitPeriod] = []
        self._harm = harmer
        self._rng = rng
        self._names = names

    def run(self, is_over: Callable[[], bool]) -> None:
        """Has limits named until the run is over."""
        while not is_over():
            named = self._rng.sample(self._names, self._rng.choice((1, 1, 2)))
            spells = [
                LimitPeriod(name, self._rng.choice(RATES), time.monotonic())
                for name in named
            ]
            for spell in spells:
                self._harm.name_limit(spell.name, spell.rate)
            self.spells += spells
            self._wait(self._rng.uniform(*SPELL_S), is_over)
            for spell in spells:
                ended_at = self._harm.end_limit(spell.name)
                spell.until = min(ended_at, time.monotonic())
            self._wait(self._rng.uniform(*PAUSE_S), is_over)

    @staticmethod
    def _wait(seconds: float, is_over: Callable[[], bool]) -> None:
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at and not is_over():
            time.sleep(0.05)


def read_arrivals(started: node.Platform, name: str) -> list[tuple[float, str]]:
    """Returns when which request arrived at a replica, over all its runs."""
    return sorted(
        (line["at"], line["request_id"])
        for line in started.read_log(name)
        if line["message"] == "arrived"
    )


def check_limits(
    spells: list[LimitPeriod],
    record: verdict.Record,
    arrivals: Mapping[str, list[tuple[float, str]]],
) -> promise.Promise:
    """Judges each window of each spell.

    A VM does not count in a window near a fault of its own, and no VM where
    the links to the replica were harmed.
    """
    kept = promise.Promise("a named limit is not exceeded by all VMs together")
    vms = {ask.name: ask.vm for ask in record.asks}
    for spell in spells:
        begin = spell.since + KNOWN_AFTER_S
        for start, _ in arrivals[spell.name]:
            end = start + WINDOW_S
            if start < begin or end > spell.until:
                continue
            excused = _list_harmed(record, start, end)
            if spell.name in excused:
                continue
            count = sum(
                start <= at < end and vms.get(request_id, "") not in excused
                for at, request_id in arrivals[spell.name]
            )
            detail = f"{spell.name}: {count} requests at {spell.rate} a second"
            kept.judge(count <= spell.allowed, detail)
    return kept


def _list_harmed(record: verdict.Record, start: float, end: float) -> set[str]:
    """Returns the VMs and replicas that had a fault near a window."""
    harmed = set()
    for fault in record.faults:
        name = fault.name.split()[-1]
        after_s = verdict.CALM_S if name.startswith("vm-") else LINK_CALM_S
        if fault.began < end and fault.ended + after_s > start:
            harmed.add(name)
    return harmed

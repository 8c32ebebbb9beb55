"""Request limits that replicas announce during a soak, and a check of them."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable, Mapping

from bench import promise
from test import harm, node, verdict

RATES = (0.4, 1.0, 1.5, 3.0)
"""Announced limits, in requests per second."""

LIMIT_PERIOD_S = (6.0, 12.0)
"""Minimum and maximum duration of a limit, in seconds."""

GAP_S = (0.5, 3.0)
"""Minimum and maximum time between two limits, in seconds."""

LAST_PERIOD_S = 10.0
"""Length of the last period, in seconds: in its end, which is calm, there are
windows to judge in every run.  Those of the others may all be near faults."""

KNOWN_AFTER_S = 3.0
"""Time from a limit's announcement until it must be kept, in seconds."""

LINK_RECOVERY_S = 0.5
"""Time after a link fault in which delayed requests arrive, in seconds."""

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5


@dataclasses.dataclass
class LimitPeriod:
    """A period in which a replica announced a limit.

    Attributes:
        name: Name of the replica.
        rate: Requests per second.
        since: Start of the period.
        until: End of the period.
    """

    name: str
    rate: float
    since: float
    until: float = float("inf")

    @property
    def allowed(self) -> float:
        """Maximum number of requests in any window."""
        return self.rate * FACTOR * WINDOW_S + SLACK


class Limiter:
    """Makes replicas announce limits, in successive periods.

    Args:
        harmer: Injects the limits.
        rng: Random number generator.
        names: Names of the replicas.

    Attributes:
        periods: The announced limits.
    """

    def __init__(
        self, harmer: harm.Harm, rng: random.Random, names: list[str]
    ) -> None:
        self.periods: list[LimitPeriod] = []
        self._harm = harmer
        self._rng = rng
        self._names = names

    def run(self, is_over: Callable[[], bool], ends_at: float) -> None:
        """Sets and ends limits until the run is over.

        Args:
            is_over: Returns whether it is.
            ends_at: When it will be, in seconds of the monotonic clock.
        """
        last_at = ends_at - LAST_PERIOD_S
        self._set_limits(
            (1, 1, 2), LIMIT_PERIOD_S, lambda: time.monotonic() >= last_at
        )
        self._set_limits((2,), (LAST_PERIOD_S, LAST_PERIOD_S), is_over)

    def _set_limits(
        self,
        counts: tuple[int, ...],
        period_s: tuple[float, float],
        is_over: Callable[[], bool],
    ) -> None:
        while not is_over():
            limited = self._rng.sample(self._names, self._rng.choice(counts))
            periods = [
                LimitPeriod(name, self._rng.choice(RATES), time.monotonic())
                for name in limited
            ]
            for period in periods:
                self._harm.name_limit(period.name, period.rate)
            self.periods += periods
            self._wait(self._rng.uniform(*period_s), is_over)
            for period in periods:
                ended_at = self._harm.end_limit(period.name)
                period.until = min(ended_at, time.monotonic())
            self._wait(self._rng.uniform(*GAP_S), is_over)

    @staticmethod
    def _wait(seconds: float, is_over: Callable[[], bool]) -> None:
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at and not is_over():
            time.sleep(0.05)


def read_arrivals(started: node.Platform, name: str) -> list[tuple[float, str]]:
    """Returns times and request IDs of a replica's arrivals, of all runs."""
    return sorted(
        (line["at"], line["request_id"])
        for line in started.read_log(name)
        if line["message"] == "arrived"
    )


def check_limits(
    periods: list[LimitPeriod],
    record: verdict.Record,
    arrivals: Mapping[str, list[tuple[float, str]]],
) -> promise.Promise:
    """Checks each window of each period.

    The requests of a VM that had a fault near the window are not counted;
    windows near a link fault of the replica are skipped.
    """
    kept = promise.Promise("a named limit is not exceeded by all VMs together")
    vms = {ask.name: ask.vm for ask in record.asks}
    for period in periods:
        begin = period.since + KNOWN_AFTER_S
        for start, _ in arrivals[period.name]:
            end = start + WINDOW_S
            if start < begin or end > period.until:
                continue
            excused = _list_faulty(record, start, end)
            if period.name in excused:
                continue
            count = sum(
                start <= at < end and vms.get(request_id, "") not in excused
                for at, request_id in arrivals[period.name]
            )
            detail = (
                f"{period.name}: {count} requests at {period.rate} a second"
            )
            kept.judge(count <= period.allowed, detail)
    return kept


def _list_faulty(record: verdict.Record, start: float, end: float) -> set[str]:
    """Returns the VMs and replicas with a fault near a window."""
    faulty = set()
    for fault in record.faults:
        name = fault.name.split()[-1]
        after_s = verdict.CALM_S if name.startswith("vm-") else LINK_RECOVERY_S
        if fault.began < end and fault.ended + after_s > start:
            faulty.add(name)
    return faulty

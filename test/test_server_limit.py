"""A request limit announced by a backend server holds for all VMs together."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import callers, node

VMS = 3
LIMITED, OTHER = "i-0", "i-1"
RATE = 1.0
WINDOW_S = 4.0
ALLOWED = 1.5 * RATE * WINDOW_S + 5

KNOWN_AFTER_S = 1.5
"""Time within which every VM must apply a limit, in seconds."""

WORK_S, SLOW_WORK_S = 0.01, 0.05
"""Processing times of the limited server and of the slower other one, in
seconds: the faster one is preferred wherever its limit allows."""

LOAD_S = 10.0


@pytest.fixture(scope="module")
def started() -> Iterator[node.Platform]:
    with callers.run_serving(VMS) as platform:
        yield platform


def count_peak(times: list[float], window_s: float) -> int:
    """Returns the maximum number of arrivals in any window of that length."""
    return max(
        (
            sum(start <= at < start + window_s for at in times)
            for start in times
        ),
        default=0,
    )


def list_arrivals(
    started: node.Platform, name: str, since: float
) -> list[float]:
    """Returns when requests arrived at a replica since a moment."""
    arrived: list[float] = started.read_ledger(name)["arrived"]
    return [at for at in arrived if at >= since]


@pytest.mark.parametrize("path", ["/safe/", "/once/", "/stream/"])
def test_an_announced_limit_is_not_exceeded_by_all_vms_together(
    started: node.Platform, path: str
) -> None:
    with callers.Callers(started, path) as load:
        started.set_faults(LIMITED, limits=[str(RATE)], work_s=WORK_S)
        started.set_faults(OTHER, work_s=SLOW_WORK_S)
        known_at = time.monotonic() + KNOWN_AFTER_S
        time.sleep(LOAD_S)
    arrivals = list_arrivals(started, LIMITED, known_at)
    assert 2 <= count_peak(arrivals, WINDOW_S) <= ALLOWED
    assert load.statuses == {200}

"""Tests of a VM that is suspended for seconds.

They guard against ages measured by a clock that stops during a suspension:
after ten seconds, the VM took connections, grants and data from other processes
to be as fresh as before.
"""

from __future__ import annotations

import pathlib
import time

import anyio
import pytest

from ramptray.node import suspension
from ramptray.platform import header
from ramptray.relay import client, connection
from test.test_attempts import FakeIdleConnection

ROOT = pathlib.Path(__file__).parent.parent / "ramptray"
CLOCK_MODULES = {"steadyclock.py"}
"""Modules that may read a system clock."""

SUSPENDED_S = 30.0


@pytest.mark.parametrize(
    "reading",
    ["time.monotonic", "perf_counter", "loop.time()", "clock_gettime"],
)
def test_only_steadyclock_reads_the_system_clock(reading: str) -> None:
    found = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        if path.name not in CLOCK_MODULES and reading in path.read_text()
    ]
    assert found == []


def test_idle_connection_is_not_reused_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steady = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: steady)
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: steady + SUSPENDED_S
    )
    idle = FakeIdleConnection(steady)

    async def run() -> None:
        pool = client.RelayClient(header.PlatformDialect())
        pool._idle["127.0.0.1:1"] = [idle]  # type: ignore[list-item]
        with pytest.raises(connection.NotSentError):
            await pool._checkout(connection.Target("127.0.0.1:1"), False)

    anyio.run(run)
    assert idle.closed


def test_suspension_is_detected_and_reported_once() -> None:
    monotonic, suspended = 100.0, 0.0
    reported: list[float] = []

    detector = suspension.SuspensionDetector(
        reported.append, lambda: monotonic + suspended, lambda: monotonic
    )
    monotonic += 50.0
    detector.check()
    assert reported == []
    monotonic, suspended = monotonic + 0.1, suspended + SUSPENDED_S
    detector.check()
    assert reported == [pytest.approx(SUSPENDED_S)]
    detector.check()
    assert len(reported) == 1

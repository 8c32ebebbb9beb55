"""A VM that is suspended for seconds: its steady clock stands still meanwhile.

After ten seconds away a VM took connections, grants and what it had been told
for as fresh as before: all ages were measured by a clock that does not count
the time away.
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
READERS = {"steadyclock.py"}
"""Modules that may read a clock which counts seconds."""

AWAY_S = 30.0


@pytest.mark.parametrize(
    "reading",
    ["time.monotonic", "perf_counter", "loop.time()", "clock_gettime"],
)
def test_ages_are_measured_by_one_clock(reading: str) -> None:
    found = [
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        if path.name not in READERS and reading in path.read_text()
    ]
    assert found == []


def test_a_connection_from_before_a_suspension_is_not_lent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    steady = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: steady)
    monkeypatch.setattr(time, "clock_gettime", lambda clock: steady + AWAY_S)
    idle = FakeIdleConnection(steady)

    async def run() -> None:
        pool = client.RelayClient(header.PlatformDialect())
        pool._idle["127.0.0.1:1"] = [idle]  # type: ignore[list-item]
        with pytest.raises(connection.NotSentError):
            await pool._checkout(connection.Target("127.0.0.1:1"), False)

    anyio.run(run)
    assert idle.closed


def test_a_vm_notices_that_it_was_suspended() -> None:
    running, away = 100.0, 0.0
    told: list[float] = []

    watch = suspension.SuspensionDetector(
        told.append, lambda: running + away, lambda: running
    )
    running += 50.0
    watch.check()
    assert told == []
    running, away = running + 0.1, away + AWAY_S
    watch.check()
    assert told == [pytest.approx(AWAY_S)]
    watch.check()
    assert len(told) == 1

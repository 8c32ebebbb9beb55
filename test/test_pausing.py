"""What a soak with pausing servers counts as an answer that ended."""

from __future__ import annotations

import pathlib

import pytest

from test import pausing, verdict
from test.test_soak import judge_reading


@pytest.mark.parametrize("status", [0, 429, 503])
def test_a_refusal_while_a_server_is_at_work_is_a_violation(
    tmp_path: pathlib.Path, status: int
) -> None:
    # A VM that gave up a silent server with a refusal was taken for a full one.
    reading = pausing.TimedReading(
        "r", "vm-0", status, took_s=2.0, sent_at=10.0, ended_at=12.0
    )
    unended, *_ = judge_reading(tmp_path, reading, verdict.Record())
    assert len(unended.violations) == 1


def test_a_refusal_of_a_request_that_ran_nowhere_is_allowed(
    tmp_path: pathlib.Path,
) -> None:
    reading = pausing.TimedReading("other", "vm-0", 503, took_s=2.0)
    unended, *_ = judge_reading(tmp_path, reading, verdict.Record())
    assert not unended.violations


@pytest.mark.parametrize(
    ("took_s", "faults", "is_allowed"),
    [
        (14.0, [], False),
        (14.0, [verdict.Fault("pause vm-0", 20.0, 22.0)], True),
        (14.0, [verdict.Fault("pause vm-1", 20.0, 22.0)], False),
        (3.0, [], True),
    ],
)
def test_an_answer_without_an_end_is_a_violation(
    tmp_path: pathlib.Path,
    took_s: float,
    faults: list[verdict.Fault],
    is_allowed: bool,
) -> None:
    # Callers that left were not judged, also after the time limit had passed.
    reading = pausing.TimedReading(
        "r", "vm-0", 200, [1], has_left=True, took_s=took_s
    )
    reading.sent_at, reading.ended_at = 10.0, 10.0 + took_s
    *_, in_time = judge_reading(
        tmp_path, reading, verdict.Record(faults=faults)
    )
    assert bool(in_time.violations) is not is_allowed

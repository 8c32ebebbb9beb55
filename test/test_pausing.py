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
    unended, _ = judge_reading(tmp_path, reading, verdict.Record())
    assert len(unended.violations) == 1


def test_a_refusal_of_a_request_that_ran_nowhere_is_allowed(
    tmp_path: pathlib.Path,
) -> None:
    reading = pausing.TimedReading("other", "vm-0", 503, took_s=2.0)
    unended, _ = judge_reading(tmp_path, reading, verdict.Record())
    assert not unended.violations

"""Classification of late and lost requests by ``ramptray losses``."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest
from click.testing import CliRunner

from ramptray.command import explain, losses, main


def make_line(
    at_s: float, kind: str, subject: str, **details: Any
) -> explain.LogLine:
    return explain.LogLine(at_s, "node/vm-1", kind, subject, details)


def make_request(
    name: str, at_s: float, *steps: tuple[float, str, dict[str, Any]]
) -> list[explain.LogLine]:
    """Returns a request's lines; a step gives its time, kind and details."""
    return [
        make_line(at_s, "request", name, tier="urgent"),
        *(
            make_line(at_s + after_s, kind, name, **details)
            for after_s, kind, details in steps
        ),
    ]


Step = tuple[float, str, dict[str, Any]]

GRANT = (0.01, "grant", {"left_s": 0.3, "expected_s": 0.1})
DISPATCH: Step = (0.01, "dispatch", {})
DONE = (1.0, "end", {"outcome": "complete", "reason": None})


def end(reason: str) -> tuple[float, str, dict[str, Any]]:
    return (1.0, "end", {"outcome": "not_run", "reason": reason})


@pytest.mark.parametrize(
    ("steps", "cause"),
    [
        ([GRANT, DISPATCH, (0.2, "first_token", {}), DONE], "IN_TIME"),
        ([GRANT, DISPATCH, (0.5, "first_token", {}), DONE], "LATE_BACKEND"),
        (
            [
                (0.25, "grant", {"left_s": 0.05, "expected_s": 0.1}),
                DISPATCH,
                (0.4, "first_token", {}),
                DONE,
            ],
            "LATE_WAITING",
        ),
        ([end("customer_limit")], "CUSTOMER_LIMIT"),
        ([end("overloaded")], "NO_SLOT"),
        ([end("deadline")], "NO_SLOT"),
        ([GRANT, DISPATCH, end("deadline")], "DEADLINE_EXCEEDED"),
        ([end("no_backend")], "NO_BACKEND"),
        ([end("not_ready")], "NOT_READY"),
        ([GRANT, DISPATCH, end("backend_lost")], "BACKEND_FAILED"),
        ([GRANT, DISPATCH, end("caller_gone")], "CALLER_DISCONNECTED"),
        ([GRANT, DISPATCH], "VM_DOWN"),
        ([end("key_expired")], "OTHER"),
    ],
)
def test_request_is_classified_by_cause(
    steps: list[tuple[float, str, dict[str, Any]]], cause: str
) -> None:
    (found,) = losses.classify_requests(make_request("r", 5.0, *steps), {})
    assert found.cause is losses.Cause[cause]
    assert (found.asked_s, found.tier, found.weight) == (5.0, "urgent", 1.0)


def test_table_weights_tiers_and_lists_worst_windows(
    tmp_path: pathlib.Path,
) -> None:
    lines = [
        *make_request("a", 1.0, GRANT, DISPATCH, DONE),
        *make_request("b", 9.0, end("overloaded")),
        *make_request("c", 9.5, end("customer_limit")),
    ]
    path = tmp_path / "vm-1.log"
    path.write_text("\n".join(map(format_line, lines)))
    words = ["losses", "--logs", str(path), "--weight", "urgent=2.5"]
    result = CliRunner().invoke(main.run_group, words)
    assert result.exception is None, result.output
    shown = result.output.splitlines()
    assert shown[-1] == "in time: 0.333 of 7.5"
    assert any(
        line.startswith("refused, limit of its customer")
        and line.split()[-2:] == ["0.333", "2.5"]
        for line in shown
    )
    (worst,) = [line for line in shown if line.strip().startswith("8.0 s")]
    assert "no place in time 2.5" in worst


def test_refusals_for_a_limit_are_counted_by_owner(
    tmp_path: pathlib.Path,
) -> None:
    # Wrong refusals of a stand-in were only found by reading single lines.
    stand_in = {"owner": "10.0.0.7:9", "limit_part": 0.21, "stands_in": True}
    whole = {"owner": "10.0.0.1:9", "limit_part": 1.0, "stands_in": False}
    reason = {"reason": "customer_limit"}
    sheds = [reason | stand_in, reason | whole, reason | stand_in]
    lines = [
        line
        for number, shed in enumerate(sheds)
        for line in make_request(
            f"r{number}", 1.0, (0.1, "shed", shed), end("customer_limit")
        )
    ]
    path = tmp_path / "vm-1.log"
    path.write_text("\n".join(map(format_line, lines)))
    result = CliRunner().invoke(main.run_group, ["losses", "--logs", str(path)])
    assert "       2  10.0.0.7:9  part 0.21  stood in\n" in result.output
    assert "       1  10.0.0.1:9  part 1\n" in result.output


def test_malformed_weight_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    words = ["losses", "--logs", str(tmp_path), "--weight", "urgent"]
    result = CliRunner().invoke(main.run_group, words)
    assert "--weight urgent: TIER=NUMBER wanted" in str(result.exception)


def test_logs_without_requests_are_reported(tmp_path: pathlib.Path) -> None:
    words = ["losses", "--logs", str(tmp_path)]
    result = CliRunner().invoke(main.run_group, words)
    assert "no line of these logs" in str(result.exception)


def format_line(line: explain.LogLine) -> str:
    """Formats a line as the programs log it."""
    event = {
        "clock": int(line.time_s * 1e6),
        "process": line.process,
        "kind": line.kind,
        "subject": line.subject,
        **line.details,
    }
    return json.dumps({"time": "2026-01-01 00:00:00,000", "event": event})

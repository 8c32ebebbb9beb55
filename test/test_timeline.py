"""Tests of the time line, from live processes and from their logs."""

from __future__ import annotations

import json
import pathlib

from click import testing

from bench import deployment
from ramptray.command import timeline
from ramptray.core import clock
from test import test_path

KINDS = ["request", "grant", "dispatch", "first_token", "end"]


def run(*arguments: str) -> str:
    result = testing.CliRunner().invoke(timeline.command, arguments)
    assert result.exit_code == 0, result.output
    return result.output


def send_request(running: deployment.Deployment) -> str:
    """Sends a request and returns its id."""
    url = running.entries[0].url + "/v1/completions"
    body = {"model": "assistant", "prompt": "why?", "max_tokens": 3}
    status, headers, _ = test_path.call(url, body)
    assert status == 200
    return str(headers["x-request-id"])


def test_events_of_a_request_are_in_causal_order_across_processes(
    running: deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    request_id = send_request(running)
    settings = str(running.folder / "operator.json")
    live = run("--settings", settings, "--subject", request_id, "--json")
    events = [json.loads(line) for line in live.splitlines()]
    assert [event["kind"] for event in events] == KINDS
    assert len({event["process"] for event in events}) == 2
    logs = [f"--logs={file}" for file in running.folder.glob("*.log")]
    logged = run(*logs, "--subject", request_id, "--json")
    assert logged == live
    page = tmp_path / "page.html"
    run(*logs, "--subject", request_id, "--html", str(page))
    html = page.read_text()
    assert html.count("<circle") == len(KINDS)
    assert "http" not in html.replace(request_id, "")


def test_slow_clock_never_puts_an_effect_before_its_cause() -> None:
    ahead = clock.HybridClock(lambda: 1_000_000)
    behind = clock.HybridClock(lambda: 10)
    sent = ahead.tick()
    received = behind.witness(sent)
    assert sent < received < behind.tick()
    assert ahead.witness(behind.tick()) > received

"""``ramptray explain`` finds the cause of a failure in logs of real processes.

The command is taken from docs/OPERATIONS.md.
"""

from __future__ import annotations

import pathlib
import shlex
import shutil
from collections.abc import Iterator

import pytest
from click.testing import CliRunner

from ramptray.command import main
from test import node, test_node

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


def explain(folder: pathlib.Path, request_id: str) -> list[str]:
    """Runs the documented command and returns the lines of its output."""
    line = next(
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith("    ramptray explain")
    )
    given = {"ID": request_id, "logs": str(folder)}
    words = [given.get(word, word) for word in shlex.split(line)]
    result = CliRunner().invoke(main.run_group, words[1:])
    assert result.exception is None, result.exception
    return result.output.splitlines()


@pytest.fixture(scope="module")
def logs(tmp_path_factory: pytest.TempPathFactory) -> Iterator[pathlib.Path]:
    """Logs of a VM with a refused, a late and an interrupted request."""
    folder = tmp_path_factory.mktemp("logs")
    with node.run_platform(replicas=1) as started:
        test_node.wait_until(
            lambda: test_node.ask(started, "/safe/").status == 200
        )
        over = {"Authorization": "Bearer key-small", "X-Token-Count": "900,900"}
        for name in ("first", "refused"):
            test_node.ask(started, "/safe/", X_Request_Id=name, headers=over)
        started.set_faults("i-0", work_s=0.8)
        test_node.ask(started, "/safe/", X_Request_Id="late")
        started.set_faults("i-0", cut_after=2)
        test_node.ask(started, "/stream-once/", "POST", X_Request_Id="cut")
        shutil.copy(started.folder / "vm-0.log", folder)
    yield folder


def test_refusal_is_traced_to_customer_limit(
    logs: pathlib.Path,
) -> None:
    lines = explain(logs, "refused")
    assert lines[-1] == (
        "ended: not_run: its customer was over its limit at the owner"
        " (customer_limit)"
    )
    shed = next(line for line in lines if "shed" in line)
    assert "limit_part=1.0" in shed
    assert "generation=1" in shed


def test_late_answer_is_traced_to_backend_server(
    logs: pathlib.Path,
) -> None:
    lines = explain(logs, "late")
    assert lines[-1] == "ended: complete"
    first = next(line for line in lines if "first_token" in line)
    assert float(first.partition("elapsed_s=")[2]) > 0.7
    assert any("dispatch" in line and "i-0" in line for line in lines)


def test_interrupted_answer_is_traced_to_backend_server(
    logs: pathlib.Path,
) -> None:
    lines = explain(logs, "cut")
    assert lines[-1].startswith("ended: unknown:")
    assert any("attempt_failed" in line and "i-0" in line for line in lines)


def test_state_changes_are_listed_before_decisions(
    logs: pathlib.Path,
) -> None:
    lines = explain(logs, "first")
    decided = lines.index("decided:")
    assert any("backend server known" in line for line in lines[:decided])
    assert all("node/vm-0" in line for line in lines[1:decided])


def test_unknown_request_id_is_reported(logs: pathlib.Path) -> None:
    words = ["explain", "nobody", "--logs", str(logs)]
    result = CliRunner().invoke(main.run_group, words)
    assert "nobody: no line of these logs names it" in str(result.exception)

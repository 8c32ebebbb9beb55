"""A task that fails runs again, and does not end the process."""

from __future__ import annotations

import itertools
import json
import socket

import pytest

from ramptray import steadyclock, supervision
from test import node, virtualtime
from test.test_node import ask, wait_until


def test_a_task_that_fails_runs_again_after_growing_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    began_at: list[float] = []
    supervisor = supervision.Supervisor()

    async def fail_at_first() -> None:
        began_at.append(steadyclock.read())
        if len(began_at) < 9:
            raise RecursionError("too deep")

    async def run() -> None:
        await supervisor.keep_running("reader", fail_at_first)

    virtualtime.run(run)
    pauses = [after - at for at, after in itertools.pairwise(began_at)]
    assert pauses[0] == pytest.approx(supervision.MIN_PAUSE_S, abs=0.02)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(supervision.MAX_PAUSE_S, abs=0.02)
    (failures,) = supervisor.list_gauges()
    assert failures.labels == {"task": "reader"}
    assert failures.value == 8


def test_a_critical_task_that_fails_is_named(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def fail() -> None:
        raise ValueError("odd")

    async def run() -> None:
        await supervision.Supervisor().run_critical("scheduler", fail)

    with pytest.raises(ValueError, match="odd"):
        virtualtime.run(run)
    (record,) = caplog.records
    assert record.message == "task failed; the process ends"
    assert getattr(record, "task", "") == "scheduler"


def test_a_vm_whose_metrics_port_is_taken_serves() -> None:
    # The VM ended at each start for as long as another program held the port.
    with node.run_platform(vms=1) as platform, socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = platform.folder / "vm-0.json5"
        path.write_text(json.dumps({"metrics_port": taken.getsockname()[1]}))
        platform.kill_vm("vm-0")
        platform.restart_vm("vm-0")
        platform._wait_for(platform.vms["vm-0"]["ready"], "/v1/ready")
        wait_until(lambda: ask(platform, "/safe/").status == 200)

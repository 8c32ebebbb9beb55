"""Verdicts on rollouts that a store restored from an older copy lacks.

Guards against this failure: VMs kept the verdict for themselves, so operators
read "running" for good, and after the loss of all VMs a release that had been
rolled back was rolled out again.
"""

from __future__ import annotations

import anyio
import pytest

from ramptray.core import rollout
from ramptray.scheduler import rollouts
from test import node
from test.test_node import wait_until
from test.test_rollout import MemoryLog, roll_out, started

__all__ = ["started"]

ROLLED_BACK = {"state": "rolled_back", "targetVersion": "v2"}
SECONDS = 6.0


@pytest.mark.parametrize("lost", [1, 2])
def test_a_verdict_is_stored_again_after_the_store_lost_it(
    started: node.Platform, lost: int
) -> None:
    roll_out(started, SECONDS, fails=True)
    assert started.read_status("rollout/lm") == ROLLED_BACK
    started.lose_records(lost)
    # Operators and replicas write their records again.
    started.set_config(node.make_config(2))
    started.set_order(
        "rollout/lm", service="lm", targetVersion="v2", durationS=SECONDS
    )
    for name in started.replicas:
        started.write_record(name)
    wait_until(lambda: started.read_status("rollout/lm") == ROLLED_BACK)


@pytest.mark.anyio
async def test_a_verdict_on_a_former_order_is_not_stored_again() -> None:
    log = MemoryLog(None, failures=0)
    verdicts = rollouts.VerdictStore()
    verdicts.merge([rollout.Verdict("lm", "v2", rollout.State.ROLLED_BACK)])
    writer = rollouts.VerdictWriter(log, verdicts)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        writer.save_all({"lm": rollout.Order("lm", "v3", SECONDS, 0.0)})
        await anyio.sleep(0.1)
        assert log.kept is None
        writer.save_all({"lm": rollout.Order("lm", "v2", SECONDS, 0.0)})
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert log.kept is not None

"""Verdicts on rollouts that a store restored from an older copy lacks.

Guards against this failure: VMs kept the verdict for themselves, so operators
read "running" for good, and after the loss of all VMs a release that had been
rolled back was rolled out again.
"""

from __future__ import annotations

import contextlib
import http.client
import time
from concurrent import futures

import anyio
import msgspec
import pytest

from ramptray.core import message, rollout
from ramptray.scheduler import rollouts
from test import node, test_release_binding, test_rollout
from test.test_node import ask, wait_until
from test.test_rollout import ORDER, MemoryLog, roll_out, started

__all__ = ["started"]

ROLLED_BACK = {"state": "rolled_back", "targetVersion": "v2"}
SECONDS = 6.0
LOSSES = 6


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


def test_a_release_that_was_rolled_back_gets_nothing_after_all_vms_were_lost(
    started: node.Platform,
) -> None:
    # The first request after a start went there before the verdict was read.
    roll_out(started, SECONDS, fails=True)
    assert started.read_status("rollout/lm") == ROLLED_BACK
    started.set_faults("i-1", fail=False)
    before = started.read_ledger("i-1")["runs"]
    with futures.ThreadPoolExecutor(len(started.vms)) as pool:
        for _ in range(LOSSES):
            for vm in started.vms:
                started.kill_vm(vm)
            for vm in started.vms:
                started.restart_vm(vm)
            list(
                pool.map(lambda vm: ask_until_served(started, vm), started.vms)
            )
    assert started.read_ledger("i-1")["runs"] == before


def ask_until_served(started: node.Platform, vm: str) -> None:
    """Asks a VM that starts, over and over, until it has served a request."""
    ends_at = time.monotonic() + node.START_S
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if ask(started, "/safe/", vm=vm).status == 200:
                return
        time.sleep(0.002)
    raise node.NodeError(f"{vm}: serves no request")


def test_a_release_gets_nothing_before_its_verdict_is_read() -> None:
    # A rollout that had been decided began anew at each start.
    owner = test_rollout.make_owner(verdict=None)
    got = [test_rollout.serve(owner, number, "") for number in range(50)]
    assert set(got) == {"v1"}
    owner.releases.set_order(ORDER, test_rollout.STORED)
    got = [test_rollout.serve(owner, number, "") for number in range(50, 150)]
    assert set(got) == {"v1", "v2"}


def test_a_release_without_alternative_serves_before_its_verdict_is_read() -> (
    None
):
    owner = test_release_binding.make_owner({"b": "v2"})
    owner.releases.set_order(ORDER, None)
    info = test_release_binding.make_info("r")
    assert test_release_binding.enqueue(owner, info) == {"r": "b"}


@pytest.mark.parametrize("state", rollout.State)
def test_a_stream_waits_for_the_verdict_on_its_release(
    state: rollout.State,
) -> None:
    owner = test_release_binding.make_owner({"a": "v1", "b": "v2"})
    owner.releases.set_order(ORDER, None)
    info = test_release_binding.make_info("r", "v2")
    assert test_release_binding.enqueue(owner, info) == {}
    stored = msgspec.structs.replace(test_rollout.STORED, state=state)
    owner.releases.set_order(ORDER, stored)
    sent = [effect.message for effect in owner.tick(1.1)]
    is_granted = [isinstance(each, message.Grant) for each in sent]
    assert is_granted == [True] * (state is not rollout.State.ROLLED_BACK)


def test_a_stream_is_told_a_short_time_while_the_verdict_is_not_read() -> None:
    # It may go on as soon as the store answers.
    owner = test_release_binding.make_owner({"a": "v1", "b": "v2"})
    owner.releases.set_order(ORDER, None)
    test_release_binding.enqueue(
        owner, test_release_binding.make_info("r", "v2")
    )
    (effect,) = owner.tick(1.6)
    assert isinstance(effect.message, message.Reject)
    assert effect.message.reason is message.Reason.NO_RELEASE
    assert effect.message.retry_after_s <= 1.0


@pytest.mark.parametrize("is_owned", [True, False], ids=["owner", "stand_in"])
def test_a_manager_releases_a_rollout_once_the_store_shows_it(
    is_owned: bool,
) -> None:
    owner = test_rollout.make_owner(verdict=None)
    manager = rollouts.RolloutManager(lambda: [owner])
    enqueued: list[rollout.Verdict] = []
    manager.on_verdict = enqueued.append
    manager.set_order(owner, ORDER, is_owned)
    manager.advance(owner, is_owned, 1.0)
    assert [each.state for each in enqueued] == [rollout.State.RUNNING]
    assert test_rollout.serve(owner, 1, "") == "v1"
    manager.verdicts.merge([test_rollout.STORED])
    assert test_rollout.serve(owner, 2, "") == "v2"

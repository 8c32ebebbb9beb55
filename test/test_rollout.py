"""Tests canary rollouts: good releases complete, bad ones are rolled back."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

import anyio
import msgspec
import pytest

from bench import rollouts as simulation
from ramptray.command import status as status_command
from ramptray.core import backend, message, policy, rollout, shard
from ramptray.core import rules as shard_rules
from ramptray.log import error as log_error
from ramptray.log import verdictlog
from ramptray.platform import rollout as platform_rollout
from ramptray.platform import settings, store
from ramptray.scheduler import rollouts, status
from test import node, test_node

ORDER = rollout.Order("lm", "v2", 10.0, 0.0)
KEY = message.ShardKey("all", "lm")
CAPACITY = rollout.Capacity(10, 10, 0)
STORED = rollout.Verdict("lm", "v2", rollout.State.RUNNING, is_kept=True)
"""What the store shows of a rollout that is not decided."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Verdicts, and the requests that a bad release receives, in simulations.


@pytest.mark.parametrize("kind", simulation.KINDS, ids=lambda kind: kind.name)
def test_verdicts_are_correct_and_limits_hold_in_simulation(
    kind: simulation.Kind,
) -> None:
    wanted = rollout.State.COMPLETED
    if kind.is_bad:
        wanted = rollout.State.ROLLED_BACK
    for seed in range(1000, 1015):
        outcome = simulation.play(kind, seed)
        assert outcome.state in (wanted, rollout.State.RUNNING)
        if kind.is_bad:
            permitted = ORDER.share * outcome.sent + ORDER.slack
            assert outcome.sent_new <= permitted
            assert outcome.failures <= 50


def make_response(is_new: bool, failed: bool = False) -> rollout.Response:
    return rollout.Response(is_new, "/a/", failed, 1.0, 0.003)


def make_healthy(order: rollout.Order = ORDER) -> rollout.Rollout:
    """Returns a rollout whose release has returned only good responses."""
    made = rollout.Rollout(order)
    for _ in range(40):
        made.record_response(make_response(True))
    return made


def complete() -> rollout.Rollout:
    """Returns a completed rollout."""
    made = make_healthy()
    made.may_receive("v1", 1.0)
    for now in (6.0, 8.0, 9.5):
        made.advance(CAPACITY, now)
    assert made.state is rollout.State.COMPLETED
    return made


def test_rollout_completes_only_when_the_old_release_is_drained() -> None:
    made = make_healthy()
    busy = rollout.Capacity(10, 10, 1)
    for now in (6.0, 8.0, 9.5):
        assert made.advance(busy, now) is rollout.State.RUNNING
    assert not made.may_receive("v1", 1.0)
    assert made.advance(CAPACITY, 10.0) is rollout.State.COMPLETED
    assert made.may_receive("v2", 1.0)
    assert not made.may_receive("v1", 1.0)


def test_completed_rollout_does_not_affect_later_releases() -> None:
    made = make_healthy()
    for now in (6.0, 8.0, 9.5):
        assert made.may_receive("v1", 1.0) is (now < 9.5)
        made.advance(CAPACITY, now)
    assert made.state is rollout.State.COMPLETED
    assert [r for r in ("v1", "v2", "v3") if made.may_receive(r, 1.0)] == [
        "v2",
        "v3",
    ]


def test_release_without_capacity_is_not_promoted() -> None:
    made = make_healthy()
    assert (
        made.advance(rollout.Capacity(2, 10, 0), 9.9) is rollout.State.RUNNING
    )
    assert made.may_receive("v1", 1.0)


def test_release_that_turns_bad_during_promotion_is_rolled_back() -> None:
    made = make_healthy()
    for now in (6.0, 8.0):
        made.advance(rollout.Capacity(10, 10, 5), now)
    assert not made.may_receive("v1", 1.0)
    failures = 0
    while made.state is rollout.State.RUNNING:
        made.record_response(make_response(True, failed=True))
        failures += 1
    assert failures < 10
    assert made.state is rollout.State.ROLLED_BACK
    assert not made.may_receive("v2", 1.0)
    assert made.may_receive("v1", 1.0)


def test_final_state_never_changes() -> None:
    made = complete()
    for _ in range(100):
        made.record_response(make_response(True, failed=True))
    assert made.state is rollout.State.COMPLETED
    made.apply_verdict(rollout.Verdict("lm", "v2", rollout.State.ROLLED_BACK))
    assert made.state is rollout.State.COMPLETED


def test_stored_verdict_overrides_the_local_one() -> None:
    made = complete()
    kept = rollout.Verdict("lm", "v2", rollout.State.ROLLED_BACK, "", True)
    made.apply_verdict(kept)
    assert made.state is rollout.State.ROLLED_BACK
    made.apply_verdict(msgspec.structs.replace(kept, release="v1"))
    assert made.state is rollout.State.ROLLED_BACK


# Owners of a service.


def make_owner(
    verdict: rollout.Verdict | None = STORED,
) -> shard.ShardOwner:
    """Returns the owner of two releases, with what the store shows of v2."""
    infos = [
        backend.BackendInfo(f"{release}-{n}", 4, 10**6, 0, release=release)
        for release in ("v1", "v2")
        for n in range(4)
    ]
    made = shard.ShardOwner(
        KEY,
        "o:1",
        shard_rules.ShardRules({"t": 0}, 10**9, 0.0, {}, {}),
        infos,
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
    )
    order = msgspec.structs.replace(ORDER, slack=10.0)
    made.releases.set_order(order, verdict)
    return made


def serve(owner: shard.ShardOwner, number: int, fails: str) -> str | None:
    """Serves a request; returns the release that received it."""
    now = number * 0.02
    info = message.RequestInfo(f"r{number}", KEY, "c", "t", 10, 10, (), 9.0)
    out = owner.receive("e", message.Enqueue(info), now)
    granted = [e.message for e in out if isinstance(e.message, message.Grant)]
    if not granted:
        return None
    release = granted[0].backend[:2]
    ended = message.Ended(f"r{number}", 0, 0.0, True, failed=release == fails)
    owner.receive("e", ended, now + 0.01)
    owner.releases.advance(now + 0.01)
    return release


def test_owner_rolls_back_a_failing_release_within_its_share() -> None:
    owner = make_owner()
    got = [serve(owner, number, "v2") for number in range(400)]
    assert owner.releases.rollout is not None
    assert owner.releases.rollout.state is rollout.State.ROLLED_BACK
    assert got.count("v2") <= 10
    assert got.count("v1") == 400 - got.count("v2")


def test_owner_moves_traffic_to_a_healthy_release() -> None:
    owner = make_owner()
    got = [serve(owner, number, "-") for number in range(500)]
    assert owner.releases.rollout is not None
    assert owner.releases.rollout.state is rollout.State.COMPLETED
    assert got[-1] == "v2"
    assert got[:200].count("v2") <= 0.1 * 200 + 10


def test_status_shows_state_and_reason() -> None:
    owner = make_owner()
    for number in range(300):
        serve(owner, number, "v2")
    report = {
        "zone": "z",
        "generation": 1,
        "log_up": True,
        "log_age_s": 1.0,
        "members": [],
        "attached": [],
        "digest": None,
        "shards": [
            {
                "shard": "all/lm/0",
                "owned": True,
                "waiting_by_tier": [0],
                "running": 0,
                "granted": 300,
                "redirected": 0,
                "shed_last_minute": {},
                "backend_servers": [],
                "rollout": status._describe_rollout(owner.releases.rollout),
            }
        ],
    }
    line = list(status_command.iterate_lines({"vm": report}))[-1]
    assert "v2" in line
    assert "rolled_back" in line
    assert "fails more often on all routes" in line


# Verdicts exchanged between VMs and stored in the log.


def test_final_verdict_is_passed_on_once() -> None:
    verdicts = rollouts.VerdictStore()
    reported: list[rollout.Verdict] = []
    verdicts.on_change(reported.append)
    verdict = rollout.Verdict("lm", "v2", rollout.State.ROLLED_BACK, "why")
    verdicts.merge([rollout.Verdict("lm", "v2", rollout.State.RUNNING)])
    assert verdicts.list_final() == []
    for _ in range(2):
        verdicts.merge([verdict])
    assert reported[1:] == [verdict]
    assert verdicts.list_final() == [verdict]


class MemoryLog(verdictlog.VerdictLog):
    """Stores the first final verdict, after some failures."""

    def __init__(self, kept: rollout.Verdict | None, failures: int) -> None:
        self.kept = kept
        self.failures = failures

    async def save(self, verdict: rollout.Verdict) -> rollout.Verdict:
        if self.failures:
            self.failures -= 1
            raise log_error.LogError("not now")
        if self.kept is None or not self.kept.state.is_final:
            self.kept = verdict
        return self.kept


@pytest.mark.anyio
@pytest.mark.parametrize(
    "kept", [None, rollout.State.RUNNING, rollout.State.COMPLETED]
)
async def test_verdict_is_stored_once_the_log_is_available(
    kept: rollout.State | None,
) -> None:
    found = kept and rollout.Verdict("lm", "v2", kept)
    log = MemoryLog(found, failures=2)
    verdicts = rollouts.VerdictStore()
    writer = rollouts.VerdictWriter(log, verdicts)
    local = rollout.Verdict("lm", "v2", rollout.State.ROLLED_BACK)
    verdicts.merge([local])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        writer.enqueue(local)
        with anyio.fail_after(10.0):
            while not getattr(verdicts.get("lm"), "is_kept", False):
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    known = verdicts.get("lm")
    assert known is not None
    final = kept is rollout.State.COMPLETED
    wanted = kept if final else rollout.State.ROLLED_BACK
    assert known.state is wanted


# The platform adapter.


def test_invalid_order_is_ignored() -> None:
    orders = platform_rollout.RolloutOrderRegistry(
        settings.RolloutTerms(0.1, 50)
    )
    good = {"service": "lm", "targetVersion": "v2", "durationS": 12}
    bad = [
        b"{}",
        b"\xff",
        json.dumps({**good, "durationS": -1}).encode(),
        json.dumps({**good, "targetVersion": ""}).encode(),
    ]
    for value in bad:
        assert not orders.apply([store.Change("rollout/lm", value)], False, 0.0)
    change = store.Change("rollout/lm", json.dumps(good).encode())
    assert orders.apply([change], False, 5.0)
    # Reading the same order again does not restart the rollout.
    assert not orders.apply([change], True, 9.0)
    assert orders.list_orders()["lm"].began_at == 5.0
    assert orders.apply([store.Change("rollout/lm", None)], False, 9.0)


@pytest.fixture
def started() -> Iterator[node.Platform]:
    bounds = {"canaryShare": 0.1, "canarySlack": 50}
    with node.run_platform(vms=2, replicas=1, bounds=bounds) as platform:
        test_node.wait_until(
            lambda: test_node.ask(platform, "/safe/").status == 200
        )
        yield platform


def roll_out(
    started: node.Platform, seconds: float, fails: bool = False
) -> list[int]:
    """Starts a rollout and sends requests until it ends; returns statuses."""
    started.set_order(
        "rollout/lm", service="lm", targetVersion="v2", durationS=seconds
    )
    started.start_replica("i-1", version="v2")
    started.set_faults("i-1", fail=fails)
    ends_at = time.monotonic() + seconds + 4.0
    statuses: list[int] = []
    while time.monotonic() < ends_at:
        vm = f"vm-{len(statuses) % 2}"
        statuses.append(test_node.ask(started, "/safe/", vm=vm).status)
        reported = started.read_status("rollout/lm")
        if reported and reported["state"] != "running":
            break
    return statuses


def test_bad_release_is_rolled_back_and_reported(
    started: node.Platform,
) -> None:
    roll_out(started, 6.0, fails=True)
    reported = started.read_status("rollout/lm")
    assert reported == {"state": "rolled_back", "targetVersion": "v2"}
    before = len(started.read_ledger("i-1")["runs"])
    assert before <= 30
    statuses = {test_node.ask(started, "/safe/").status for _ in range(20)}
    assert statuses == {200}
    assert len(started.read_ledger("i-1")["runs"]) == before


def test_good_release_receives_all_traffic_and_is_reported(
    started: node.Platform,
) -> None:
    statuses = roll_out(started, 5.0)
    assert set(statuses) == {200}
    reported = started.read_status("rollout/lm")
    assert reported == {"state": "completed", "targetVersion": "v2"}
    before = len(started.read_ledger("i-0")["runs"])
    assert {test_node.ask(started, "/safe/").status for _ in range(20)} == {200}
    assert len(started.read_ledger("i-0")["runs"]) == before

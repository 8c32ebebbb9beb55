"""The desk that claims keys on the log, when the log or the desk is slow."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ramptray.core import claim, message, request
from ramptray.log import client as log_client
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import claims, event

pytestmark = pytest.mark.anyio
LONG_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class BrokenLog(log_client.Log):
    """A log whose appends work though their answers are lost.

    Nothing can be read of it.
    """

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []

    async def append(self, stream: str, body: dict[str, Any]) -> int:
        self.records.extend(body["records"])
        raise log_client.PlatformError("no answer")

    async def read(
        self, stream: str, offset: int, wait_s: float
    ) -> log_client.Page:
        raise log_client.PlatformError("no answer")


async def test_a_desk_that_gives_up_releases_nothing_by_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt may hold the key by another scheduler's word, and run."""
    monkeypatch.setattr(claims, "CLAIM_TIMEOUT_S", 0.1)
    log = BrokenLog()
    send, decisions = anyio.create_memory_object_stream[str](10)
    desk = claims.ClaimManager(
        log, lambda _, decision: send.send_nowait(decision.verdict)
    )
    wish = peer_message.ClaimKey("key", "attempt", "digest")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(desk.run)
        desk.post(event.ClaimRequested(peer_link.Session(), wish))
        with anyio.fail_after(LONG_S):
            verdict = await decisions.receive()
        assert verdict == claim.ClaimStatus.UNAVAILABLE.value
        count = len(log.records)
        with anyio.fail_after(LONG_S):
            while len(log.records) < count + 3:
                await anyio.sleep(0.01)
        assert {r["kind"] for r in log.records} == {"claim"}
        desk.post(
            event.ClaimReleased(peer_message.ReleaseKey("key", "attempt"))
        )
        with anyio.fail_after(LONG_S):
            while log.records[-1]["kind"] != "release":
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def test_an_entry_that_is_told_unavailable_releases_its_claim() -> None:
    info = message.RequestInfo(
        "r", message.ShardKey("z", "s"), "c", "t", 1, 1, (), 9.0
    )
    machine = request.RequestMachine(info, needs_claim=True)
    machine.assign("A", info)
    effects = machine.decide_claim(
        False, claim.make_finish(claim.ClaimStatus.UNAVAILABLE)
    )
    assert request.Release() in effects
    assert machine.state is request.State.ENDED


class LosingLog(log_client.Log):
    """A log that never answers a read which waits, and all else."""

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []

    async def append(self, stream: str, body: dict[str, Any]) -> int:
        self.records.append(body)
        return len(self.records) - 1

    async def read(
        self, stream: str, offset: int, wait_s: float
    ) -> log_client.Page:
        if wait_s:
            await anyio.sleep_forever()
        records = [
            log_client.LogRecord(offset + place, body)
            for place, body in enumerate(self.records[offset:])
        ]
        return log_client.Page(0, len(self.records), records)


async def test_a_desk_finds_a_lost_read_by_its_own_append() -> None:
    # The claim was on the log, but the desk waited for a read that was never
    # answered and told the caller after two seconds that the log was down.
    log = LosingLog()
    send, decisions = anyio.create_memory_object_stream[str](10)
    desk = claims.ClaimManager(
        log, lambda _, decision: send.send_nowait(decision.verdict)
    )
    wish = peer_message.ClaimKey("key", "attempt", "digest")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(desk.run)
        desk.post(event.PartitionsChanged(frozenset({0, 1, 2, 3})))
        await anyio.sleep(0.2)
        desk.post(event.ClaimRequested(peer_link.Session(), wish))
        with anyio.fail_after(LONG_S):
            verdict = await decisions.receive()
        tasks.cancel_scope.cancel()
    assert verdict == claim.ClaimStatus.HELD.value

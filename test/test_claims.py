"""Tests the claim manager when the log is slow or loses responses."""

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
TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class ResponseLosingLog(log_client.Log):
    """A log whose appends succeed but whose responses are lost.

    Reads fail.
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


async def test_claim_timeout_does_not_release_the_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt may have been granted by another scheduler and be running."""
    monkeypatch.setattr(claims, "CLAIM_TIMEOUT_S", 0.1)
    log = ResponseLosingLog()
    send, decisions = anyio.create_memory_object_stream[str](10)
    manager = claims.ClaimManager(
        log, lambda _, decision: send.send_nowait(decision.verdict)
    )
    claim_key = peer_message.ClaimKey("key", "attempt", "digest")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        manager.post(event.ClaimRequested(peer_link.Session(), claim_key))
        with anyio.fail_after(TIMEOUT_S):
            status = await decisions.receive()
        assert status == claim.ClaimStatus.UNAVAILABLE.value
        count = len(log.records)
        with anyio.fail_after(TIMEOUT_S):
            while len(log.records) < count + 3:
                await anyio.sleep(0.01)
        assert {r["kind"] for r in log.records} == {"claim"}
        manager.post(
            event.ClaimReleased(peer_message.ReleaseKey("key", "attempt"))
        )
        with anyio.fail_after(TIMEOUT_S):
            while log.records[-1]["kind"] != "release":
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def test_entry_releases_its_claim_if_the_log_is_unavailable() -> None:
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


class UnresponsiveLog(log_client.Log):
    """A log that never responds to waiting reads, only to other calls."""

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
            log_client.LogRecord(offset + index, body)
            for index, body in enumerate(self.records[offset:])
        ]
        return log_client.Page(0, len(self.records), records)


async def test_claim_is_decided_after_a_lost_read() -> None:
    # The claim had reached the log, but the manager waited for a read without a
    # response and reported the log as unavailable after two seconds.
    log = UnresponsiveLog()
    send, decisions = anyio.create_memory_object_stream[str](10)
    manager = claims.ClaimManager(
        log, lambda _, decision: send.send_nowait(decision.verdict)
    )
    claim_key = peer_message.ClaimKey("key", "attempt", "digest")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(manager.run)
        manager.post(event.PartitionsChanged(frozenset({0, 1, 2, 3})))
        await anyio.sleep(0.2)
        manager.post(event.ClaimRequested(peer_link.Session(), claim_key))
        with anyio.fail_after(TIMEOUT_S):
            status = await decisions.receive()
        tasks.cancel_scope.cancel()
    assert status == claim.ClaimStatus.HELD.value

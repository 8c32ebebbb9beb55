"""Following the stream of bundles in the log."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from ramptray.bundle import acceptance
from ramptray.bundle import record as bundle_record
from ramptray.core import clock, propagation
from ramptray.log import client as log_client
from ramptray.peer import link as peer_link
from ramptray.scheduler import follower
from test import test_bundle

pytestmark = [
    pytest.mark.anyio,
    pytest.mark.usefixtures("grpc_queue_closed"),
]
TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class MemoryLog(log_client.Log):
    """A log in memory that counts the records read from it."""

    def __init__(self, records: list[acceptance.Record]) -> None:
        self.records = [bundle_record.format_record(r) for r in records]
        self.read_count = 0

    async def append(self, stream: str, body: dict[str, Any]) -> int:
        self.records.append(body)
        return len(self.records) - 1

    async def read(
        self, stream: str, offset: int, wait_s: float
    ) -> log_client.Page:
        found = [
            log_client.LogRecord(offset + place, body)
            for place, body in enumerate(self.records[offset:])
        ]
        self.read_count += len(found)
        if not found and wait_s:
            await anyio.sleep_forever()
        return log_client.Page(0, len(self.records), found)


def make_follower(
    log: log_client.Log, on_change: Callable[[acceptance.InForce], None]
) -> follower.BundleFollower:
    return follower.BundleFollower(
        log,
        test_bundle.make_tracker()._trust,
        peer_link.PeerClient(clock.HybridClock(lambda: 0), None),
        random.Random(1),
        on_change,
    )


async def follow(log: log_client.Log) -> acceptance.InForce:
    """Returns the first bundle that a new follower puts in force."""
    send, receive = anyio.create_memory_object_stream[acceptance.InForce](10)
    followed = make_follower(log, send.send_nowait)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        with anyio.fail_after(TIMEOUT_S):
            in_force = await receive.receive()
        tasks.cancel_scope.cancel()
    return in_force


def make_long_log(with_checkpoint: bool) -> MemoryLog:
    """Returns a log of a bundle and a thousand repetitions that lose to it."""
    first = acceptance.Rollout(test_bundle.FIRST)
    records: list[acceptance.Record] = [first] * 1000
    if with_checkpoint:
        records[900] = acceptance.Checkpoint(test_bundle.FIRST, 899)
    return MemoryLog(records)


async def test_a_new_follower_reads_only_the_end_of_a_long_log() -> None:
    log = make_long_log(with_checkpoint=True)
    in_force = await follow(log)
    assert in_force.envelope == test_bundle.FIRST
    assert log.read_count <= follower.RECENT_RECORDS + 1


async def test_a_follower_without_a_checkpoint_reads_the_whole_log() -> None:
    log = make_long_log(with_checkpoint=False)
    in_force = await follow(log)
    assert in_force.envelope == test_bundle.FIRST
    assert log.read_count > 1000


async def test_a_bundle_is_found_although_the_waiting_read_is_lost() -> None:
    # A read of the log in memory that waits never returns, like a lost read.
    log = MemoryLog([acceptance.Rollout(test_bundle.FIRST)])
    send, receive = anyio.create_memory_object_stream[acceptance.InForce](10)
    followed = make_follower(log, send.send_nowait)
    followed.set_watching(True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(followed.run)
        with anyio.fail_after(TIMEOUT_S):
            assert (await receive.receive()).envelope == test_bundle.FIRST
        second = acceptance.Rollout(test_bundle.SECOND)
        log.records.append(bundle_record.format_record(second))
        with anyio.fail_after(
            propagation.WATCH_WAIT_S + 2 * propagation.RESPONSE_MARGIN_S
        ):
            assert (await receive.receive()).envelope == test_bundle.SECOND
        tasks.cancel_scope.cancel()

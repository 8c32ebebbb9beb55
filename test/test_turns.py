"""Turns at work that takes long."""

from __future__ import annotations

import anyio
import pytest

from ramptray import steadyclock, turns

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_one_task_works_in_each_pass_of_the_event_loop() -> None:
    queue = turns.TurnQueue()
    passes = 0
    worked: list[int] = []

    async def work() -> None:
        await turns.wait(queue.enqueue(0), steadyclock.read() + 5.0)
        worked.append(passes)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(work)
        while len(worked) < 10:
            passes += 1
            await anyio.lowlevel.checkpoint()
    assert len(set(worked)) == 10


async def test_who_has_worked_least_is_next() -> None:
    queue = turns.TurnQueue()
    order: list[int] = []

    async def work(used: int) -> None:
        await turns.wait(queue.enqueue(used), steadyclock.read() + 5.0)
        order.append(used)

    async with anyio.create_task_group() as tasks:
        for used in (3, 0, 2, 1):
            tasks.start_soon(work, used)
    assert order == [0, 1, 2, 3]


async def test_a_withdrawn_turn_and_a_closed_queue_end_the_wait() -> None:
    queue = turns.TurnQueue()
    turn = queue.enqueue(0)
    turns.withdraw(turn)
    with pytest.raises(TimeoutError):
        await turns.wait(turn, steadyclock.read() + 5.0)
    waiting = queue.enqueue(0)
    queue.close()
    for closed in (waiting, queue.enqueue(0)):
        with pytest.raises(TimeoutError):
            await turns.wait(closed, steadyclock.read() + 5.0)


async def test_a_turn_that_does_not_come_in_time_ends_the_wait() -> None:
    queue = turns.TurnQueue()
    for _ in range(50):
        queue.enqueue(0)
    with pytest.raises(TimeoutError):
        await turns.wait(queue.enqueue(1), steadyclock.read())

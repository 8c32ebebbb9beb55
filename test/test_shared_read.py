"""A read of the store that several callers share.

Guards against this failure: a caller that left ended the read that others
waited for, and they took the answer of an earlier one for theirs.  A stream
then went on although records of other releases had not been read.
"""

from __future__ import annotations

import anyio
import pytest

from ramptray import steadyclock
from ramptray.log import shared_read
from test import virtualtime

INTERVAL_S = 0.05


@pytest.fixture
def anyio_backend() -> str:
    """Returns the event loop that the programs use."""
    return "asyncio"


class Store:
    """A store that answers the first read only."""

    def __init__(self) -> None:
        self.reads = 0
        self.answers = True

    async def read(self) -> bool:
        """Reads for as long as the store does not answer, up to a timeout."""
        self.reads += 1
        if not self.answers:
            await anyio.sleep(4 * INTERVAL_S)
        return self.answers


@pytest.mark.anyio
async def test_a_read_that_its_caller_left_answers_nobody() -> None:
    store = Store()
    shared = shared_read.SharedRead(store.read, INTERVAL_S)
    found = []

    async def wait() -> None:
        found.append(await shared.get_answer())

    assert await shared.get_answer()
    store.answers = False
    async with anyio.create_task_group() as waiting:
        leaving = anyio.CancelScope()

        async def leave() -> None:
            with leaving:
                await shared.get_answer()

        waiting.start_soon(leave)
        await anyio.sleep(0)
        waiting.start_soon(wait)
        await anyio.sleep(2 * INTERVAL_S)
        assert store.reads == 2
        leaving.cancel()
    assert found == [False]
    assert store.reads == 3


def test_the_interval_counts_from_the_start_of_the_last_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Callers that had waited for the last read waited for that time once more.
    monkeypatch.setattr(steadyclock, "read", virtualtime.read)
    started_at: list[float] = []

    async def read() -> bool:
        started_at.append(steadyclock.read())
        await anyio.sleep(INTERVAL_S / 2)
        return True

    async def ask_twice() -> None:
        shared = shared_read.SharedRead(read, INTERVAL_S)
        async with anyio.create_task_group() as asking:
            asking.start_soon(shared.get_answer)
            await anyio.sleep(INTERVAL_S / 4)
            asking.start_soon(shared.get_answer)

    virtualtime.run(ask_twice)
    first_at, second_at = started_at
    assert second_at - first_at == pytest.approx(INTERVAL_S)

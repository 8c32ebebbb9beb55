"""Exchange of blocks through the log, between VMs that are partitioned."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import pytest

from ramptray import steadyclock
from ramptray.core import blocklist
from ramptray.log import blocklog, error
from ramptray.scheduler import block_sync

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Log(blocklog.BlockLog):
    """Stores blocks in memory.

    Attributes:
        reads: Number of loads.
        is_down: Whether all calls fail.
    """

    def __init__(self) -> None:
        self.kept: dict[str, blocklog.StoredBlock] = {}
        self.reads = 0
        self.is_down = False

    async def save(self, block: blocklog.StoredBlock) -> None:
        if self.is_down:
            raise error.LogError("down")
        self.kept[block.content] = block

    async def load(self) -> list[blocklog.StoredBlock]:
        self.reads += 1
        if self.is_down:
            raise error.LogError("down")
        return list(self.kept.values())


class Vm:
    """A VM's blocks and their sync with the log."""

    def __init__(self, log: Log) -> None:
        self.blocks = blocklist.Blocklist()
        self.sync = block_sync.BlockSync(log, self.blocks)

    def knows(self, content: str) -> bool:
        return self.blocks.get_remaining_s(content, steadyclock.read()) > 0


@contextlib.asynccontextmanager
async def run(*vms: Vm) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(vm.sync.run)
        yield
        tasks.cancel_scope.cancel()


async def wait_for(check: Callable[[], bool]) -> None:
    with anyio.fail_after(2.0):
        while not check():
            await anyio.sleep(0.01)


async def test_a_partitioned_vm_loads_a_block_after_its_first_crash() -> None:
    log = Log()
    here, partitioned = Vm(log), Vm(log)
    async with run(here, partitioned):
        here.blocks.block("p", 3, steadyclock.read())
        await wait_for(lambda: "p" in log.kept)
        assert not partitioned.knows("p")
        partitioned.sync.request_reload()
        await wait_for(lambda: partitioned.knows("p"))


async def test_a_wave_of_crashes_causes_few_loads() -> None:
    log = Log()
    vm = Vm(log)
    async with run(vm):
        for _ in range(50):
            vm.sync.request_reload()
            await anyio.sleep(0.01)
    assert log.reads <= 2


async def test_a_block_is_saved_once_the_log_is_back() -> None:
    log = Log()
    log.is_down = True
    vm = Vm(log)
    async with run(vm):
        vm.blocks.block("p", 3, steadyclock.read())
        await anyio.sleep(0.3)
        log.is_down = False
        await wait_for(lambda: "p" in log.kept)
        assert vm.knows("p")

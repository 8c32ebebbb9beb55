"""Settings that say at each start that all VMs start for the first time.

Guards against this failure: VMs took the setting for evidence that no content
had been blocked, so blocks were forgotten once all VMs had been lost, and a
content crashed backend servers again.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from test import node, test_poison
from test.poison_load import MARK
from test.test_forgotten_releases import set_bootstrap
from test.test_node import ask, wait_until


@pytest.fixture
def started() -> Iterator[node.Platform]:
    """Two VMs and replicas that one content crashes."""
    with node.run_platform(vms=test_poison.VMS, replicas=0) as platform:
        for number in range(test_poison.REPLICAS):
            platform.start_replica(
                f"i-{number}", crash_on=MARK, work_s=0.02, events=4
            )
        wait_until(lambda: ask(platform, "/safe/").status == 200)
        yield platform


def test_a_block_survives_a_restart_of_all_vms(started: node.Platform) -> None:
    test_poison.block(started)
    set_bootstrap(started)
    wait_until(lambda: test_poison.is_serving(started, started.vms))
    test_poison.check_not_run(started, started.vms)

"""A VM that starts again after the store came back from an older copy.

Guards against this failure: the VM took the older configuration of the store
for the newest, and accepted keys that the others no longer did, until operators
wrote the newer one again.
"""

from __future__ import annotations

from test import node
from test.test_node import ask, wait_until

REMOVED_KEY = "key-removed"
UNAUTHORIZED = 401


def ask_with_removed_key(started: node.Platform, vm: str) -> int:
    """Returns the status of a request with the key that was removed."""
    headers = {"Authorization": f"Bearer {REMOVED_KEY}"}
    return ask(started, "/safe/", vm=vm, headers=headers).status


def set_config(started: node.Platform, version: int, *keys: str) -> None:
    """Puts a configuration with further keys in force."""
    config = node.make_config(version)
    config["tenants"][0]["apiKeys"].extend(keys)
    started.set_config(config)
    for vm in started.vms:
        started.wait_for_config(vm, version)


def test_a_vm_that_starts_again_learns_what_the_store_lost() -> None:
    with node.run_platform(vms=3) as started:
        set_config(started, 2, REMOVED_KEY)
        assert ask_with_removed_key(started, "vm-2") == 200
        set_config(started, 3)
        started.lose_records(1)
        for name in started.replicas:
            started.write_record(name)
        started.kill_vm("vm-2")
        started.restart_vm("vm-2")
        started._wait_for(started.vms["vm-2"]["ready"], "/v1/ready")
        wait_until(
            lambda: ask_with_removed_key(started, "vm-2") == UNAUTHORIZED, 3.0
        )
        assert ask_with_removed_key(started, "vm-0") == UNAUTHORIZED
        assert ask(started, "/safe/", vm="vm-2").status == 200

"""A VM whose seeds are stale joins the others once its file names live ones.

The platform may change the file without a signal.
"""

from __future__ import annotations

import functools
import json
import pathlib
import signal
import time

import pytest

from bench import ports
from test import node
from test.test_node import ask, wait_until

JOIN_S = 5.0
"""Time in which a VM finds the others by live seeds, in seconds."""


def write_seeds(
    platform: node.Platform, vm: str, seeds: list[str] | None
) -> None:
    """Replaces the seeds in a VM's settings file; None leaves them out."""
    path = platform.folder / f"{vm}.toml"
    lines = [
        line
        for line in path.read_text().splitlines()
        if not line.startswith("seeds = ")
    ]
    if seeds is not None:
        lines.insert(0, f"seeds = {json.dumps(seeds)}")
    # In one step, as a reader must not see half of it.
    written = path.with_suffix(".new")
    written.write_text("\n".join(lines))
    written.replace(path)


def start_alone(platform: node.Platform, name: str, stale: int = 3) -> None:
    """Starts a VM whose seeds no longer exist."""
    live = dict(platform.vms)
    platform.vms.clear()
    for number in range(stale):
        address = f"127.0.0.1:{ports.reserve_port()}"
        platform.vms[f"gone-{number}"] = {"control": address}
    platform.start_vm(name)
    for number in range(stale):
        del platform.vms[f"gone-{number}"]
    platform.vms.update(live)


def count_members(platform: node.Platform, vm: str) -> int:
    """Returns how many VMs a VM knows, itself included."""
    counts = [
        line["event"]["count"]
        for line in platform.read_log(vm)
        if line.get("event", {}).get("kind") == "membership"
    ]
    return int(counts[-1]) if counts else 0


@pytest.mark.parametrize("stale", [1, 3, 8])
def test_a_vm_joins_by_seeds_that_change_without_a_signal(stale: int) -> None:
    # It stayed alone, owned each service beside the owner, and granted
    # customers' limits a second time.
    with node.run_platform(vms=2) as platform:
        start_alone(platform, "vm-new", stale)
        wait_until(lambda: count_members(platform, "vm-new") == 1)
        live = [platform.vms[vm]["control"] for vm in ("vm-0", "vm-1")]
        write_seeds(platform, "vm-new", live)
        for vm in platform.vms:
            wait_until(
                lambda vm=vm: count_members(platform, vm) == 3,  # type: ignore[misc]
                JOIN_S,
            )


def test_a_file_without_seeds_does_not_take_the_known_ones_away() -> None:
    with node.run_platform(vms=1) as platform:
        seed = platform.vms["vm-0"]
        platform.kill_vm("vm-0")
        platform.start_vm("vm-1")
        write_seeds(platform, "vm-1", None)
        wait_until(functools.partial(_has_reloaded, platform, "vm-1"), JOIN_S)
        assert platform.vms["vm-0"] == seed
        platform.restart_vm("vm-0")
        wait_until(lambda: count_members(platform, "vm-1") == 2, JOIN_S)


def test_an_invalid_file_is_passed_over_until_it_is_corrected() -> None:
    with node.run_platform(vms=1) as platform:
        start_alone(platform, "vm-new")
        path = platform.folder / "vm-new.toml"
        text = path.read_text()
        path.write_text("seeds = [")
        wait_until(
            lambda: any(
                line["message"] == "settings not reloaded"
                for line in platform.read_log("vm-new")
            ),
            JOIN_S,
        )
        path.write_text(text)
        write_seeds(platform, "vm-new", [platform.vms["vm-0"]["control"]])
        wait_until(lambda: count_members(platform, "vm-new") == 2, JOIN_S)


def test_a_signal_before_the_program_is_loaded_does_not_end_it() -> None:
    with node.run_platform(vms=1) as platform:
        platform.kill_vm("vm-0")
        platform.restart_vm("vm-0")
        process = platform.processes["vm-0"]
        wait_until(functools.partial(_is_listening, platform, "vm-0"))
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: ask(platform, "/safe/").status == 200)
        time.sleep(0.1)
        assert process.poll() is None


def _has_reloaded(platform: node.Platform, vm: str) -> bool:
    return any(
        line["message"] == "settings reloaded" for line in platform.read_log(vm)
    )


def _is_listening(platform: node.Platform, vm: str) -> bool:
    """Returns whether the callers' socket is open."""
    port = int(platform.vms[vm]["front"].rpartition(":")[2])
    listening = pathlib.Path("/proc/net/tcp").read_text()
    return any(
        f":{port:04X} " in line.split()[1] + " " and line.split()[3] == "0A"
        for line in listening.splitlines()[1:]
    )

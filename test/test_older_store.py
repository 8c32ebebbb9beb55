"""Tests a store that is restored from a copy a few seconds old.

The records written since the copy are lost, and their offsets are assigned
again.  Guards against VMs that continue reading from their previous offset and
silently miss the new records below it, and against VMs that reject updates
from peers as stale.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import node
from test.test_node import ask, wait_until

VMS = 4
IN_FORCE_S = 2.0
"""Time limit for a change to be in force on every idle VM, in seconds."""


def make_config(version: int, first: int = 1) -> dict[str, object]:
    """Returns a configuration with one route per version up to this one."""
    config = node.make_config(version)
    config["routes"].extend(
        {**config["routes"][0], "name": f"v{n}", "pathPrefix": f"/v{n}/"}
        for n in range(first, version + 1)
    )
    return config


def is_in_force(started: node.Platform, version: int) -> bool:
    return all(
        ask(started, f"/v{version}/", vm=vm).status == 200 for vm in started.vms
    )


@pytest.fixture
def started() -> Iterator[node.Platform]:
    with node.run_platform(vms=VMS, replicas=2) as platform:
        platform.set_config(make_config(2))
        wait_until(lambda: is_in_force(platform, 2))
        # Third record of the configuration topic; the replica topic has two.
        platform.set_config(make_config(3))
        wait_until(lambda: is_in_force(platform, 3))
        yield platform


def test_change_at_reused_offset_is_in_force_in_time(
    started: node.Platform,
) -> None:
    started.lose_records(1)
    # Version 4 takes the offset of version 3; other records follow it.
    started.set_config(make_config(4))
    written = time.monotonic()
    started._put(node.CONFIG_TOPIC, "other", b"{}")
    started._put(node.CONFIG_TOPIC, "other", b"[]")
    wait_until(lambda: is_in_force(started, 4), IN_FORCE_S)
    assert time.monotonic() - written < IN_FORCE_S


def test_vms_keep_newer_configuration_after_restore(
    started: node.Platform,
) -> None:
    started.lose_records(2)
    time.sleep(0.5)
    for name in started.replicas:
        # Replicas and operators write lost records again.
        started.write_record(name)
    ends_at = time.monotonic() + IN_FORCE_S
    while time.monotonic() < ends_at:
        assert is_in_force(started, 3)
    started.set_config(make_config(3))
    started.set_config(make_config(4))
    wait_until(lambda: is_in_force(started, 4), IN_FORCE_S)


def test_repeated_restores_are_survived(started: node.Platform) -> None:
    for version in (4, 5):
        started.lose_records(1)
        started.set_config(make_config(version))
        started._put(node.CONFIG_TOPIC, "other", b"{}")
        started.lose_records(2)
        started.set_config(make_config(version))
        started._put(node.CONFIG_TOPIC, "other", b"{}")
        started._put(node.CONFIG_TOPIC, "other", b"[]")
        wait_until(
            lambda version=version: is_in_force(started, version),  # type: ignore[misc]
            IN_FORCE_S,
        )


def test_replicas_with_lost_records_are_kept_until_rewritten(
    started: node.Platform,
) -> None:
    started.lose_records(2)
    time.sleep(0.3)
    for name in started.replicas:
        assert ask(started, "/safe/").status == 200
        started.write_record(name)
    for vm in started.vms:
        assert ask(started, "/safe/", vm=vm).status == 200

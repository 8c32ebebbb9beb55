"""A store that comes back from a copy some seconds old.

What was written since is gone, and its offsets are given out again.  VMs went
on reading from the offset they had reached, and passed over, without a word,
what now stood below it; those that were told by others held what they were told
for old.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from test import node
from test.test_node import ask, wait_until

VMS = 4
IN_FORCE_S = 2.0
"""Time from a change until it is in force on every calm VM, in seconds."""


def make_config(version: int, first: int = 1) -> dict[str, object]:
    """Returns a configuration with a route for each version so far."""
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
        # Two replicas, and so a third record after theirs in each topic.
        platform.set_config(make_config(3))
        wait_until(lambda: is_in_force(platform, 3))
        yield platform


def test_a_change_at_an_offset_given_out_again_is_in_force_in_time(
    started: node.Platform,
) -> None:
    started.lose_records(1)
    # Version 4 stands where version 3 stood, and other records behind it.
    started.set_config(make_config(4))
    written = time.monotonic()
    started._put(node.CONFIG_TOPIC, "other", b"{}")
    started._put(node.CONFIG_TOPIC, "other", b"[]")
    wait_until(lambda: is_in_force(started, 4), IN_FORCE_S)
    assert time.monotonic() - written < IN_FORCE_S


def test_nobody_goes_back_with_the_store(started: node.Platform) -> None:
    started.lose_records(2)
    time.sleep(0.5)
    for name in started.replicas:
        # They write again what was lost, as the operator does.
        started.write_record(name)
    ends_at = time.monotonic() + IN_FORCE_S
    while time.monotonic() < ends_at:
        assert is_in_force(started, 3)
    started.set_config(make_config(3))
    started.set_config(make_config(4))
    wait_until(lambda: is_in_force(started, 4), IN_FORCE_S)


def test_two_losses_in_a_row_are_lived_through(started: node.Platform) -> None:
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


def test_replicas_whose_records_are_lost_are_kept_until_they_are_back(
    started: node.Platform,
) -> None:
    started.lose_records(2)
    time.sleep(0.3)
    for name in started.replicas:
        assert ask(started, "/safe/").status == 200
        started.write_record(name)
    for vm in started.vms:
        assert ask(started, "/safe/", vm=vm).status == 200

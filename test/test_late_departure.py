"""Tests how long a server that has left gets requests while VMs are lost.

Guards against this failure: a request reached a server 3,232 ms after the store
had acknowledged that it leaves, where 3,000 ms are allowed.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from test import departure, node

WATCH_S = 4.5
"""How long VMs are watched after servers have left, in seconds."""

LEAVING = ("i-0", "i-1")
"""Servers that leave together, as when a service is scaled in."""

READERS = ("vm-0", "vm-1")
SOURCES_OF_LAST = ("vm-3", "vm-4")
"""VMs that the last ones of a large zone follow."""

LARGE_ZONE_BOUND_S = 3.0
"""Time within which VMs of a large deployment must drop a server, in
seconds."""

SMALL_ZONE_BOUND_S = 2.0
"""The same in a small deployment."""

EXPLAINING_LINES = frozenset(
    {
        "backend server gone",
        "backend server kept without a record",
        "copy of the log is fresh",
        "copy of the log is late",
        "event loop late",
        "log lines left out",
        "log lost",
        "log read",
        "log regained",
        "place in the distribution",
        "read given up",
    }
)
"""Messages of a VM that show why it listed a server for too long."""


@pytest.mark.parametrize("leave", [True, False], ids=["leaving", "removed"])
@pytest.mark.parametrize("lost", ["sources", "all_others"])
def test_vms_of_a_large_zone_drop_a_server_in_time(
    leave: bool, lost: str
) -> None:
    with departure.run_zone(LARGE_ZONE_BOUND_S) as started:
        last = list(started.vms)[-1]
        others = [vm for vm in started.vms if vm != last]
        stopped = [*READERS, *SOURCES_OF_LAST] if lost == "sources" else others
        seen = departure.watch_departure(
            started, stopped, LEAVING, leave, WATCH_S
        )
        assert seen.get_latest_s() < LARGE_ZONE_BOUND_S, "\n".join(
            describe_late(started, seen, LARGE_ZONE_BOUND_S)
        )


@pytest.mark.parametrize("lost", range(3))
def test_vms_of_a_small_zone_drop_a_removed_server_in_time(lost: int) -> None:
    with departure.run_zone(SMALL_ZONE_BOUND_S, vms=7) as started:
        stopped = READERS[:lost]
        seen = departure.watch_departure(
            started, stopped, LEAVING, False, WATCH_S
        )
        assert seen.get_latest_s() < SMALL_ZONE_BOUND_S, "\n".join(
            describe_late(started, seen, SMALL_ZONE_BOUND_S)
        )


def describe_late(
    started: node.Platform, seen: departure.Departure, bound_s: float
) -> Iterator[str]:
    """Yields what was seen, and what the late VMs logged of servers and log."""
    yield f"{seen}"
    late = {vm for (_, vm), at in seen.listed_s.items() if at >= bound_s}
    for vm in sorted(late):
        for line in started.read_log(vm):
            if line["message"] in EXPLAINING_LINES:
                yield f"{line}"

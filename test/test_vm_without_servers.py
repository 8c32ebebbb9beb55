"""VMs that lose their links to all backend servers.

They refused all their callers, though other VMs reached every server, and where
connections were refused, the other VMs refused theirs too.
"""

from __future__ import annotations

import collections
import contextlib
import time
from collections.abc import Callable, Iterator

import pytest

from bench import proxy
from test import callers, partition

CUT_S = 5.0
SETTLE_S = 1.0
"""Time until callers are served after a cut began or ended, in seconds."""

MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
"""VMs without servers serve at least this share of what the others serve, or
fewer first tries than this fail on all VMs."""

PATHS = ("/safe/", "/once/", "/stream/")


def _pick_owner(platform: partition.LinkedPlatform) -> list[str]:
    return [platform.find_owner()]


def _pick_other(platform: partition.LinkedPlatform) -> list[str]:
    owner = platform.find_owner()
    return [vm for vm in platform.vms if vm != owner][:1]


def _pick_zone(platform: partition.LinkedPlatform) -> list[str]:
    return platform.list_in_zone(platform.zones[platform.find_owner()])


def _pick_all_but_one(platform: partition.LinkedPlatform) -> list[str]:
    kept = _pick_other(platform)
    return [vm for vm in platform.vms if vm not in kept]


@pytest.fixture(scope="module")
def platform() -> Iterator[partition.LinkedPlatform]:
    """Four VMs and a replica in each of two zones."""
    zones = ("waw-a", "waw-b")
    with partition.run_linked(sorted(2 * zones), zones) as started:
        yield started


@contextlib.contextmanager
def _call_all_paths(
    platform: partition.LinkedPlatform,
) -> Iterator[list[callers.Callers]]:
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(callers.Callers(platform, path, per_vm=1))
            for path in PATHS
        ]


@pytest.mark.parametrize("how", proxy.Partition, ids=lambda how: how.value)
@pytest.mark.parametrize(
    "pick",
    [_pick_owner, _pick_other, _pick_zone, _pick_all_but_one],
    ids=["owner", "other", "zone", "all_but_one"],
)
def test_vms_without_servers_serve_their_callers(
    platform: partition.LinkedPlatform,
    pick: Callable[[partition.LinkedPlatform], list[str]],
    how: proxy.Partition,
) -> None:
    cut = pick(platform)
    with _call_all_paths(platform) as running:
        time.sleep(0.5)
        platform.partition(cut, how)
        cut_at = time.monotonic()
        time.sleep(CUT_S)
        platform.partition(cut, None)
        healed_at = time.monotonic()
        time.sleep(2 * SETTLE_S)
    asked = [each for one in running for each in one.asked]
    during = [a for a in asked if cut_at + SETTLE_S < a.sent_at < healed_at]
    after = [a for a in asked if a.sent_at > healed_at + SETTLE_S]

    assert not partition.list_failed(after)
    failed = partition.list_failed(during)
    there, others = (
        [a for a in during if (a.vm in cut) is is_cut]
        for is_cut in (True, False)
    )
    summary = [
        collections.Counter((a.vm in cut, a.status) for a in during),
        _explain(platform, failed),
    ]
    assert len(failed) <= MAX_FAILED + MAX_FAILED_SHARE * len(during), summary
    assert _get_served_share(there) >= MIN_RELATIVE_SHARE * _get_served_share(
        others
    ), summary
    _check_promises(platform, asked)


def _explain(
    platform: partition.LinkedPlatform, failed: list[callers.Asked]
) -> list[tuple[str, int]]:
    """Counts what the VMs logged of failed requests, and their ejections."""
    names = {each.request_id for each in failed}
    counts = collections.Counter(
        f"{vm}: {event['kind']} {event.get('reason') or event.get('entry')}"
        for vm in platform.vms
        for line in platform.read_log(vm)
        if (event := line.get("event"))
        and (event["kind"] == "ejected" or event.get("subject") in names)
    )
    return counts.most_common(30)


def _get_served_share(asked: list[callers.Asked]) -> float:
    return 1 - len(partition.list_failed(asked)) / len(asked)


def _check_promises(
    platform: partition.LinkedPlatform, asked: list[callers.Asked]
) -> None:
    """Checks what was answered against what the replicas ran."""
    runs = collections.Counter(platform.list_runs())
    once = [a for a in asked if a.path == "/once/"]
    assert [a for a in once if runs[a.request_id] > 1] == []
    not_run = [a for a in once if a.status in (429, 503)]
    assert [a for a in not_run if runs[a.request_id]] == []

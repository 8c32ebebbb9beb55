"""The longest time on each path from the log to a VM."""

from __future__ import annotations

import itertools

import pytest

from ramptray.core import propagation

BOUNDS_S = (2.0, 3.0, 4.0)
"""Times in which deployments want changes to be in force, in seconds."""

ZONE_SIZES = (1, 7, 23, 100)


@pytest.mark.parametrize(
    ("bound_s", "zone_vms"),
    list(itertools.product(BOUNDS_S, ZONE_SIZES)),
)
def test_no_path_takes_longer_than_the_bound(
    bound_s: float, zone_vms: int
) -> None:
    # The last VM of a zone of 23 read the log itself after 3.5 s.
    limits = propagation.PropagationLimits(bound_s)
    for turn in range(zone_vms):
        for path, parts_s in limits.list_paths(turn, zone_vms).items():
            assert sum(parts_s) <= bound_s + 1e-9, path


def test_vms_of_a_zone_start_to_read_one_after_the_other() -> None:
    limits = propagation.PropagationLimits(3.0)
    ages = [limits.get_takeover_age_s(turn, 23) for turn in range(23)]
    assert ages[0] == propagation.MAX_AGE_S
    gaps = [later - age for age, later in itertools.pairwise(ages)]
    assert min(gaps) > 0.02

"""Assigns availability zones to scheduling zones.

Within a region the availability zones are about a millisecond apart, so one
owner schedules the backend servers of all of them.  Between regions a grant
would take a large part of a request's objective, so each region has an owner.
"""

from __future__ import annotations

from collections.abc import Mapping

SINGLE_ZONE = "all"
"""The only scheduling zone of a deployment with fewer than two regions."""


class SchedulingZones:
    """The scheduling zones of a deployment.

    Args:
        regions: Region of each availability zone; may be empty.

    Attributes:
        names: The scheduling zones in alphabetical order; at least one.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        names = sorted(set(regions.values()) - {""})
        self.names = tuple(names) if len(names) > 1 else (SINGLE_ZONE,)
        self._regions = regions if len(names) > 1 else {}

    @property
    def is_divided(self) -> bool:
        """Whether there is more than one scheduling zone."""
        return len(self.names) > 1

    def find(self, availability_zone: str) -> str:
        """Returns the scheduling zone of an availability zone.

        A zone without a region belongs to the first scheduling zone.  A
        scheduling zone of its own would get a further share of each customer's
        limit, which is divided among ``names``.
        """
        return self._regions.get(availability_zone) or self.names[0]

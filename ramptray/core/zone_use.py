"""Use of customers' limits in other scheduling zones.

Load pattern: a customer's callers are in one region, or a burst moves from one
region to the next.  With a fixed share for each zone, requests are refused in
one zone while the customer's limit is hardly used in the others.

Owners report to each other what was granted in the last span.  A zone may use
what is left of the total, less the older its information is: the others may
have used it as well meanwhile.  A zone without a recent report counts with its
equal share, as it then assumes the same of this one.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ramptray.core import message

FULL_AGE_S = 1.0
"""Age of another zone's use from which on only an equal part of the rest may be
granted, in seconds: about three exchanges between owners."""

MAX_AGE_S = 2.0
"""Age from which on another zone's report counts as unknown, in seconds."""

MIN_REPORTED_PART = 0.05
"""Use of a customer's limit below which a zone does not report it, as a part of
the total.  It bounds the size of messages with hundreds of customers."""

MAX_REPORTED = 64
"""Number of customers whose use a zone reports at most."""


class RemoteUse(msgspec.Struct, frozen=True):
    """What the other zones have used of one limit.

    Attributes:
        amount: The amount, as far as known.
        unknown: Number of zones whose use is not known.
        age_s: Age of the oldest information that counts, in seconds.
    """

    amount: float = 0.0
    unknown: int = 0
    age_s: float = 0.0


class ZoneUses:
    """The newest use reported by the owners of the other zones."""

    def __init__(self) -> None:
        self._reports: dict[
            str, tuple[float, Mapping[str, message.LimitAmounts]]
        ] = {}

    def update(
        self,
        zone: str,
        uses: Mapping[str, message.LimitAmounts],
        now: float,
    ) -> None:
        """Replaces the use of a zone."""
        self._reports[zone] = (now, uses)

    def sum(
        self, customer: str, kind: str, zones: int, now: float
    ) -> RemoteUse:
        """Returns the use of the other zones.

        Args:
            customer: The customer.
            kind: Kind of the limit.
            zones: Number of zones, this one included.
            now: The owner's clock in seconds.
        """
        fresh = [
            (now - at, uses)
            for at, uses in self._reports.values()
            if now - at <= MAX_AGE_S
        ]
        return RemoteUse(
            sum(
                uses[customer].get(kind)
                for _, uses in fresh
                if customer in uses
            ),
            max(0, zones - 1 - len(fresh)),
            max((age_s for age_s, _ in fresh), default=0.0),
        )


def compute_room(
    share: float, zones: int, used: float, remote: RemoteUse
) -> float:
    """Returns what this zone may still grant of a total.

    Args:
        share: An equal share of the total.
        zones: Number of zones.
        used: What this zone has granted in the last span.
        remote: What the others have.
    """
    others = remote.amount + remote.unknown * share
    free = max(0.0, share * zones - used - others)
    known = zones - 1 - remote.unknown
    shared = 1.0 - 1.0 / (known + 1)
    return free * (1.0 - shared * min(1.0, remote.age_s / FULL_AGE_S))

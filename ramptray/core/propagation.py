"""How long a change of the log may take to be in force on a VM.

A VM learns of changes from its sources, within milliseconds.  Once its sources
are lost, it learns of one only by reading the log itself.  The longest time on
each path is the sum of the parts here, counted from the change and not from
when the VM learns of it, so that delays before a VM do not add up.
"""

from __future__ import annotations

import dataclasses

DEFAULT_BOUND_S = 2.0
"""Time within which a change must be in force on every VM where a deployment
names none, in seconds."""

WATCH_WAIT_S = 1.0
"""Long-poll wait of a watching VM, in seconds.  With ``RESPONSE_MARGIN_S`` a
lost read is detected within 1.6 s; a VM must apply changes 3 s after an outage.
One call per second and stream would be too much load from all VMs."""

RESPONSE_MARGIN_S = 0.6
"""How much longer than its wait a long poll may take, in seconds: on the
slowest days of the log an answer takes 0.4 s."""

MAX_AGE_S = 1.5
"""Age of its copy at which a VM starts to read the log itself, in seconds.
Readers learn the log's state once a second."""

TAKEOVER_STEP_S = 0.1
"""Longest delay between two VMs of a zone that start to read the log
themselves, in seconds, so that the first ones can update the others."""

CHECK_INTERVAL_S = 0.1
"""Shortest interval between two checks of whom to follow and whether to read
the log, in seconds."""

READ_S = 0.2
"""Time to read new records from a log that answers, in seconds: a connection
and an answer, some 10 ms each, on a VM that is short of CPU time."""

DISPATCH_S = 0.1
"""Time from the last check of a backend server to the arrival of a request
there, in seconds."""


@dataclasses.dataclass(frozen=True)
class PropagationLimits:
    """Divides the time in which a change must be in force on every VM.

    Attributes:
        bound_s: That time, in seconds.  No path takes longer if it is at least
            ``DEFAULT_BOUND_S``.
    """

    bound_s: float = DEFAULT_BOUND_S

    @property
    def takeover_window_s(self) -> float:
        """Time over which the VMs of a zone start to read the log, in seconds.

        It is half of what the other parts of the path leave, so that a VM
        short of CPU time is within the limit too.
        """
        others_s = MAX_AGE_S + CHECK_INTERVAL_S + READ_S + DISPATCH_S
        return max(0.0, (self.bound_s - others_s) / 2)

    @property
    def longest_listed_s(self) -> float:
        """How long after its removal a backend server may be listed."""
        return self.bound_s - DISPATCH_S

    def get_takeover_age_s(self, turn: int, zone_vms: int) -> float:
        """Returns the age of its copy at which a VM reads the log itself.

        Args:
            turn: The VM's rank within its availability zone.
            zone_vms: Number of VMs of that zone.
        """
        step_s = min(TAKEOVER_STEP_S, self.takeover_window_s / max(1, zone_vms))
        return MAX_AGE_S + min(turn * step_s, self.takeover_window_s)

    def list_paths(self, turn: int, zone_vms: int) -> dict[str, list[float]]:
        """Returns the parts of the longest time on each path, in seconds.

        Args:
            turn: The VM's rank within its availability zone.
            zone_vms: Number of VMs of that zone.
        """
        lost_poll_s = WATCH_WAIT_S + RESPONSE_MARGIN_S
        takeover_s = self.get_takeover_age_s(turn, zone_vms)
        return {
            "reader whose poll is lost": [lost_poll_s, READ_S, DISPATCH_S],
            "VM without sources": [
                takeover_s,
                CHECK_INTERVAL_S,
                READ_S,
                DISPATCH_S,
            ],
            "server kept without a record": [self.longest_listed_s, DISPATCH_S],
        }

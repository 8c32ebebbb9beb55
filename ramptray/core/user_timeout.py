"""How long a connection may wait for its peer to acknowledge bytes.

On Linux ``TCP_USER_TIMEOUT`` limits two things: how long sent bytes may stay
unacknowledged, and how long the peer's receive window may stay closed while
bytes wait to be sent.  In the second case the peer's kernel answers window
probes, and only the program behind it does not read: it is at work, and the
connection must stay.  The limit therefore moves on as long as probes are
answered.  Linux answers at most one in 0.5 s (``tcp_invalid_ratelimit``), so a
single unanswered probe that was sent soon after an answer says nothing.

The kernel counts it from the first probe, and sends the next probe no later
than when it expires.  A lost peer is thus recognized after two limits at most:
one until the next probe is sent, one until the connection ends.
"""

from __future__ import annotations

import dataclasses

UNACKNOWLEDGED_S = 0.6
"""How long sent bytes may stay unacknowledged, in seconds, before the
connection is considered dead: two or three retransmissions.  A network cut
produces no error of its own."""

UNANSWERED_S = 0.9
"""How long the peer may stay silent while its window is closed, in seconds:
twice this time is what the keepalive of an idle connection takes, and an event
loop that runs 0.5 s late still moves the limit in time; 0.6 s late ended one in
a trial."""

CHECK_INTERVAL_S = 0.25
"""How often a connection with unsent bytes is checked, in seconds.  The kernel
ends one no earlier than 0.8 s after the window has closed: it sends the first
probe after 0.2 s."""


@dataclasses.dataclass(frozen=True)
class SendQueue:
    """What the kernel has to send on a connection.

    Attributes:
        unsent_bytes: Bytes that have not been sent.
        unacknowledged: Number of packets that were sent, but not acknowledged.
        probes: Number of window probes that were sent since the peer's last
            acknowledgement.
        silent_s: Seconds since the peer's last acknowledgement.
    """

    unsent_bytes: int
    unacknowledged: int
    probes: int
    silent_s: float

    @property
    def is_blocked(self) -> bool:
        """Whether the peer's closed window is all that holds bytes back."""
        return self.unsent_bytes > 0 and self.unacknowledged == 0


class UserTimeout:
    """Computes the limit for one connection.

    Args:
        now: Current time, in seconds of a monotonic clock.

    Attributes:
        limit_s: The limit in force, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.limit_s = UNACKNOWLEDGED_S
        self._unblocked_at = now

    def update(self, queue: SendQueue, now: float) -> float:
        """Returns the limit that a connection gets, in seconds.

        Args:
            queue: What is to be sent on it.
            now: Current time, in seconds of the same clock.
        """
        if not queue.is_blocked:
            self._unblocked_at = now
            self.limit_s = UNACKNOWLEDGED_S
        elif queue.probes == 0 or queue.silent_s < UNANSWERED_S:
            self.limit_s = now - self._unblocked_at + UNANSWERED_S
        return self.limit_s

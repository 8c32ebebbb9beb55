"""When a connection whose peer acknowledges nothing is considered lost.

On Linux ``TCP_USER_TIMEOUT`` limits two things: how long sent bytes may stay
unacknowledged, and how long the peer's receive window may stay closed while
bytes wait to be sent.  In the second case the peer's kernel answers window
probes, and only the program behind it does not read: it is at work, and the
connection must stay.

While bytes wait to be sent, this program therefore decides itself, by what its
kernel has received.  The kernel's own limit moves on meanwhile and leaves room
for a standstill of this program, in which peers go on to acknowledge.  This
takes a kernel that bounds the time between probes (``TCP_RTO_MAX_MS``, Linux
6.15), as they otherwise become rarer, up to one in two minutes, so that silence
shows nothing.

An older kernel sends the next probe no later than when the limit expires, so
there the limit itself has to be short, and moves on only as long as probes are
answered.  A lost peer is recognized after two limits at most: one until the
next probe is sent, one until the connection ends.  A standstill that is longer
than the limit ends the connection of a peer that does not read.

Linux answers at most one probe in 0.5 s (``tcp_invalid_ratelimit``), so a
single unanswered probe that was sent soon after an answer says nothing.
"""

from __future__ import annotations

import abc
import dataclasses

UNACKNOWLEDGED_S = 0.6
"""How long sent bytes may stay unacknowledged, in seconds, before the kernel
considers the connection dead: two or three retransmissions.  A network cut
produces no error of its own."""

UNANSWERED_RETRANSMISSION_S = 1.1
"""The same while further bytes wait to be sent, in seconds since they were
sent.  The kernel counts from the first retransmission, 0.2 s and a round trip
of up to 0.3 s later."""

MAX_PROBE_INTERVAL_S = 1.0
"""Longest time between two window probes, in seconds; the minimum of
``TCP_RTO_MAX_MS``."""

UNANSWERED_PROBE_S = 1.6
"""How long the peer may stay silent while its window is closed, in seconds.  A
round trip of 0.3 s leaves 1.3 s between two answers.  After a probe that is not
answered, since it follows another one within 0.5 s, there are up to 1.5 s."""

STANDSTILL_S = 30.0
"""How long this program may stand still without the loss of a connection whose
peer does not read, in seconds: as long as a caller may leave its response
unread."""

UNANSWERED_S = 0.9
"""How long the peer may stay silent while its window is closed if the kernel
does not bound the time between probes, in seconds: twice this time is what the
keepalive of an idle connection takes, and an event loop that runs 0.5 s late
still moves the limit in time; 0.6 s late ended one in a trial."""

CHECK_INTERVAL_S = 0.25
"""How often a connection with unsent bytes is checked, in seconds.  With
``UNACKNOWLEDGED_S`` the kernel ends one no earlier than 0.8 s after the window
has closed: it sends the first probe after 0.2 s."""


@dataclasses.dataclass(frozen=True)
class SendQueue:
    """What the kernel has to send on a connection.

    Attributes:
        unsent_bytes: Bytes that have not been sent.
        unacknowledged: Number of packets that were sent, but not acknowledged.
        retransmissions: Number of retransmissions since the peer's last
            acknowledgement.
        probes: Number of window probes likewise.
        silent_s: Seconds since the peer's last acknowledgement.
    """

    unsent_bytes: int
    unacknowledged: int
    retransmissions: int
    probes: int
    silent_s: float

    @property
    def is_blocked(self) -> bool:
        """Whether the peer's closed window is all that holds bytes back."""
        return self.unsent_bytes > 0 and self.unacknowledged == 0


class UserTimeout(abc.ABC):
    """Computes the kernel's limit for one connection with unsent bytes.

    Attributes:
        limit_s: The limit in force, in seconds.
        is_lost: Whether the peer is lost, so that the connection has to end.
    """

    def __init__(self) -> None:
        self.limit_s = UNACKNOWLEDGED_S
        self.is_lost = False

    @abc.abstractmethod
    def update(self, queue: SendQueue, now: float) -> None:
        """Updates the attributes.

        Args:
            queue: What is to be sent on the connection.
            now: Current time, in seconds of a monotonic clock.
        """


class ProgramTimeout(UserTimeout):
    """Lets this program end the connection.

    Args:
        now: Current time, in seconds of a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        super().__init__()
        self._waiting_since = now
        self.limit_s = STANDSTILL_S

    def update(self, queue: SendQueue, now: float) -> None:
        """See the base class."""
        if not queue.unsent_bytes:
            self._waiting_since = now
            self.limit_s = UNACKNOWLEDGED_S
            return
        waiting_s = now - self._waiting_since
        self.limit_s = waiting_s + STANDSTILL_S
        # The last acknowledgement may precede the bytes that wait.
        silent_s = min(waiting_s, queue.silent_s)
        if queue.is_blocked:
            self.is_lost = queue.probes > 0 and silent_s >= UNANSWERED_PROBE_S
        else:
            self.is_lost = (
                queue.retransmissions > 0
                and silent_s >= UNANSWERED_RETRANSMISSION_S
            )


class KernelTimeout(UserTimeout):
    """Lets the kernel end the connection.

    Args:
        now: Current time, in seconds of a monotonic clock.
    """

    def __init__(self, now: float) -> None:
        super().__init__()
        self._unblocked_at = now

    def update(self, queue: SendQueue, now: float) -> None:
        """See the base class."""
        if not queue.is_blocked:
            self._unblocked_at = now
            self.limit_s = UNACKNOWLEDGED_S
        elif queue.probes == 0 or queue.silent_s < UNANSWERED_S:
            self.limit_s = now - self._unblocked_at + UNANSWERED_S


def make_user_timeout(bounds_probes: bool, now: float) -> UserTimeout:
    """Returns the limit of a connection on which bytes begin to wait.

    Args:
        bounds_probes: Whether the kernel sends a probe each
            ``MAX_PROBE_INTERVAL_S`` at least.
        now: Current time, in seconds of a monotonic clock.
    """
    return ProgramTimeout(now) if bounds_probes else KernelTimeout(now)

"""Adaptive timeout of connection attempts to one address.

Load pattern: schedulers are a millisecond apart in one region and 30 ms or more
in others, and VMs are partitioned for seconds.  With a short fixed timeout no
link between regions opens; with a long one a peer in the same region is found
late after a partition, because an attempt whose first packets were lost waits
for their retransmission.
"""

from __future__ import annotations

FIRST_TIMEOUT_S = 0.2
"""Timeout of the first attempt at an unknown address, in seconds.  The TCP and
HTTP/2 handshakes take two round trips, so it covers 30 ms each way."""

MIN_TIMEOUT_S = 0.1
"""Minimum timeout at an address of which the time is known, in seconds.  In one
region the handshakes take a few milliseconds, on a slow VM some 20 ms."""

MAX_TIMEOUT_S = 3.0
"""Maximum timeout, in seconds."""

MEASURED_FACTOR = 4.0
"""Multiple of the measured time that an attempt may take."""

MAX_GUESS_S = 0.5
"""Up to this timeout, in seconds, a first attempt that timed out says nothing
about the peer: the handshakes over 150 ms each way take 0.6 s."""

OUTAGE_FRACTION = 1 / 16
"""Timeout at a known address as a fraction of the time since it was silent.
After a partition of 10 s, the peer is thus reached within about a second."""

MAX_OUTAGE_TIMEOUT_S = 2.0
"""Limit of that timeout, in seconds: with the pause between two attempts, a
peer is reached within 2.5 s after a partition of any length."""


class ConnectTimeout:
    """Timeout of the next connection attempt to one address."""

    __slots__ = ("_measured_s", "_silent_since", "_timeouts")

    def __init__(self) -> None:
        self._measured_s: float | None = None
        self._silent_since: float | None = None
        self._timeouts = 0

    def record_success(self, elapsed_s: float) -> None:
        """Records the time that a successful attempt took, in seconds."""
        previous_s = self._measured_s if self._measured_s is not None else 0.0
        # A single fast attempt must not make the next one too short.
        self._measured_s = max(elapsed_s, (previous_s + elapsed_s) / 2)
        self._silent_since = None
        self._timeouts = 0

    def record_timeout(self, timeout_s: float, now: float) -> None:
        """Records that an attempt has timed out.

        Args:
            timeout_s: The attempt's timeout.  Of two attempts at the same time,
                only the first counts.
            now: The current time, in seconds.
        """
        if timeout_s >= self.get_timeout_s(now):
            self._timeouts += 1
        if self._silent_since is None:
            self._silent_since = now

    @property
    def measured_s(self) -> float:
        """Seconds that a connection takes, two round trips; 0 if unknown."""
        return self._measured_s or 0.0

    def is_guess(self, now: float) -> bool:
        """Returns whether an attempt that begins now may be too short.

        Args:
            now: The current time, in seconds.
        """
        return (
            self._measured_s is None and self.get_timeout_s(now) < MAX_GUESS_S
        )

    def get_timeout_s(self, now: float) -> float:
        """Returns the timeout of an attempt that begins now, in seconds.

        It doubles after each timeout at an unknown address.  At a known one,
        whose usual time is no guess, it grows with the length of the outage.

        Args:
            now: The current time, in seconds.
        """
        if self._measured_s is None:
            return min(MAX_TIMEOUT_S, FIRST_TIMEOUT_S * 2.0**self._timeouts)
        outage_s = (
            0.0 if self._silent_since is None else now - self._silent_since
        )
        timeout_s = max(
            MIN_TIMEOUT_S,
            MEASURED_FACTOR * self._measured_s,
            min(MAX_OUTAGE_TIMEOUT_S, OUTAGE_FRACTION * outage_s),
        )
        return min(MAX_TIMEOUT_S, timeout_s)

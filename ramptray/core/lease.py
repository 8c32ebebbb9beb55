"""The lease under which one controller of a zone may order engines.

The lease lives in a stream of the log.  A record says: "I have read everything
through ``after``, and take (or renew) the lease".  It is valid if no valid
record lies between ``after`` and itself, so of two that race the first in the
log wins, and a record that lands late is void.  The offset of a valid record is
the fencing number of the orders given under it.

The holder counts its term from before it sent the record.  Everyone else counts
from when it read it, with a margin for drifting clocks.  The holder sends an
order only if it will have landed before its term ends, so nobody has to wait
out an order's flight; docs/design/lease.md gives the measure of that.
"""

from __future__ import annotations

import itertools

import msgspec

DRIFT = 0.05
"""By which part a clock may run faster than another."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """A record of a zone's lease stream.

    Attributes:
        holder: Who takes or renews.
        ticket: Tells apart the holder's own records.
        after: Highest offset it had read when it sent this.
        released: Whether it gives the lease up instead.
    """

    holder: str
    ticket: int
    after: int
    released: bool = False


class LeaseTimes(msgspec.Struct, frozen=True):
    """How long things take, in seconds.

    Attributes:
        term_s: How long a holder holds after it sent a record.
        flight_s: Longest time an order may be on its way.
        drift: By which part a clock may run faster than another.
    """

    term_s: float
    flight_s: float
    drift: float = DRIFT

    @property
    def wait_s(self) -> float:
        """How long others wait after the last record they have read."""
        return self.term_s * (1 + self.drift)


class Lease:
    """One controller's part in the lease of its zone.

    Args:
        me: This controller's name.
        times: How long things take.
        now: The controller's clock in seconds.
    """

    def __init__(self, me: str, times: LeaseTimes, now: float) -> None:
        self.fencing_token = -1
        self._me = me
        self._times = times
        self._read_through = -1
        self._valid_offset = -1
        self._holder: str | None = None
        self._heard_at: float | None = None
        self._expires_at = now
        self._sent: dict[int, float] = {}
        self._tickets = itertools.count(1)
        self._retry_at = now

    @property
    def holder(self) -> str | None:
        """Who holds the lease by the log, as far as it was read."""
        return self._holder

    def skip_to(self, offset: int, now: float) -> None:
        """Notes that records before this offset are gone from the log."""
        if offset - 1 > self._read_through:
            self._read_through = offset - 1
            self._heard_at = now

    def apply_record(
        self, offset: int, record: LeaseRecord, now: float
    ) -> None:
        """Takes the next record of the stream."""
        if offset <= self._read_through:
            return
        self._read_through = offset
        # Even a void record is waited out: to a reader whose history is cut
        # short it may only seem void.
        self._heard_at = now
        sent_at = self._sent.pop(record.ticket, None)
        if record.after < self._valid_offset:
            return
        self._valid_offset = offset
        if record.released:
            self._holder = None
            self._heard_at = now - self._times.wait_s
            return
        self._holder = record.holder
        if record.holder == self._me and sent_at is not None:
            self.fencing_token = offset
            self._expires_at = sent_at + self._times.term_s

    def holds(self, now: float) -> bool:
        """Returns whether this controller holds the lease now."""
        return self._holder == self._me and now < self._expires_at

    def may_send_order(self, now: float) -> bool:
        """Returns whether an order sent now arrives within the lease.

        It is asked just before each order.
        """
        return self.holds(now + self._times.flight_s)

    @property
    def _free_at(self) -> float:
        """When the lease may be contended for."""
        if self._heard_at is None:
            return float("-inf")
        return self._heard_at + self._times.wait_s

    def make_record(self, now: float) -> LeaseRecord | None:
        """Returns the record to append now, if one is due."""
        if now < self._retry_at:
            return None
        third = self._times.term_s / 3
        if self.holds(now):
            if self._expires_at - now > 2 * third:
                return None
        elif now < self._free_at:
            return None
        self._retry_at = now + third / 2
        ticket = next(self._tickets)
        self._sent[ticket] = now
        return LeaseRecord(self._me, ticket, self._read_through)

    def release(self) -> LeaseRecord:
        """Gives the lease up; the record lets the next one begin sooner."""
        self._expires_at = float("-inf")
        return LeaseRecord(
            self._me, next(self._tickets), self._read_through, released=True
        )

"""The lease under which one controller of a zone sends orders to engines.

The lease is stored in a stream of the log.  A record states that its sender has
read everything up to offset ``after`` and acquires or renews the lease.  It is
valid if there is no valid record between ``after`` and itself.  Of two
competing records the first one in the log therefore wins, and a delayed record
is void.  The offset of a valid record is the fencing token of the orders sent
under it.

The holder measures its term from before it sent the record.  All others measure
it from when they read the record, plus a margin for clock drift.  The holder
sends an order only if it arrives before the term ends, so the next holder does
not have to wait for orders in flight; see docs/design/lease.md for the effect.
"""

from __future__ import annotations

import itertools

import msgspec

MAX_CLOCK_DRIFT = 0.05
"""Fraction by which one clock may run faster than another."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """A record of a zone's lease stream.

    Attributes:
        holder: The controller that acquires or renews the lease.
        ticket: Distinguishes the records of one holder.
        after: Highest offset that the sender had read.
        released: Whether the record releases the lease instead.
    """

    holder: str
    ticket: int
    after: int
    released: bool = False


class LeaseTimes(msgspec.Struct, frozen=True):
    """Timing parameters of the lease.

    Attributes:
        term_s: Seconds that the lease lasts from sending a record.
        flight_s: Longest time until a sent order arrives, in seconds.
        drift: Fraction by which one clock may run faster than another.
    """

    term_s: float
    flight_s: float
    drift: float = MAX_CLOCK_DRIFT

    @property
    def wait_s(self) -> float:
        """Seconds that others wait after the last record they have read."""
        return self.term_s * (1 + self.drift)


class Lease:
    """One controller's view of the lease of its zone.

    Args:
        me: This controller's name.
        times: Timing parameters.
        now: The controller's clock, in seconds.
    """

    def __init__(self, me: str, times: LeaseTimes, now: float) -> None:
        self.fencing_token = -1
        self._me = me
        self._times = times
        self._last_read_offset = -1
        self._last_valid_offset = -1
        self._holder: str | None = None
        self._last_read_at: float | None = None
        self._expires_at = now
        self._sent_at_by_ticket: dict[int, float] = {}
        self._ticket_counter = itertools.count(1)
        self._retry_at = now

    @property
    def holder(self) -> str | None:
        """The holder of the lease according to the records read so far."""
        return self._holder

    def skip_to(self, offset: int, now: float) -> None:
        """Skips records before this offset, which the log has discarded."""
        if offset - 1 > self._last_read_offset:
            self._last_read_offset = offset - 1
            self._last_read_at = now

    def apply_record(
        self, offset: int, record: LeaseRecord, now: float
    ) -> None:
        """Applies the next record of the stream."""
        if offset <= self._last_read_offset:
            return
        self._last_read_offset = offset
        # Wait after void records, too: a reader without the whole history may
        # misjudge a valid record as void.
        self._last_read_at = now
        sent_at = self._sent_at_by_ticket.pop(record.ticket, None)
        if record.after < self._last_valid_offset:
            return
        self._last_valid_offset = offset
        if record.released:
            self._holder = None
            self._last_read_at = now - self._times.wait_s
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

        Call this immediately before sending each order.
        """
        return self.holds(now + self._times.flight_s)

    @property
    def _available_at(self) -> float:
        """The time from which the lease may be acquired."""
        if self._last_read_at is None:
            return float("-inf")
        return self._last_read_at + self._times.wait_s

    def make_record(self, now: float) -> LeaseRecord | None:
        """Returns the record to append now, if one is due."""
        if now < self._retry_at:
            return None
        third_s = self._times.term_s / 3
        if self.holds(now):
            if self._expires_at - now > 2 * third_s:
                return None
        elif now < self._available_at:
            return None
        self._retry_at = now + third_s / 2
        ticket = next(self._ticket_counter)
        self._sent_at_by_ticket[ticket] = now
        return LeaseRecord(self._me, ticket, self._last_read_offset)

    def release(self) -> LeaseRecord:
        """Releases the lease; the record lets the next holder start sooner."""
        self._expires_at = float("-inf")
        return LeaseRecord(
            self._me,
            next(self._ticket_counter),
            self._last_read_offset,
            released=True,
        )

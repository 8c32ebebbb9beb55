"""Division of a limit over a span among several owners.

An owner knows what it granted and what the entries report to have been granted
by others.  While it is the only owner, it may grant the total less the use that
no entry has reported.  If others may be granting too, because it stands in for
a silent owner or because VMs are lost, it may grant ``U + p * (T - U_all)``: T
is the total, p its fraction of all VMs, U_all the last known use of all entries
and U the part of it by the entries that now use this owner.  Over all sides of
a partition this sums to T.  U and U_all stay as they were when the owners were
divided; with newer values of U, each side's part would grow with what it
grants.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from ramptray.core import message, zone_use

ROUNDING_S = 1.0
"""By how much later than granted an amount may count, in seconds, as reports
contain sums of whole seconds."""


class Use(NamedTuple):
    """An amount granted to an entry.

    Attributes:
        at: When, on the owner's clock in seconds.
        amount: The amount.
        entry: The entry.
    """

    at: float
    amount: float
    entry: str


class Basis(msgspec.Struct, frozen=True):
    """Last use known from a time when a single owner granted.

    Attributes:
        at: When it was known, on the owner's clock in seconds.
        total: Use of all entries in the span up to then.
        base: Use of one entry in the same span.
    """

    at: float
    total: float
    base: float


class Report(msgspec.Struct, frozen=True):
    """What an entry reports of its use of one limit.

    Attributes:
        entry: The entry.
        run: Identifies the entry's process.
        at: When it was received, on the owner's clock in seconds.
        history: All its use in the last two spans.
        uses: The part of it that other owners granted.
        basis: The newest use reported by another owner, if any.
    """

    entry: str
    run: int
    at: float
    history: list[Use]
    uses: list[Use]
    basis: Basis | None


class Division(msgspec.Struct, frozen=True):
    """How an owner divides the limits with others.

    Attributes:
        part: Its fraction of all VMs; 1 if no other owner can be granting.
        entries: The entries that use it.
        stands_in: Whether it stands in for an owner that is only suspected to
            be lost.
        zones: Number of scheduling zones, each with an owner and an equal share
            of the total.
    """

    part: float = 1.0
    entries: Collection[str] = frozenset()
    stands_in: bool = False
    zones: int = 1

    @property
    def is_whole(self) -> bool:
        """Whether no other owner can be granting."""
        return self.part >= 1.0


class SharedSpan:
    """Use of one limit of a customer within a sliding window.

    Attributes:
        span_s: Length of the window in seconds.
    """

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self._own: collections.deque[Use] = collections.deque()
        self._reports: dict[tuple[str, int], Report] = {}
        self._reported: collections.deque[Use] = collections.deque()
        self._own_sums: dict[str, float] = collections.defaultdict(float)
        self._reported_sums: dict[str, float] = collections.defaultdict(float)
        self._total: Basis | None = None
        self._bases: dict[str, Basis] = {}
        self._was_whole = False
        self._is_stale = False

    @property
    def has_basis(self) -> bool:
        """Whether the use before this owner began to grant is known."""
        return self._total is not None

    def add(self, amount: float, entry: str, now: float) -> None:
        """Adds an amount that is granted now."""
        self._own.append(Use(now, amount, entry))
        self._own_sums[entry] += amount

    def remove(self, amount: float, taken_at: float) -> None:
        """Removes an earlier amount, if it is still in the window."""
        for index in range(len(self._own) - 1, -1, -1):
            use = self._own[index]
            if use.at < taken_at:
                return
            if use.at == taken_at and use.amount == amount:
                del self._own[index]
                self._own_sums[use.entry] -= amount
                return

    def apply_report(self, report: Report) -> None:
        """Replaces what an entry has reported to be granted by other owners.

        What an earlier run of the entry reported stays in the window.
        """
        self._reports[report.entry, report.run] = report
        if report.basis is not None:
            known = self._bases.get(report.entry)
            if known is None or known.at < report.basis.at:
                self._bases[report.entry] = report.basis
            if self._total is None or self._total.at < report.basis.at:
                self._total = report.basis
        # Rebuilt when next used, as the reports of many entries arrive at once.
        self._is_stale = True

    def get_wait(
        self,
        amount: float,
        total: float,
        division: Division,
        now: float,
        remote: zone_use.RemoteUse | None = None,
    ) -> float:
        """Returns the seconds until the amount may be granted.

        Args:
            amount: The amount.
            total: What all owners may grant in a span.
            division: This owner's part of it.
            now: The owner's clock in seconds.
            remote: Use in other zones; None for a single zone.
        """
        allowed, used = self._get_allowed(total, division, now, remote)
        missing = used + min(amount, allowed) - allowed
        if missing <= 0:
            return 0.0
        for use in heapq.merge(self._own, self._reported):
            if division.is_whole or use.entry in division.entries:
                missing -= use.amount
            if missing <= 0:
                return use.at + self.span_s - now
        return self.span_s

    def get_use(self, now: float) -> float:
        """Returns the use of all entries in the last span, as far as known."""
        self._discard_old(now)
        return self._sum_all() + self._get_unreported(now)

    def get_level(
        self, depth: float, rate: float, division: Division, now: float
    ) -> float:
        """Returns the level of a token bucket from which the use was taken.

        Args:
            depth: Capacity of the bucket; it was full a span ago.
            rate: Refill per second.
            division: This owner's part.
            now: The owner's clock in seconds.
        """
        self._discard_old(now)
        if division.is_whole:
            rate -= self._get_unreported(now) / self.span_s
        level, at = depth, now - self.span_s
        for use in heapq.merge(self._own, self._reported):
            if division.is_whole or use.entry in division.entries:
                level = min(depth, level + (use.at - at) * rate) - use.amount
                at = use.at
        return min(depth, level + (now - at) * rate)

    def _get_allowed(
        self,
        total: float,
        division: Division,
        now: float,
        remote: zone_use.RemoteUse | None = None,
    ) -> tuple[float, float]:
        """Returns what may be granted in a span, and what was granted."""
        allowed, used = self._divide(total, division, now)
        if remote is None or not division.is_whole:
            return allowed, used
        known = used + self._get_unreported(now)
        room = zone_use.compute_room(total, division.zones, known, remote)
        return used + room, used

    def _divide(
        self, total: float, division: Division, now: float
    ) -> tuple[float, float]:
        self._discard_old(now)
        used = self._sum_all()
        if division.is_whole:
            self._was_whole = True
            return max(0.0, total - self._get_unreported(now)), used
        if self._was_whole:
            self._freeze(used, now)
        used = sum(self._get_sum(entry) for entry in division.entries)
        if self._total is None:
            return division.part * total, used
        free = max(0.0, total - self._total.total)
        base = sum(self._get_base(entry) for entry in division.entries)
        return base + division.part * free, used

    def _freeze(self, used: float, now: float) -> None:
        """Keeps the use of each entry as of the division of the owners."""
        total = used + self._get_unreported(now)
        self._total = Basis(now, total, 0.0)
        self._bases = {
            entry: Basis(now, total, self._get_sum(entry))
            for entry in {*self._own_sums, *self._reported_sums}
        }
        self._was_whole = False

    def _get_unreported(self, now: float) -> float:
        """Returns the use that was known to another owner but not reported.

        Its entries were lost, or have not reported yet.
        """
        if self._total is None or self._total.at <= now - self.span_s:
            return 0.0
        known = sum(self._get_base(entry) for entry in self._bases)
        return max(0.0, self._total.total - known)

    def _get_base(self, entry: str) -> float:
        """Returns an entry's use as of the newest known total."""
        assert self._total is not None
        basis = self._bases.get(entry)
        if basis is None or basis.at <= self._total.at - self.span_s:
            return 0.0
        return basis.base

    def _update_bases(self) -> None:
        """Sets the use of entries that got an older total than the newest.

        Their reports reach back for two spans.
        """
        if self._total is None:
            return
        at = self._total.at
        for report in self._reports.values():
            known = self._bases.get(report.entry)
            is_covered = report.at - self.span_s <= at <= report.at
            if is_covered and (known is None or known.at < at):
                used = sum(
                    use.amount
                    for use in report.history
                    if at - self.span_s < use.at <= at + ROUNDING_S
                )
                self._bases[report.entry] = Basis(at, self._total.total, used)

    def _discard_old(self, now: float) -> None:
        if self._is_stale:
            self._rebuild(now)
        for window, sums in (
            (self._own, self._own_sums),
            (self._reported, self._reported_sums),
        ):
            while window and window[0].at <= now - self.span_s:
                use = window.popleft()
                sums[use.entry] -= use.amount
                if sums[use.entry] <= 0.0:
                    del sums[use.entry]

    def _sum_all(self) -> float:
        """Returns the use of all entries in the window."""
        own = sum(self._own_sums.values())
        return own + sum(self._reported_sums.values())

    def _get_sum(self, entry: str) -> float:
        """Returns an entry's use in the window."""
        own = self._own_sums.get(entry, 0.0)
        return own + self._reported_sums.get(entry, 0.0)

    def _rebuild(self, now: float) -> None:
        """Rebuilds the window of reported use and its sums by entry."""
        self._is_stale = False
        self._update_bases()
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if report.at > now - self.span_s
        }
        self._reported = collections.deque(
            sorted(
                use for report in self._reports.values() for use in report.uses
            )
        )
        self._reported_sums.clear()
        for use in self._reported:
            self._reported_sums[use.entry] += use.amount


def make_report(
    report: message.LimitUse,
    customer: message.CustomerUse,
    kind: str,
    epoch: int,
    now: float,
) -> Report:
    """Decodes an entry's report for one limit.

    Amounts of a second count as granted at its end, so that none is discarded
    early.

    Args:
        report: The report.
        customer: Its part on the customer.
        kind: Kind of the limit.
        epoch: Epoch of the owner that gets the report.
        now: When it was received, on the owner's clock in seconds.
    """
    uses = {
        granted_by: [
            Use(now - max(0.0, age - 1 + report.second_s), used, report.entry)
            for age, amount in enumerate(amounts)
            if (used := amount.get(kind))
        ]
        for granted_by, amounts in customer.uses.items()
    }
    return Report(
        report.entry,
        report.run,
        now,
        list(itertools.chain(*uses.values())),
        list(itertools.chain(*(u for by, u in uses.items() if by != epoch))),
        _make_basis(customer, kind, epoch, now),
    )


def _make_basis(
    customer: message.CustomerUse, kind: str, epoch: int, now: float
) -> Basis | None:
    """Returns the basis that an entry reports; None if it is this owner's.

    The record of this owner is newer than what an entry got from it.
    """
    if customer.total is None or customer.total_epoch == epoch:
        return None
    return Basis(
        now - customer.total_age_s,
        customer.total.get(kind),
        customer.base.get(kind),
    )


def sum_amounts(
    amounts: Iterable[tuple[str, float]],
) -> message.LimitAmounts:
    """Returns amounts by kind of limit as sent in messages."""
    by_kind = dict(amounts)
    return message.LimitAmounts(
        round(by_kind.get("requests", 0.0)), round(by_kind.get("tokens", 0.0))
    )

"""An entry's history of what it was granted of customers' limits.

Load pattern: the owner is killed or silent under load, or the VMs are
partitioned.  The next owner learns from the entries' reports what its
predecessor granted, and so neither grants it again nor refuses customers that
are within their limits.
"""

from __future__ import annotations

import math

from ramptray.core import message

MAX_SPANS = 2
"""Time for which use is kept, in spans.  The second span lets a new owner
attribute to the entries a total that is nearly one span old."""

NOTHING = message.LimitAmounts()


class _CustomerHistory:
    """What an entry was granted for one customer, by epoch and second."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.epoch = 0
        self._uses: dict[int, dict[int, message.LimitAmounts]] = {}
        self._total: message.LimitAmounts | None = None
        self._total_epoch = 0
        self._total_at = 0.0
        self._base = NOTHING

    def record(
        self, amounts: message.LimitAmounts, epoch: int, now: float
    ) -> None:
        self.epoch = epoch
        uses = self._uses.setdefault(epoch, {})
        second = math.floor(now)
        if second not in uses:
            self._discard_old(now)
            uses = self._uses.setdefault(epoch, uses)
        uses[second] = uses.get(second, NOTHING).add(amounts)

    def set_total(
        self,
        total: message.LimitAmounts,
        epoch: int,
        now: float,
    ) -> None:
        self._total = total
        self._total_epoch = epoch
        self._total_at = now
        self._base = NOTHING
        for uses in self._uses.values():
            for second, amounts in uses.items():
                if second > now - self.span_s:
                    self._base = self._base.add(amounts)

    def make_report(self, now: float) -> message.CustomerUse:
        self._discard_old(now)
        return message.CustomerUse(
            self.span_s,
            {
                epoch: self._list_by_age(uses, math.floor(now))
                for epoch, uses in self._uses.items()
            },
            self._total,
            self._total_epoch,
            now - self._total_at,
            self._base,
        )

    def _list_by_age(
        self, uses: dict[int, message.LimitAmounts], current: int
    ) -> list[message.LimitAmounts]:
        oldest = max(current - min(uses), 0)
        return [uses.get(current - age, NOTHING) for age in range(oldest + 1)]

    def _discard_old(self, now: float) -> None:
        oldest = math.floor(now - self.span_s * MAX_SPANS)
        for epoch in list(self._uses):
            kept = {s: a for s, a in self._uses[epoch].items() if s >= oldest}
            if kept:
                self._uses[epoch] = kept
            else:
                del self._uses[epoch]


class UseHistory:
    """What an entry was granted for the customers whose limits have a span.

    Args:
        entry: The entry's name.
        run: Identifies the entry's process.
    """

    def __init__(self, entry: str, run: int) -> None:
        self._entry = entry
        self._run = run
        self._customers: dict[str, _CustomerHistory] = {}
        self._began_at: float | None = None

    def record(
        self,
        customer: str,
        cost: int,
        known: message.LimitTotal | None,
        now: float,
    ) -> None:
        """Records the dispatch of a request's first attempt.

        Args:
            customer: The customer.
            cost: Tokens that the request counts against the limit.
            known: From the grant.  None for a limit without a span and for a
                request that another zone runs; the latter was counted by the
                owner in this zone.
            now: The entry's clock in seconds.
        """
        history = self._customers.get(customer)
        if known is not None and (
            history is None or history.span_s != known.span_s
        ):
            history = _CustomerHistory(known.span_s)
            self._customers[customer] = history
        if history is None:
            return
        if self._began_at is None:
            self._began_at = now
        epoch = history.epoch if known is None else known.epoch
        history.record(message.LimitAmounts(1, cost), epoch, now)
        if known is not None and known.total is not None:
            history.set_total(known.total, known.epoch, now)

    def make_report(self, now: float) -> message.LimitUse | None:
        """Returns the report for an owner, or None if there is no use."""
        if self._began_at is None:
            return None
        customers = {
            name: history.make_report(now)
            for name, history in self._customers.items()
        }
        return message.LimitUse(
            self._entry,
            self._run,
            now - math.floor(now),
            now - self._began_at,
            customers,
        )

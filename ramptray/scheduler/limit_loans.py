"""Borrows parts of customers' limits from owners of other zones."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable, Iterable

import anyio

from ramptray import steadyclock
from ramptray.core import limit, limit_share, message, summary
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

INTERVAL_S = 0.4
"""Time between two rounds of borrowing, in seconds.  A loan is renewed several
times before it ends, so one lost request does not interrupt it."""

REPLY_TIMEOUT_S = 1.0
"""Time limit for a reply, in seconds: half of a loan's duration."""


class LoanClient:
    """Borrows for this scheduler's limits while its zone needs more.

    Args:
        name: Identifies this owner's record of use to lenders.
        limits: The limits.
        client: Sends the requests.
        list_remote: Returns the summaries of other zones; nothing while this
            scheduler is not the owner.

    Attributes:
        borrowed: Number of loans received.
        refused: Number of requests without a loan.
    """

    def __init__(
        self,
        name: str,
        limits: limit.Limits,
        client: peer_link.PeerClient,
        list_remote: Callable[[], list[summary.ShardSummary]],
    ) -> None:
        self.borrowed = 0
        self.refused = 0
        self._name = name
        self._limits = limits
        self._client = client
        self._list_remote = list_remote
        self._numbers = itertools.count()

    @property
    def part(self) -> float:
        """The part of each limit that this VM may grant as an owner."""
        return self._limits.part

    async def run(self) -> None:
        """Borrows until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            remote = self._list_remote()
            if remote:
                await self._borrow_all(remote, steadyclock.read())

    async def _borrow_all(
        self, remote: list[summary.ShardSummary], now: float
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for customer, wanted in self._limits.list_needs(now).items():
                tasks.start_soon(
                    self.borrow,
                    customer,
                    wanted,
                    list_lenders(remote, customer),
                )

    async def borrow(
        self, customer: str, wanted: message.LimitAmounts, lenders: list[str]
    ) -> None:
        """Asks one lender after the other for what is still needed.

        A lender that holds more than that for this owner gets the rest back.
        """
        for address in lenders:
            asked_at = steadyclock.read()
            held = self._limits.reduce_loan(address, customer, wanted, asked_at)
            if held == wanted == message.LimitAmounts():
                continue
            request = peer_message.BorrowLimit(
                self._name, customer, wanted, next(self._numbers)
            )
            try:
                loan = await self._client.ask(address, request, REPLY_TIMEOUT_S)
            except peer_link.LinkError as error:
                LOG.debug("no reply on a loan: %s", error)
                continue
            if not isinstance(loan, peer_message.LimitLoan):
                continue
            until = asked_at + limit_share.LOAN_S
            self._limits.add_loan(address, customer, loan.amounts, until)
            if wanted != message.LimitAmounts():
                self._count(address, customer, loan.amounts)
            wanted = wanted.subtract(loan.amounts)

    def _count(
        self, lender: str, customer: str, loan: message.LimitAmounts
    ) -> None:
        if loan == message.LimitAmounts():
            self.refused += 1
            return
        self.borrowed += 1
        LOG.debug(
            "limit borrowed",
            extra={
                "lender": lender,
                "customer": customer,
                "requests": loan.requests,
                "tokens": loan.tokens,
            },
        )


def list_lenders(
    remote: Iterable[summary.ShardSummary], customer: str
) -> list[str]:
    """Returns the owners in other zones, that with the lowest use first."""
    uses: dict[str, float] = {}
    for found in remote:
        use = found.uses.get(customer, 0.0)
        uses[found.owner] = max(use, uses.get(found.owner, 0.0))
    return sorted(uses, key=lambda owner: (uses[owner], owner))

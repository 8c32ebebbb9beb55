"""Customers that lose all their keys during a soak, and who gets in then."""

from __future__ import annotations

import dataclasses
import http.client
import math
import random
import time
from collections.abc import Callable, Collection, Iterable
from typing import Any

from bench import promise
from test import verdict

HELD_CHANGES = (2, 4)
"""Fewest and most changes of the configuration for which keys are held."""

TAKEN_CHANGES = (4, 6)
"""The same for which no customer has a key.  Most take longer than a change may
take to be in force."""

INTRUDERS = ("", "Bearer key-of-nobody")
"""Values of the header of requests that hold no key."""

INTRUDE_EVERY_S = 0.25


@dataclasses.dataclass
class Period:
    """A time in which no customer had a key, in seconds."""

    began: float
    ended: float = math.inf


class KeyRemover:
    """Takes all keys away in some of the configurations.

    Args:
        rng: Chooses how long.

    Attributes:
        periods: When no customer had a key.
        sent: Requests without a key, or with one that was never held.
    """

    def __init__(self, rng: random.Random) -> None:
        self.periods: list[Period] = []
        self.sent: list[verdict.Ask] = []
        self._rng = rng
        self._left = rng.randint(*HELD_CHANGES)
        self._taken = False

    def apply(self, config: dict[str, Any]) -> None:
        """Takes the customers' keys out of a configuration, or leaves them."""
        self._left -= 1
        if self._left < 0:
            self._taken = not self._taken
            changes = TAKEN_CHANGES if self._taken else HELD_CHANGES
            self._left = self._rng.randint(*changes)
            if self._taken:
                self.periods.append(Period(time.monotonic()))
            else:
                self.periods[-1].ended = time.monotonic()
        if self._taken:
            for tenant in config["tenants"]:
                tenant["apiKeys"] = []

    def may_be_taken(self, at: float) -> bool:
        """Returns whether some VM may have keys taken away in force."""
        return any(
            each.began <= at <= each.ended + verdict.APPLY_S
            for each in self.periods
        )

    def intrude(
        self,
        send: Callable[[int, str], verdict.Ask],
        is_over: Callable[[], bool],
    ) -> None:
        """Sends requests that hold no key.

        Args:
            send: Sends one, given its number and its header.
            is_over: Whether the run is over.
        """
        while not is_over():
            time.sleep(INTRUDE_EVERY_S)
            number = len(self.sent)
            header = INTRUDERS[number % len(INTRUDERS)]
            self.sent.append(send(number, header))


def judge(
    remover: KeyRemover,
    record: verdict.Record,
    ran: Collection[str],
    is_calm: Callable[[float], bool],
) -> list[promise.Promise]:
    """Judges whether only requests with a key in force were run.

    Args:
        remover: What took the keys away.
        record: What callers with a key saw.
        ran: Ids of the requests that any replica ran.
        is_calm: Returns whether no fault was near a moment.
    """
    never = promise.Promise("no request without a key runs")
    for ask in remover.sent:
        never.judge(ask.name not in ran and not _is_served(ask), f"{ask}")
    former = promise.Promise("a key that was taken away is refused soon")
    for ask in _list_late(record.asks, remover.periods):
        if is_calm(ask.sent_at):
            former.judge(ask.name not in ran, f"{ask}")
    return [never, former]


def _list_late(
    asks: Iterable[verdict.Ask], periods: list[Period]
) -> list[verdict.Ask]:
    """Returns the requests that were sent while no key was in force."""
    return [
        ask
        for ask in asks
        if any(
            each.began + verdict.APPLY_S < ask.sent_at
            and ask.answered_at < each.ended
            and ask.sent_at < each.ended
            for each in periods
        )
    ]


def _is_served(ask: verdict.Ask) -> bool:
    return ask.status == http.client.OK

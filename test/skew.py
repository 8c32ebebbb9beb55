"""Spells in which most new connections are made to one VM."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable

from bench import promise
from test import verdict

FAVOURED_PART = 0.9
"""Part of the new connections that one VM gets in a spell."""

SPELL_S = 8.0
BEFORE_S = 2.0
"""Time before a spell with whose requests it is compared, in seconds."""

CALM_S = verdict.CALM_S + BEFORE_S + SPELL_S + 1.0
"""Time without faults that a spell needs, in seconds."""

POLL_S = 0.1

SETTLED_S = 3.0
"""Time from the begin of a spell from which requests are judged, in seconds."""

MIN_SERVED_PART = 0.75
"""Part of the requests to be served in a spell, relative to the time before."""

MIN_REQUESTS = 20


class ConnectionSkew:
    """Chooses the VM of each new connection.

    Args:
        rng: Chooses the favoured VM of each spell.
        names: The VMs.

    Attributes:
        spells: Begin and end of each spell, on the machine's clock.
    """

    def __init__(self, rng: random.Random, names: list[str]) -> None:
        self.spells: list[tuple[float, float]] = []
        self._rng = rng
        self._names = names
        self._favoured: str | None = None

    @property
    def is_active(self) -> bool:
        """Whether a spell is under way."""
        return self._favoured is not None

    def run(
        self, is_over: Callable[[], bool], is_calm: Callable[[float], bool]
    ) -> None:
        """Has a spell in each calm part of the run until it is over.

        Args:
            is_over: Returns whether the run is over.
            is_calm: Returns whether all VMs were connected at a given time.
        """
        while not is_over():
            time.sleep(POLL_S)
            now = time.monotonic()
            if not (is_calm(now - BEFORE_S) and is_calm(now)):
                continue
            began = time.monotonic()
            self._favoured = self._rng.choice(self._names)
            time.sleep(SPELL_S)
            self._favoured = None
            self.spells.append((began, time.monotonic()))
            time.sleep(BEFORE_S)

    def pick(self, vm: str) -> str:
        """Returns the VM that a connection to a VM goes to instead."""
        favoured = self._favoured
        if favoured is None or self._rng.random() >= FAVOURED_PART:
            return vm
        return favoured


def judge(
    skew: ConnectionSkew,
    asks: Iterable[verdict.Ask],
    is_calm: Callable[[float], bool],
) -> promise.Promise:
    """Checks that requests are served while one VM gets most connections.

    Only requests sent in calm count; those that no VM answered did not get in.
    """
    kept = promise.Promise("requests are served beside one crowded VM")
    counted = [ask for ask in asks if ask.status and is_calm(ask.sent_at)]
    for began, ended in skew.spells:
        before = [a for a in counted if began - BEFORE_S < a.sent_at < began]
        within = [a for a in counted if began + SETTLED_S < a.sent_at < ended]
        if min(len(before), len(within)) < MIN_REQUESTS:
            continue
        kept.judge(
            _get_served_part(within)
            >= MIN_SERVED_PART * _get_served_part(before),
            f"from {began:.2f}: {_get_served_part(within):.2f} served, "
            f"{_get_served_part(before):.2f} before",
        )
    return kept


def _get_served_part(asks: list[verdict.Ask]) -> float:
    return sum(ask.status == 200 and ask.whole for ask in asks) / len(asks)

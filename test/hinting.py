"""Replicas that leave or ask for pauses during a soak, and whether VMs heed it.

Both bind the VM that got the answer, so each VM is judged by what it has been
answered itself.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from bench import promise
from test import harm, node, verdict

PAUSES_S = (0.8, 2.0, 3.0)
"""Pauses that are asked for, in seconds."""

REFUSAL_DURATION_S = (2.0, 6.0)
"""Least and most time for which a replica turns requests away, in seconds."""

REFUSAL_INTERVAL_S = (0.5, 2.5)
"""Least and most time between two spells, in seconds."""

REFUSE_ONE_IN = (1, 2, 3)
"""Of how many requests one is turned away in a spell."""

PROPAGATION_S = 0.5
"""Time from a replica's answer until the pause must be kept, in seconds."""

MAX_REQUESTS_IN_PAUSE = 2
"""Requests that a VM may send in a pause."""

LEAVING_DELAY_S = 2.0
"""Time from an answer that says that its replica is leaving until requests of
callers may not go there, in seconds."""

LINK_FAULT_MARGIN_S = 0.5
"""Time around a fault of a link in which answers may be lost, in seconds."""


class HintInjector:
    """Has replicas turn requests away, and one of them leave.

    Args:
        fault_injector: Sets what replicas do.
        rng: Chooses.
        names: The replicas.
    """

    def __init__(
        self, fault_injector: harm.Harm, rng: random.Random, names: list[str]
    ) -> None:
        self._harm = fault_injector
        self._rng = rng
        self._names = names

    def run(self, is_over: Callable[[], bool]) -> None:
        """Has hints given until the run is over."""
        leaving = self._rng.choice(self._names)
        while not is_over():
            name = self._rng.choice(self._names)
            if name == leaving:
                # Until it starts again.
                self._harm.give_hints(name, leaving=True)
            else:
                self._harm.give_hints(
                    name,
                    refuse=True,
                    refuse_each=self._rng.choice(REFUSE_ONE_IN),
                    pauses=[str(self._rng.choice(PAUSES_S))],
                )
            _wait(self._rng.uniform(*REFUSAL_DURATION_S), is_over)
            if name != leaving:
                self._harm.give_hints(name)
            _wait(self._rng.uniform(*REFUSAL_INTERVAL_S), is_over)


def _wait(seconds: float, is_over: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at and not is_over():
        time.sleep(0.05)


def judge(
    started: node.Platform, record: verdict.Record
) -> list[promise.Promise]:
    """Judges what replicas got after they had given a hint."""
    pauses = promise.Promise("a VM keeps the pause that it is asked for")
    leaving = promise.Promise("a VM sends nothing to what told it it leaves")
    asks = {ask.name: ask for ask in record.asks}
    for name in started.replicas:
        arrivals = [
            (line["at"], asks[line["request_id"]])
            for line in _iterate_lines(started, name, "arrived")
            if line["request_id"] in asks
        ]
        _check_pauses(pauses, started, record, name, asks, arrivals)
        _check_leaving(leaving, record, name, arrivals)
    return [pauses, leaving]


def _check_pauses(
    invariant: promise.Promise,
    started: node.Platform,
    record: verdict.Record,
    name: str,
    asks: Mapping[str, verdict.Ask],
    arrivals: list[tuple[float, verdict.Ask]],
) -> None:
    """Judges each pause that a replica asked for."""
    for line in _iterate_lines(started, name, "refused"):
        asked = asks.get(line["request_id"])
        if asked is None or not line["pauses"]:
            continue
        begin, pause_s = line["at"], float(line["pauses"][0])
        if _has_fault(record, {name, asked.vm}, begin, begin + pause_s):
            continue
        count = sum(
            begin + PROPAGATION_S < at <= begin + pause_s and ask.vm == asked.vm
            for at, ask in arrivals
        )
        detail = f"{name}: {count} from {asked.vm} in {pause_s} s"
        invariant.judge(
            count <= MAX_REQUESTS_IN_PAUSE, f"{detail} from {begin:.2f}"
        )


def _check_leaving(
    invariant: promise.Promise,
    record: verdict.Record,
    name: str,
    arrivals: list[tuple[float, verdict.Ask]],
) -> None:
    """Judges each answer that said that its replica was leaving."""
    notified = [ask for ask in record.asks if ask.leaving == name]
    for answer in notified:
        for at, ask in arrivals:
            late = ask.sent_at > answer.answered_at + LEAVING_DELAY_S
            if ask.vm != answer.vm or not late:
                continue
            if _has_fault(record, {name, ask.vm}, answer.sent_at, at):
                continue
            detail = f"{ask.name} on {name} from {ask.vm}"
            invariant.judge(False, f"{detail}, notified by {answer.name}")
        invariant.judge(True, name)


def _has_fault(
    record: verdict.Record, names: set[str], begin: float, end: float
) -> bool:
    """Returns whether a VM or replica had a fault in some time."""
    return any(
        fault.began < end and fault.ended + LINK_FAULT_MARGIN_S > begin
        for fault in record.faults
        if fault.name.split()[-1] in names
    )


def _iterate_lines(
    started: node.Platform, name: str, message: str
) -> Iterator[dict[str, Any]]:
    return (
        line for line in started.read_log(name) if line["message"] == message
    )

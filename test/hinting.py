"""Leaving and pausing replicas during a soak, and checks that VMs obey them.

A hint applies to the VM that received the response, so each VM is checked
against the responses that it has received itself.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from bench import promise
from test import harm, node, verdict

PAUSES_S = (0.8, 2.0, 3.0)
"""Durations of requested pauses, in seconds."""

REFUSAL_DURATION_S = (2.0, 6.0)
"""Minimum and maximum time for which a replica refuses requests, in seconds."""

REFUSAL_INTERVAL_S = (0.5, 2.5)
"""Minimum and maximum time between two such periods, in seconds."""

REFUSE_ONE_IN = (1, 2, 3)
"""One request in this many is refused in such a period."""

PROPAGATION_S = 0.5
"""Time from a replica's response until the pause must hold, in seconds."""

MAX_REQUESTS_IN_PAUSE = 2
"""Requests that a VM may send to a replica during a pause."""

LEAVING_DELAY_S = 2.0
"""Time after a response that says that its replica is leaving, in seconds; no
request that its caller sends later may reach the replica."""

LINK_FAULT_MARGIN_S = 0.5
"""Time after a link fault in which responses may still be lost, in seconds."""


class HintInjector:
    """Makes replicas refuse requests, and one of them leave.

    Args:
        fault_injector: Sets the behaviour of replicas.
        rng: Selects replicas, durations and hints.
        names: The names of the replicas.
    """

    def __init__(
        self, fault_injector: harm.Harm, rng: random.Random, names: list[str]
    ) -> None:
        self._harm = fault_injector
        self._rng = rng
        self._names = names

    def run(self, is_over: Callable[[], bool]) -> None:
        """Sets hints until the run is over."""
        leaving = self._rng.choice(self._names)
        while not is_over():
            name = self._rng.choice(self._names)
            if name == leaving:
                # Remains set until the replica restarts.
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
    """Checks the requests that replicas received after they gave a hint."""
    pauses = promise.Promise("a VM obeys a requested pause")
    leaving = promise.Promise(
        "a VM sends no request to a replica that said it is leaving"
    )
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
    """Checks each pause that a replica requested."""
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
    """Checks each response that said that its replica was leaving."""
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
    """Returns whether a VM or replica had a fault in an interval."""
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

"""What callers and replicas saw in a soak, held against the promises."""

from __future__ import annotations

import collections
import dataclasses
import http.client
import itertools
import json
from collections.abc import Callable, Iterable, Iterator

from bench import promise

CALM_S = 4.0
"""Time after the last fault from which changes must be in force, in seconds."""

APPLY_S = 2.0
"""Time from a change until it must be in force on a VM that is calm, in
seconds."""

ROLLBACK_S = 0.25
"""Time after a change was seen in force on a VM after which it must stay, in
seconds."""

KINDS = {"/safe/": "GET", "/once/": "POST", "/stream/": "POST"}
"""Routes that are asked, and the method for each."""

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request as its caller saw it.

    Attributes:
        name: Its id.
        path: Its route.
        vm: The VM that was asked.
        sent_at: When it was sent.
        status: Status of the answer; 0 if there was none.
        answer_id: Id that the answer names.
        whole: Whether the answer came to its end.
        body: The answer's body.
        answered_at: When the answer was whole.
        leaving: The replica that says in the answer that it is leaving.
    """

    name: str
    path: str
    vm: str
    sent_at: float
    status: int = 0
    answer_id: str = ""
    whole: bool = False
    body: bytes = b""
    answered_at: float = 0.0
    leaving: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """Which version a VM works by, as a request on its route showed.

    Attributes:
        vm: The VM.
        life: How often it had been started.
        at: When it was asked.
        version: The version whose route was asked.
        status: Status of the answer on that version's route.
    """

    vm: str
    life: int
    at: float
    version: int
    status: int


@dataclasses.dataclass
class Fault:
    """A fault that was brought about, from its beginning to its end."""

    name: str
    began: float
    ended: float


@dataclasses.dataclass
class Leave:
    """A replica said that it leaves.

    Attributes:
        name: The replica.
        since: When it said so.
        until: When it started again under its name.
    """

    name: str
    since: float
    until: float = float("inf")


@dataclasses.dataclass
class Record:
    """All that was seen and done in a run.

    Attributes:
        asks: What callers asked.
        looks: Which versions VMs worked by.
        faults: The faults; no time near one is calm.
        changes: Each version of the configuration, and when it was sent.
        leaves: The replicas that said that they leave.
        pauses: Pauses of replicas.  Promises for calm times hold in them too.
    """

    asks: list[Ask] = dataclasses.field(default_factory=list)
    looks: list[Look] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    changes: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    leaves: list[Leave] = dataclasses.field(default_factory=list)
    pauses: list[Fault] = dataclasses.field(default_factory=list)

    def list_faults(self) -> Iterator[str]:
        """Returns a line for each fault that was brought about."""
        first = self.changes[0][1]
        for fault in itertools.chain(self.faults, self.pauses):
            began, ended = fault.began - first, fault.ended - first
            yield f"{began:7.2f} to {ended:7.2f}  {fault.name}"


class Verdict:
    """Judges a record.

    Args:
        record: What callers saw.
        runs: Ids of the requests that each replica ran.
    """

    def __init__(self, record: Record, runs: dict[str, list[str]]) -> None:
        self._record = record
        self._runs = runs

    def judge(self) -> list[promise.Promise]:
        """Returns what was kept and broken."""
        counts = collections.Counter(
            itertools.chain.from_iterable(self._runs.values())
        )
        return [
            self._judge_once(counts),
            self._judge_not_run(counts),
            self._judge_asked(counts),
            self._judge_answers(),
            self._judge_rise(),
            self._judge_in_force(),
            self._judge_leaving(),
        ]

    def _judge_once(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("what may run once runs at most once")
        for ask in self._record.asks:
            if ask.path == "/once/":
                kept.judge(counts.get(ask.name, 0) <= 1, ask.name)
        return kept

    def _judge_not_run(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("'not run' is true")
        for ask in self._record.asks:
            if ask.path == "/once/" and ask.status in NOT_RUN:
                kept.judge(not counts.get(ask.name), f"{ask}")
        return kept

    def _judge_asked(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("only what callers asked runs")
        asked = {ask.name for ask in self._record.asks}
        for name in counts:
            kept.judge(name in asked or name.startswith("p"), name)
        return kept

    def _judge_answers(self) -> promise.Promise:
        kept = promise.Promise("an answer is the caller's own and whole")
        for ask in self._record.asks:
            if ask.status != http.client.OK or not ask.whole:
                continue
            own = ask.answer_id == ask.name
            kept.judge(own and _is_right(ask), f"{ask}")
        return kept

    def _judge_rise(self) -> promise.Promise:
        kept = promise.Promise("a change that was in force stays in force")
        seen: dict[tuple[str, int], tuple[int, float]] = {}
        for look in sorted(self._record.looks, key=lambda look: look.at):
            version, since = seen.get((look.vm, look.life), (0, 0.0))
            if look.status == http.client.OK and look.version > version:
                seen[look.vm, look.life] = (look.version, look.at)
            elif look.version <= version and look.at > since + ROLLBACK_S:
                kept.judge(look.status != http.client.NOT_FOUND, f"{look}")
        return kept

    def _judge_in_force(self) -> promise.Promise:
        kept = promise.Promise("a change is in force soon on a calm VM")
        sent = dict(self._record.changes)
        for look in self._record.looks:
            calm = self.is_calm(look.at)
            age_s = look.at - sent[look.version]
            if calm and age_s > APPLY_S:
                at = f"{look.at - self._record.changes[0][1]:.2f}"
                detail = f"{look.vm} at {at}: version {look.version}"
                found = look.status != http.client.NOT_FOUND
                kept.judge(found, f"{detail} of age {age_s:.2f} s")
        return kept

    def is_calm(self, at: float) -> bool:
        """Returns whether no fault was near a moment."""
        return all(
            fault.ended + CALM_S < at or fault.began > at
            for fault in self._record.faults
        )

    def judge_returns(
        self,
        returns: Iterable[float],
        due_s: float,
        least: float,
        counts: Callable[[float], bool],
    ) -> promise.Promise:
        """Judges whether VMs serve again after they all were lost.

        Args:
            returns: When they were started again.
            due_s: Time from then until they must serve, in seconds.
            least: Part of the requests that must be served then.
            counts: Returns whether requests that were sent at a moment count.
        """
        kept = promise.Promise("the service returns after all VMs")
        for since in returns:
            due = [
                ask
                for ask in self._record.asks
                if ask.path == "/safe/"
                and since + due_s < ask.sent_at
                and self.is_calm(ask.sent_at)
                and counts(ask.sent_at)
            ]
            if due:
                served = sum(_is_served(ask) for ask in due) / len(due)
                kept.judge(served >= least, f"{served:.2f} of {len(due)}")
        return kept

    def _judge_leaving(self) -> promise.Promise:
        kept = promise.Promise("a leaving backend server gets no new work")
        sent = {ask.name: ask.sent_at for ask in self._record.asks}
        for leave in self._record.leaves:
            for run in self._runs[leave.name]:
                at = sent.get(run, 0.0)
                late = leave.since + APPLY_S < at < leave.until
                if late and self.is_calm(at):
                    kept.judge(False, f"{run} on {leave.name}")
            kept.judge(True, leave.name)
        return kept


def _is_served(ask: Ask) -> bool:
    return ask.status == http.client.OK and ask.whole


def _is_right(ask: Ask) -> bool:
    """Returns whether a whole answer is what a replica sends for a request."""
    if ask.path == "/stream/":
        numbers = [
            int(line.partition(b":")[2])
            for line in ask.body.splitlines()
            if line.startswith(b"id:")
        ]
        return numbers == list(range(1, len(numbers) + 1)) and bool(numbers)
    size = len(ask.name) if KINDS[ask.path] == "POST" else 0
    return bool(json.loads(ask.body) == {"path": ask.path, "bytes": size})

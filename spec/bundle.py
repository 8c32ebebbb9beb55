"""Bundles on a log that forgets: racing rollouts, checkpoints, a fresh reader.

The whole log is kept in the state so that the truth is known; ``first`` says
what a reader can still see of it.
"""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

from spec import explore

# Each bundle: its base.  b and c race for the second place, d follows b.
BASES = {"a": "", "b": "a", "c": "a", "d": "b"}


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules, and the size of what is explored.

    Attributes:
        wait_for_checkpoint: A reader without history accepts nothing before a
            checkpoint.
        joined: It takes only a checkpoint that no missing record follows.
        replay: It judges anew what lies after the checkpoint's offset.
        records: How many records the log may get.
    """

    wait_for_checkpoint: bool = True
    joined: bool = True
    replay: bool = True
    records: int = 5


class State(NamedTuple):
    """The log and a fresh reader.

    Attributes:
        log: Records: a bundle's letter, or its letter and a through offset.
        first: Lowest offset that can still be read.
        flying: A checkpoint under way.
        reader: What the reader has in force; empty for none.
        joined: Whether the reader knows the history before what it reads.
        begun: Offset at which the reader began.
        place: Offset that the reader reads next; -1 before it starts.
    """

    log: tuple[str, ...] = ()
    first: int = 0
    flying: str = ""
    reader: str = ""
    joined: bool = False
    begun: int = 0
    place: int = -1


def find_in_force(records: tuple[str, ...], start: str = "") -> str:
    """Returns the bundle in force after these records."""
    current = start
    for record in records:
        if len(record) == 1 and BASES[record] == current:
            current = record
    return current


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    invariants: explore.Invariants = {
        "reader_agrees": lambda s: (
            not s["joined"]
            or s["reader"] == find_in_force(s["log"][: s["place"]])
        ),
    }
    return explore.check(
        "bundle", State(), lambda s: list_steps(s, rules), invariants
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    return [
        *_list_appends(state, rules),
        *_list_truncations(state),
        *_list_reads(state, rules),
    ]


def _list_appends(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps: list[tuple[str, State]] = []
    if len(state.log) < rules.records:
        steps += [
            (f"publish {letter}", state._replace(log=(*state.log, letter)))
            for letter in BASES
            if state.log.count(letter) < 1
        ]
        if state.flying:
            landed = state._replace(log=(*state.log, state.flying), flying="")
            steps.append((f"land {state.flying}", landed))
    if not state.flying:
        # Some scheduler with the whole history writes down what it has read,
        # as far as it has read.
        steps += [
            (f"checkpoint {text}", state._replace(flying=text))
            for end in range(1, len(state.log) + 1)
            if (text := _describe(state.log[:end], end - 1))
        ]
    return steps


def _describe(records: tuple[str, ...], through: int) -> str:
    current = find_in_force(records)
    return f"{current}{through}" if current else ""


def _list_truncations(state: State) -> list[tuple[str, State]]:
    if state.first >= len(state.log):
        return []
    return [("forget", state._replace(first=state.first + 1))]


def _list_reads(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.place < 0:
        started = state._replace(
            place=state.first, begun=state.first, joined=state.first == 0
        )
        return [("start", started)]
    if state.place < state.first:
        # What comes next has been forgotten: the history is lost.
        skipped = state._replace(
            place=state.first,
            begun=state.first,
            joined=False,
        )
        return [("skip", skipped)]
    if state.place >= len(state.log):
        return []
    return [("read", _read(state, rules))]


def _read(state: State, rules: Rules) -> State:
    record = state.log[state.place]
    after = state._replace(place=state.place + 1)
    if len(record) == 1:
        if not state.joined and rules.wait_for_checkpoint:
            return after
        if BASES[record] == state.reader or not state.joined:
            return after._replace(reader=record, joined=True)
        return after
    through = int(record[1:])
    if state.joined or (rules.joined and through + 1 < state.begun):
        return after
    current = record[0]
    if rules.replay:
        begin = max(through + 1, state.begun)
        current = find_in_force(state.log[begin : state.place], current)
    return after._replace(reader=current, joined=True)

"""Reading a stream of a store that may come back from an older copy of itself.

The store then lacks its newest records, gives their offsets out again and is of
the next generation.  Two VMs read on from where they are, and tell each other
what they hold; what was told may arrive at any later moment.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

from spec import explore

VMS = (0, 1)
RECORDS = 3
"""Records that are written in all."""

GENERATIONS = 3
"""Generations of the store: it comes back older twice."""


class Held(NamedTuple):
    """What a VM holds of the stream.

    Attributes:
        generation: The generation that it has read.
        offset: The offset from which it reads on.
        newest: The newest record that it has taken; 0 for none.
    """

    generation: int = 0
    offset: int = 0
    newest: int = 0


class State(NamedTuple):
    """The store, the VMs, and what they have told.

    Attributes:
        generation: The store's generation.
        records: Its records, by the numbers in which they were written.
        written: How many were written in all.
        vms: What each VM holds.
        told: What VMs have told.
    """

    generation: int = 0
    records: tuple[int, ...] = ()
    written: int = 0
    vms: tuple[Held, ...] = (Held(), Held())
    told: frozenset[Held] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        places_are_pairs: A place is a generation and an offset, compared in
            this order; else an offset alone.
        reads_anew: Who meets another generation than it has read begins anew.
    """

    places_are_pairs: bool = True
    reads_anew: bool = True


INVARIANTS: explore.Invariants = {
    # Who is at the store's end has taken the record before it.
    "at_the_end_knows_the_newest": lambda s: all(
        vm.newest == (s["records"][-1] if s["records"] else 0)
        for vm in s["vms"]
        if (vm.generation, vm.offset) == (s["generation"], len(s["records"]))
    ),
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "generation", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    found = _list_changes(state)
    for n in VMS:
        found.append((f"vm{n} reads", _read(state, n, rules)))
        told = state.told | {state.vms[n]}
        found.append((f"vm{n} tells", state._replace(told=told)))
    for n, held in itertools.product(VMS, sorted(state.told)):
        found.append((f"vm{n} hears {held}", _hear(state, n, held, rules)))
    return found


def _list_changes(state: State) -> list[tuple[str, State]]:
    changes = []
    if state.written < RECORDS:
        number = state.written + 1
        records = (*state.records, number)
        changes.append(
            ("store write", state._replace(records=records, written=number))
        )
    if state.generation + 1 < GENERATIONS:
        following = state.generation + 1
        changes.extend(
            (
                f"store back at {kept}",
                state._replace(
                    generation=following, records=state.records[:kept]
                ),
            )
            for kept in range(len(state.records))
        )
    return changes


def _read(state: State, number: int, rules: Rules) -> State:
    held = state.vms[number]
    offset, newest = held.offset, held.newest
    is_other = rules.places_are_pairs and held.generation != state.generation
    if offset > len(state.records) or (is_other and rules.reads_anew):
        offset, newest = 0, 0
    if missing := state.records[offset:]:
        newest = missing[-1]
    return _put(
        state, number, Held(state.generation, len(state.records), newest)
    )


def _hear(state: State, number: int, told: Held, rules: Rules) -> State:
    held = state.vms[number]
    if rules.places_are_pairs:
        is_later = told[:2] > held[:2]
    else:
        is_later = told.offset > held.offset
    return _put(state, number, told) if is_later else state


def _put(state: State, number: int, held: Held) -> State:
    vms = tuple(held if n == number else v for n, v in enumerate(state.vms))
    return state._replace(vms=vms)

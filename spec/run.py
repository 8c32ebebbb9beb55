"""Runs of a replica under one name, read from a store beside stale reads.

The replica's record goes from active over leaving to gone, and the replica may
start again under its name.  Two VMs read the record, fresh or stale, and tell
each other what they hold; what was told may arrive at any later moment.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

from spec import explore

VMS = (0, 1)
RUNS = 2
"""How often the replica runs."""


class Record(NamedTuple):
    """What the store says of the replica, or what a VM was told of it.

    Attributes:
        run: Which of its runs this is.
        replica: How far it has gone: active, leaving or gone.
    """

    run: int = 0
    replica: str = "active"


class Vm(NamedTuple):
    """What a VM knows of the replica.

    Attributes:
        held: What it works by.
        latest: The latest run that it has heard of.
        left: The runs that it has heard are leaving.
        is_fresh: Whether it has just read the store's newest content.
    """

    held: Record = Record()
    latest: int = 0
    left: frozenset[int] = frozenset()
    is_fresh: bool = False


class State(NamedTuple):
    """The store's history, the VMs, and what they have told."""

    history: tuple[Record, ...] = (Record(),)
    vms: tuple[Vm, ...] = (Vm(), Vm())
    told: frozenset[Record] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        left_is_final: A VM that heard of a run's leaving never takes that run
            back, whatever it reads later.
        runs_apart: What was heard of a run says nothing of a later one.
        earlier_ignored: Word of an earlier run than the latest changes nothing.
    """

    left_is_final: bool = True
    runs_apart: bool = True
    earlier_ignored: bool = True


INVARIANTS: explore.Invariants = {
    "left_stays_away": lambda s: all(
        vm.held.replica != "active" or vm.held.run not in vm.left
        for vm in s["vms"]
    ),
    "latest_run_only": lambda s: all(
        vm.held.run == vm.latest for vm in s["vms"]
    ),
    "new_run_is_used": lambda s: all(
        vm.held.replica == "active"
        for vm in s["vms"]
        if vm.is_fresh and s["history"][-1].replica == "active"
    ),
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "run", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    found = [
        *_list_changes(state),
        *(
            (f"vm{n} reads {record}", _take(state, n, record, rules))
            for n, record in itertools.product(VMS, state.history)
        ),
        *(
            (f"vm{n} hears {record}", _take(state, n, record, rules))
            for n, record in itertools.product(VMS, sorted(state.told))
        ),
    ]
    for n in VMS:
        told = state.told | {state.vms[n].held}
        found.append((f"vm{n} tells", state._replace(told=told)))
    return found


def _list_changes(state: State) -> list[tuple[str, State]]:
    newest = state.history[-1]
    following = {"active": "leaving", "leaving": "gone"}.get(newest.replica)
    changes = []
    if following:
        changes.append(newest._replace(replica=following))
    if newest.run + 1 < RUNS:
        changes.append(Record(newest.run + 1))
    stale = tuple(vm._replace(is_fresh=False) for vm in state.vms)
    return [
        (f"store {c}", state._replace(history=(*state.history, c), vms=stale))
        for c in changes
    ]


def _take(state: State, number: int, found: Record, rules: Rules) -> State:
    vm = state.vms[number]
    held, left = found, vm.left
    if rules.earlier_ignored and found.run < vm.held.run:
        held = vm.held
    if held.replica != "active":
        left = left | {held.run}
    known_left = held.run in left if rules.runs_apart else bool(left)
    if rules.left_is_final and known_left and held.replica == "active":
        held = held._replace(replica="leaving")
    is_fresh = found == state.history[-1]
    taken = Vm(held, max(vm.latest, held.run), left, is_fresh)
    vms = tuple(taken if n == number else v for n, v in enumerate(state.vms))
    return state._replace(vms=vms)

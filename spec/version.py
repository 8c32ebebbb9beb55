"""Configurations by version, passed on by peers, beside stale reads.

The store keeps a version that only rises, and one replica's record that goes
from active over leaving to gone.  Two VMs read it, fresh or stale, and tell
each other what they hold; what was told may arrive at any later moment.  Either
may restart and then knows nothing.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

from spec import explore

VMS = (0, 1)
VERSIONS = 3


class Record(NamedTuple):
    """The store's content, or what a VM was told of it.

    Attributes:
        version: The configuration's version; 0 for none.
        replica: How far the replica has gone: active, leaving or gone.
    """

    version: int = 0
    replica: str = "active"


class Vm(NamedTuple):
    """What a VM holds, and the furthest it has been in this life."""

    held: Record = Record()
    highest: int = 0
    saw_leaving: bool = False


class State(NamedTuple):
    """The store's history, the VMs, and what they have told."""

    history: tuple[Record, ...] = (Record(1),)
    vms: tuple[Vm, ...] = (Vm(), Vm())
    told: frozenset[Record] = frozenset()
    restarts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        only_rise: A VM takes only a higher version than it holds.
        left_is_final: A VM that heard of a replica's leaving never takes it
            back, whatever it reads later.
    """

    only_rise: bool = True
    left_is_final: bool = True


INVARIANTS: explore.Invariants = {
    "never_reverts": lambda s: all(
        vm.held.version >= vm.highest for vm in s["vms"]
    ),
    "left_stays_away": lambda s: all(
        vm.held.replica != "active" for vm in s["vms"] if vm.saw_leaving
    ),
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "version", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    return [
        *_list_changes(state),
        *_list_reads(state, rules),
        *_list_words(state, rules),
        *_list_restarts(state),
    ]


def _list_changes(state: State) -> list[tuple[str, State]]:
    newest = state.history[-1]
    changes = []
    if newest.version < VERSIONS:
        changes.append(newest._replace(version=newest.version + 1))
    if newest.replica == "active":
        changes.append(newest._replace(replica="leaving"))
    if newest.replica == "leaving":
        changes.append(newest._replace(replica="gone"))
    return [
        (f"store {c}", state._replace(history=(*state.history, c)))
        for c in changes
    ]


def _list_reads(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Reads may be stale: they return any content the store ever had."""
    return [
        (f"vm{n} reads {found}", _take(state, n, found, rules))
        for n, found in itertools.product(VMS, sorted(set(state.history)))
    ]


def _list_words(state: State, rules: Rules) -> list[tuple[str, State]]:
    tells = [
        (f"vm{n} tells", state._replace(told=state.told | {state.vms[n].held}))
        for n in VMS
        if state.vms[n].held.version
    ]
    hears = [
        (f"vm{n} hears {told}", _take(state, n, told, rules))
        for n, told in itertools.product(VMS, sorted(state.told))
    ]
    return [*tells, *hears]


def _list_restarts(state: State) -> list[tuple[str, State]]:
    if not state.restarts:
        return []
    return [
        (
            f"vm{n} restarts",
            _set(state._replace(restarts=state.restarts - 1), n, Vm()),
        )
        for n in VMS
    ]


def _take(state: State, number: int, found: Record, rules: Rules) -> State:
    vm = state.vms[number]
    version = found.version
    if rules.only_rise:
        version = max(version, vm.held.version)
    replica = found.replica
    if rules.left_is_final and vm.saw_leaving and replica == "active":
        replica = vm.held.replica
    taken = Vm(
        Record(version, replica),
        max(vm.highest, version),
        vm.saw_leaving or replica != "active",
    )
    return _set(state, number, taken)


def _set(state: State, number: int, vm: Vm) -> State:
    vms = tuple(vm if n == number else v for n, v in enumerate(state.vms))
    return state._replace(vms=vms)

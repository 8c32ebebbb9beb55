"""Walks a specification, with a shortest trace to each of its states."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterator
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 600_000

Transitions = Callable[[Any], list[tuple[str, Any]]]
Invariants = dict[str, Callable[[dict[str, Any]], bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found.

    Attributes:
        states: States explored; the exploration was exhaustive.
        broken: Shortest counterexample of each invariant that fails.
    """

    states: int
    broken: dict[str, list[str]]


def check(
    name: str, initial: Any, transitions: Transitions, invariants: Invariants
) -> Verdict:
    """Explores every state.

    Args:
        name: The specification's name.
        initial: The first state, a named tuple.
        transitions: Returns label and state of each step from a state.
        invariants: What must hold in each state, by field name.

    Raises:
        RuntimeError: There are more states than the bound.
    """
    protocol = Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=transitions,
        invariants=invariants,
    )
    result = check_safety(protocol, max_states=MAX_STATES)
    if not result["exhaustive"]:
        raise RuntimeError(f"{name}: more than {MAX_STATES} states")
    broken = {
        key: [step["label"] for step in found["counterexample"]][1:]
        for key, found in result["properties"].items()
        if not found["holds"]
    }
    return Verdict(int(result["reachable_states"]), broken)


def iterate_traces(
    initial: Any, transitions: Transitions
) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yields each reachable state with a shortest trace to it."""
    seen = {initial}
    todo: collections.deque[tuple[tuple[str, ...], Any]] = collections.deque(
        [((), initial)]
    )
    while todo:
        trace, state = todo.popleft()
        yield trace, state
        for label, reached in transitions(state):
            if reached not in seen:
                seen.add(reached)
                todo.append(((*trace, label), reached))

"""Claims on one idempotency key: late, repeated and lost appends."""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

from spec import explore


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules, and the size of what is explored.

    Attributes:
        read_back: An attempt dispatches only after it has read its own claim
            and that it holds.
        promise: An attempt that has given up never dispatches.
        void_released: A claim that lands after its own release is void.
        release_unrun: Only an attempt that never dispatches is released.
        attempts: How many attempts carry the key.
        copies: How often each attempt may append its claim.
    """

    read_back: bool = True
    promise: bool = True
    void_released: bool = True
    release_unrun: bool = True
    attempts: int = 2
    copies: int = 2


class State(NamedTuple):
    """The log, what is on its way to it, and the attempts.

    Attributes:
        log: Records in order: C or R, and the attempt's number.
        flying: Appends under way, sorted.
        phases: Of each attempt: idle, wanting, dispatched or gave_up.
        copies: Claims that each attempt may still append.
        ran: How many attempts have dispatched.
        lied: Whether an attempt ran that was answered ``not_run``.
    """

    log: tuple[str, ...]
    flying: tuple[str, ...]
    phases: tuple[str, ...]
    copies: tuple[int, ...]
    ran: int = 0
    lied: bool = False


def find_holder(log: tuple[str, ...], rules: Rules) -> int | None:
    """Returns the attempt that holds the key after these records."""
    holder: int | None = None
    released: set[int] = set()
    for record in log:
        attempt = int(record[1])
        if record[0] == "R":
            released.add(attempt)
            if holder == attempt:
                holder = None
        elif holder is None and (
            attempt not in released or not rules.void_released
        ):
            holder = attempt
    return holder


def make_initial(rules: Rules) -> State:
    """Returns the first state."""
    count = rules.attempts
    return State((), (), ("idle",) * count, (rules.copies,) * count)


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    invariants: explore.Invariants = {
        "runs_at_most_once": lambda s: s["ran"] <= 1,
        "not_run_is_true": lambda s: not s["lied"],
        "no_released_holder": lambda s: _is_free_of_ghosts(s["log"], rules),
    }
    return explore.check(
        "claim",
        make_initial(rules),
        lambda s: list_steps(s, rules),
        invariants,
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    steps: list[tuple[str, Any]] = []
    for attempt in range(rules.attempts):
        steps += _list_attempt_steps(state, attempt, rules)
    for record in sorted(set(state.flying)):
        rest = list(state.flying)
        rest.remove(record)
        lost = state._replace(flying=tuple(rest))
        steps.append((f"lose {record}", lost))
        steps.append(
            (f"land {record}", lost._replace(log=(*state.log, record)))
        )
    return steps


def _list_attempt_steps(
    state: State, attempt: int, rules: Rules
) -> list[tuple[str, State]]:
    steps: list[tuple[str, State]] = []
    phase = state.phases[attempt]
    if phase in ("idle", "wanting") and state.copies[attempt]:
        claimed = _fly(_set_phase(state, attempt, "wanting"), f"C{attempt}")
        left = list(state.copies)
        left[attempt] -= 1
        steps.append((f"claim {attempt}", claimed._replace(copies=tuple(left))))
    if phase == "wanting":
        given_up = _fly(_set_phase(state, attempt, "gave_up"), f"R{attempt}")
        steps.append((f"give_up {attempt}", given_up))
    willing = phase == "wanting" or (phase == "gave_up" and not rules.promise)
    if willing and _may_dispatch(state, attempt, rules):
        ran = _set_phase(state, attempt, "dispatched")._replace(
            ran=state.ran + 1, lied=state.lied or phase == "gave_up"
        )
        steps.append((f"dispatch {attempt}", ran))
    if phase == "dispatched" and not rules.release_unrun:
        release = f"R{attempt}"
        if release not in state.flying and release not in state.log:
            steps.append((f"release {attempt}", _fly(state, release)))
    return steps


def _may_dispatch(state: State, attempt: int, rules: Rules) -> bool:
    """Returns whether some prefix that may have been read allows it."""
    if not rules.read_back:
        return find_holder(state.log, rules) in (None, attempt)
    return any(
        f"C{attempt}" in state.log[:end]
        and find_holder(state.log[:end], rules) == attempt
        for end in range(len(state.log) + 1)
    )


def _is_free_of_ghosts(log: tuple[str, ...], rules: Rules) -> bool:
    holder = find_holder(log, rules)
    return holder is None or f"R{holder}" not in log


def _set_phase(state: State, attempt: int, phase: str) -> State:
    phases = list(state.phases)
    phases[attempt] = phase
    return state._replace(phases=tuple(phases))


def _fly(state: State, record: str) -> State:
    return state._replace(flying=tuple(sorted((*state.flying, record))))

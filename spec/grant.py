"""Grants and owner changes: one request, two owners, lost and late messages.

Messages stay in the channel after they were received, so each may arrive any
number of times, at any later moment, or never.
"""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

from spec import explore

OWNERS = ("A", "B")


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        dispatch_once: A grant is used only while the request waits.
        never_resend: A broken connection never returns to waiting.
        end_is_final: A request whose end was told uses no grant.
    """

    dispatch_once: bool = True
    never_resend: bool = True
    end_is_final: bool = True


class State(NamedTuple):
    """The request at its entry, and what is on the way to it."""

    phase: str = "waiting"  # waiting, granted, sent, ended
    owner: str = "A"
    sends: int = 0
    said: str = ""
    channel: frozenset[str] = frozenset()
    moves: int = 2
    refusals: int = 1
    breaks: int = 1


INVARIANTS: explore.Invariants = {
    "dispatched_at_most_once": lambda s: s["sends"] <= 1,
    "not_run_is_true": lambda s: s["said"] != "not_run" or s["sends"] == 0,
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "grant", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    return [
        *_list_grants(state),
        *_list_receipts(state, rules),
        *_list_sends(state, rules),
        *_list_ends(state),
        *_list_moves(state),
    ]


def _list_grants(state: State) -> list[tuple[str, State]]:
    return [
        (
            f"grant {owner}{number}",
            state._replace(channel=state.channel | {f"{owner}{number}"}),
        )
        for owner in OWNERS
        for number in (1, 2)
        if f"{owner}{number}" not in state.channel
    ]


def _list_receipts(state: State, rules: Rules) -> list[tuple[str, State]]:
    usable = (
        state.phase == "waiting"
        or (state.phase in ("granted", "sent") and not rules.dispatch_once)
        or (state.phase == "ended" and not rules.end_is_final)
    )
    return [
        (
            f"receive {grant}",
            state._replace(phase="granted")
            if usable and grant[0] == state.owner
            else state,
        )
        for grant in sorted(state.channel)
    ]


def _list_sends(state: State, rules: Rules) -> list[tuple[str, State]]:
    steps: list[tuple[str, State]] = []
    if state.phase == "granted" and state.sends < 2:
        steps.append(
            ("send", state._replace(phase="sent", sends=state.sends + 1))
        )
        if state.refusals:
            refused = state._replace(
                phase="waiting", refusals=state.refusals - 1
            )
            steps.append(("refuse", refused))
    if state.phase == "sent" and state.breaks:
        phase = "sent" if rules.never_resend else "waiting"
        broken = state._replace(phase=phase, breaks=state.breaks - 1)
        steps.append(("break", broken))
    return steps


def _list_ends(state: State) -> list[tuple[str, State]]:
    ended = state._replace(phase="ended")
    if state.phase == "waiting":
        return [("give_up", ended._replace(said="not_run"))]
    if state.phase == "sent":
        return [
            ("complete", ended._replace(said="complete")),
            ("lose", ended._replace(said="unknown")),
        ]
    return []


def _list_moves(state: State) -> list[tuple[str, State]]:
    if not state.moves or state.phase == "ended":
        return []
    other = "B" if state.owner == "A" else "A"
    return [("move", state._replace(owner=other, moves=state.moves - 1))]

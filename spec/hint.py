"""A server that leaves: one VM, two owners, messages late, again or never.

An answer to an earlier request says that server S is leaving.  Grants for S may
be under way then, and owners may hear of it late, or hear of a record that
still says ready.  Messages stay in the channel after they were received.
"""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

from spec import explore

OWNERS = ("A", "B")
SERVERS = ("S", "T")
LEAVING = "S"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        check_at_send: The VM looks at what it knows as it sends.
        is_final: Neither an answer that began earlier nor a record takes back
            that a server is leaving.
        return_is_free: A grant that is returned is no attempt.
    """

    check_at_send: bool = True
    is_final: bool = True
    return_is_free: bool = True


class State(NamedTuple):
    """The request at its entry, and what is on the way.

    Attributes:
        phase: Waiting, granted (with the server), sent, or ended.
        owner: The owner that the entry asks.
        told: Whether an answer has said that S is leaving.
        knows: Whether the entry still takes S for leaving.
        informed: Owners that take S for leaving.
        channel: Messages that have been sent.
        sent_late: Whether the request went to S after the entry was told.
        attempts: Attempts that are counted.
        sends: Attempts that were sent.
        moves: Changes of the owner that are left.
    """

    phase: str = "waiting"
    server: str = ""
    owner: str = "A"
    told: bool = False
    knows: bool = False
    informed: frozenset[str] = frozenset()
    channel: frozenset[str] = frozenset()
    sent_late: bool = False
    attempts: int = 0
    sends: int = 0
    moves: int = 1


INVARIANTS: explore.Invariants = {
    "nothing_to_a_leaving_server": lambda s: not s["sent_late"],
    "only_what_is_sent_is_an_attempt": lambda s: s["attempts"] == s["sends"],
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "hint", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    return [
        *_list_grants(state),
        *_list_receipts(state),
        *_list_sends(state, rules),
        *_list_hints(state, rules),
        *_list_moves(state),
    ]


def _list_grants(state: State) -> list[tuple[str, State]]:
    return [
        (
            f"grant {owner}{server}",
            state._replace(channel=state.channel | {f"{owner}{server}"}),
        )
        for owner in OWNERS
        for server in SERVERS
        if f"{owner}{server}" not in state.channel
        and not (server == LEAVING and owner in state.informed)
    ]


def _list_receipts(state: State) -> list[tuple[str, State]]:
    steps = []
    for message in sorted(state.channel):
        kind, name = message[0], message[1:]
        if kind == "h":
            informed = state._replace(informed=state.informed | {name})
            steps.append((f"inform {name}", informed))
        elif kind == state.owner and state.phase == "waiting":
            granted = state._replace(phase="granted", server=name)
            steps.append((f"receive {message}", granted))
    return steps


def _list_sends(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.phase != "granted":
        return []
    if rules.check_at_send and state.knows and state.server == LEAVING:
        waiting = state._replace(
            phase="waiting",
            server="",
            channel=state.channel | {f"h{state.owner}"},
            # One too many is enough to show.
            attempts=min(2, state.attempts + (not rules.return_is_free)),
        )
        return [("return", waiting)]
    sent = state._replace(
        phase="ended",
        sends=state.sends + 1,
        attempts=state.attempts + 1,
        sent_late=state.told and state.server == LEAVING,
    )
    return [("send", sent)]


def _list_hints(state: State, rules: Rules) -> list[tuple[str, State]]:
    told = state._replace(
        told=True,
        knows=True,
        channel=state.channel | {f"h{owner}" for owner in OWNERS},
    )
    steps = [("answer says leaving", told)]
    if state.told:
        still = rules.is_final
        older = state._replace(
            knows=still, informed=state.informed if still else frozenset()
        )
        steps.append(("record says ready", older))
    return steps


def _list_moves(state: State) -> list[tuple[str, State]]:
    if not state.moves or state.phase == "ended":
        return []
    other = "B" if state.owner == "A" else "A"
    return [("move", state._replace(owner=other, moves=state.moves - 1))]

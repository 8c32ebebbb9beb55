"""When one release alone is certain to have begun a stream nobody knows.

The store lists releases, which come and go.  A stream began at one of those
listed then.  A VM reads the store, may start again, and may adopt what another
VM has read.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from spec import explore

RELEASES = ("a", "b")
CHANGES = 4


class State(NamedTuple):
    """The store's history, the stream, and what the VM knows.

    Attributes:
        listings: Releases listed, after each change.
        began: Listing at which the stream began, and its release.
        since: First listing from which on the VM believes to know all.
        known: The listings that it has read or adopted.
        peer: Number of listings that the other VM has read.
        decided: The release at which the VM lets the stream go on.
    """

    listings: tuple[frozenset[str], ...] = (frozenset("a"),)
    began: tuple[int, str] | None = None
    since: int = 0
    known: frozenset[int] = frozenset((0,))
    peer: int = 1
    decided: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        confirm: The store is read after the caller has come.
        remember: Releases count that were listed since the stream can have
            begun, not only those that are.
        complete: The VM must know all listings since then.
        overlap: Another VM's history is adopted only if it reaches the begin of
            the own one.
    """

    confirm: bool = True
    remember: bool = True
    complete: bool = True
    overlap: bool = True


INVARIANTS: explore.Invariants = {
    "own_release": lambda s: not s["decided"] or s["decided"] == s["began"][1]
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "release_history", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    if state.decided:
        return []
    return [
        *_list_changes(state),
        *_list_begins(state),
        *_list_reads(state, rules),
        *_list_decisions(state, rules),
    ]


def _list_changes(state: State) -> list[tuple[str, State]]:
    if len(state.listings) > CHANGES:
        return []
    return [
        (
            f"change {release}",
            state._replace(listings=(*state.listings, changed)),
        )
        for release in RELEASES
        if (changed := state.listings[-1] ^ {release})
    ]


def _list_begins(state: State) -> list[tuple[str, State]]:
    if state.began is not None:
        return []
    now = len(state.listings) - 1
    return [
        (f"begin {release}", state._replace(began=(now, release)))
        for release in sorted(state.listings[now])
    ]


def _list_reads(state: State, rules: Rules) -> list[tuple[str, State]]:
    end = len(state.listings)
    restarted = state._replace(since=end - 1, known=frozenset((end - 1,)))
    steps = [("read", _read(state)), ("restart", restarted)]
    if state.peer < end:
        steps.append(("peer reads", state._replace(peer=state.peer + 1)))
    if not rules.overlap or state.peer - 1 >= state.since:
        known = state.known | frozenset(range(state.peer))
        steps.append(("adopt", state._replace(since=0, known=known)))
    return steps


def _read(state: State) -> State:
    """Returns the state after the VM has read what it had not."""
    unread = range(max(state.known), len(state.listings))
    return state._replace(known=state.known | frozenset(unread))


def _list_decisions(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.began is None:
        return []
    began, _ = state.began
    if rules.confirm:
        state = _read(state)
    steps = []
    # The VM counts from some time before the stream began.
    for start in range(began + 1):
        if rules.complete and state.since > start:
            continue
        counted = [index for index in state.known if index >= start]
        if not rules.remember:
            counted = [max(state.known)]
        served = frozenset[str]().union(*(state.listings[i] for i in counted))
        if len(served) == 1:
            (only,) = served
            steps.append((f"decide {only}", state._replace(decided=only)))
    return steps

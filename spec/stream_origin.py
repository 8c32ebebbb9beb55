"""Which release began a stream: told to keepers, and asked where it goes on.

One caller's stream, a VM that serves it, two keepers and a VM at which the
caller resumes.  Messages may arrive at any later moment or never, and VMs may
be lost.  Owners grant any release.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import NamedTuple

from spec import explore

RELEASES = ("a", "b")
KEEPERS = (0, 1)


class State(NamedTuple):
    """The stream as its caller holds it, and what VMs know.

    Attributes:
        phase: Of the serving VM: sent, answered (the first event is held back),
            forwarding or lost.
        release: The release that it uses.
        attempts: How often it sent the request.
        told: What is on the way to keepers: keeper and release.
        kept: The releases that each keeper knows; None for a lost keeper.
        held: Releases of the events that the caller holds, in order.
        is_bound: Whether further attempts are bound to the release.
        resumed: How often the caller has resumed.
        losses: VMs that may still be lost.
    """

    phase: str = "sent"
    release: str = "a"
    attempts: int = 1
    told: frozenset[tuple[int, str]] = frozenset()
    kept: tuple[frozenset[str] | None, ...] = (frozenset(), frozenset())
    held: str = ""
    is_bound: bool = False
    resumed: int = 0
    losses: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        record_first_event: The release of the first event is recorded, not
            that of the first attempt.
        refuse_unknown: A stream that no keeper knows is refused.
        bind_attempts: Further attempts inside the answer keep the release.
        check_grant: A grant of another release is declined.
    """

    record_first_event: bool = True
    refuse_unknown: bool = True
    bind_attempts: bool = True
    check_grant: bool = True


INVARIANTS: explore.Invariants = {
    "one_release": lambda s: len(set(s["held"])) <= 1
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    first = State()
    if not rules.record_first_event:
        first = _tell(first)
    return explore.check(
        "stream_origin", first, lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    return [
        *_list_serving(state, rules),
        *_list_receipts(state),
        *_list_losses(state),
        *_list_resumptions(state, rules),
    ]


def _tell(state: State) -> State:
    told = {(keeper, state.release) for keeper in KEEPERS}
    return state._replace(told=state.told | told)


def _list_serving(state: State, rules: Rules) -> list[tuple[str, State]]:
    if state.phase == "sent":
        answered = state._replace(phase="answered")
        if rules.record_first_event and not state.is_bound:
            answered = _tell(answered)
        return [("answer", answered), *_list_attempts(state, rules)]
    if state.phase == "answered":
        # Also if no keeper has confirmed in time.
        held = state.held + state.release
        forwarding = state._replace(
            phase="forwarding", held=held, is_bound=rules.bind_attempts
        )
        return [("forward", forwarding)]
    if state.phase == "forwarding":
        return _list_attempts(state, rules)
    return []


def _list_attempts(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns the steps after a replica broke off."""
    if state.attempts == 2:
        return []
    return [
        (
            f"send again {granted}",
            state._replace(phase="sent", release=granted, attempts=2),
        )
        for granted in RELEASES
        if not (
            state.is_bound and rules.check_grant and granted != state.release
        )
    ]


def _list_receipts(state: State) -> list[tuple[str, State]]:
    steps = []
    for keeper, release in sorted(state.told):
        known = state.kept[keeper]
        if known is not None and release not in known:
            kept = list(state.kept)
            kept[keeper] = known | {release}
            told = state._replace(kept=tuple(kept))
            steps.append((f"keep {keeper} {release}", told))
    return steps


def _list_losses(state: State) -> list[tuple[str, State]]:
    if not state.losses:
        return []
    left = state._replace(losses=state.losses - 1)
    steps = []
    if state.phase != "lost":
        steps.append(("lose serving VM", left._replace(phase="lost")))
    for keeper in KEEPERS:
        if state.kept[keeper] is not None:
            kept = list(state.kept)
            kept[keeper] = None
            lost = left._replace(kept=tuple(kept))
            steps.append((f"lose keeper {keeper}", lost))
    return steps


def _list_resumptions(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns the steps of a caller that has events and asks another VM."""
    if not state.held or state.resumed == 2:
        return []
    steps = []
    for asked in itertools.product((False, True), repeat=len(KEEPERS)):
        answers = [
            known
            for known, answers in zip(state.kept, asked, strict=True)
            if answers and known is not None
        ]
        origins = frozenset[str]().union(*answers)
        if len(origins) > 1 or not origins and rules.refuse_unknown:
            continue
        for granted in RELEASES:
            if origins and rules.check_grant and granted not in origins:
                continue
            resumed = state._replace(
                phase="lost",
                held=(state.held + granted)[-2:],
                resumed=state.resumed + 1,
            )
            steps.append((f"resume {granted}", resumed))
    return steps

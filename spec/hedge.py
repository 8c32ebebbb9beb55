"""Hedged requests: two series of attempts for one answer, one retry budget.

The dispatcher decides on an event at some later step, and the exchange learns
of a decision at a later one still.  Servers may be silent at any time, refuse,
or break off; the caller may leave.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from spec import explore

PIECES = 2
MAX_ATTEMPTS = 3
RUNNING = ("waiting", "sent", "broken", "done")
"""Phases of a series that the exchange takes for running."""


class Series(NamedTuple):
    """One series of attempts.

    Attributes:
        phase: None, waiting, sent, broken (not decided yet), done (decided,
            not known to the exchange yet), left or ended.
        at: The next piece that its server sends.
        has_piece: Whether a piece has arrived that is not written yet.
        holds: Whether a retry is reserved for it.
        is_hedged: Whether another series ran when it broke.
        not_run: Whether its server says that the request did not run.
        attempts: Attempts that it counts.
        may_have_run: Whether it knows of an attempt that may have run.
        outcome: How it ended: unknown or not_run.
    """

    phase: str = "none"
    at: int = 0
    has_piece: bool = False
    holds: bool = False
    is_hedged: bool = False
    not_run: bool = False
    attempts: int = 0
    may_have_run: bool = False
    outcome: str = ""


class State(NamedTuple):
    """The answer, its series and the retry budget.

    Attributes:
        series: Both series.
        written: The pieces that the caller has got.
        sends: Servers that got the request.
        refusals: How many of them said that it did not run.
        left: Retries that the budget still allows.
        reserved: Retries that are reserved.
        unsettled: Reservations that were neither used nor returned; negative
            if one was both.
        was_denied: Whether an owner, the budget or the number of attempts has
            denied an attempt.
        overlaps: Whether a series wrote while the other could write.
        said: How the answer ended; empty before.
    """

    series: tuple[Series, Series] = (Series("waiting"), Series())
    written: tuple[int, ...] = ()
    sends: int = 0
    refusals: int = 0
    left: int = MAX_ATTEMPTS
    reserved: int = 0
    unsettled: int = 0
    was_denied: bool = False
    overlaps: bool = False
    said: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        leave_first: A series that has a piece leaves the other one before it
            writes.
        check_left: A series that was left writes no piece that had arrived.
        resume: An attempt asks for what follows the last piece written.
        end_with_last: The answer ends with its last series only.
        forget_ended: A series that has ended is not taken for one that runs.
        check_other: A series ends without another attempt only if the other
            one still runs when this is decided.
        conceded_is_unknown: A series that leaves the answer to the other never
            ends as not run.
        count_others: A series counts the attempts of the other one.
        fork_may_have_run: A hedge counts the silent attempt as one that may
            have run.
        return_reserved: The retry of a hedge that is not sent is returned.
        use_once: A reserved retry is used by one attempt only.
    """

    leave_first: bool = True
    check_left: bool = True
    resume: bool = True
    end_with_last: bool = True
    forget_ended: bool = True
    check_other: bool = True
    conceded_is_unknown: bool = True
    count_others: bool = True
    fork_may_have_run: bool = True
    return_reserved: bool = True
    use_once: bool = True


def _is_early(said: str) -> bool:
    return said in ("unknown", "not_run")


INVARIANTS: explore.Invariants = {
    "one_writer": lambda s: not s["overlaps"],
    "in_order": lambda s: s["written"] == tuple(range(len(s["written"]))),
    "whole_if_complete": lambda s: (
        s["said"] != "complete" or len(s["written"]) == PIECES
    ),
    "at_most_max_attempts": lambda s: s["sends"] <= MAX_ATTEMPTS,
    "ends_with_last": lambda s: (
        not _is_early(s["said"])
        or all(each.phase not in RUNNING for each in s["series"])
    ),
    "ends_if_none_runs": lambda s: (
        bool(s["said"]) or any(each.phase in RUNNING for each in s["series"])
    ),
    "ends_only_if_denied": lambda s: (
        not _is_early(s["said"]) or s["was_denied"]
    ),
    "retry_is_settled_once": lambda s: (
        s["reserved"]
        == s["unsettled"]
        == sum(each.holds for each in s["series"])
        and (not s["said"] or s["reserved"] == 0)
    ),
    "not_run_is_true": lambda s: (
        s["said"] != "not_run" or s["sends"] == s["refusals"]
    ),
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "hedge", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Returns every step from a state."""
    if state.said:
        return []
    steps = [("caller leaves", _end(state, "gone", rules))]
    for number in (0, 1):
        steps += [
            (f"{label} {number}", reached)
            for label, reached in (
                *_list_scheduling(state, number, rules),
                *_list_serving(state, number, rules),
                *_list_decisions(state, number, rules),
            )
        ]
    return steps


def _put(state: State, number: int, **changes: object) -> State:
    """Returns the state with other values of one series."""
    series = list(state.series)
    series[number] = series[number]._replace(**changes)  # type: ignore[arg-type]
    return state._replace(series=(series[0], series[1]))


def _release(state: State, number: int, rules: Rules) -> State:
    """Returns the retry that is reserved for a series, if any."""
    if not state.series[number].holds:
        return state
    state = _put(state, number, holds=False)
    if not rules.return_reserved:
        return state
    return state._replace(
        left=state.left + 1,
        reserved=state.reserved - 1,
        unsettled=state.unsettled - 1,
    )


def _end(state: State, said: str, rules: Rules) -> State:
    """Ends the answer; releases what series that run hold if it may end."""
    if not _is_early(said):
        for number in (0, 1):
            state = _release(state, number, rules)
            state = _put(state, number, phase="ended")
    return state._replace(said=said)


def _finish(state: State, number: int, outcome: str, rules: Rules) -> State:
    """Ends a series; the other one counts its attempts."""
    state = _release(state, number, rules)
    ended = state.series[number]
    state = _put(state, number, phase="done", outcome=outcome)
    return _absorb(state, 1 - number, ended, rules)


def _absorb(state: State, number: int, ended: Series, rules: Rules) -> State:
    known = state.series[number]
    if not rules.count_others or ended.attempts <= known.attempts:
        return state
    return _put(state, number, attempts=ended.attempts, may_have_run=True)


def _list_scheduling(
    state: State, number: int, rules: Rules
) -> list[tuple[str, State]]:
    """Returns the steps of the owner, and hedging."""
    one, other = state.series[number], state.series[1 - number]
    if one.phase == "waiting":
        sent = _put(
            state,
            number,
            phase="sent",
            at=len(state.written) if rules.resume else 0,
            attempts=one.attempts + 1,
            holds=one.holds and not rules.use_once,
        )._replace(sends=state.sends + 1)
        if one.holds:
            sent = sent._replace(
                reserved=sent.reserved - 1, unsettled=sent.unsettled - 1
            )
        outcome = "unknown" if one.may_have_run else "not_run"
        refused = _finish(state, number, outcome, rules)
        return [("grant", sent), ("refuse", refused._replace(was_denied=True))]
    is_silent = one.phase == "sent" and not one.has_piece
    may_hedge = (
        is_silent
        and other.phase not in RUNNING
        and one.attempts < MAX_ATTEMPTS
        and state.left > 0
    )
    if not may_hedge:
        return []
    hedge = Series(
        "waiting",
        holds=True,
        attempts=one.attempts if rules.count_others else 0,
        may_have_run=rules.fork_may_have_run,
    )
    series = [hedge, hedge]
    series[number] = one
    hedged = state._replace(
        series=(series[0], series[1]),
        left=state.left - 1,
        reserved=state.reserved + 1,
        unsettled=state.unsettled + 1,
    )
    return [("hedge", hedged)]


def _list_serving(
    state: State, number: int, rules: Rules
) -> list[tuple[str, State]]:
    """Returns the steps of a server, and of a series that has a piece."""
    one, other = state.series[number], state.series[1 - number]
    steps: list[tuple[str, State]] = []
    may_write = one.phase == "sent" or (
        one.phase == "left" and not rules.check_left
    )
    if one.has_piece and may_write:
        claimed = _claim(state, number, rules)
        is_alone = one.phase == "sent" and (
            claimed.series[1 - number].phase not in RUNNING
        )
        written = _put(claimed, number, has_piece=False)._replace(
            written=(*state.written, one.at - 1)[-PIECES - 1 :],
            overlaps=state.overlaps or not is_alone,
        )
        steps.append(("write", written))
    if one.phase != "sent" or one.has_piece:
        return steps
    is_hedged = other.phase in RUNNING
    if one.at < PIECES:
        arrived = _put(state, number, has_piece=True, at=one.at + 1)
        steps.append(("arrive", arrived))
        broken = _put(state, number, phase="broken", is_hedged=is_hedged)
        steps.append(("break", broken))
        if one.at == len(state.written) == 0:
            refused = _put(broken, number, not_run=True)
            steps.append(
                ("say not run", refused._replace(refusals=state.refusals + 1))
            )
    else:
        complete = _claim(state, number, rules)
        steps.append(("complete", _end(complete, "complete", rules)))
    return steps


def _claim(state: State, number: int, rules: Rules) -> State:
    """Makes a series the only one."""
    other = state.series[1 - number]
    if other.phase not in RUNNING or not rules.leave_first:
        return state
    if state.series[number].phase == "left":
        return state
    state = _release(state, 1 - number, rules)
    state = _put(state, 1 - number, phase="left")
    return _absorb(state, number, other, rules)


def _list_decisions(
    state: State, number: int, rules: Rules
) -> list[tuple[str, State]]:
    """Returns the decision on a broken attempt, and that it becomes known."""
    one, other = state.series[number], state.series[1 - number]
    if one.phase == "broken":
        return [("decide", _decide(state, number, rules))]
    if one.phase != "done":
        return []
    ended = _put(state, number, phase="ended")
    is_running = other.phase in RUNNING or (
        other.phase == "ended" and not rules.forget_ended
    )
    if is_running and rules.end_with_last:
        return [("learn", ended)]
    return [("learn", _end(ended, one.outcome, rules))]


def _decide(state: State, number: int, rules: Rules) -> State:
    one, other = state.series[number], state.series[1 - number]
    may_have_run = one.may_have_run or not one.not_run
    outcome = "unknown" if may_have_run else "not_run"
    goes_on = not rules.check_other or other.phase in RUNNING[:-1]
    if one.is_hedged and goes_on:
        if rules.conceded_is_unknown:
            outcome = "unknown"
        return _finish(state, number, outcome, rules)
    if one.attempts < MAX_ATTEMPTS and state.left > 0:
        again = _put(
            state,
            number,
            phase="waiting",
            is_hedged=False,
            not_run=False,
            may_have_run=may_have_run,
        )
        return again._replace(left=state.left - 1)
    return _finish(state, number, outcome, rules)._replace(was_denied=True)

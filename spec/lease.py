"""The lease for orders: two contenders, late appends, orders under way.

Time goes in whole steps.  An append may land at any later time; an order lands
within its flight.  An engine that ignores fencing numbers takes any order.
"""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

from spec import explore

TERM = 2
FLIGHT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules, and the size of what is explored.

    Attributes:
        check_flight: An order is sent only if it lands within the lease.
        wait_term: Others wait a whole term after the last record they read.
        void_late: A record is void if a valid one lies between what its sender
            had read and itself.
        wait_flight: Others wait the flight of one order more.
        pause: Whether a holder may be paused between its check and the send.
        engine_checks: Whether the engine refuses old fencing numbers.
        until: Last moment that is explored.
    """

    check_flight: bool = True
    wait_term: bool = True
    void_late: bool = True
    wait_flight: bool = False
    pause: bool = False
    engine_checks: bool = False
    until: int = 5


class Contender(NamedTuple):
    """One controller.

    Attributes:
        read: How many records it has read.
        heard: When it read the last one; 0 at the start.
        valid: Offset of the last valid record by its own reading.
        sent: When it sent the record under way or unread; -1 for none.
        expires: End of its own term; -1 for none.
        fencing: Offset of its own valid record.
        checked: Whether it has passed the check and not yet sent the order.
        left: Records it may still append.
    """

    read: int = 0
    heard: int = 0
    valid: int = -1
    sent: int = -1
    expires: int = -1
    fencing: int = -1
    checked: bool = False
    left: int = 2


class State(NamedTuple):
    """Clock, log, contenders and the engine.

    Attributes:
        now: The time.
        log: Records: sender and how many records it had read.
        flying: Appends under way.
        ones: The contenders.
        orders: Orders under way: sender, fencing number, when it was sent.
        known: Highest fencing number the engine has seen of each contender.
        stale: Whether an order was taken after a newer holder had begun.
        reordered: Whether it was even taken after the newer holder's order.
        begun: Highest fencing number each contender has ordered under.
    """

    now: int = 0
    log: tuple[tuple[int, int], ...] = ()
    flying: tuple[tuple[int, int], ...] = ()
    ones: tuple[Contender, ...] = (Contender(), Contender(left=1))
    orders: tuple[tuple[int, int, int], ...] = ()
    known: tuple[int, ...] = (-1, -1)
    stale: bool = False
    reordered: bool = False
    begun: tuple[int, ...] = (-1, -1)


INVARIANTS: explore.Invariants = {
    "no_stale_order": lambda s: not s["stale"],
    "no_reordered_order": lambda s: not s["reordered"],
}


def check(rules: Rules) -> explore.Verdict:
    """Explores the specification under these rules."""
    return explore.check(
        "lease", State(), lambda s: list_steps(s, rules), INVARIANTS
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    if state.reordered:
        return []
    steps = [*_list_ticks(state, rules), *_list_landings(state, rules)]
    for number in range(len(state.ones)):
        steps += _list_contender_steps(state, number, rules)
    return steps


def _list_ticks(state: State, rules: Rules) -> list[tuple[str, Any]]:
    due = any(state.now - sent >= FLIGHT for _, _, sent in state.orders)
    if due or state.now >= rules.until:
        return []
    return [("tick", state._replace(now=state.now + 1))]


def _list_landings(state: State, rules: Rules) -> list[tuple[str, Any]]:
    steps: list[tuple[str, Any]] = []
    for place, record in enumerate(state.flying):
        rest = state.flying[:place] + state.flying[place + 1 :]
        landed = state._replace(log=(*state.log, record), flying=rest)
        steps.append((f"land {record[0]}", landed))
    for place, (sender, fencing, _) in enumerate(state.orders):
        others = state.orders[:place] + state.orders[place + 1 :]
        left = state._replace(orders=others)
        refused = rules.engine_checks and fencing < max(state.known)
        if not refused:
            known = list(state.known)
            known[sender] = max(known[sender], fencing)
            left = left._replace(
                known=tuple(known),
                stale=fencing < state.begun[1 - sender],
                reordered=fencing < state.known[1 - sender],
            )
        steps.append((f"order {fencing} lands", left))
    return steps


def _list_contender_steps(
    state: State, number: int, rules: Rules
) -> list[tuple[str, Any]]:
    one = state.ones[number]
    steps: list[tuple[str, Any]] = []
    if one.read < len(state.log):
        steps.append((f"{number} reads", _read(state, number, rules)))
    if one.sent < 0 and one.left and _may_contend(state, one, rules):
        sent = one._replace(sent=state.now, left=one.left - 1)
        record = (number, one.read)
        flying = tuple(sorted((*state.flying, record)))
        steps.append(
            (
                f"{number} sends",
                _put(state, number, sent)._replace(flying=flying),
            )
        )
    if may_order(state, one, rules) and not one.checked:
        if rules.pause:
            checked = _put(state, number, one._replace(checked=True))
            steps.append((f"{number} checks", checked))
        else:
            steps.append((f"{number} orders", _order(state, number)))
    if one.checked:
        freed = _put(state, number, one._replace(checked=False))
        steps.append((f"{number} orders late", _order(freed, number)))
    return steps


def _may_contend(state: State, one: Contender, rules: Rules) -> bool:
    if state.now < one.expires:
        return True  # A renewal.
    if not rules.wait_term or not one.read:
        return True
    wait = TERM + (FLIGHT if rules.wait_flight else 0)
    return state.now >= one.heard + wait


def may_order(state: State, one: Contender, rules: Rules) -> bool:
    """Returns whether a contender may send an order now."""
    if one.fencing < 0 or one.fencing != one.valid:
        return False
    if any(fencing == one.fencing for _, fencing, _ in state.orders):
        return False  # One order under way is enough to see a stale one.
    margin = FLIGHT if rules.check_flight else 0
    return state.now + margin < one.expires


def _order(state: State, number: int) -> State:
    fencing = state.ones[number].fencing
    begun = list(state.begun)
    begun[number] = max(begun[number], fencing)
    return state._replace(
        orders=(*state.orders, (number, fencing, state.now)),
        begun=tuple(begun),
    )


def _read(state: State, number: int, rules: Rules) -> State:
    one = state.ones[number]
    offset = one.read
    sender, had_read = state.log[offset]
    after = one._replace(read=offset + 1, heard=state.now)
    is_valid = had_read - 1 >= one.valid or not rules.void_late
    if sender == number:
        after = after._replace(sent=-1)
    if is_valid:
        after = after._replace(valid=offset)
        if sender == number and one.sent >= 0:
            after = after._replace(expires=one.sent + TERM, fencing=offset)
    return _put(state, number, after)


def _put(state: State, number: int, one: Contender) -> State:
    ones = list(state.ones)
    ones[number] = one
    return state._replace(ones=tuple(ones))

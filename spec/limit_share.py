"""A limit over a span, divided by reports of use and moved by loans.

``check`` explores the owners of one scheduling zone: a partition, a killed
owner, takeovers, lost grants and reports that arrive late.  The entries of a
side all report to a new owner; until they have, which takes a fraction of a
second, its burst bounds what it grants, which is not modelled.  ``check_loans``
explores a lender and a borrower: lost and late messages, clock drift, a paused
borrower and a lender that is replaced.
"""

from __future__ import annotations

import dataclasses
import fractions
from collections.abc import Collection
from typing import Any, NamedTuple

from spec import explore

VMS = range(3)
TOTAL = 3
"""The limit in requests; within the modelled time no use expires."""

Counts = tuple[int, int, int]
NONE: Counts = (0, 0, 0)


class Basis(NamedTuple):
    """Use of all entries when a single owner granted, and of one entry."""

    total: int
    base: int


class Report(NamedTuple):
    """What an entry was granted, by owner, and its newest basis."""

    uses: Counts = NONE
    basis: Basis | None = None


class Owner(NamedTuple):
    """What a scheduler knows.

    Attributes:
        own: What it granted, by entry.
        reports: What entries reported.
        frozen: All use and that of each entry when the owners were divided.
    """

    own: Counts = NONE
    reports: tuple[Report | None, ...] = (None, None, None)
    frozen: tuple[int, Counts] | None = None


class State(NamedTuple):
    """Schedulers, entries and what has happened.

    Attributes:
        owners: The schedulers.
        entries: What each entry would report.
        first: The first report of each entry, which may arrive again.
        lost: VMs that were killed.
        back: Killed VMs that have started again.
        far: VMs on the other side of a partition.
        granted: Number of grants that arrived.
        unheard: Grants that are not in the newest total known to those who are
            cut off from their owner, or that only a killed VM knew of.
        losses: Grants that may still be lost.
    """

    owners: tuple[Owner, ...] = (Owner(),) * 3
    entries: tuple[Report, ...] = (Report(),) * 3
    first: tuple[Report | None, ...] = (None, None, None)
    lost: frozenset[int] = frozenset()
    back: frozenset[int] = frozenset()
    far: frozenset[int] = frozenset()
    granted: int = 0
    unheard: int = 0
    losses: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that carry safety.

    Attributes:
        report: An entry reports its use before it uses another owner.
        newest: An older report does not replace a newer one.
        subtract_use: Only what was free is divided.
        freeze: Use counts as of the division of the owners.
        users_only: An entry's use counts only where it sends its requests.
        count_unreported: Use that no entry reported reduces what is left.
    """

    report: bool = True
    newest: bool = True
    subtract_use: bool = True
    freeze: bool = True
    users_only: bool = True
    count_unreported: bool = True


def _holds_limit(fields: dict[str, Any]) -> bool:
    """What nobody else has heard of cannot be divided.

    Each entry hears of the total with its requests, so this is the use within
    a fraction of a second, or that of a single VM.
    """
    return bool(fields["granted"] <= TOTAL + fields["unheard"])


def check(rules: Rules) -> explore.Verdict:
    """Explores the division of a limit under these rules."""
    return explore.check(
        "limit_share",
        State(),
        lambda state: list_steps(state, rules),
        {"limit_holds": _holds_limit},
    )


def list_steps(state: Any, rules: Rules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    most = max(sum(owner.own) for owner in state.owners)
    if state.granted > TOTAL + state.unheard or most > TOTAL + 1:
        return []
    steps = _list_faults(state)
    for entry in VMS:
        if entry in state.lost - state.back:
            continue
        owner = _get_owner(state, entry)
        told = state
        for user in VMS:
            is_near = (user in state.far) == (entry in state.far)
            if is_near and user not in state.lost - state.back:
                told = _tell(told, owner, user, rules)
        if _may_grant(told, owner, entry, rules):
            steps.append((f"grant {owner} {entry}", _grant(told, owner, entry)))
            if state.losses:
                lost = _grant(told, owner, entry, False)
                steps.append((f"lose {owner} {entry}", lost))
        first = state.first[entry]
        if first and not rules.newest and told.owners[owner].reports[entry]:
            late = _set_report(told, owner, entry, first)
            steps.append((f"late {owner} {entry}", late))
    return [step for step in steps if step[1] != state]


def _list_faults(state: State) -> list[tuple[str, State]]:
    steps = []
    if not state.far and not state.lost:
        for far in (frozenset({1, 2}), frozenset({2})):
            cut = state._replace(far=far, unheard=_count_unheard(state, far))
            steps.append((f"cut {set(far)}", _divide(cut)))
    if len(state.lost) < 1 + bool(state.far):
        for vm in sorted(set(VMS) - state.lost - {2}):
            near = [
                other
                for other in set(VMS) - state.lost - {vm}
                if (other in state.far) == (vm in state.far)
            ]
            unheard = _count_unheard(state, near)
            if state.far or state.lost:
                unheard += sum(state.entries[vm].uses)
            killed = state._replace(
                lost=state.lost | {vm}, unheard=state.unheard + unheard
            )
            steps.append((f"kill {vm}", _divide(killed)))
    if not state.far and state.lost and state.lost != state.back:
        entries = tuple(
            Report() if vm in state.lost else report
            for vm, report in enumerate(state.entries)
        )
        back = state._replace(back=state.lost, entries=entries)
        steps.append(("restart", back))
    return steps


def _count_unheard(state: State, vms: Collection[int]) -> int:
    """Returns the grants that are not in the newest total known to VMs."""
    bases = [state.entries[vm].basis for vm in vms]
    known = max((basis.total for basis in bases if basis), default=0)
    return max(0, state.granted - known)


def _divide(state: State) -> State:
    """A single owner that lives keeps the use as of the division."""
    owner = state.owners[0]
    if owner.frozen or 0 in state.lost:
        return state
    frozen = owner._replace(frozen=(sum(owner.own), owner.own))
    return state._replace(owners=(frozen, *state.owners[1:]))


def _get_owner(state: State, entry: int) -> int:
    """Returns the first live VM of the entry's side; VMs start as no owner."""
    return min(
        vm
        for vm in VMS
        if vm not in state.lost and (vm in state.far) == (entry in state.far)
    )


def _get_part(state: State, owner: int) -> fractions.Fraction:
    side = [
        vm
        for vm in VMS
        if vm not in state.lost - state.back
        and (vm in state.far) == (owner in state.far)
    ]
    return fractions.Fraction(len(side), len(VMS))


def _tell(state: State, owner: int, entry: int, rules: Rules) -> State:
    """An entry reports to an owner that it did not use before."""
    known = state.owners[owner]
    report = state.entries[entry]
    if not rules.report or known.reports[entry] is not None:
        return state
    first = tuple(
        found or (report if vm == entry else None)
        for vm, found in enumerate(state.first)
    )
    return _set_report(state._replace(first=first), owner, entry, report)


def _set_report(state: State, owner: int, entry: int, report: Report) -> State:
    known = state.owners[owner]
    reports = tuple(
        report if vm == entry else old for vm, old in enumerate(known.reports)
    )
    return _set_owner(state, owner, known._replace(reports=reports))


def _set_owner(state: State, owner: int, known: Owner) -> State:
    owners = tuple(
        known if vm == owner else old for vm, old in enumerate(state.owners)
    )
    return state._replace(owners=owners)


def _get_use(known: Owner, owner: int, entry: int) -> int:
    """Returns an entry's use as known to an owner."""
    report = known.reports[entry] or Report()
    others = sum(report.uses) - report.uses[owner]
    return known.own[entry] + others


def _get_basis(known: Owner) -> tuple[int, Counts] | None:
    """Returns the newest known total and each entry's part of it."""
    if known.frozen:
        return known.frozen
    bases = [
        (report.basis if report else None) or Basis(-1, 0)
        for report in known.reports
    ]
    newest = max(basis.total for basis in bases)
    if newest < 0:
        return None
    one, two, three = (basis.base for basis in bases)
    return newest, (one, two, three)


def _may_grant(state: State, owner: int, entry: int, rules: Rules) -> bool:
    known = state.owners[owner]
    part = _get_part(state, owner)
    basis = _get_basis(known)
    uses = [_get_use(known, owner, vm) for vm in VMS]
    if part == 1:
        unreported = 0
        if basis and not known.frozen and rules.count_unreported:
            unreported = basis[0] - sum(basis[1])
        return sum(uses) + 1 <= TOTAL - unreported
    total, bases = basis or (0, NONE)
    users = [
        vm
        for vm in VMS
        if (vm in state.far) == (owner in state.far)
        and vm not in state.lost - state.back
        and (vm == entry or known.reports[vm] or known.own[vm])
    ]
    counted = users if rules.users_only else list(VMS)
    if not rules.freeze:
        bases = (uses[0], uses[1], uses[2])
    free = TOTAL - total if rules.subtract_use else TOTAL
    allowed = sum(bases[vm] for vm in counted) + part * free
    return sum(uses[vm] for vm in users) + 1 <= allowed


def _grant(state: State, owner: int, entry: int, arrives: bool = True) -> State:
    known = state.owners[owner]
    own = _add(known.own, entry)
    state = _set_owner(state, owner, known._replace(own=own))
    if not arrives:
        return state._replace(losses=state.losses - 1)
    state = state._replace(granted=state.granted + 1)
    report = state.entries[entry]
    uses = _add(report.uses, owner)
    basis = report.basis
    if _get_part(state, owner) == 1:
        known = state.owners[owner]
        total = sum(_get_use(known, owner, vm) for vm in VMS)
        basis = Basis(total, sum(uses))
    entries = tuple(
        Report(uses, basis) if vm == entry else old
        for vm, old in enumerate(state.entries)
    )
    return state._replace(entries=entries)


def _add(counts: Counts, index: int) -> Counts:
    one, two, three = (n + (vm == index) for vm, n in enumerate(counts))
    return one, two, three


SPAN = 2
LOAN = 2
SHARE = 2
"""What each of two zones may use in a span; loans are of one request."""

UNTIL = 6


class LoanState(NamedTuple):
    """A lender and a borrower.

    Attributes:
        now: The time.
        uses: Zone and time of each use in the last span; the lender is 0.
        asked: When the request under way was sent; -1 for none.
        reply: When the request was sent whose loan is under way; -1 for none.
        lent_until: Until when the lender subtracts its loan, by its clock.
        owed: Whether a loan was sent that is not subtracted yet.
        loan_until: Until when the borrower may use it, by its clock.
        returned: Whether the borrower's return of the loan is under way.
        ahead: By how much the lender's clock is ahead.
        behind: For how long the borrower's clock has stood still, at most 1.
        asks, kills: How many of them are left.
    """

    now: int = 0
    uses: tuple[tuple[int, int], ...] = ()
    asked: int = -1
    reply: int = -1
    lent_until: int = -1
    owed: bool = False
    loan_until: int = -1
    returned: bool = False
    ahead: int = 0
    behind: int = 0
    asks: int = 2
    kills: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRules:
    """The rules that carry safety.

    Attributes:
        subtract_first: The lender subtracts the loan before it replies.
        hold_span: It subtracts the loan for a span after its end.
        margin: It does so longer, by the drift of the clocks.
        from_request: The borrower counts the loan's time from its request.
        steady_clock: The borrower's clock counts the time of a pause.
        total_has_loans: The use that entries report to the lender's successor
            includes the loans.
        return_unused: The borrower returns a loan only while its use in the
            span fits its own share, and uses no more of it from then on.
        in_order: The lender ignores a return that is older than a request that
            it has answered.
    """

    subtract_first: bool = True
    hold_span: bool = True
    margin: bool = True
    from_request: bool = True
    steady_clock: bool = True
    total_has_loans: bool = True
    return_unused: bool = True
    in_order: bool = True


LOAN_INVARIANTS: explore.Invariants = {
    "limit_holds": lambda s: len(s["uses"]) <= 2 * SHARE
}


def check_loans(rules: LoanRules) -> explore.Verdict:
    """Explores loans under these rules."""
    return explore.check(
        "limit_loan",
        LoanState(),
        lambda state: list_loan_steps(state, rules),
        LOAN_INVARIANTS,
    )


def list_loan_steps(state: Any, rules: LoanRules) -> list[tuple[str, Any]]:
    """Returns every step from a state."""
    if len(state.uses) > 2 * SHARE:
        return []
    return [
        *_list_loan_ticks(state, rules),
        *_list_uses(state),
        *_list_messages(state, rules),
    ]


def _list_loan_ticks(
    state: LoanState, rules: LoanRules
) -> list[tuple[str, LoanState]]:
    steps = []
    if state.now < UNTIL:
        now = state.now + 1
        kept = tuple(use for use in state.uses if use[1] > now - SPAN)
        later = state._replace(now=now, uses=kept)
        steps.append(("tick", later))
        if not rules.steady_clock:
            paused = later._replace(behind=1)
            steps.append(("tick while paused", paused))
    if not state.ahead:
        steps.append(("drift", state._replace(ahead=1)))
    if state.kills:
        lent = state.lent_until if rules.total_has_loans else -1
        replaced = state._replace(kills=state.kills - 1, lent_until=lent)
        steps.append(("lender is replaced", replaced))
    return steps


def _list_uses(state: LoanState) -> list[tuple[str, LoanState]]:
    counts = [sum(zone == z for z, _ in state.uses) for zone in range(2)]
    lent = state.now + state.ahead < state.lent_until
    borrowed = state.now - state.behind < state.loan_until
    allowed = (SHARE - lent, SHARE + borrowed)
    return [
        (
            f"zone {zone} uses",
            state._replace(uses=(*state.uses, (zone, state.now))),
        )
        for zone in range(2)
        if counts[zone] < allowed[zone]
    ]


def _list_messages(
    state: LoanState, rules: LoanRules
) -> list[tuple[str, LoanState]]:
    steps = []
    if state.asked < 0 and state.reply < 0 and state.asks:
        asked = state._replace(asked=state.now, asks=state.asks - 1)
        steps.append(("ask", asked))
    used = sum(zone == 0 for zone, _ in state.uses)
    if state.asked >= 0 and used < SHARE:
        # A loan that is still subtracted is renewed.
        sent = state._replace(asked=-1, reply=state.asked, owed=True)
        if rules.in_order:
            sent = sent._replace(returned=False)
        if rules.subtract_first:
            sent = _subtract(sent, rules)
        steps.append(("lend", sent))
    if state.owed:
        steps.append(("subtract late", _subtract(state, rules)))
    steps += _list_returns(state, rules)
    if state.reply >= 0:
        begin = state.reply if rules.from_request else state.now
        until = begin + LOAN if rules.from_request else state.now + LOAN
        got = state._replace(reply=-1, loan_until=until - state.behind)
        steps += [("loan arrives", got), ("loss", state._replace(reply=-1))]
    return steps


def _list_returns(
    state: LoanState, rules: LoanRules
) -> list[tuple[str, LoanState]]:
    steps = []
    used = sum(zone == 1 for zone, _ in state.uses)
    may_return = used <= SHARE or not rules.return_unused
    is_idle = state.asked < 0 and state.reply < 0 and not state.returned
    if state.loan_until >= 0 and is_idle and may_return:
        returned = state._replace(loan_until=-1, returned=True)
        steps.append(("return", returned))
    if state.returned:
        arrived = state._replace(returned=False, lent_until=-1)
        steps += [
            ("return arrives", arrived),
            ("return is lost", state._replace(returned=False)),
        ]
    return steps


def _subtract(state: LoanState, rules: LoanRules) -> LoanState:
    until = state.now + state.ahead + LOAN
    until += SPAN - 1 if rules.hold_span else 0
    until += 1 if rules.margin else 0
    return state._replace(lent_until=until, owed=False)


def list_loan_rules() -> list[LoanRules]:
    """Returns the rules with each of them switched off."""
    names = [field.name for field in dataclasses.fields(LoanRules)]
    return [LoanRules(**{name: False}) for name in names]


def list_share_rules() -> list[Rules]:
    """Returns the rules of the division with each of them switched off."""
    names = [field.name for field in dataclasses.fields(Rules)]
    return [Rules(**{name: False}) for name in names]

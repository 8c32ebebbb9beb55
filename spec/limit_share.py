"""A limit over a span, divided by reports of use.

``check`` explores the owners of one scheduling zone: a partition, a killed
owner, takeovers, lost grants and reports that arrive late.  The entries of a
side all report to a new owner; until they have, which takes a fraction of a
second, its burst bounds what it grants, which is not modelled.
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


def list_share_rules() -> list[Rules]:
    """Returns the rules of the division with each of them switched off."""
    names = [field.name for field in dataclasses.fields(Rules)]
    return [Rules(**{name: False}) for name in names]

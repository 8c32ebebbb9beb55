"""``ramptray losses``: counts late and failed requests by cause, from logs."""

from __future__ import annotations

import collections
import enum
import itertools
import pathlib
from collections.abc import Iterable, Mapping

import click
import msgspec

from ramptray.command import explain
from ramptray.command.error import CommandError

_PATH = click.Path(path_type=pathlib.Path)

MAX_SHOWN_WINDOWS = 5
"""Number of time windows shown, those with the greatest loss."""

MAX_SHOWN_CAUSES = 3
"""Number of causes shown for a window, in descending order of weight."""


MAX_SHOWN_OWNERS = 20
"""Number of owners shown, those with the most refusals for a limit."""


class Cause(enum.Enum):
    """How a request ended, and why it was late or lost."""

    IN_TIME = "in time"
    LATE_WAITING = "late, waited too long"
    LATE_BACKEND = "late, backend server slower than expected"
    CUSTOMER_LIMIT = "refused, limit of its customer"
    NO_SLOT = "refused, no place in time"
    NO_BACKEND = "refused, no backend server in reach"
    NOT_READY = "refused, VM not ready"
    BACKEND_FAILED = "backend server failed"
    DEADLINE_EXCEEDED = "ran until its deadline"
    CALLER_DISCONNECTED = "caller left first"
    VM_DOWN = "its VM went down"
    OTHER = "refused, for another reason"


CAUSE_BY_REASON: Mapping[str, Cause] = {
    "customer_limit": Cause.CUSTOMER_LIMIT,
    "overloaded": Cause.NO_SLOT,
    "no_backend": Cause.NO_BACKEND,
    "not_ready": Cause.NOT_READY,
    "backend_refused": Cause.BACKEND_FAILED,
    "backend_lost": Cause.BACKEND_FAILED,
    "stream_broken": Cause.BACKEND_FAILED,
    "caller_gone": Cause.CALLER_DISCONNECTED,
}
"""Causes by the reason in an ``end`` line."""


class RequestOutcome(msgspec.Struct, frozen=True):
    """The classified end of one request.

    Attributes:
        asked_s: Time of receipt, in seconds of the receiving VM's clock.
        tier: Tier of the request.
        cause: How the request ended.
        weight: Weight of the request, given by its tier.
    """

    asked_s: float
    tier: str
    cause: Cause
    weight: float


class LimitRefusal(msgspec.Struct, frozen=True):
    """The state of an owner that refused a request for its customer's limit.

    Attributes:
        owner: Address of the owner.
        part: The part of each limit that it divided; None if limits are not
            shared.
        stood_in: Whether it stood in for a silent owner.
    """

    owner: str
    part: float | None
    stood_in: bool


@click.command(name="losses")
@click.option(
    "--logs",
    type=_PATH,
    multiple=True,
    required=True,
    help="Collected log files, or folders of them.",
)
@click.option(
    "--weight",
    "weights",
    multiple=True,
    metavar="TIER=NUMBER",
    help="Weight of a tier's requests; 1 by default.",
)
@click.option(
    "--window",
    "window_s",
    default=2.0,
    show_default=True,
    type=click.FloatRange(min=0.1),
    help="Length of a time window, in seconds.",
)
def command(
    logs: tuple[pathlib.Path, ...], weights: tuple[str, ...], window_s: float
) -> None:
    """Shows why requests were lost or late, and the worst time windows.

    Each attempt of a caller counts as one request.  The last line gives the
    fraction of the total weight that was served in time.
    """
    lines = list(explain.read_lines(explain.list_files(logs)))
    outcomes = classify_requests(lines, parse_weights(weights))
    if not outcomes:
        raise CommandError("no line of these logs records a request")
    _show_causes(outcomes)
    _show_windows(outcomes, window_s)
    _show_limit_refusals(count_limit_refusals(lines))
    total = sum(outcome.weight for outcome in outcomes)
    served = sum(
        outcome.weight for outcome in outcomes if outcome.cause is Cause.IN_TIME
    )
    click.echo(f"in time: {served / total:.3f} of {total:g}")


def parse_weights(texts: Iterable[str]) -> dict[str, float]:
    """Parses ``TIER=NUMBER`` arguments.

    Raises:
        CommandError: An argument is malformed.
    """
    weights = {}
    for text in texts:
        tier, _, number = text.rpartition("=")
        try:
            weights[tier] = float(number)
        except ValueError:
            tier = ""
        if not tier:
            raise CommandError(f"--weight {text}: TIER=NUMBER wanted")
    return weights


def classify_requests(
    lines: Iterable[explain.LogLine], weights: Mapping[str, float]
) -> list[RequestOutcome]:
    """Determines the outcome of each request found in the lines."""
    lines_by_request: dict[str, list[explain.LogLine]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.subject:
            lines_by_request[line.subject].append(line)
    return [
        RequestOutcome(
            received.time_s,
            tier,
            _find_cause(received, request_lines),
            weights.get(tier, 1.0),
        )
        for request_lines in lines_by_request.values()
        if (received := _find_last(request_lines, "request")) is not None
        for tier in [str(received.details.get("tier", ""))]
    ]


def count_limit_refusals(
    lines: Iterable[explain.LogLine],
) -> collections.Counter[LimitRefusal]:
    """Counts refusals for a customer's limit by their owner's state."""
    return collections.Counter(
        LimitRefusal(
            str(line.details.get("owner") or line.process),
            line.details.get("limit_part"),
            bool(line.details.get("stands_in")),
        )
        for line in lines
        if line.kind == "shed"
        and line.details.get("reason") == "customer_limit"
    )


def _find_cause(
    received: explain.LogLine, request_lines: list[explain.LogLine]
) -> Cause:
    end = _find_last(request_lines, "end")
    if end is None:
        return Cause.VM_DOWN
    reason = end.details.get("reason")
    if reason is None:
        return _find_delay_cause(received, request_lines)
    if reason == "deadline":
        ran = _find_last(request_lines, "dispatch") is not None
        return Cause.DEADLINE_EXCEEDED if ran else Cause.NO_SLOT
    return CAUSE_BY_REASON.get(str(reason), Cause.OTHER)


def _find_delay_cause(
    received: explain.LogLine, request_lines: list[explain.LogLine]
) -> Cause:
    """Checks whether a complete answer started before its deadline."""
    first = _find_last(request_lines, "first_token")
    grants = [line for line in request_lines if line.kind == "grant"]
    if first is None or not grants:
        return Cause.IN_TIME
    granted = grants[-1]
    left_s = granted.details.get("left_s")
    if left_s is None:
        return Cause.IN_TIME
    if left_s < granted.details.get("expected_s", 0.0):
        return Cause.LATE_WAITING
    # Uses only timestamps of the VM, as the owner's clock may differ.
    dispatched = _find_last(request_lines, "dispatch") or received
    if first.time_s - dispatched.time_s > left_s:
        return Cause.LATE_BACKEND
    return Cause.IN_TIME


def _find_last(
    request_lines: Iterable[explain.LogLine], kind: str
) -> explain.LogLine | None:
    """Returns the latest line of a kind, or None."""
    return max(
        (line for line in request_lines if line.kind == kind),
        key=lambda line: line.time_s,
        default=None,
    )


def _show_causes(outcomes: list[RequestOutcome]) -> None:
    tiers = sorted({outcome.tier for outcome in outcomes})
    sums: dict[tuple[Cause, str], float] = collections.defaultdict(float)
    total = sum(outcome.weight for outcome in outcomes)
    for outcome in outcomes:
        sums[outcome.cause, outcome.tier] += outcome.weight
    head = "".join(f"{tier:>10}" for tier in tiers)
    click.echo(f"{'what became of them':<44}{'part':>7}{head}")
    for cause in Cause:
        parts = [sums[cause, tier] for tier in tiers]
        if any(parts):
            cells = "".join(f"{part:>10g}" for part in parts)
            share = sum(parts) / total
            click.echo(f"{cause.value:<44}{share:>7.3f}{cells}")


def _show_windows(outcomes: list[RequestOutcome], window_s: float) -> None:
    """Prints the time windows with the greatest loss and their causes."""
    begin = min(outcome.asked_s for outcome in outcomes)

    def get_window(outcome: RequestOutcome) -> int:
        return int((outcome.asked_s - begin) // window_s)

    ordered = sorted(outcomes, key=get_window)
    lost = {
        number: _sum_lost_weights(group)
        for number, group in itertools.groupby(ordered, get_window)
    }
    worst = sorted(lost, key=lambda n: -sum(lost[n].values()))[
        :MAX_SHOWN_WINDOWS
    ]
    click.echo(
        f"most was lost in these {window_s:g} s, from the first request:"
    )
    for number in sorted(worst):
        by_weight = sorted(lost[number].items(), key=lambda item: -item[1])
        reasons = ", ".join(
            f"{cause.value} {weight:g}"
            for cause, weight in by_weight[:MAX_SHOWN_CAUSES]
        )
        click.echo(f"{number * window_s:>8.1f} s  {reasons}")


def _show_limit_refusals(
    refusals: collections.Counter[LimitRefusal],
) -> None:
    """Prints the owners that refused requests for a limit, if any."""
    if refusals:
        click.echo("refused for a limit, by owner:")
    for refusal, count in refusals.most_common(MAX_SHOWN_OWNERS):
        part = "" if refusal.part is None else f"  part {refusal.part:g}"
        stood_in = "  stood in" if refusal.stood_in else ""
        click.echo(f"{count:>8}  {refusal.owner}{part}{stood_in}")


def _sum_lost_weights(outcomes: Iterable[RequestOutcome]) -> dict[Cause, float]:
    sums: dict[Cause, float] = collections.defaultdict(float)
    for outcome in outcomes:
        if outcome.cause is not Cause.IN_TIME:
            sums[outcome.cause] += outcome.weight
    return sums

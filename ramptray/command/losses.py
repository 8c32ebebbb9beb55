"""``ramptray losses``: why requests were not served in time, from logs."""

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

WORST_WINDOWS = 5
"""Windows of time that are shown, those with the greatest loss."""


SHOWN_REASONS = 3
"""Reasons that are shown for a window, the heaviest first."""


class Cause(enum.Enum):
    """What became of a request."""

    IN_TIME = "in time"
    LATE_WAITING = "late, waited too long"
    LATE_BACKEND = "late, backend server slower than expected"
    LIMIT = "refused, limit of its customer"
    NO_PLACE = "refused, no place in time"
    NO_BACKEND = "refused, no backend server in reach"
    NOT_READY = "refused, VM not ready"
    BACKEND_FAILED = "backend server failed"
    TIME_OVER = "ran until its deadline"
    CALLER_GONE = "caller left first"
    VM_DOWN = "its VM went down"
    OTHER = "refused, for another reason"


CAUSES: Mapping[str, Cause] = {
    "customer_limit": Cause.LIMIT,
    "overloaded": Cause.NO_PLACE,
    "no_backend": Cause.NO_BACKEND,
    "not_ready": Cause.NOT_READY,
    "backend_refused": Cause.BACKEND_FAILED,
    "backend_lost": Cause.BACKEND_FAILED,
    "stream_broken": Cause.BACKEND_FAILED,
    "caller_gone": Cause.CALLER_GONE,
}
"""Causes by the reason that an ``end`` line tells."""


class Loss(msgspec.Struct, frozen=True):
    """What became of one request.

    Attributes:
        asked_s: When it was asked, on its VM's clock.
        tier: Its tier.
        cause: What became of it.
        weight: What it weighs.
    """

    asked_s: float
    tier: str
    cause: Cause
    weight: float


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
    help="What a request of a tier weighs; 1 where it is left out.",
)
@click.option(
    "--window",
    "window_s",
    default=2.0,
    show_default=True,
    type=click.FloatRange(min=0.1),
    help="Length of the windows of time, in seconds.",
)
def command(
    logs: tuple[pathlib.Path, ...], weights: tuple[str, ...], window_s: float
) -> None:
    """Shows for which reasons requests were lost or late, and when most.

    Each try of a caller counts as one request.  The last line tells what part
    of all weights was served in time.
    """
    lines = explain.read_lines(explain.list_files(logs))
    losses = judge_all(lines, parse_weights(weights))
    if not losses:
        raise CommandError("no line of these logs tells of a request")
    _show_causes(losses)
    _show_windows(losses, window_s)
    total = sum(loss.weight for loss in losses)
    met = sum(loss.weight for loss in losses if loss.cause is Cause.IN_TIME)
    click.echo(f"in time: {met / total:.3f} of {total:g}")


def parse_weights(texts: Iterable[str]) -> dict[str, float]:
    """Returns the weights by tier.

    Raises:
        CommandError: A text is no weight.
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


def judge_all(
    lines: Iterable[explain.Line], weights: Mapping[str, float]
) -> list[Loss]:
    """Returns what became of each request that the lines tell of."""
    by_subject: dict[str, list[explain.Line]] = collections.defaultdict(list)
    for line in lines:
        if line.subject:
            by_subject[line.subject].append(line)
    return [
        Loss(asked.time_s, tier, _judge(asked, own), weights.get(tier, 1.0))
        for own in by_subject.values()
        if (asked := _find(own, "request")) is not None
        for tier in [str(asked.details.get("tier", ""))]
    ]


def _judge(asked: explain.Line, own: list[explain.Line]) -> Cause:
    end = _find(own, "end")
    if end is None:
        return Cause.VM_DOWN
    reason = end.details.get("reason")
    if reason is None:
        return _judge_time(asked, own)
    if reason == "deadline":
        ran = _find(own, "dispatch") is not None
        return Cause.TIME_OVER if ran else Cause.NO_PLACE
    return CAUSES.get(str(reason), Cause.OTHER)


def _judge_time(asked: explain.Line, own: list[explain.Line]) -> Cause:
    """Returns whether a whole answer began in time, by what the owner knew."""
    first = _find(own, "first_token")
    grants = [line for line in own if line.kind == "grant"]
    if first is None or not grants:
        return Cause.IN_TIME
    granted = grants[-1]
    left_s = granted.details.get("left_s")
    if left_s is None:
        return Cause.IN_TIME
    if left_s < granted.details.get("expected_s", 0.0):
        return Cause.LATE_WAITING
    # The owner's clock may differ from the VM's: only the VM's is used here.
    dispatched = _find(own, "dispatch") or asked
    if first.time_s - dispatched.time_s > left_s:
        return Cause.LATE_BACKEND
    return Cause.IN_TIME


def _find(own: Iterable[explain.Line], kind: str) -> explain.Line | None:
    """Returns the last line of a kind."""
    return max(
        (line for line in own if line.kind == kind),
        key=lambda line: line.time_s,
        default=None,
    )


def _show_causes(losses: list[Loss]) -> None:
    tiers = sorted({loss.tier for loss in losses})
    sums: dict[tuple[Cause, str], float] = collections.defaultdict(float)
    total = sum(loss.weight for loss in losses)
    for loss in losses:
        sums[loss.cause, loss.tier] += loss.weight
    head = "".join(f"{tier:>10}" for tier in tiers)
    click.echo(f"{'what became of them':<44}{'part':>7}{head}")
    for cause in Cause:
        parts = [sums[cause, tier] for tier in tiers]
        if any(parts):
            cells = "".join(f"{part:>10g}" for part in parts)
            share = sum(parts) / total
            click.echo(f"{cause.value:<44}{share:>7.3f}{cells}")


def _show_windows(losses: list[Loss], window_s: float) -> None:
    """Shows the windows of time in which most was lost, and why."""
    begin = min(loss.asked_s for loss in losses)

    def get_number(loss: Loss) -> int:
        return int((loss.asked_s - begin) // window_s)

    ordered = sorted(losses, key=get_number)
    lost = {
        number: _sum_losses(group)
        for number, group in itertools.groupby(ordered, get_number)
    }
    worst = sorted(lost, key=lambda n: -sum(lost[n].values()))[:WORST_WINDOWS]
    click.echo(
        f"most was lost in these {window_s:g} s, from the first request:"
    )
    for number in sorted(worst):
        by_weight = sorted(lost[number].items(), key=lambda item: -item[1])
        reasons = ", ".join(
            f"{cause.value} {weight:g}"
            for cause, weight in by_weight[:SHOWN_REASONS]
        )
        click.echo(f"{number * window_s:>8.1f} s  {reasons}")


def _sum_losses(losses: Iterable[Loss]) -> dict[Cause, float]:
    sums: dict[Cause, float] = collections.defaultdict(float)
    for loss in losses:
        if loss.cause is not Cause.IN_TIME:
            sums[loss.cause] += loss.weight
    return sums

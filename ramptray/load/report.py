"""Summarizes the results of requests by tier."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import msgspec
from hdrh import histogram

from ramptray.load import sender

_MAX_DURATION_US = 600_000_000


class TierReport(msgspec.Struct, frozen=True):
    """Summary of the results of one tier's requests.

    Attributes:
        tier: The tier.
        sent: Requests sent.
        complete: Complete answers.
        useful: Complete, correct answers within their deadline (goodput).
        not_run: Refusals that guarantee that the request did not run.
        unknown: Failures after which the request may have run.
        late: Requests cancelled by the caller at their deadline.
        broken: Requests whose connection failed, or whose answer was cut off
            or invalid.
        wrong: Complete answers that differ from the expected one.
        useful_tokens: Output tokens of the useful answers.
        first_token_p50_s: Median time to the first token.
        first_token_p95_s: 95th percentile of it.
        gap_p95_s: 95th percentile of the time between tokens.
        reasons: Number of requests without a complete answer, by reason.
    """

    tier: str
    sent: int
    complete: int
    useful: int
    not_run: int
    unknown: int
    late: int
    broken: int
    wrong: int
    useful_tokens: int
    first_token_p50_s: float | None
    first_token_p95_s: float | None
    gap_p95_s: float | None
    reasons: dict[str, int]


def summarize_tiers(
    results: Iterable[sender.RequestResult],
) -> list[TierReport]:
    """Returns a report for each tier."""
    by_tier: dict[str, list[sender.RequestResult]] = collections.defaultdict(
        list
    )
    for result in results:
        by_tier[result.tier].append(result)
    return [
        _summarize_tier(tier, tier_results)
        for tier, tier_results in by_tier.items()
    ]


def get_percentile(values: Iterable[float], quantile: float) -> float | None:
    """Returns a percentile of durations in seconds, None for no values."""
    durations = histogram.HdrHistogram(1, _MAX_DURATION_US, 3)
    for value in values:
        durations.record_value(max(1, int(value * 1e6)))
    if durations.get_total_count() == 0:
        return None
    return round(float(durations.get_value_at_percentile(quantile)) / 1e6, 4)


def format_table(reports: list[TierReport]) -> str:
    """Returns the reports as a table for a terminal."""
    header = (
        f"{'tier':<12}{'sent':>7}{'complete':>9}{'useful':>8}{'not run':>8}"
        f"{'unknown':>8}{'late':>6}{'broken':>7}{'wrong':>6}{'goodput':>9}"
        f"{'first p50':>10}{'first p95':>10}{'gap p95':>9}"
    )
    return "\n".join([header, *(_format_row(report) for report in reports)])


def summarize(
    reports: list[TierReport], ledgers: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns the reports and cache totals as one JSON object."""
    prefill = sum(ledger["prefill_tokens"] for ledger in ledgers)
    wasted = sum(ledger["wasted_prefill_tokens"] for ledger in ledgers)
    cached = sum(ledger["cached_tokens"] for ledger in ledgers)
    return {
        "tiers": [msgspec.to_builtins(report) for report in reports],
        "prefill_tokens": prefill,
        "wasted_prefill_tokens": wasted,
        "wasted_prefill_share": wasted / prefill if prefill else 0.0,
        "cache_hit_share": cached / (cached + prefill) if prefill else 0.0,
    }


def _summarize_tier(
    tier: str, results: list[sender.RequestResult]
) -> TierReport:
    outcomes = collections.Counter(result.outcome for result in results)
    first_token_times = [
        h.first_token_s for h in results if h.first_token_s is not None
    ]
    gaps = [gap for result in results for gap in result.gaps]
    useful = [result for result in results if result.useful]
    complete = [result for result in results if result.outcome == "complete"]
    return TierReport(
        tier,
        sent=len(results),
        complete=len(complete),
        useful=len(useful),
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        late=outcomes["late"],
        broken=outcomes["broken"],
        wrong=sum(not result.whole for result in complete),
        useful_tokens=sum(result.tokens for result in useful),
        first_token_p50_s=get_percentile(first_token_times, 50),
        first_token_p95_s=get_percentile(first_token_times, 95),
        gap_p95_s=get_percentile(gaps, 95),
        reasons=dict(
            collections.Counter(
                result.reason for result in results if result.reason
            )
        ),
    )


def _format_row(report: TierReport) -> str:
    goodput = report.useful / report.sent if report.sent else 0.0
    return (
        f"{report.tier:<12}{report.sent:>7}{report.complete:>9}"
        f"{report.useful:>8}{report.not_run:>8}{report.unknown:>8}"
        f"{report.late:>6}{report.broken:>7}{report.wrong:>6}{goodput:>9.1%}"
        f"{_format_s(report.first_token_p50_s):>10}"
        f"{_format_s(report.first_token_p95_s):>10}"
        f"{_format_s(report.gap_p95_s):>9}"
    )


def _format_s(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.0f} ms"

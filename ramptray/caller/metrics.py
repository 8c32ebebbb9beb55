"""Metrics of the requests of an entry's callers."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator, Mapping

import msgspec
from hdrh import histogram

MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
_QUANTILES = (50.0, 95.0, 99.0)


class Gauge(msgspec.Struct, frozen=True):
    """A value that is read when the metrics are scraped.

    Attributes:
        name: Name without the product's prefix.
        labels: Labels.
        value: Value, in the unit that the name ends with.
    """

    name: str
    labels: Mapping[str, str]
    value: float


class Metrics:
    """Counters and histograms, by tier."""

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._cut: collections.Counter[tuple[str, str]] = collections.Counter()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count_end(self, tier: str, outcome: str, reason: str) -> None:
        """Counts a finished request."""
        self._ended[tier, outcome, reason] += 1

    def count_cut(self, cause: str, kind: str) -> None:
        """Counts an answer that ended before its end, by the kind of route."""
        self._cut[cause, kind] += 1

    def count_tokens(self, tier: str, tokens: int) -> None:
        """Counts the output tokens of a complete response."""
        self._tokens[tier] += tokens

    def record(self, name: str, tier: str, seconds: float) -> None:
        """Records a duration in the histogram of this name and tier."""
        key = (name, tier)
        if key not in self._histograms:
            self._histograms[key] = histogram.HdrHistogram(
                1, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
        self._histograms[key].record_value(max(1, int(seconds * 1e6)))

    def format(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        return "\n".join(self._iterate_lines()) + "\n"

    def _iterate_lines(self) -> Iterator[str]:
        yield "# TYPE ramptray_requests_ended_total counter"
        for (tier, outcome, reason), count in sorted(self._ended.items()):
            labels = f'tier="{tier}",outcome="{outcome}",reason="{reason}"'
            yield f"ramptray_requests_ended_total{{{labels}}} {count}"
        yield "# TYPE ramptray_answers_cut_total counter"
        for (cause, kind), count in sorted(self._cut.items()):
            labels = f'cause="{cause}",kind="{kind}"'
            yield f"ramptray_answers_cut_total{{{labels}}} {count}"
        yield "# TYPE ramptray_output_tokens_total counter"
        for tier, count in sorted(self._tokens.items()):
            yield f'ramptray_output_tokens_total{{tier="{tier}"}} {count}'
        for name in sorted({name for name, _ in self._histograms}):
            yield f"# TYPE ramptray_{name}_seconds summary"
            yield from self._iterate_summary(name)

    def _iterate_summary(self, name: str) -> Iterator[str]:
        for (histogram_name, tier), durations in sorted(
            self._histograms.items()
        ):
            if histogram_name != name:
                continue
            metric = f"ramptray_{name}_seconds"
            for quantile in _QUANTILES:
                value = durations.get_value_at_percentile(quantile) / 1e6
                labels = f'tier="{tier}",quantile="{quantile / 100}"'
                yield f"{metric}{{{labels}}} {value}"
            count = durations.get_total_count()
            yield f'{metric}_count{{tier="{tier}"}} {count}'


def format_gauges(gauges: Iterable[Gauge]) -> str:
    """Returns gauges in the Prometheus text format."""
    lines = []
    for gauge in sorted(gauges, key=lambda gauge: gauge.name):
        type_line = f"# TYPE ramptray_{gauge.name} gauge"
        if type_line not in lines:
            lines.append(type_line)
        labels = ",".join(f'{k}="{v}"' for k, v in gauge.labels.items())
        braced = f"{{{labels}}}" if labels else ""
        lines.append(f"ramptray_{gauge.name}{braced} {gauge.value}")
    return "".join(f"{line}\n" for line in lines)

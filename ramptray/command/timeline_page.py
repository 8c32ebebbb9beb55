"""Renders a timeline as a self-contained HTML page, a lane per process."""

from __future__ import annotations

import html
import string
from collections.abc import Iterator
from typing import Any

LANE_HEIGHT = 26
LABEL_WIDTH = 220
PLOT_WIDTH = 1400
MARKER_RADIUS = 4

COLORS = {
    "request": "#4477aa",
    "grant": "#228833",
    "dispatch": "#66ccee",
    "first_token": "#ccbb44",
    "end": "#222222",
    "shed": "#ee6677",
    "attempt_refused": "#eeaaaa",
    "spill": "#ee8866",
    "redirect": "#ee8866",
    "claim": "#aa3377",
    "lease": "#009988",
    "lease_lost": "#cc3311",
    "order": "#997700",
    "bundle": "#0077bb",
    "membership": "#999999",
}
DEFAULT_COLOR = "#555555"

_PAGE = string.Template(
    """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>$title</title>
<style>
 body { font: 14px sans-serif; margin: 1em; }
 .scroll { overflow-x: auto; }
 text { font: 12px monospace; }
 circle:hover { stroke: #000; stroke-width: 2; }
 .key span { margin-right: 1em; white-space: nowrap; }
 .key i { display: inline-block; width: 10px; height: 10px; }
</style>
<h1>$title</h1>
<p>$count events over $seconds s; point at one to read it.</p>
<p class="key">$key</p>
<div class="scroll"><svg width="$width" height="$height">
$lanes
$events
</svg></div>
</html>
"""
)


def make_page(title: str, events: list[dict[str, Any]]) -> str:
    """Renders events as an HTML page.

    Args:
        title: Heading of the page.
        events: Events, sorted by their clocks.
    """
    processes = sorted({event["process"] for event in events})
    first = events[0]["clock"] if events else 0
    span = max(1, events[-1]["clock"] - first) if events else 1
    return _PAGE.substitute(
        title=html.escape(title),
        count=len(events),
        seconds=f"{span / 1e6:.3f}",
        key="".join(_iterate_legend(events)),
        width=LABEL_WIDTH + PLOT_WIDTH + 20,
        height=LANE_HEIGHT * (len(processes) + 1),
        lanes="\n".join(_iterate_lanes(processes)),
        events="\n".join(
            _format_event(event, processes.index(event["process"]), first, span)
            for event in events
        ),
    )


def _iterate_legend(events: list[dict[str, Any]]) -> Iterator[str]:
    for kind in dict.fromkeys(event["kind"] for event in events):
        color = COLORS.get(kind, DEFAULT_COLOR)
        name = html.escape(kind)
        yield f'<span><i style="background:{color}"></i> {name}</span>'


def _iterate_lanes(processes: list[str]) -> Iterator[str]:
    for index, name in enumerate(processes):
        y = LANE_HEIGHT * (index + 1)
        yield (
            f'<line x1="{LABEL_WIDTH}" x2="{LABEL_WIDTH + PLOT_WIDTH}" '
            f'y1="{y}" y2="{y}" '
            f'stroke="#ddd"/><text x="0" y="{y + 4}">{html.escape(name)}</text>'
        )


def _format_event(
    event: dict[str, Any], lane: int, first: int, span: int
) -> str:
    x = LABEL_WIDTH + (event["clock"] - first) / span * PLOT_WIDTH
    y = LANE_HEIGHT * (lane + 1)
    color = COLORS.get(event["kind"], DEFAULT_COLOR)
    seconds = (event["clock"] - first) / 1e6
    details = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in ("clock", "process", "zone") and value is not None
    )
    shown = html.escape(f"{seconds:.6f} s {details}")
    return (
        f'<circle cx="{x:.1f}" cy="{y}" r="{MARKER_RADIUS}" fill="{color}">'
        f"<title>{shown}</title></circle>"
    )

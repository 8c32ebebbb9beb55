"""``bin/bench policy``: policies side by side under the same seeded load."""

from __future__ import annotations

import collections
import dataclasses
import json
import pathlib
import statistics
import subprocess
import sys
import threading
import time
from typing import Any

import click
from matplotlib import pyplot

from bench import deployment
from ramptray.core import policy
from ramptray.load import report

SCRIPTS = pathlib.Path(sys.executable).parent
SETTLE_S = 2.0
WAITING_MARGIN_S = 0.3
"""A request counts as waiting only if it did so for this long around."""

SPEEDS = {
    "fast": (6000.0, 0.025),
    "middle": (3000.0, 0.04),
    "slow": (1200.0, 0.08),
}
PLACES = 6
QUEUE_TOKENS = 200_000


@dataclasses.dataclass(frozen=True)
class Users:
    """One of the two users, scaled to one machine.

    Attributes:
        zones: Its zones.
        tiers: Its tiers with their deadlines, highest first.
        classes: Its load at about the engines' capacity.
    """

    zones: tuple[str, ...]
    tiers: list[tuple[str, float]]
    classes: list[dict[str, Any]]


KSIEGOWA = Users(
    ("waw-a", "waw-b", "lodz-c"),
    [("ledger", 5.0), ("explain", 20.0), ("invoice", 60.0)],
    [
        {
            "customer": "salon",
            "tier": "ledger",
            "rate_per_s": 4.0,
            "prompt_tokens": [16, 160],
            "max_tokens": [8, 40],
            "deadline_s": 5,
        },
        {
            "customer": "salon",
            "tier": "explain",
            "rate_per_s": 4.5,
            "prompt_tokens": [40, 400],
            "shared_tokens": 640,
            "groups": 3,
            "max_tokens": [60, 160],
            "deadline_s": 20,
        },
        {
            "customer": "hydraulik",
            "tier": "explain",
            "rate_per_s": 1.5,
            "prompt_tokens": [40, 400],
            "shared_tokens": 640,
            "groups": 2,
            "max_tokens": [60, 160],
            "deadline_s": 20,
        },
        {
            "customer": "hydraulik",
            "tier": "invoice",
            "rate_per_s": 1.8,
            "prompt_tokens": [1500, 6000],
            "max_tokens": [20, 100],
            "deadline_s": 60,
        },
    ],
)

HANBIT = Users(
    ("ulsan-hall", "pyeongtaek-hall", "changwon-hall"),
    [("alarm", 3.0), ("summary", 30.0), ("defect", 60.0)],
    [
        {
            "customer": "line",
            "tier": "alarm",
            "rate_per_s": 5.0,
            "prompt_tokens": [12, 60],
            "max_tokens": [2, 10],
            "deadline_s": 3,
        },
        {
            "customer": "furnace",
            "tier": "summary",
            "rate_per_s": 1.6,
            "prompt_tokens": [300, 2000],
            "shared_tokens": 4000,
            "groups": 8,
            "max_tokens": [60, 200],
            "deadline_s": 30,
        },
        {
            "customer": "coldend",
            "tier": "defect",
            "rate_per_s": 6.0,
            "prompt_tokens": [60, 400],
            "shared_tokens": 320,
            "groups": 4,
            "max_tokens": [30, 120],
            "deadline_s": 60,
        },
    ],
)

USERS = {"ksiegowa": KSIEGOWA, "hanbit": HANBIT}


def make_plan(users: Users, name: str, queue_tokens: int) -> deployment.Plan:
    """Returns three zones with engines of three speeds each."""
    customers: dict[str, list[str]] = collections.defaultdict(list)
    for kind in users.classes:
        customers[kind["customer"]].append(kind["tier"])
    return deployment.Plan(
        zones=dict.fromkeys(users.zones, 1),
        engines=[
            deployment.EngineSpec(
                f"{zone}-{speed}",
                zone,
                "assistant",
                speed,
                prefill,
                step_s,
                PLACES,
                400,
            )
            for zone in users.zones
            for speed, (prefill, step_s) in SPEEDS.items()
        ],
        plain=[],
        tiers=users.tiers,
        customers=dict(customers),
        policy=name,
        queue_tokens=queue_tokens,
        controllers=False,
    )


def make_load(
    started: deployment.Deployment,
    users: Users,
    factor: float,
    seconds: float,
    seed: int,
) -> dict[str, Any]:
    """Returns the load, scaled, with a burst in its middle."""
    return {
        "entries": [entry.url for entry in started.entries],
        "keys": started.keys,
        "engines": started.engine_urls,
        "seed": seed,
        "duration_s": seconds,
        "classes": [
            {
                **kind,
                "service": "assistant",
                "rate_per_s": kind["rate_per_s"]
                * (1.0 if rank == 0 else factor),
            }
            for rank, kind in enumerate(users.classes)
        ],
        "bursts": [
            {"at_s": seconds * 0.5, "for_s": seconds * 0.1, "factor": 1.5}
        ],
    }


@click.command(name="policy")
@click.option(
    "--deployment",
    "user",
    type=click.Choice(sorted(USERS)),
    default="ksiegowa",
)
@click.option("--seeds", default=1, help="How many seeds.")
@click.option("--seconds", default=25.0, help="Length of one run.")
@click.option("--load", "factor", default=2.0, help="Times the capacity.")
@click.option(
    "--fault",
    type=click.Choice(["none", "slow", "crash", "cut"]),
    default="none",
    help="What goes wrong in the middle.",
)
@click.option(
    "--queue-tokens",
    default=QUEUE_TOKENS,
    help="Cost that may wait in a zone.",
)
@click.option(
    "--plot",
    type=click.Path(path_type=pathlib.Path),
    help="Draw goodput and waste into this SVG.",
)
@click.option(
    "--policies",
    default=",".join(policy.POLICIES),
    help="Names, separated by commas.",
)
def command(
    user: str,
    seeds: int,
    seconds: float,
    factor: float,
    fault: str,
    policies: str,
    queue_tokens: int,
    plot: pathlib.Path | None,
) -> None:
    """Compares policies under the same seeded load."""
    results: dict[str, list[dict[str, Any]]] = {}
    for seed in range(1, seeds + 1):
        for name in policies.split(","):
            found = run_once(
                USERS[user], name, factor, seconds, seed, fault, queue_tokens
            )
            results.setdefault(name, []).append(found)
            click.echo(format_result(name, seed, found))
    if seeds > 1:
        for name, runs in results.items():
            click.echo(format_spread(name, runs))
    if plot is not None:
        draw(plot, f"{user}, load {factor:g}, fault: {fault}", results)
    click.echo(
        json.dumps(
            {"deployment": user, "load": factor, "fault": fault, **results}
        )
    )


def run_once(
    users: Users,
    name: str,
    factor: float,
    seconds: float,
    seed: int,
    fault: str = "none",
    queue_tokens: int = QUEUE_TOKENS,
) -> dict[str, Any]:
    """Runs one policy under one seed and returns what came of it."""
    with deployment.run_deployment(
        make_plan(users, name, queue_tokens)
    ) as started:
        time.sleep(SETTLE_S)
        load = make_load(started, users, factor, seconds, seed)
        path = started.folder / "load.json"
        path.write_text(json.dumps(load))
        record = started.folder / "record.jsonl"
        breaker = threading.Thread(
            target=_bring_about,
            args=(started, users, fault, seconds),
            daemon=True,
        )
        breaker.start()
        done = subprocess.run(
            [
                *(SCRIPTS / "ramptray-load", "--settings", path),
                *("--json", "--record", record),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            check=False,
        )
        breaker.join()
        summary: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
        hits = [json.loads(line) for line in record.read_text().splitlines()]
    order = [tier for tier, _ in users.tiers]
    summary["tiers"].sort(key=lambda tier: order.index(tier["tier"]))
    summary["inversions"] = count_inversions(hits, order)
    summary["useful_tokens"] = sum(
        tier["useful_tokens"] for tier in summary["tiers"]
    )
    summary["fairness"] = measure_fairness(hits, order)
    return summary


def _bring_about(
    started: deployment.Deployment, users: Users, fault: str, seconds: float
) -> None:
    time.sleep(seconds * 0.3)
    zone = users.zones[0]
    match fault:
        case "slow":
            started.put(f"engine/{zone}-fast", "/faults", {"slowdown": 5.0})
        case "crash":
            started.put(f"engine/{zone}-fast", "/faults", {"crash_s": 3.0})
        case "cut":
            started.cut_zone(zone)
            time.sleep(seconds * 0.3)
            started.join_zones()


def count_inversions(hits: list[dict[str, Any]], order: list[str]) -> int:
    """Counts refusals while a lower tier's request waited somewhere.

    A request is taken to have waited from when it was sent until its first
    token, less a margin on both sides.
    """
    ranks = {tier: rank for rank, tier in enumerate(order)}
    waits = [
        (
            ranks[hit["tier"]],
            hit["sent_at"] + WAITING_MARGIN_S,
            hit["sent_at"] + hit["first_token_s"] - 2 * WAITING_MARGIN_S,
        )
        for hit in hits
        if hit["first_token_s"]
    ]
    return sum(
        any(
            rank > ranks[hit["tier"]] and begin < at < end
            for rank, begin, end in waits
        )
        for hit in hits
        if hit["outcome"] == "not_run" and hit["reason"] == "overloaded"
        for at in (hit["sent_at"] + hit["total_s"],)
    )


def measure_fairness(
    hits: list[dict[str, Any]], order: list[str]
) -> float | None:
    """Returns the least served customer's part of what the most served got.

    Only tiers that several customers use count, and there the share of each
    customer's requests that were useful.
    """
    worst: list[float] = []
    for tier in order:
        parts: dict[str, list[bool]] = collections.defaultdict(list)
        for hit in hits:
            if hit["tier"] == tier:
                parts[hit["customer"]].append(hit["useful"])
        if len(parts) > 1:
            shares = [statistics.fmean(part) for part in parts.values()]
            worst.append(min(shares) / max(max(shares), 1e-9))
    return round(min(worst), 3) if worst else None


def format_result(name: str, seed: int, found: dict[str, Any]) -> str:
    """Returns one run as text."""
    tiers = [report.TierReport(**tier) for tier in found["tiers"]]
    return (
        f"\n{name}, seed {seed}: {found['useful_tokens']} useful tokens, "
        f"wasted prefill {found['wasted_prefill_share']:.1%}, "
        f"cache hits {found['cache_hit_share']:.0%}, "
        f"inversions {found['inversions']}, fairness {found['fairness']}\n"
        f"{report.format_table(tiers)}\n"
        + "\n".join(f"  {t.tier}: {t.reasons}" for t in tiers if t.reasons)
    )


def format_spread(name: str, found: list[dict[str, Any]]) -> str:
    """Returns minimum, median and maximum over the seeds."""
    lines = [f"\n{name} over {len(found)} seeds (min / median / max)"]
    for place, tier in enumerate(found[0]["tiers"]):
        goodput = [
            run["tiers"][place]["useful"] / run["tiers"][place]["sent"]
            for run in found
        ]
        lines.append(f"  {tier['tier']:<12} goodput {_spread(goodput)}")
    waste = [run["wasted_prefill_share"] for run in found]
    tokens = [float(run["useful_tokens"]) for run in found]
    lines.append(f"  wasted prefill {_spread(waste)}")
    lines.append(
        f"  useful tokens {min(tokens):.0f} / "
        f"{statistics.median(tokens):.0f} / {max(tokens):.0f}"
    )
    return "\n".join(lines)


def draw(
    path: pathlib.Path, title: str, results: dict[str, list[dict[str, Any]]]
) -> None:
    """Draws goodput by tier, and wasted prefill, for each policy."""
    figure, axes = pyplot.subplots(figsize=(9, 4))
    names = [tier["tier"] for tier in next(iter(results.values()))[0]["tiers"]]
    labels = [*names, "wasted prefill"]
    width = 0.8 / len(results)
    for place, (policy_name, runs) in enumerate(results.items()):
        heights = [
            statistics.median(
                run["tiers"][tier]["useful"] / run["tiers"][tier]["sent"]
                for run in runs
            )
            for tier in range(len(names))
        ]
        wasted = [run["wasted_prefill_share"] for run in runs]
        heights.append(statistics.median(wasted))
        offsets = [x + place * width for x in range(len(labels))]
        axes.bar(offsets, [100 * h for h in heights], width, label=policy_name)
    middle = 0.4 - width / 2
    axes.set_xticks([x + middle for x in range(len(labels))], labels)
    axes.set_ylabel("per cent (goodput; wasted prefill)")
    axes.set_title(title)
    axes.legend()
    figure.savefig(path, format="svg", metadata={"Date": None})


def _spread(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{min(values):.1%} / {middle:.1%} / {max(values):.1%}"

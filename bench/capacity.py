"""Works out the target size of letter 1 from measured slopes."""

from __future__ import annotations

import dataclasses
import pathlib

from bench import fit

BEGIN = "<!-- written by bin/bench slopes --write docs/CAPACITY.md -->"
END = "<!-- end of what bin/bench slopes wrote -->"

# The target, as letter 1 gives it.
NODES = 410
ZONES = 10
REPLICAS = 6700
REQUESTS_PER_S = 9400
TOKENS_PER_S = 2_000_000
CUSTOMERS = 1700
MODELS = 11
CHANGES_PER_DAY = 3800
CORE_BUDGET = 0.011
MEMORY_BUDGET_MIB = 128
BYTES_BUDGET = 3000

# Assumed, not measured; the page says so.
CLAIMS_PER_S = 940
CLAIM_WINDOW_S = 3600
REPORT_EVERY_S = 5.0
REPORT_BYTES = 700

DAY_S = 86400


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One figure of the table.

    Attributes:
        role: The process.
        what: What is counted.
        figure: Its value at the target size.
        unit: Its unit.
        budget: What it may be; None where nothing is said.
        source: Whether it is extrapolated from a slope, or assumed.
        mechanism: What carries it.
    """

    role: str
    what: str
    figure: float
    unit: str
    budget: float | None
    source: str
    mechanism: str

    def format(self) -> str:
        """Returns the row in Markdown."""
        verdict = ""
        if self.budget is not None:
            fits = self.figure <= self.budget
            verdict = f"{self.budget:g}: {'fits' if fits else '**MISSES**'}"
        return (
            f"| {self.role} | {self.what} | {self.figure:.4g} {self.unit} | "
            f"{verdict} | {self.source} | {self.mechanism} |"
        )


def make_rows(slopes: dict[str, fit.Slope]) -> list[Row]:
    """Returns the rows that the measured slopes allow."""
    zone_nodes = NODES / ZONES
    zone_replicas = REPLICAS / ZONES
    zone_requests = REQUESTS_PER_S / ZONES
    node_requests = REQUESTS_PER_S / NODES
    shard_replicas = zone_replicas / MODELS
    bundle_bytes = (
        slopes["bundle size"].at(CUSTOMERS)
        + slopes["bundle size "].slope * REPLICAS
    )
    load_s = (
        slopes["bundle load"].at(CUSTOMERS)
        + slopes["bundle load "].slope * REPLICAS
    ) / 1e3
    changes_per_s = CHANGES_PER_DAY / DAY_S
    bundle_mib = (
        slopes["bundle memory"].at(CUSTOMERS)
        + slopes["bundle memory "].slope * REPLICAS
    ) / 1024
    rows = [
        Row(
            "scheduler",
            "decision, busiest shard",
            slopes["decision"].at(shard_replicas),
            "us/request",
            None,
            "extrapolated",
            "one owner a shard; shards by service and zone",
        ),
        Row(
            "scheduler",
            "decisions of a zone on its nodes",
            slopes["decision"].at(shard_replicas) * node_requests / 1e6,
            "cores",
            CORE_BUDGET,
            "extrapolated",
            "rendezvous hashing over the zone's schedulers",
        ),
        Row(
            "scheduler",
            "shard memory, a zone on one node",
            slopes["shard memory"].at(zone_replicas) / 1024,
            "MiB",
            MEMORY_BUDGET_MIB,
            "extrapolated",
            "soft state only",
        ),
        Row(
            "scheduler",
            "waiting requests, 10 s of a zone on one node",
            slopes["waiting memory"].at(zone_requests * 10) / 1024,
            "MiB",
            MEMORY_BUDGET_MIB,
            "extrapolated",
            "queue bound of the bundle",
        ),
        Row(
            "scheduler, entry",
            "bundle in memory",
            bundle_mib,
            "MiB",
            MEMORY_BUDGET_MIB,
            "extrapolated",
            "one bundle of all zones in each process",
        ),
        Row(
            "scheduler, entry",
            "parsing and checking the bundle at each change",
            load_s * changes_per_s,
            "cores",
            CORE_BUDGET,
            "extrapolated",
            "the difference is applied, then the whole is checked",
        ),
        Row(
            "scheduler, entry",
            "size of the bundle",
            bundle_bytes / 1024**2,
            "MiB",
            None,
            "extrapolated",
            "sent whole on a VM only, or to a VM whose log is down",
        ),
        Row(
            "scheduler",
            "bytes of changes, log to node",
            slopes["bundle change"].at(CUSTOMERS) * changes_per_s,
            "bytes/s",
            BYTES_BUDGET,
            "extrapolated",
            "records that carry the difference only",
        ),
        Row(
            "scheduler",
            "one gossip message",
            slopes["gossip size"].at(zone_nodes),
            "bytes",
            None,
            "extrapolated",
            "a few changes and summaries a message",
        ),
        Row(
            "scheduler",
            "load reports",
            zone_replicas / zone_nodes / REPORT_EVERY_S * REPORT_BYTES,
            "bytes/s",
            BYTES_BUDGET,
            "assumed size and period",
            "one owner polls each engine",
        ),
        Row(
            "scheduler",
            "claim ledger of one partition",
            slopes["claim memory"].slope
            * CLAIMS_PER_S
            * CLAIM_WINDOW_S
            / 16
            / 1024,
            "MiB",
            MEMORY_BUDGET_MIB,
            "extrapolated; rate and window assumed",
            "16 partitions by key hash",
        ),
    ]
    if "idle scheduler processor" in slopes:
        rows += _make_process_rows(slopes)
    return rows


def _make_process_rows(slopes: dict[str, fit.Slope]) -> list[Row]:
    zone_nodes = NODES / ZONES
    node_requests = REQUESTS_PER_S / NODES
    node_tokens = TOKENS_PER_S / NODES
    per_request = slopes["scheduler processor"].slope
    return [
        Row(
            "scheduler",
            "idle processor time",
            slopes["idle scheduler processor"].at(zone_nodes),
            "cores",
            CORE_BUDGET,
            "extrapolated",
            "constant probes a period, whatever the size",
        ),
        Row(
            "scheduler",
            "gossip",
            slopes["idle scheduler gossip"].at(zone_nodes),
            "bytes/s",
            BYTES_BUDGET,
            "extrapolated",
            "constant probes a period, whatever the size",
        ),
        Row(
            "scheduler",
            "idle memory",
            slopes["idle scheduler memory"].at(zone_nodes),
            "MiB",
            MEMORY_BUDGET_MIB,
            "extrapolated",
            "one channel a member that was probed",
        ),
        Row(
            "scheduler",
            "processor time of its requests",
            per_request * node_requests,
            "cores",
            CORE_BUDGET,
            "extrapolated",
            "one gRPC stream an entry; small messages",
        ),
        Row(
            "entry (data path)",
            "processor time of its requests",
            slopes["entry processor"].slope * node_requests,
            "cores",
            None,
            "extrapolated",
            "uvicorn and httpcore",
        ),
        Row(
            "entry (data path)",
            "processor time of its tokens",
            slopes["entry processor "].slope * node_tokens,
            "cores",
            None,
            "extrapolated",
            "one event a token",
        ),
    ]


def make_table(slopes: dict[str, fit.Slope]) -> str:
    """Returns the table in Markdown."""
    return "\n".join(
        [
            "| role | what | at the target | budget | figure | mechanism |",
            "|---|---|---|---|---|---|",
            *(row.format() for row in make_rows(slopes)),
        ]
    )


def write_page(path: pathlib.Path, slopes: list[fit.Slope], table: str) -> None:
    """Puts the slopes and the table between the page's marks."""
    head, _, rest = path.read_text().partition(BEGIN)
    _, _, tail = rest.partition(END)
    measured = "\n".join(
        f"| {s.name.strip()} | {s.slope:.4g} {s.unit} | {s.intercept:.4g} | "
        f"{s.error:.2g} | "
        + ", ".join(f"{x:g}: {y:.4g}" for x, y in s.points)
        + " |"
        for s in slopes
    )
    body = (
        f"\n\n### Slopes measured\n\n"
        "| what | slope | at 0 | error (rms) | points |\n"
        f"|---|---|---|---|---|\n{measured}\n\n"
        f"### At the target size\n\n{table}\n\n"
    )
    path.write_text(head + BEGIN + body + END + tail)

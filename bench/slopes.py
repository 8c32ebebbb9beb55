"""``bin/bench slopes``: what each thing costs for each step of its size.

In-process slopes drive the decision core's own objects; the others read the
processor time and memory of real processes from the kernel's accounts.
"""

from __future__ import annotations

import dataclasses
import gc
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import click

from bench import capacity, deployment, fit
from ramptray.bundle import parsing, signature
from ramptray.bundle import record as bundle_record
from ramptray.command import peers, status
from ramptray.core import (
    backend,
    claim,
    membership,
    message,
    policy,
    shard,
    summary,
)
from ramptray.core import rules as shard_rules
from ramptray.peer import codec
from ramptray.peer import message as peer_message

TICKS_S = os.sysconf("SC_CLK_TCK")
MIB = 1024 * 1024
REPEATS = 3


@click.command(name="slopes")
@click.option("--quick", is_flag=True, help="In-process slopes only.")
@click.option(
    "--write",
    type=click.Path(path_type=pathlib.Path),
    help="Put the tables into this page (docs/CAPACITY.md).",
)
def command(quick: bool, write: pathlib.Path | None) -> None:
    """Measures slopes and works out the target size from them."""
    found: list[fit.Slope] = []
    for slope in iterate_slopes(quick):
        click.echo(slope.format())
        found.append(slope)
    by_name = {slope.name: slope for slope in found}
    table = capacity.make_table(by_name)
    click.echo("\n" + table)
    if write is not None:
        capacity.write_page(write, found, table)
    click.echo(json.dumps({s.name: dataclasses.asdict(s) for s in found}))


def iterate_slopes(quick: bool) -> Iterator[fit.Slope]:
    """Yields each slope as soon as it is measured."""
    yield _measure("decision", "us/backend", [10, 60, 300], _time_decision)
    yield _measure("bundle size", "bytes/customer", [50, 200, 800], _size_c)
    yield _measure("bundle size ", "bytes/backend", [50, 200, 800], _size_b)
    yield _measure("bundle change", "bytes/customer", [50, 400], _size_change)
    yield _measure("bundle load", "ms/customer", [50, 200, 800], _load_c)
    yield _measure("bundle load ", "ms/backend", [50, 200, 800], _load_b)
    yield _measure("bundle memory", "KiB/customer", [50, 200, 800], _keep_c)
    yield _measure("bundle memory ", "KiB/backend", [50, 200, 800], _keep_b)
    yield _measure("shard memory", "KiB/backend", [50, 200, 800], _keep_shard)
    yield _measure(
        "waiting memory", "KiB/request", [100, 1000, 4000], _keep_waiting
    )
    yield _measure("claim memory", "KiB/key", [1000, 4000, 16000], _keep_claims)
    yield _measure("gossip size", "bytes/member", [3, 10, 41], _size_gossip)
    yield _measure(
        "membership memory", "KiB/member", [10, 41, 160], _keep_members
    )
    if quick:
        return
    yield from _measure_nodes()
    yield from _measure_load()


def _measure(
    name: str, unit: str, sizes: list[int], measure: Callable[[int], float]
) -> fit.Slope:
    """Fits the best of a few runs at each size."""
    points = [
        (float(n), min(measure(n) for _ in range(REPEATS))) for n in sizes
    ]
    return fit.fit(name, unit, points)


# The decision core.


def make_owner(count: int) -> shard.ShardOwner:
    """Returns an owner of a shard with a number of backend servers."""
    return shard.ShardOwner(
        message.ShardKey("waw-a", "assistant"),
        "127.0.0.1:1",
        shard_rules.ShardRules({"urgent": 0, "batch": 1}, 10**9, 0.1, {}, {}),
        [backend.BackendInfo(f"e{n}", 8, 10**6, 1024) for n in range(count)],
        policy.make_policy(),
        0.0,
        report_grace_s=0.0,
    )


def make_info(number: int, rng: random.Random) -> message.RequestInfo:
    """Returns a request of ordinary size."""
    group = rng.randrange(50)
    return message.RequestInfo(
        f"r{number}",
        message.ShardKey("waw-a", "assistant"),
        f"c{rng.randrange(20)}",
        "urgent" if rng.random() < 0.3 else "batch",
        rng.randrange(20, 2000),
        64,
        tuple(group * 1000 + block for block in range(rng.randrange(12))),
        600.0,
    )


def _time_decision(count: int) -> float:
    """Returns microseconds for a request from enqueue to end."""
    owner = make_owner(count)
    rng = random.Random(1)
    cycles = 2000
    running: list[str] = []
    began = time.perf_counter()
    for number in range(cycles):
        now = number * 0.001
        info = make_info(number, rng)
        out = owner.receive("entry", message.Enqueue(info), now)
        running.extend(
            effect.message.request_id
            for effect in out
            if isinstance(effect.message, message.Grant)
        )
        if len(running) > count * 4:
            request_id = running.pop(0)
            first = message.FirstToken(request_id, 0.1, 100, 0)
            owner.receive("entry", first, now)
            ended = message.Ended(request_id, 64, 1.0, True)
            owner.receive("entry", ended, now)
    return (time.perf_counter() - began) / cycles * 1e6


def _make_bundle_text(customers: int, backends: int) -> str:
    key = signature.get_public_key("ed25519:" + "11" * 32)
    return json.dumps(
        {
            "generation": 1,
            "operators": {"keys": {"anna": key}},
            "zones": ["waw-a", "waw-b"],
            "tiers": {"urgent": {"order": 0, "deadline_s": 10}},
            "customers": {
                f"customer-{n}": {
                    "key_hashes": [f"sha256:{n:064x}"],
                    "tiers": ["urgent"],
                    "limits": {"requests_per_s": 20},
                }
                for n in range(customers)
            },
            "services": {"assistant": {"kind": "model"}},
            "engines": {"fast": {"max_running": 16}},
            "backend_servers": {
                f"waw-a-server-{n}": {
                    "zone": "waw-a",
                    "service": "assistant",
                    "engine": "fast",
                    "url": f"http://10.0.{n // 250}.{n % 250}:8000",
                }
                for n in range(backends)
            },
        }
    )


def _size_c(count: int) -> float:
    return float(len(_make_bundle_text(count, 0)))


def _size_b(count: int) -> float:
    return float(len(_make_bundle_text(0, count)))


def _size_change(count: int) -> float:
    """Returns the size of the record that changes one customer's share."""
    old = signature.Envelope(_make_bundle_text(count, 4 * count), {})
    changed = old.text.replace(
        '"requests_per_s": 20', '"requests_per_s": 21', 1
    )
    new = signature.Envelope(changed, {"anna": "0" * 128})
    record = bundle_record.make_rollout(new, old)
    return float(len(json.dumps(bundle_record.format_record(record))))


def _time_load(raw: str) -> float:
    began = time.perf_counter()
    parsing.parse_bundle(raw).unwrap()
    return (time.perf_counter() - began) * 1e3


def _load_c(count: int) -> float:
    return _time_load(_make_bundle_text(count, 0))


def _load_b(count: int) -> float:
    return _time_load(_make_bundle_text(0, count))


def _measure_kept(make: Callable[[], Any]) -> float:
    """Returns the KiB that stay allocated for what is made."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return size / 1024


def _keep_c(count: int) -> float:
    raw = _make_bundle_text(count, 0)
    return _measure_kept(lambda: parsing.parse_bundle(raw).unwrap())


def _keep_b(count: int) -> float:
    raw = _make_bundle_text(0, count)
    return _measure_kept(lambda: parsing.parse_bundle(raw).unwrap())


def _keep_shard(count: int) -> float:
    def make() -> shard.ShardOwner:
        owner = make_owner(count)
        for known in owner.fleet.backends.values():
            known.cache.add(tuple(range(1024)))
        return owner

    return _measure_kept(make)


def _keep_waiting(count: int) -> float:
    def make() -> shard.ShardOwner:
        owner = make_owner(0)
        rng = random.Random(1)
        for number in range(count):
            enqueue = message.Enqueue(make_info(number, rng))
            owner.receive("entry", enqueue, 0.0)
        return owner

    return _measure_kept(make)


def _keep_claims(count: int) -> float:
    def make() -> claim.ClaimLedger:
        ledger = claim.ClaimLedger()
        for number in range(count):
            key, attempt = f"{number:032x}", f"vm-12345678-{number}"
            digest = f"{number * 7:032x}"
            kind = claim.RecordKind
            ledger.apply(claim.ClaimRecord(kind.CLAIM, key, attempt, digest))
            ledger.apply(claim.ClaimRecord(kind.DONE, key, attempt, "", 200))
        return ledger

    return _measure_kept(make)


def _make_members(count: int) -> membership.Membership:
    members = [
        membership.Member(
            f"waw-a-vm{n}", "waw-a", f"10.0.0.{n}:9000", 1796220000
        )
        for n in range(count)
    ]
    known = membership.Membership(members[0], random.Random(1), 0.0)
    known.merge(members[1:], 0.0)
    return known


def _size_gossip(count: int) -> float:
    """Returns the size of a message of a settled zone."""
    known = _make_members(count)
    for _ in range(200):
        updates = known.pick_updates()
    summaries = [
        summary.ShardSummary(
            message.ShardKey(f"waw-{n}", "assistant"),
            "10.0.0.1:9000",
            60000,
            (10, 20, 30, 40, 50),
            True,
            1796220000000000,
        )
        for n in range(8)
    ]
    contacts = known.list_all()[:3]
    sent = peer_message.Gossip(known.me, updates, summaries, contacts)
    return float(len(codec.encode(1796220000000000, sent)))


def _keep_members(count: int) -> float:
    return _measure_kept(lambda: _make_members(count))


# Real processes.


def read_cpu(process: deployment.Process) -> float:
    """Returns the processor time a process has used, in seconds."""
    assert process.popen is not None
    raw = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = raw.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_S


def read_memory(process: deployment.Process) -> float:
    """Returns a process's resident memory in MiB."""
    assert process.popen is not None
    raw = pathlib.Path(f"/proc/{process.popen.pid}/statm").read_text()
    pages = int(raw.split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


NODES = [2, 6, 12]
NODES_S = 10.0


def _measure_nodes() -> Iterator[fit.Slope]:
    """Idle schedulers in one zone: processor time, bytes and memory."""
    cpu: list[tuple[float, float]] = []
    sent: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    for count in NODES:
        plan = deployment.Plan(
            zones={"waw-a": count, "waw-b": 2},
            engines=[],
            plain=[],
            tiers=[("urgent", 10.0)],
            customers={"ola": ["urgent"]},
            controllers=False,
        )
        with tempfile.TemporaryDirectory(prefix="ramptray-") as name:
            started = deployment.Deployment(plan, pathlib.Path(name))
            started.processes = {
                name: process
                for name, process in started.processes.items()
                if not name.startswith("entry/")
            }
            try:
                started.start_all()
                started.publish(started.make_bundle())
                time.sleep(4.0)
                before = _sample_nodes(started)
                time.sleep(NODES_S)
                after = _sample_nodes(started)
            finally:
                started.stop_all()
        zone = [vm for vm in before if vm.startswith("waw-a-")]
        for kind, points in ((0, cpu), (1, sent)):
            grown = [after[vm][kind] - before[vm][kind] for vm in zone]
            points.append((count, sum(grown) / len(zone) / NODES_S))
        memory.append((count, sum(after[vm][2] for vm in zone) / len(zone)))
    yield fit.fit("idle scheduler processor", "cores/member", cpu)
    yield fit.fit("idle scheduler gossip", "bytes/s/member", sent)
    yield fit.fit("idle scheduler memory", "MiB/member", memory)


def _sample_nodes(
    started: deployment.Deployment,
) -> dict[str, tuple[float, float, float]]:
    given = peers.read_settings(started.folder / "operator.json")

    async def ask() -> dict[str, dict[str, Any]]:
        return await status.fetch_reports(given)

    reports = anyio.run(ask)
    return {
        vm: (
            read_cpu(started.processes[f"scheduler/{vm}"]),
            float(report["asked_bytes"]),
            read_memory(started.processes[f"scheduler/{vm}"]),
        )
        for vm, report in reports.items()
    }


LOAD_S = 8.0
REQUEST_RATES = [5, 15, 30]
TOKENS = [4, 16, 40]


def make_load_plan(**common: Any) -> deployment.Plan:
    """Returns one VM before four quick engines.

    Args:
        **common: Further settings of every own process.
    """
    return deployment.Plan(
        zones={"waw-a": 1},
        engines=[
            deployment.EngineSpec(
                f"e{n}", "waw-a", "assistant", "fast", 20000.0, 0.02, 16
            )
            for n in range(4)
        ],
        plain=[],
        tiers=[("urgent", 30.0)],
        customers={"ola": ["urgent"]},
        controllers=False,
        common=common,
    )


def _measure_load() -> Iterator[fit.Slope]:
    """Processor time of entry and scheduler against requests and tokens."""
    plan = make_load_plan()
    by_rate: dict[str, list[tuple[float, float]]] = {}
    by_token: dict[str, list[tuple[float, float]]] = {}
    with deployment.run_deployment(plan) as started:
        send(started, 5, 8)
        for rate in REQUEST_RATES:
            for name, used, sent, _ in send(started, rate, 8):
                by_rate.setdefault(name, []).append((sent / LOAD_S, used))
        for tokens in TOKENS:
            for name, used, _, made in send(started, 10, tokens):
                by_token.setdefault(name, []).append((made / LOAD_S, used))
    for name in ("scheduler", "entry"):
        yield fit.fit(f"{name} processor", "cores/(request/s)", by_rate[name])
        yield fit.fit(f"{name} processor ", "cores/(token/s)", by_token[name])


def send(
    started: deployment.Deployment, rate: float, tokens: int
) -> list[tuple[str, float, float, float]]:
    """Sends a load; returns cores used, requests and tokens by process."""
    settings = {
        "entries": [entry.url for entry in started.entries],
        "keys": started.keys,
        "duration_s": LOAD_S,
        "classes": [
            {
                "customer": "ola",
                "tier": "urgent",
                "service": "assistant",
                "rate_per_s": rate,
                "max_tokens": [tokens, tokens],
            }
        ],
    }
    path = started.folder / "load.json"
    path.write_text(json.dumps(settings))
    watched = {
        "scheduler": started.schedulers[0],
        "entry": started.entries[0],
    }
    before = {name: read_cpu(p) for name, p in watched.items()}
    began = time.monotonic()
    program = pathlib.Path(sys.executable).parent / "ramptray-load"
    done = subprocess.run(
        [program, "--settings", path, "--json"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        check=True,
    )
    spent = time.monotonic() - began
    summary = json.loads(done.stdout.splitlines()[-1])
    tier = summary["tiers"][0]
    return [
        (
            name,
            (read_cpu(process) - before[name]) / spent,
            float(tier["sent"]),
            float(tier["useful_tokens"]),
        )
        for name, process in watched.items()
    ]

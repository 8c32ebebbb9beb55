"""``bin/bench faults``: faults under load, judged from the engines' side."""

from __future__ import annotations

import collections
import json
import pathlib
import random
import subprocess
import sys
import threading
import time
import urllib.error
from collections.abc import Iterator
from typing import Any

import click

from bench import deployment, fault, promise

SCRIPTS = pathlib.Path(sys.executable).parent
WARM_S = 5.0
COOL_S = 12.0
EVERY_S = 2.2
LEAVING_S = 4.0
"""After so long a leaving engine may get no new work."""

AGAIN_S = 3.0
"""After an owner's death, service is to be there again within this time."""

IN_FORCE_S = 2.0
"""A new bundle is to be in force within this time."""


def make_plan() -> deployment.Plan:
    """Returns three zones with two VMs each."""
    zones = ("waw-a", "waw-b", "lodz-c")
    return deployment.Plan(
        zones=dict.fromkeys(zones, 2),
        engines=[
            spec
            for zone in zones
            for spec in (
                deployment.EngineSpec(
                    f"{zone}-fast",
                    zone,
                    "assistant",
                    "fast",
                    8000.0,
                    0.015,
                    options={"checks_fencing": True},
                ),
                deployment.EngineSpec(
                    f"{zone}-slow", zone, "assistant", "slow", 2000.0, 0.03
                ),
            )
        ],
        plain=[
            ("portal-1", "waw-a", "portal"),
            ("portal-2", "waw-b", "portal"),
        ],
        tiers=[("urgent", 10.0), ("normal", 30.0)],
        customers={"ola": ["urgent", "normal"]},
    )


def make_load(
    started: deployment.Deployment, seconds: float, seed: int
) -> dict[str, Any]:
    """Returns the load: much of it may not be repeated."""
    common = {"customer": "ola", "max_tokens": [4, 24]}
    return {
        "entries": [entry.url for entry in started.entries],
        "keys": started.keys,
        "engines": started.engine_urls,
        "seed": seed,
        "duration_s": seconds,
        "classes": [
            {
                **common,
                "tier": "urgent",
                "service": "assistant",
                "rate_per_s": 6,
                "deadline_s": 10,
            },
            {
                **common,
                "tier": "normal",
                "service": "assistant",
                "rate_per_s": 4,
                "prompt_tokens": [16, 400],
                "repeatable": False,
                "resends": 2,
                "stream": False,
            },
            {
                **common,
                "tier": "normal",
                "service": "portal",
                "kind": "plain",
                "rate_per_s": 18,
                "repeatable": False,
                "resends": 2,
            },
        ],
    }


@click.command(name="faults")
@click.option("--seed", default=1, help="Seed of load and faults.")
@click.option("--faults", "count", default=24, help="How many faults.")
@click.option(
    "--rolling", is_flag=True, help="Replace every VM in turn instead."
)
@click.option("--show", is_flag=True, help="Show each fault as it comes.")
@click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path),
    help="Keep settings, logs and records in this folder.",
)
def command(
    seed: int,
    count: int,
    rolling: bool,
    show: bool,
    keep: pathlib.Path | None,
) -> None:
    """Brings faults about under load and counts broken promises."""
    with deployment.run_deployment(make_plan(), keep) as started:
        kind = RollingRun if rolling else Run
        run = kind(started, seed, count, show)
        run.perform()
        report = run.judge()
    for line in report["lines"]:
        click.echo(line)
    click.echo(json.dumps(report["summary"]))
    if report["summary"]["violations"]:
        sys.exit(1)


class Run:
    """One run of faults under load."""

    def __init__(
        self,
        started: deployment.Deployment,
        seed: int,
        count: int,
        show: bool,
    ) -> None:
        self._started = started
        self._seed = seed
        self._count = count
        self._show = show
        self._seconds = WARM_S + count * EVERY_S + COOL_S
        self._notes: list[fault.Note] = []
        self._race = fault.RolloutRace(started, "")
        self._record = started.folder / "record.jsonl"
        self._generations: dict[tuple[str, int], list[int]] = (
            collections.defaultdict(list)
        )
        self._in_force_s: list[float] = []
        self._put_off: list[fault.Fault] = []
        self._watching = True
        self._began = 0.0

    def perform(self) -> None:
        """Sends the load and brings the faults about meanwhile."""
        load = make_load(self._started, self._seconds, self._seed)
        path = self._started.folder / "load.json"
        path.write_text(json.dumps(load))
        self._race.in_force = self._race.find_first()
        watcher = threading.Thread(target=self._watch, daemon=True)
        watcher.start()
        self._began = time.monotonic()
        sending = subprocess.Popen(
            [
                *(SCRIPTS / "ramptray-load", "--settings", path),
                *("--record", self._record),
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            time.sleep(WARM_S)
            self._bring_about()
            sending.wait(self._seconds + 180)
        finally:
            sending.kill()
            self._watching = False
            watcher.join()

    def _bring_about(self) -> None:
        rng = random.Random(self._seed)
        faults = fault.iterate_faults(self._started, rng, self._race)
        active: list[tuple[float, fault.Fault, fault.Note]] = []
        for number in range(self._count):
            self._end_due(active, time.monotonic())
            busy = {note.process for _, _, note in active}
            chosen = self._choose(faults, busy, active)
            note = chosen.note
            if self._show:
                click.echo(f"{number + 1:>3} {note.name}", err=True)
            chosen.begin()
            self._notes.append(note)
            active.append((note.began + chosen.seconds, chosen, note))
            if isinstance(chosen, fault.RolloutRace):
                self._time_rollout()
            self._wait(EVERY_S, active)
        while active:
            self._wait(0.2, active)

    def _choose(
        self,
        faults: Iterator[fault.Fault],
        busy: set[str],
        active: list[tuple[float, fault.Fault, fault.Note]],
    ) -> fault.Fault:
        """Returns the next fault; what does not go now is kept for later."""
        for place, kept in enumerate(self._put_off):
            if not self._clashes(kept, busy, active):
                return self._put_off.pop(place)
        while True:
            chosen = next(faults)
            if not self._clashes(chosen, busy, active):
                return chosen
            self._put_off.append(chosen)

    def _clashes(
        self,
        chosen: fault.Fault,
        busy: set[str],
        active: list[tuple[float, fault.Fault, fault.Note]],
    ) -> bool:
        """Returns whether a fault cannot be told apart from an active one."""
        platform = isinstance(chosen, fault.PlatformFault | fault.ZoneCut)
        log_bad = any(
            isinstance(f, fault.PlatformFault | fault.ZoneCut)
            for _, f, _ in active
        )
        if isinstance(chosen, fault.RolloutRace):
            return log_bad
        if chosen.name in busy and chosen.name:
            return True
        process = self._started.processes.get(chosen.name)
        gone = process is not None and not process.running
        return gone or (platform and log_bad)

    def _wait(
        self,
        seconds: float,
        active: list[tuple[float, fault.Fault, fault.Note]],
    ) -> None:
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self._end_due(active, time.monotonic())
            time.sleep(0.02)

    def _end_due(
        self,
        active: list[tuple[float, fault.Fault, fault.Note]],
        now: float,
    ) -> None:
        for item in list(active):
            due, chosen, note = item
            if now >= due:
                chosen.end()
                note.ended = time.monotonic()
                active.remove(item)

    def _time_rollout(self) -> None:
        """Measures how long a bundle takes to be in force on running VMs."""
        race = self._race
        race.in_force = race.find_winner()
        began = time.monotonic()
        waiting = {
            entry.name
            for entry in self._started.entries
            if self._is_steady(entry.name, began)
        }
        while waiting and time.monotonic() - began < 10:
            waiting = {
                name
                for name in waiting
                if self._is_steady(name, began)
                and self._read_generation(name) < race.generation
            }
            time.sleep(0.02)
        self._in_force_s.append(time.monotonic() - began)

    def _is_steady(self, name: str, now: float) -> bool:
        """Returns whether nothing has been done to a VM for a while."""
        vm = name.partition("/")[2]
        touched = [
            note
            for note in self._notes
            if note.process.endswith(f"/{vm}")
            and (note.ended == 0.0 or now - note.ended < 5.0)
        ]
        return not touched and self._started.processes[name].running

    def _watch(self) -> None:
        """Notes every entry's generation, again and again."""
        while self._watching:
            for entry in self._started.entries:
                popen = entry.popen
                found = self._read_generation(entry.name)
                if popen is not None and found and entry.popen is popen:
                    key = (entry.name, popen.pid)
                    self._generations[key].append(found)
            time.sleep(0.2)

    def _read_generation(self, name: str) -> int:
        try:
            answer = self._started.get(name, "/readyz", timeout_s=0.5)
        except urllib.error.HTTPError as error:
            answer = json.load(error)
        except OSError:
            return 0
        return int(answer["generation"] or 0)

    # Judging.

    def judge(self) -> dict[str, Any]:
        """Returns the promises with their chances and violations."""
        hits = [
            json.loads(line) for line in self._record.read_text().splitlines()
        ]
        dispatches, runs = self._read_ledgers()
        counts = collections.Counter(name for name, _, _ in dispatches)
        promises = [
            _judge_once(counts),
            _judge_keys(hits, runs, counts),
            _judge_not_run(hits, counts),
            _judge_whole(hits),
            self._judge_planned_stops(hits),
            self._judge_leaving(dispatches),
            self._judge_generations(),
            self._judge_in_force(),
            self._judge_again(hits),
            self._judge_orders(),
        ]
        before, during, after = self._split_goodput(hits)
        violations = sum(len(p.violations) for p in promises)
        keyed = sum(hit["key"] is not None for hit in hits)
        lines = [promise.format() for promise in promises]
        lines.append(
            f"{len(hits)} requests, {keyed} of them may not be repeated; "
            f"{len(self._notes)} faults; goodput before {before:.1%}, "
            f"during {during:.1%}, after {after:.1%}"
        )
        outcomes = collections.Counter(
            (hit["outcome"], hit["reason"]) for hit in hits
        )
        lines.append(
            ", ".join(
                f"{outcome} {reason}: {count}".replace("  ", " ")
                for (outcome, reason), count in outcomes.most_common()
            )
        )
        summary = {
            "seed": self._seed,
            "requests": len(hits),
            "not_repeatable": keyed,
            "faults": len(self._notes),
            "violations": violations,
            "promises": {
                p.name: [p.chances, len(p.violations)] for p in promises
            },
            "goodput": {"before": before, "during": during, "after": after},
            "in_force_s": self._in_force_s,
        }
        return {"lines": lines, "summary": summary}

    def _read_ledgers(
        self,
    ) -> tuple[list[tuple[str, float, str]], collections.Counter[str]]:
        dispatches: list[tuple[str, float, str]] = []
        runs: collections.Counter[str] = collections.Counter()
        for name in self._started.processes:
            if not name.startswith(("engine/", "service/")):
                continue
            ledger = self._started.get(name, "/ledger")
            dispatches += [
                (request_id, at, name)
                for request_id, at in ledger["dispatches"]
            ]
            runs.update(ledger.get("runs_by_key", {}))
        return dispatches, runs

    def _judge_planned_stops(
        self, hits: list[dict[str, Any]]
    ) -> promise.Promise:
        kept = promise.Promise("a planned stop cuts nothing in progress")
        names = {entry.url: entry.name for entry in self._started.entries}
        for hit in hits:
            name = names.get(hit["entry"])
            if name is None:
                continue
            began = self._began + hit["sent_at"]
            ended = began + hit["total_s"]
            stopped, killed = (
                any(
                    note.process == name
                    and note.abrupt is abrupt
                    and began - 2.0 <= note.began <= ended + 2.0
                    for note in self._notes
                    if abrupt or note.name.startswith("PlannedStop")
                )
                for abrupt in (False, True)
            )
            if stopped and not killed:
                whole = hit["outcome"] != "broken"
                kept.judge(whole, f"{hit['number']} {hit['reason']}")
            elif not killed:
                # An entry that nobody touched has no reason to cut anyone.
                whole = hit["outcome"] != "broken"
                kept.judge(whole, f"{hit['number']} {hit['reason']}")
        return kept

    def _judge_leaving(
        self, dispatches: list[tuple[str, float, str]]
    ) -> promise.Promise:
        kept = promise.Promise("a leaving backend server gets no new work")
        for note in self._notes:
            if not note.name.startswith("EngineLeaves"):
                continue
            late = [
                at
                for _, at, name in dispatches
                if name == note.process
                and note.began + LEAVING_S < at < note.ended
            ]
            kept.judge(not late, f"{note.process}: {len(late)}")
        return kept

    def _judge_generations(self) -> promise.Promise:
        kept = promise.Promise("no entry goes back to an older bundle")
        for (name, _), seen in self._generations.items():
            for earlier, later in zip(seen, seen[1:], strict=False):
                kept.judge(later >= earlier, f"{name} {earlier}->{later}")
        return kept

    def _judge_in_force(self) -> promise.Promise:
        kept = promise.Promise(
            f"a new bundle is in force within {IN_FORCE_S:g} s"
        )
        for seconds in self._in_force_s:
            kept.judge(seconds <= IN_FORCE_S, f"{seconds:.2f} s")
        return kept

    def _judge_again(self, hits: list[dict[str, Any]]) -> promise.Promise:
        """Requests sent a while after an owner's death are served at once."""
        kept = promise.Promise(
            f"service again {AGAIN_S:g} s after an owner's death"
        )
        zones = {
            entry.url: entry.name.partition("/")[2].rpartition("-")[0]
            for entry in self._started.entries
        }
        for note in self._notes:
            if not note.name.startswith("Kill scheduler"):
                continue
            zone = note.process.partition("/")[2].rpartition("-")[0]
            at = note.began - self._began
            sent = [
                hit
                for hit in hits
                if zones.get(hit["entry"]) == zone
                and at <= hit["sent_at"] <= at + 1.0
                and hit["outcome"] == "complete"
            ]
            firsts = [
                hit["sent_at"] + (hit["first_token_s"] or hit["total_s"]) - at
                for hit in sent
            ]
            if firsts:
                slowest = min(firsts)
                kept.judge(slowest <= AGAIN_S, f"{slowest:.1f} s")
        return kept

    def _judge_orders(self) -> promise.Promise:
        kept = promise.Promise("no engine takes an order of an earlier lease")
        for spec in self._started.plan.engines:
            ledger = self._started.get(f"engine/{spec.name}", "/ledger")
            for order in ledger["orders"]:
                taken = order["stale"] and not order["refused"]
                kept.judge(not taken, f"{spec.name} {order}")
        return kept

    def _split_goodput(
        self, hits: list[dict[str, Any]]
    ) -> tuple[float, float, float]:
        ends = self._notes[-1].ended - self._began + 3.0
        parts: list[list[bool]] = [[], [], []]
        for hit in hits:
            at = hit["sent_at"]
            part = 0 if at < WARM_S - 1 else 1 if at < ends else 2
            parts[part].append(hit["useful"])
        before, during, after = (
            sum(part) / len(part) if part else 0.0 for part in parts
        )
        return before, during, after


class RollingRun(Run):
    """Every VM's processes are replaced in turn, in the operators' order."""

    def _bring_about(self) -> None:
        for vm, _ in self._started.vms:
            for program in ("entry", "scheduler", "controller"):
                self._replace(f"{program}/{vm}")
            self._started.wait_ready()

    def _replace(self, name: str) -> None:
        stopped = fault.PlannedStop(self._started, name)
        note = stopped.note
        if self._show:
            click.echo(note.name, err=True)
        self._notes.append(note)
        stopped.begin()
        self._started.wait_ended(name, 60.0)
        self._started.start(name)
        note.ended = time.monotonic()


def _judge_once(counts: collections.Counter[str]) -> promise.Promise:
    kept = promise.Promise("a request is dispatched at most once")
    for request_id, count in counts.items():
        kept.judge(count == 1, f"{request_id}: {count}")
    return kept


def _judge_keys(
    hits: list[dict[str, Any]],
    runs: collections.Counter[str],
    counts: collections.Counter[str],
) -> promise.Promise:
    kept = promise.Promise("a key that may not be repeated runs at most once")
    for hit in hits:
        if hit["key"] is None:
            continue
        by_id = sum(counts[request_id] for request_id, _ in hit["attempts"])
        ran = max(runs[hit["key"]], by_id)
        kept.judge(ran <= 1, f"{hit['number']}: {ran}")
    return kept


def _judge_not_run(
    hits: list[dict[str, Any]], counts: collections.Counter[str]
) -> promise.Promise:
    kept = promise.Promise("'not run' is true")
    for hit in hits:
        for request_id, outcome in hit["attempts"]:
            if outcome == "not_run" and request_id:
                kept.judge(counts[request_id] == 0, request_id)
    return kept


def _judge_whole(hits: list[dict[str, Any]]) -> promise.Promise:
    kept = promise.Promise("a caller gets the whole answer to its own request")
    for hit in hits:
        if hit["outcome"] == "complete":
            kept.judge(hit["whole"], f"{hit['number']}")
        elif hit["reason"] == "silent_end":
            kept.judge(False, f"{hit['number']} silent end")
    return kept

"""``bin/bench soak``: a random soak of VMs on the users' platform.

Real programs run as separate processes; faults come from outside them, in
series and overlapping, by a seed.  Callers keep using open connections.  What
callers and replicas see is held against the promises at the end.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import http.client
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import click

from bench import promise, proxy
from test import node

CALM_S = 4.0
"""Time after the last fault from which changes must be in force, in seconds."""

APPLY_S = 2.0
"""Time from a change until it must be in force on a VM that is calm, in
seconds."""

ROLLBACK_S = 0.25
"""Time after a change was seen in force on a VM after which it must stay, in
seconds."""

CALM_SPELL_S = CALM_S + 2 * APPLY_S
"""Pause between two bouts of faults, in seconds: in its last part promises that
hold for calm VMs only are judged."""

FAULTS_AT_ONCE = 3

CHANGE_EVERY_S = 1.3
KEPT_VERSIONS = 20
"""Versions whose routes the next ones keep."""

LOOK_EVERY_S = 0.15
DEADLINE_S = 3.0
WARM_S = 2.0
START_S = 10.0
"""Time within which a restarted VM must be in force again, in seconds."""

KINDS = {"/safe/": "GET", "/once/": "POST", "/stream/": "POST"}
"""Routes that are asked, and the method for each."""

PRESSED_PATH = "/once/"
PRESSED_TOKENS = "300,300"
"""Tokens in and out of each request of the customer that presses beyond its
limit: VMs refuse it in every run, whatever the faults, so that "not run" is
judged in every run."""

PRESS_EVERY_S = 0.3

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request as its caller saw it.

    Attributes:
        name: Its id.
        path: Its route.
        vm: The VM that was asked.
        sent_at: When it was sent.
        status: Status of the answer; 0 if there was none.
        answer_id: Id that the answer names.
        whole: Whether the answer came to its end.
        body: The answer's body.
    """

    name: str
    path: str
    vm: str
    sent_at: float
    status: int = 0
    answer_id: str = ""
    whole: bool = False
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """Which version a VM works by, as a request on its route showed.

    Attributes:
        vm: The VM.
        life: How often it had been started.
        at: When it was asked.
        version: The version whose route was asked.
        status: Status of the answer on that version's route.
    """

    vm: str
    life: int
    at: float
    version: int
    status: int


@dataclasses.dataclass
class Fault:
    """A fault that was brought about, from its beginning to its end."""

    name: str
    began: float
    ended: float


class Soak:
    """One run.

    Args:
        started: The deployment.
        vms: How many VMs to run.
        seed: Seed of faults and load.
        seconds: How long it lasts.
    """

    def __init__(
        self, started: node.Platform, vms: int, seed: int, seconds: float
    ) -> None:
        self._platform = started
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._names = [f"vm-{number}" for number in range(vms)]
        self._ends_at = 0.0
        self._numbers = itertools.count(1)
        self._asks: list[Ask] = []
        self._looks: list[Look] = []
        self._faults: list[Fault] = []
        self._changes: list[tuple[int, float]] = []
        self._leaving: dict[str, float] = {}
        self._lives = dict.fromkeys(self._names, 0)
        self._stores: dict[str, proxy.Proxy] = {}
        self._proxies: dict[str, proxy.Proxy] = {}
        self._paused: set[str] = set()

    def perform(self) -> list[promise.Promise]:
        """Runs load and faults, and returns what was kept and broken."""
        self._start()
        try:
            self._run()
            return self._judge()
        finally:
            for made in (*self._stores.values(), *self._proxies.values()):
                made.close()

    # The deployment.

    def _start(self) -> None:
        started = self._platform
        started.start_store()
        self._change()
        for number in range(3):
            name = f"i-{number}"
            started.start_replica(name)
            made = proxy.Proxy(started.replicas[name])
            self._proxies[name] = made
            started.announced[name] = made.address
            started.write_record(name)
        for name in self._names:
            self._stores[name] = proxy.Proxy(started.store)
            started.start_vm(name, store=self._stores[name].address)
        time.sleep(WARM_S)

    def _change(self) -> None:
        """Writes the next version: it and those before have their routes."""
        version = len(self._changes) + 1
        config = node.make_config(version)
        first = config["routes"][0]
        config["routes"].extend(
            {**first, "name": f"v{number}", "pathPrefix": f"/v{number}/"}
            for number in range(max(1, version - KEPT_VERSIONS), version + 1)
        )
        self._platform.set_config(config)
        self._changes.append((version, time.monotonic()))

    # Load and faults, each in threads of their own.

    def _run(self) -> None:
        self._ends_at = time.monotonic() + self._seconds
        tasks: list[Callable[[], None]] = [self._make_changes, self._harm]
        for name in self._names:
            tasks.append(lambda vm=name: self._look(vm))  # type: ignore[misc]
            tasks.append(lambda vm=name: self._press(vm))  # type: ignore[misc]
            for path in KINDS:
                tasks.append(
                    lambda vm=name, on=path: self._call(vm, on)  # type: ignore[misc]
                )
        threads = [threading.Thread(target=task) for task in tasks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._ends_at

    def _make_changes(self) -> None:
        while not self._is_over():
            time.sleep(CHANGE_EVERY_S)
            self._change()

    def _call(self, vm: str, path: str) -> None:
        """Asks again and again, on one connection while that is open."""
        connection = None
        while not self._is_over():
            ask = Ask(f"q{next(self._numbers)}", path, vm, time.monotonic())
            connection = connection or self._connect(vm)
            try:
                ask = _send(connection, ask)
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            self._asks.append(ask)
            time.sleep(0.05)

    def _press(self, vm: str) -> None:
        """Asks for more than the customer may have."""
        more = {
            "Authorization": f"Bearer {node.LIMITED_KEY}",
            "X-Token-Count": PRESSED_TOKENS,
        }
        while not self._is_over():
            time.sleep(PRESS_EVERY_S)
            name = f"q{next(self._numbers)}"
            ask = Ask(name, PRESSED_PATH, vm, time.monotonic())
            connection = self._connect(vm)
            with contextlib.suppress(OSError, http.client.HTTPException):
                ask = _send(connection, ask, more)
            connection.close()
            self._asks.append(ask)

    def _look(self, vm: str) -> None:
        newest_turn = itertools.cycle((True, False))
        while not self._is_over():
            time.sleep(LOOK_EVERY_S)
            version = self._pick_version(next(newest_turn))
            life, at = self._lives[vm], time.monotonic()
            path = f"/v{version}/"
            ask = Ask(f"p{next(self._numbers)}", path, vm, at)
            connection = self._connect(vm)
            try:
                seen = _send(connection, ask)
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()
            self._looks.append(Look(vm, life, at, version, seen.status))

    def _pick_version(self, newest: bool) -> int:
        """Returns the newest version, or the newest that must be in force."""
        if newest:
            return self._changes[-1][0]
        settled = time.monotonic() - APPLY_S - LOOK_EVERY_S
        due = [number for number, at in self._changes if at < settled]
        return due[-1] if due else self._changes[0][0]

    def _connect(self, vm: str) -> http.client.HTTPConnection:
        host, port = self._platform.vms[vm]["front"].split(":")
        return http.client.HTTPConnection(
            host, int(port), timeout=DEADLINE_S + 1
        )

    def _harm(self) -> None:
        """Brings about faults in bouts, each followed by a calm spell."""
        while not self._is_over():
            left_s = self._ends_at - time.monotonic()
            bout_s = min(self._rng.uniform(3.0, 9.0), left_s - CALM_SPELL_S)
            self._bring_about(time.monotonic() + bout_s)
            time.sleep(min(CALM_SPELL_S, max(0.0, left_s)))

    def _bring_about(self, last_at: float) -> None:
        """Brings faults about, some at a time, until all have ended."""
        running: list[tuple[float, Callable[[], None], Fault]] = []
        while time.monotonic() < last_at or running:
            now = time.monotonic()
            for due, end, fault in list(running):
                if due <= now:
                    end()
                    fault.ended = time.monotonic()
                    running.remove((due, end, fault))
            if now < last_at and len(running) < FAULTS_AT_ONCE:
                name, begin, end = self._draw_fault()
                fault = Fault(name, now, float("inf"))
                self._faults.append(fault)
                begin()
                running.append((now + self._rng.uniform(0.2, 3.0), end, fault))
            time.sleep(self._rng.uniform(0.05, 0.8))

    def _draw_fault(
        self,
    ) -> tuple[str, Callable[[], None], Callable[[], None]]:
        draws = [
            self._draw_store_fault,
            self._draw_link_fault,
            self._draw_link_fault,
            self._draw_vm_fault,
            self._draw_replica_fault,
        ]
        return self._rng.choice(draws)()

    def _draw_store_fault(
        self,
    ) -> tuple[str, Callable[[], None], Callable[[], None]]:
        kind = self._rng.choice(["silent", "busy"])

        def begin() -> None:
            self._platform.set_faults("store", **{kind: True})

        return (
            f"store {kind}",
            begin,
            lambda: self._platform.set_faults("store"),
        )

    def _draw_link_fault(
        self,
    ) -> tuple[str, Callable[[], None], Callable[[], None]]:
        pool = {**self._stores, **self._proxies}
        name = self._rng.choice(sorted(pool))
        made = pool[name]
        kind = self._rng.choice(
            ["reset", "silence", "cut", "cut_answers", "delay"]
        )
        if kind == "reset":
            return f"reset {name}", made.reset, _do_nothing
        if kind == "silence":
            return f"silence {name}", made.silence, _do_nothing
        if kind == "delay":
            return (
                f"delay {name}",
                lambda: setattr(made, "delay_s", 0.1),
                lambda: setattr(made, "delay_s", 0.0),
            )
        return (
            f"{kind} {name}",
            lambda: setattr(made, kind, True),
            lambda: setattr(made, kind, False),
        )

    def _draw_vm_fault(
        self,
    ) -> tuple[str, Callable[[], None], Callable[[], None]]:
        vm = self._rng.choice(self._names)
        kind = self._rng.choice(["pause", "kill", "stop"])
        if vm in self._paused:
            return "none", _do_nothing, _do_nothing
        self._paused.add(vm)
        process = self._platform.processes[vm]
        if kind == "pause":

            def resume() -> None:
                process.send_signal(signal.SIGCONT)
                self._paused.discard(vm)

            return (
                f"pause {vm}",
                lambda: process.send_signal(signal.SIGSTOP),
                resume,
            )
        wanted = signal.SIGKILL if kind == "kill" else signal.SIGTERM

        def restart() -> None:
            process.wait()
            self._lives[vm] += 1
            self._platform.restart_vm(vm)
            self._paused.discard(vm)

        return f"{kind} {vm}", lambda: process.send_signal(wanted), restart

    def _draw_replica_fault(
        self,
    ) -> tuple[str, Callable[[], None], Callable[[], None]]:
        name = self._rng.choice(sorted(self._proxies))
        kind = self._rng.choice(["fail", "refuse", "surplus", "leave"])
        if kind == "leave" and not self._leaving:

            def leave() -> None:
                self._platform.write_record(name, "draining")
                self._leaving[name] = time.monotonic()

            return f"leave {name}", leave, _do_nothing
        kind = "refuse" if kind == "leave" else kind
        return (
            f"{kind} {name}",
            lambda: self._platform.set_faults(name, **{kind: True}),
            lambda: self._platform.set_faults(name),
        )

    # What was seen, against what is promised.

    def _judge(self) -> list[promise.Promise]:
        runs = {
            name: self._platform.read_ledger(name)["runs"]
            for name in self._platform.replicas
        }
        counts = collections.Counter(itertools.chain(*runs.values()))
        return [
            self._judge_once(counts),
            self._judge_not_run(counts),
            self._judge_asked(counts),
            self._judge_answers(),
            self._judge_rise(),
            self._judge_in_force(),
            self._judge_leaving(runs),
            self._judge_processes(),
        ]

    def _judge_once(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("what may run once runs at most once")
        for ask in self._asks:
            if ask.path == "/once/":
                kept.judge(counts.get(ask.name, 0) <= 1, ask.name)
        return kept

    def _judge_not_run(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("'not run' is true")
        for ask in self._asks:
            if ask.path == "/once/" and ask.status in NOT_RUN:
                kept.judge(not counts.get(ask.name), f"{ask}")
        return kept

    def _judge_asked(self, counts: dict[str, int]) -> promise.Promise:
        kept = promise.Promise("only what callers asked runs")
        asked = {ask.name for ask in self._asks}
        for name in counts:
            kept.judge(name in asked or name.startswith("p"), name)
        return kept

    def _judge_answers(self) -> promise.Promise:
        kept = promise.Promise("an answer is the caller's own and whole")
        for ask in self._asks:
            if ask.status != http.client.OK or not ask.whole:
                continue
            own = ask.answer_id == ask.name
            kept.judge(own and _is_right(ask), f"{ask}")
        return kept

    def _judge_rise(self) -> promise.Promise:
        kept = promise.Promise("a change that was in force stays in force")
        seen: dict[tuple[str, int], tuple[int, float]] = {}
        for look in sorted(self._looks, key=lambda look: look.at):
            version, since = seen.get((look.vm, look.life), (0, 0.0))
            if look.status == http.client.OK and look.version > version:
                seen[look.vm, look.life] = (look.version, look.at)
            elif look.version <= version and look.at > since + ROLLBACK_S:
                kept.judge(look.status != http.client.NOT_FOUND, f"{look}")
        return kept

    def _judge_in_force(self) -> promise.Promise:
        kept = promise.Promise("a change is in force soon on a calm VM")
        sent = dict(self._changes)
        for look in self._looks:
            calm = self._is_calm(look.at)
            age_s = look.at - sent[look.version]
            if calm and age_s > APPLY_S:
                at = f"{look.at - self._changes[0][1]:.2f}"
                detail = f"{look.vm} at {at}: version {look.version}"
                found = look.status != http.client.NOT_FOUND
                kept.judge(found, f"{detail} of age {age_s:.2f} s")
        return kept

    def _is_calm(self, at: float) -> bool:
        return all(
            fault.ended + CALM_S < at or fault.began > at
            for fault in self._faults
        )

    def _judge_leaving(self, runs: dict[str, list[str]]) -> promise.Promise:
        kept = promise.Promise("a leaving backend server gets no new work")
        sent = {ask.name: ask.sent_at for ask in self._asks}
        for name, since in self._leaving.items():
            for run in runs[name]:
                at = sent.get(run, 0.0)
                if at > since + APPLY_S and self._is_calm(at):
                    kept.judge(False, f"{run} on {name}")
            kept.judge(True, name)
        return kept

    def _judge_processes(self) -> promise.Promise:
        kept = promise.Promise("no program ends by itself")
        for name in self._names:
            running = self._platform.processes[name].poll() is None
            broken = any(
                line.get("level") == "CRITICAL"
                for line in self._platform.read_log(name)
            )
            kept.judge(running and not broken, name)
        return kept

    def list_faults(self) -> Iterator[str]:
        """Returns a line for each fault that was brought about."""
        first = self._changes[0][1]
        for fault in self._faults:
            began, ended = fault.began - first, fault.ended - first
            yield f"{began:7.2f} to {ended:7.2f}  {fault.name}"


def _do_nothing() -> None:
    """Ends a fault that is over with its beginning."""


def _send(
    connection: http.client.HTTPConnection,
    ask: Ask,
    more: Mapping[str, str] = MappingProxyType({}),
) -> Ask:
    """Sends a request and returns it with what came back.

    Args:
        connection: Where to.
        ask: The request.
        more: Headers that it has instead of the usual ones, or beside them.

    Raises:
        OSError: The connection broke before an answer.
        http.client.HTTPException: What came is no answer.
    """
    method = KINDS.get(ask.path, "GET")
    headers = {
        "Host": node.HOST,
        "X-Request-Id": ask.name,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Authorization": f"Bearer {node.KEY}",
        **more,
    }
    body = ask.name.encode() if method == "POST" else None
    connection.request(method, ask.path, body, headers)
    answer = node.Answer(connection.getresponse())
    return dataclasses.replace(
        ask,
        status=answer.status,
        answer_id=answer.headers.get("x-request-id", ""),
        whole=answer.whole,
        body=answer.body,
    )


def _is_right(ask: Ask) -> bool:
    """Tells whether a whole answer is what a replica sends for a request."""
    if ask.path == "/stream/":
        numbers = [
            int(line.partition(b":")[2])
            for line in ask.body.splitlines()
            if line.startswith(b"id:")
        ]
        return numbers == list(range(1, len(numbers) + 1)) and bool(numbers)
    size = len(ask.name) if KINDS[ask.path] == "POST" else 0
    return bool(json.loads(ask.body) == {"path": ask.path, "bytes": size})


def run_soak(
    vms: int, seed: int, seconds: float, keep: pathlib.Path | None = None
) -> tuple[list[promise.Promise], list[str]]:
    """Runs one soak and returns its promises and its faults.

    Args:
        vms: How many VMs.
        seed: Seed of faults and load.
        seconds: How long it lasts.
        keep: Folder for the programs' logs; None if they are not kept.
    """
    with tempfile.TemporaryDirectory() as made:
        name = keep or made
        platform = node.Platform(pathlib.Path(name))
        soak = Soak(platform, vms, seed, seconds)
        try:
            return soak.perform(), list(soak.list_faults())
        finally:
            platform.stop_all()


@click.command(name="soak")
@click.option("--seed", default=1, help="Seed of the first run.")
@click.option("--runs", default=1, help="How many runs, each with a new seed.")
@click.option("--vms", default=3, help="How many VMs.")
@click.option("--seconds", default=30.0, help="How long each run lasts.")
@click.option("--show", is_flag=True, help="Show the faults of each run.")
@click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    help="Folder to keep the programs' logs in, one folder a seed.",
)
def command(
    seed: int,
    runs: int,
    vms: int,
    seconds: float,
    show: bool,
    keep: pathlib.Path | None,
) -> None:
    """Random faults from outside, judged by callers and replicas."""
    failed = []
    for each in range(seed, seed + runs):
        logs = keep / str(each) if keep else None
        if logs:
            logs.mkdir(parents=True, exist_ok=True)
        promises, faults = run_soak(vms, each, seconds, logs)
        broken = [kept for kept in promises if kept.violations]
        click.echo(f"seed {each}: {'BROKEN' if broken else 'kept'}")
        for kept in promises if show else broken:
            click.echo(f"  {kept.format()}")
        for line in faults if show or broken else ():
            click.echo(f"    {line}")
        if broken:
            failed.append(each)
    click.echo(json.dumps({"runs": runs, "vms": vms, "failed": failed}))
    sys.exit(1 if failed else 0)

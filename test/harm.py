"""Faults that a soak brings about from outside, in bouts, by a seed."""

from __future__ import annotations

import os
import pathlib
import random
import signal
import time
from collections.abc import Callable
from typing import Any

from bench import proxy
from test import node, partition, verdict

CALM_SPELL_S = verdict.CALM_S + 2 * verdict.APPLY_S
"""Pause between two bouts of faults, in seconds: in its last part promises that
hold for calm VMs only are judged."""

FAULTS_AT_ONCE = 3

RECOVERY_S = 12.0
"""Time after the return of all VMs from which they must serve, in seconds."""

MIN_SERVED_PART = 0.25
"""Part of the requests that must be served then."""

RECOVERY_SPELL_S = RECOVERY_S + 4.0
"""Pause after a bout in which all VMs were lost, in seconds; in its last part
the return of the service is judged."""

SLOW_CLOCK_MS = 60_000
"""By how much the clock of a replica may be set back at its restart."""

Draw = tuple[str, Callable[[], None], Callable[[], None]]
"""A fault: its name, what brings it about and what ends it."""


class Harm:
    """Harms store, links, VMs and replicas.

    Args:
        started: The deployment.
        rng: Chooses.
        stores: What stands between each VM and the store.
        proxies: What stands before each replica.
        record: Takes what was done.
        restarts: Whether replicas also start again under their names.
        linked: The deployment if its VMs are also partitioned from all
            replicas; else None.
        outages: Whether all VMs are also lost at once.

    Attributes:
        lives: How often each VM was started again.
        outages: Whether all VMs are also lost at once.
        calm_s: Pause between two bouts of faults, in seconds.
        returns: When all VMs were started again after they were lost.
    """

    def __init__(
        self,
        started: node.Platform,
        rng: random.Random,
        stores: dict[str, proxy.Proxy],
        proxies: dict[str, proxy.Proxy],
        record: verdict.Record,
        restarts: bool,
        linked: partition.LinkedPlatform | None = None,
        outages: bool = False,
    ) -> None:
        self._linked = linked
        self.outages = outages
        self.calm_s = RECOVERY_SPELL_S if outages else CALM_SPELL_S
        self._platform = started
        self._rng = rng
        self._stores = stores
        self._proxies = proxies
        self._record = record
        self._restarts = restarts
        self._names = list(stores)
        self._paused: set[str] = set()
        self._born: dict[str, int] = {}
        self._down: set[str] = set()
        self._retired: set[str] = set()
        # What replicas do for long, beside the faults of a bout.
        self._limits: dict[str, float] = {}
        self._hints: dict[str, dict[str, Any]] = {}
        self._limit_ended_at: dict[str, float] = {}
        self.lives = dict.fromkeys(self._names, 0)
        self.returns: list[float] = []

    def run(self, ends_at: float) -> None:
        """Brings about faults in bouts, each followed by a calm spell."""
        while time.monotonic() < ends_at:
            left_s = ends_at - time.monotonic()
            bout_s = min(self._rng.uniform(3.0, 9.0), left_s - self.calm_s)
            self._bring_about(time.monotonic() + bout_s)
            time.sleep(min(self.calm_s, max(0.0, left_s)))

    def _bring_about(self, last_at: float) -> None:
        """Brings faults about, some at a time, until all have ended."""
        running: list[tuple[float, Callable[[], None], verdict.Fault]] = []
        while time.monotonic() < last_at or running:
            now = time.monotonic()
            for due, end, fault in list(running):
                if due <= now:
                    end()
                    fault.ended = time.monotonic()
                    running.remove((due, end, fault))
            if now < last_at and len(running) < FAULTS_AT_ONCE:
                name, begin, end = self._draw_fault()
                fault = verdict.Fault(name, now, float("inf"))
                self._record.faults.append(fault)
                begin()
                running.append((now + self._rng.uniform(0.2, 3.0), end, fault))
            time.sleep(self._rng.uniform(0.05, 0.8))

    def _draw_fault(
        self,
    ) -> Draw:
        draws = [
            self._draw_store_fault,
            self._draw_link_fault,
            self._draw_link_fault,
            self._draw_vm_fault,
        ]
        if self._proxies:
            draws.append(self._draw_replica_fault)
        if self._restarts:
            draws.append(self._draw_restart)
        if self._linked is not None:
            draws += [self._draw_partition] * 2
        if self.outages:
            draws += [self._draw_outage] * 2
        return self._rng.choice(draws)()

    def _draw_outage(self) -> Draw:
        """Draws the loss of all VMs at once, by power or by a kill.

        Without power nothing closes their connections to replicas and store.
        """
        if self._paused:
            return "none", _do_nothing, _do_nothing
        self._paused.update(self._names)
        loses_power = self._rng.random() < 0.5

        def lose() -> None:
            if loses_power:
                proxy.strand_all(
                    [*self._stores.values(), *self._proxies.values()]
                )
            for name in self._names:
                self._platform.processes[name].kill()

        def start_again() -> None:
            for name in self._names:
                self._wait_for_end(name)
                self.lives[name] += 1
                self._platform.restart_vm(name)
            self.returns.append(time.monotonic())
            self._paused.clear()

        kind = "power loss" if loses_power else "kill"
        return f"{kind} of all VMs", lose, start_again

    def _wait_for_end(self, name: str) -> None:
        """Waits until a process has ended, before it is started again."""
        self._platform.processes[name].wait()
        cut_unfinished_line(self._platform.folder / f"{name}.log")

    def _draw_partition(self) -> Draw:
        """Draws VMs that lose their links to all replicas."""
        linked = self._linked
        assert linked is not None
        count = self._rng.randint(1, len(self._names))
        vms = self._rng.sample(self._names, count)
        how = self._rng.choice(list(proxy.Partition))
        return (
            f"partition ({how.value}) {' '.join(sorted(vms))}",
            lambda: linked.partition(vms, how),
            lambda: linked.partition(vms, None),
        )

    def _draw_store_fault(
        self,
    ) -> Draw:
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
    ) -> Draw:
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
    ) -> Draw:
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
            self._wait_for_end(vm)
            self.lives[vm] += 1
            self._platform.restart_vm(vm)
            self._paused.discard(vm)

        return f"{kind} {vm}", lambda: process.send_signal(wanted), restart

    def _draw_replica_fault(
        self,
    ) -> Draw:
        name = self._rng.choice(sorted(self._proxies))
        kind = self._rng.choice(["fail", "refuse", "surplus", "leave"])
        if name in self._down:
            return "none", _do_nothing, _do_nothing
        if kind == "leave" and not self._record.leaves:

            def leave() -> None:
                self._platform.write_record(
                    name, "draining", self._born.get(name)
                )
                leave = verdict.Leave(name, time.monotonic())
                self._record.leaves.append(leave)

            return f"leave {name}", leave, _do_nothing
        kind = "refuse" if kind == "leave" else kind
        return (
            f"{kind} {name}",
            lambda: self._set_faults(name, **{kind: True}),
            lambda: self._set_faults(name),
        )

    def _set_faults(self, name: str, **faults: bool) -> None:
        """Sets a replica's faults; one that is down loses them anyway."""
        if name in self._down:
            return
        limit = self._limits.get(name)
        limits = [] if limit is None else [str(limit)]
        hints = self._hints.get(name, {})
        self._platform.set_faults(name, **{**hints, **faults}, limits=limits)

    def retire(self, name: str) -> None:
        """Does nothing more to a replica, as it is about to end for good."""
        self._retired.add(name)
        self._down.add(name)

    def give_hints(self, name: str, **hints: Any) -> None:
        """Has a replica leave or ask for pauses; one that is down does not."""
        if name not in self._down:
            self._hints[name] = hints
            self._set_faults(name)

    def name_limit(self, name: str, rate: float) -> None:
        """Has a replica name a request limit; one that is down does not."""
        if name not in self._down:
            self._limits[name] = rate
            self._limit_ended_at[name] = float("inf")
            self._set_faults(name)

    def end_limit(self, name: str) -> float:
        """Has a replica name no limit; returns when it ended, if before."""
        self._limits.pop(name, None)
        self._set_faults(name)
        return self._limit_ended_at.get(name, 0.0)

    def _draw_restart(self) -> Draw:
        """Draws a replica that is killed and starts again under its name."""
        name = self._rng.choice(sorted(self._proxies))
        set_back = self._rng.random() < 0.3
        process = self._platform.processes[name]
        if name in self._down:
            return "none", _do_nothing, _do_nothing
        self._down.add(name)
        # A run that starts again names no limit and gives no hints.
        self._limits.pop(name, None)
        self._hints.pop(name, None)
        self._limit_ended_at[name] = time.monotonic()

        def restart() -> None:
            self._wait_for_end(name)
            if name in self._retired:
                return
            self._platform.restart_replica(name)
            if name not in self._retired:
                self._down.discard(name)
            now_ms = int(time.time() * 1000)
            self._born[name] = now_ms - SLOW_CLOCK_MS * set_back
            self._platform.write_record(name, "ready", self._born[name])
            for leave in self._record.leaves:
                if leave.name == name:
                    leave.until = min(leave.until, time.monotonic())

        return f"restart {name}", process.kill, restart


def cut_unfinished_line(log: pathlib.Path) -> None:
    """Removes the last line of a log that its killed writer did not complete.

    The next run would otherwise append its first line to it.
    """
    content = log.read_bytes()
    os.truncate(log, content.rfind(b"\n") + 1)


def _do_nothing() -> None:
    """Ends a fault that is over with its beginning."""

"""Simulates requests on crashing backend servers, in virtual time."""

from __future__ import annotations

import dataclasses
import random
import zlib

from ramptray.core import blocklist, message, poison

SERVERS = 5
SLOTS = 6
RESTART_S = 2.0
"""Time that a crashed backend server takes to restart, in seconds."""

STEP_S = 0.02
MAX_RUNS = 4
"""Most runs of a request: two attempts each of two tries by the caller."""

POPULAR_CONTENTS = 8
POISON = "culprit"
POISON_RUN_S = 0.08


@dataclasses.dataclass
class Load:
    """The load of a simulation and its crashes.

    Attributes:
        requests_per_s: Requests a second.
        popular_part: Fraction of them with one of a few popular contents.
        longest_s: Longest duration of a request, in seconds.
        wave_every_s: Mean time between two waves of external crashes.
        wave_servers: Most backend servers that a wave hits.
        poison_every_s: Time between two tries of a poison request; None for
            no such request.
        has_parts: Whether all requests share a first part, and a few popular
            ones a second part, and each try of the poison request is another
            content with the same part.
    """

    requests_per_s: float = 25.0
    popular_part: float = 0.6
    longest_s: float = 3.0
    wave_every_s: float = 1.0
    wave_servers: int = 3
    poison_every_s: float | None = None
    has_parts: bool = False


@dataclasses.dataclass
class Run:
    """A request running on a backend server."""

    name: str
    content: str
    began: float
    answers_at: float
    ends_at: float
    run_count: int
    parts: tuple[str, ...]

    @property
    def causes(self) -> frozenset[str]:
        """Its content and parts."""
        return message.make_causes(self.content, self.parts)

    def is_settled(self, now: float) -> bool:
        """Returns whether it has been responding for a while."""
        return now - self.answers_at >= poison.INNOCENT_AFTER_S


class Simulation:
    """Backend servers, their requests, and an owner that blocks contents."""

    def __init__(self, load: Load, seed: int) -> None:
        self.blocks = blocklist.Blocklist()
        self.poison_crashes = 0
        self._detector = poison.PoisonDetector(self.blocks)
        self._load = load
        self._rng = random.Random(seed)
        self._servers: dict[int, list[Run]] = {n: [] for n in range(SERVERS)}
        self._restarted_at = dict.fromkeys(range(SERVERS), 0.0)
        self._run_numbers = dict.fromkeys(range(SERVERS), 1)
        self._count = 0
        self.request_count = 0
        self._next_wave_at = 1.0
        self._next_poison_at = 1.0

    def run(self, seconds: float) -> None:
        """Runs the simulation for the given virtual time."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self._generate_requests(now)
            self._finish_runs(now)
            self._crash_externally(now)

    def list_blocked(self) -> set[str]:
        """Returns all contents that were blocked at any time."""
        return {block.content for block in self.blocks.iterate()}

    def _generate_requests(self, now: float) -> None:
        load = self._load
        if self._rng.random() < load.requests_per_s * STEP_S:
            self.request_count += 1
            popular = self._rng.random() < load.popular_part
            number = (
                self._rng.randrange(POPULAR_CONTENTS)
                if popular
                else self.request_count
            )
            self._send(f"{'popular' if popular else 'own'}-{number}", 1, now)
        if load.poison_every_s and now >= self._next_poison_at:
            self._next_poison_at = now + load.poison_every_s
            self._send(POISON, 1, now)

    def _send(
        self,
        content: str,
        run_count: int,
        now: float,
        parts: tuple[str, ...] | None = None,
    ) -> None:
        if parts is None:
            content, parts = self._add_parts(content)
        causes = message.make_causes(content, parts)
        if self._is_held(causes, now):
            return
        free = [
            number
            for number, runs in self._servers.items()
            if len(runs) < SLOTS and now >= self._restarted_at[number]
        ]
        if not free or self.blocks.find_block(causes, now):
            return
        self._count += 1
        took_s = self._rng.uniform(0.1, self._load.longest_s)
        if POISON in causes:
            took_s = POISON_RUN_S
        answers_at = now + min(took_s, self._rng.uniform(0.05, 0.4))
        run = Run(
            f"r{self._count}",
            content,
            now,
            answers_at,
            now + took_s,
            run_count,
            parts,
        )
        self._servers[
            self._rng.choice(self._separate_suspects(free, run))
        ].append(run)

    def _add_parts(self, content: str) -> tuple[str, tuple[str, ...]]:
        """Returns the content and the parts of a new request."""
        if not self._load.has_parts:
            return content, ()
        if content == POISON:
            return f"{POISON}-{self._count}", ("common", POISON)
        return content, (
            "common",
            f"second-{zlib.crc32(content.encode()) % 50}",
        )

    def _is_held(self, causes: frozenset[str], now: float) -> bool:
        """Returns whether another request with a suspected cause is on trial.

        Contents alone are not held back here.
        """
        suspects = self._detector.find_on_trial(causes) & {"common", POISON}
        return self._load.has_parts and any(
            not run.is_settled(now) and not suspects.isdisjoint(run.causes)
            for runs in self._servers.values()
            for run in runs
        )

    def _separate_suspects(self, free: list[int], run: Run) -> list[int]:
        find_suspects = self._detector.find_suspects
        if not find_suspects(run.causes):
            return free
        apart = [
            number
            for number in free
            if not any(
                other.content != run.content and find_suspects(other.causes)
                for other in self._servers[number]
            )
        ]
        return apart or free

    def _finish_runs(self, now: float) -> None:
        for number, runs in self._servers.items():
            for run in [r for r in runs if now >= r.ends_at]:
                if run not in self._servers[number]:
                    continue
                if POISON in run.causes:
                    self.poison_crashes += 1
                    self._crash_server(number, now)
                    continue
                runs.remove(run)
                self._detector.record_success(run.content, now, run.parts)

    def _crash_externally(self, now: float) -> None:
        if now < self._next_wave_at:
            return
        every_s = self._load.wave_every_s
        self._next_wave_at = now + self._rng.expovariate(1 / every_s)
        hit = self._rng.randint(1, self._load.wave_servers)
        for number in self._rng.sample(range(SERVERS), hit):
            self._crash_server(number, now)

    def _crash_server(self, number: int, now: float) -> None:
        runs = list(self._servers[number])
        if now < self._restarted_at[number]:
            return
        runners = {
            run.name: poison.RunningRequest(
                run.name,
                run.content,
                run.began,
                now - run.answers_at if now >= run.answers_at else None,
                run.parts,
            )
            for run in runs
        }
        survivors = (
            run.causes
            for runs in self._servers.values()
            for run in runs
            if run.is_settled(now)
        )
        crash = poison.Crash(
            f"s{number}",
            self._run_numbers[number],
            now,
            runners,
            frozenset().union(*survivors),
        )
        self._servers[number].clear()
        self._run_numbers[number] += 1
        self._restarted_at[number] = now + RESTART_S
        self._detector.record_crash(crash)
        for run in runs:
            if run.run_count < MAX_RUNS:
                self._send(run.content, run.run_count + 1, now, run.parts)

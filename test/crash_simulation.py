"""Requests before backend servers that crash, in virtual time."""

from __future__ import annotations

import dataclasses
import random

from ramptray.core import blocklist, poison

SERVERS = 5
PLACES = 6
BACK_S = 2.0
"""Time in which a backend server that ended is back, in seconds."""

STEP_S = 0.02
TRIES = 4
"""Runs of a request at most: two attempts, and its caller's second try."""

POPULAR = 8
CULPRIT = "culprit"
CULPRIT_S = 0.08


@dataclasses.dataclass
class Load:
    """What a world is asked, and what happens to it.

    Attributes:
        asked_per_s: Requests a second.
        popular_part: Part of them that are about one of a few contents.
        longest_s: Longest time that a request takes.
        wave_every_s: Mean time between two waves of crashes from outside.
        wave_servers: Backend servers of a wave at most.
        culprit_every_s: Time between two tries of a request that ends what
            runs it; None for no such request.
    """

    asked_per_s: float = 25.0
    popular_part: float = 0.6
    longest_s: float = 3.0
    wave_every_s: float = 1.0
    wave_servers: int = 3
    culprit_every_s: float | None = None


@dataclasses.dataclass
class Run:
    """A request at a backend server."""

    name: str
    content: str
    began: float
    answers_at: float
    ends_at: float
    tries: int


class World:
    """Backend servers, the requests that run there, and what is concluded."""

    def __init__(self, load: Load, seed: int) -> None:
        self.blocks = blocklist.Blocklist()
        self.crashes_of_culprit = 0
        self._evidence = poison.PoisonDetector(self.blocks)
        self._load = load
        self._rng = random.Random(seed)
        self._servers: dict[int, list[Run]] = {n: [] for n in range(SERVERS)}
        self._back_at = dict.fromkeys(range(SERVERS), 0.0)
        self._lives = dict.fromkeys(range(SERVERS), 1)
        self._count = 0
        self.asked = 0
        self._wave_at = 1.0
        self._culprit_at = 1.0

    def play(self, seconds: float) -> None:
        """Plays for a while of virtual time."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self._ask(now)
            self._end_runs(now)
            self._crash_from_outside(now)

    def list_blocked(self) -> set[str]:
        """Returns all contents that were ever blocked."""
        return {block.content for block in self.blocks.iterate()}

    def _ask(self, now: float) -> None:
        load = self._load
        if self._rng.random() < load.asked_per_s * STEP_S:
            self.asked += 1
            popular = self._rng.random() < load.popular_part
            number = self._rng.randrange(POPULAR) if popular else self.asked
            self._send(f"{'popular' if popular else 'own'}-{number}", 1, now)
        if load.culprit_every_s and now >= self._culprit_at:
            self._culprit_at = now + load.culprit_every_s
            self._send(CULPRIT, 1, now)

    def _send(self, content: str, tries: int, now: float) -> None:
        room = [
            number
            for number, runs in self._servers.items()
            if len(runs) < PLACES and now >= self._back_at[number]
        ]
        if not room or self.blocks.get_remaining_s(content, now):
            return
        self._count += 1
        took_s = self._rng.uniform(0.1, self._load.longest_s)
        if content == CULPRIT:
            took_s = CULPRIT_S
        answers_at = now + min(took_s, self._rng.uniform(0.05, 0.4))
        run = Run(
            f"r{self._count}", content, now, answers_at, now + took_s, tries
        )
        self._servers[self._rng.choice(self._keep_apart(room, run))].append(run)

    def _keep_apart(self, room: list[int], run: Run) -> list[int]:
        suspects = self._evidence.is_suspect
        if not suspects(run.content):
            return room
        apart = [
            number
            for number in room
            if not any(
                other.content != run.content and suspects(other.content)
                for other in self._servers[number]
            )
        ]
        return apart or room

    def _end_runs(self, now: float) -> None:
        for number, runs in self._servers.items():
            for run in [r for r in runs if now >= r.ends_at]:
                if run not in self._servers[number]:
                    continue
                if run.content == CULPRIT:
                    self.crashes_of_culprit += 1
                    self._end_server(number, now)
                    continue
                runs.remove(run)
                self._evidence.record_success(run.content, now)

    def _crash_from_outside(self, now: float) -> None:
        if now < self._wave_at:
            return
        every_s = self._load.wave_every_s
        self._wave_at = now + self._rng.expovariate(1 / every_s)
        hit = self._rng.randint(1, self._load.wave_servers)
        for number in self._rng.sample(range(SERVERS), hit):
            self._end_server(number, now)

    def _end_server(self, number: int, now: float) -> None:
        runs = list(self._servers[number])
        if now < self._back_at[number]:
            return
        runners = {
            run.name: poison.RunningRequest(
                run.name,
                run.content,
                run.began,
                now - run.answers_at if now >= run.answers_at else None,
            )
            for run in runs
        }
        crash = poison.Crash(f"s{number}", self._lives[number], now, runners)
        self._servers[number].clear()
        self._lives[number] += 1
        self._back_at[number] = now + BACK_S
        self._evidence.record_crash(crash)
        for run in runs:
            if run.tries < TRIES:
                self._send(run.content, run.tries + 1, now)

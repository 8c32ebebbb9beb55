"""Releases that come and go in a soak, and callers that resume streams."""

from __future__ import annotations

import dataclasses
import itertools
import random
import signal
import time
from collections.abc import Callable

from bench import promise
from test import node, resuming, verdict

FIRST_RELEASES = ("v1", "v1", "v2", "v2")
COPIES = 2
"""Replicas of a release that comes."""

CHANGE_EVERY_S = 6.0
DRAIN_S = 2.5
MAX_PAUSE_S = 1.2
"""Longest time until a caller resumes, in seconds."""

MIN_RESUMED = 12
MIN_RELATIVE_SHARE = 0.5
"""From so many resumed streams on, they go on at least this often, relative to
the share of new streams that begin."""


@dataclasses.dataclass
class Serving:
    """When a replica serves new requests.

    Attributes:
        release: Its release.
        since: From when on.
        until: Until when.
    """

    release: str
    since: float
    until: float = float("inf")


@dataclasses.dataclass
class Resumption:
    """A caller's attempt to resume a stream.

    Attributes:
        at: When it was sent.
        release: The release that began the stream.
        is_named: Whether it names the attempt that did.
        went_on: Whether events came.
    """

    at: float
    release: str
    is_named: bool
    went_on: bool


class ReleaseChanger:
    """Starts replicas of new releases and ends those of old ones.

    Args:
        started: The deployment.
        record: Takes what was done.

    Attributes:
        retire: Called with each replica that is about to end.
        serving: When each replica serves.
    """

    def __init__(self, started: node.Platform, record: verdict.Record) -> None:
        self.retire: Callable[[str], None] = lambda name: None
        self._platform = started
        self._record = record
        self._newest = len(set(FIRST_RELEASES))
        self.serving: dict[str, Serving] = {}

    def start_first(self, name: str, release: str) -> None:
        """Starts a replica of a first release."""
        resuming.start_release(self._platform, name, release)
        self.serving[name] = Serving(release, time.monotonic())

    def run(self, is_over: Callable[[], bool]) -> None:
        """Replaces the oldest release by a new one, again and again."""
        while not is_over():
            _wait(CHANGE_EVERY_S, is_over)
            if is_over():
                return
            self._newest += 1
            release = f"v{self._newest}"
            for number in range(COPIES):
                self.start_first(f"{release}-{number}", release)
            _wait(1.0, is_over)
            self._end_oldest(is_over)

    def _end_oldest(self, is_over: Callable[[], bool]) -> None:
        live = {
            name: each
            for name, each in self.serving.items()
            if each.until == float("inf")
        }
        oldest = min(live.values(), key=lambda each: int(each.release[1:]))
        ending = [
            name
            for name, each in live.items()
            if each.release == oldest.release
        ]
        for name in ending:
            self.retire(name)
            self._platform.write_record(name, "draining")
            self.serving[name].until = time.monotonic()
            leave = verdict.Leave(name, time.monotonic())
            self._record.leaves.append(leave)
        _wait(DRAIN_S, is_over)
        for name in ending:
            self._platform.processes[name].send_signal(signal.SIGKILL)
            self._platform.remove_record(name)

    def count_serving(self, release: str, at: float) -> int:
        """Returns how many replicas of a release served around a moment."""
        return sum(
            each.release == release
            and each.since + verdict.APPLY_S < at < each.until - 1.0
            for each in self.serving.values()
        )


class Resumer:
    """Callers that break streams off and resume them at other VMs.

    Args:
        started: The deployment.
        rng: Chooses VMs, moments and what is named.

    Attributes:
        streams: The streams.
        begun: When each new stream was asked for, and whether it began.
        resumptions: The attempts to resume.
    """

    def __init__(self, started: node.Platform, rng: random.Random) -> None:
        self._platform = started
        self._rng = rng
        self.streams: list[resuming.Stream] = []
        self.begun: list[tuple[float, bool]] = []
        self.resumptions: list[Resumption] = []

    @property
    def sent(self) -> set[str]:
        """The ids of all attempts."""
        return {
            attempt.request_id
            for stream in self.streams
            for attempt in stream.attempts
        }

    def run(self, is_over: Callable[[], bool]) -> None:
        """Begins streams and resumes them until the run is over."""
        vms = list(self._platform.vms)
        while not is_over():
            began_at = time.monotonic()
            until = self._rng.choice([1, 3, 6])
            first = resuming.attempt_stream(
                self._platform, self._rng.choice(vms), until
            )
            stream = resuming.Stream([first])
            self.streams.append(stream)
            self.begun.append((began_at, bool(first.events)))
            for _ in range(self._rng.randint(1, 2)):
                if not stream.events or stream.is_whole:
                    break
                time.sleep(self._rng.choice([0.0, 0.05, MAX_PAUSE_S]))
                self._resume(stream, self._rng.choice(vms))
            time.sleep(0.05)

    def _resume(self, stream: resuming.Stream, vm: str) -> None:
        until = self._rng.choice([None, stream.events[-1][0] + 1])
        is_named = self._rng.random() < 0.85
        named = {} if is_named else {"Resumes": self._rng.choice(["", "x"])}
        resumption = Resumption(
            time.monotonic(), stream.events[0][1], is_named, False
        )
        found = resuming.resume(self._platform, stream, vm, until, named)
        resumption.went_on = bool(found.events)
        self.resumptions.append(resumption)


def judge(
    resumers: list[Resumer],
    changer: ReleaseChanger,
    record: verdict.Record,
    is_calm: Callable[[float], bool],
) -> list[promise.Promise]:
    """Judges what callers who resumed saw, and all streams of the run.

    Args:
        resumers: The callers that resumed.
        changer: Knows which releases served.
        record: What other callers saw.
        is_calm: Returns whether no fault was near a moment.
    """
    unmixed = promise.Promise("a stream stays at the release that began it")
    for stream in itertools.chain(*(each.streams for each in resumers)):
        numbers = [number for number, _ in stream.events]
        in_order = numbers == list(range(1, len(numbers) + 1))
        unmixed.judge(len(stream.releases) <= 1 and in_order, f"{stream}")
    for ask in record.asks:
        releases = {line for _, line in resuming.parse_events(ask.body)}
        unmixed.judge(len(releases) <= 1, f"{ask}")
    goes_on = promise.Promise("resumed streams go on like new ones begin")
    resumed = [
        each.went_on
        for each in itertools.chain(*(r.resumptions for r in resumers))
        if each.is_named
        and is_calm(each.at)
        and changer.count_serving(each.release, each.at) >= COPIES
    ]
    begun = [
        began
        for resumer in resumers
        for at, began in resumer.begun
        if is_calm(at)
    ]
    if len(resumed) >= MIN_RESUMED and begun:
        share = sum(resumed) / len(resumed)
        wanted = MIN_RELATIVE_SHARE * sum(begun) / len(begun)
        goes_on.judge(
            share >= wanted,
            f"{sum(resumed)} of {len(resumed)} resumed, "
            f"{sum(begun)} of {len(begun)} begun",
        )
    return [unmixed, goes_on]


def _wait(seconds: float, is_over: Callable[[], bool]) -> None:
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at and not is_over():
        time.sleep(0.05)

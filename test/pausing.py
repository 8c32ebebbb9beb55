"""Backend servers that pause during a soak, and callers of their long streams.

A server that pauses sends nothing for a while and then goes on.  No answer may
end because of that, and callers that leave meanwhile must hold no place.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import http.client
import itertools
import random
import re
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from bench import promise
from test import harm, node, silent_load, verdict

PAUSE_S = (0.5, 4.0)
"""Shortest and longest pause, in seconds."""

INTERVAL_S = (0.3, 5.0)
"""Shortest and longest time from the beginning of a pause to the next one's, in
seconds; shorter than many pauses, so that they overlap."""

TICK_S = 0.1
"""How often the rest of each pause is set, and ended servers are looked for, in
seconds."""

SERVERS = 5
"""Servers of a run: the long streams of three VMs hold twelve places beside
those of the other callers, and a server has four."""

EVENTS, EVENT_S = 30, 0.05
"""Events of a stream, and the seconds between two of them.  With 20 of 0.12 s
owners refused seven of ten requests and nearly all hedges."""

PATIENCE_S = 2.0
"""Silence after which an impatient caller leaves, in seconds."""

SLOW_READ_S = 0.25
"""Pause of a slow reader after each part that it reads, in seconds."""

RELEASE_S = 0.5
"""Time within which a server gets its place back, in seconds."""

HELD_LOOKS = 10
"""Further looks, each after ``RELEASE_S``, at a place that is still held."""

GRACE_S = 7.5
"""Time for which a stopped VM goes on with its answers, in seconds: ``graceS``
of ``node.Platform`` without ``exit_margin_s``, before whose end it exits."""

LATE_S = 1.0
"""Time after the time limit in which an answer must have ended, in seconds.
Callers that wait that long leave after a silence of twice as much."""

MARGIN_S = 0.3
"""Accuracy with which moments of different programs are compared, in seconds:
answers are read and ends of servers are seen that much later."""

RESUME_S = 0.5
"""Time after the end of a suspension or a link fault in which a VM still works
off what arrived meanwhile, in seconds."""

_LASTING = frozenset({"cut", "cut_answers"})
_MOMENTARY = frozenset({"reset", "silence"})
_EVENT_ID = re.compile(rb"id: (\d+)\n")
_NUMBERS = itertools.count(1)


def make_config(version: int) -> dict[str, Any]:
    """Returns a configuration whose routes allow for pauses."""
    return silent_load.make_config(version)


class PausingHarm(harm.Harm):
    """Faults of a soak beside which servers pause.

    The faults of a server are always set together, so a pause is added to those
    that it has, and those that are set later are added to its pause.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._lock = threading.Lock()
        self._faults: dict[str, dict[str, Any]] = {}
        self._work: dict[str, dict[str, Any]] = {}

    def set_pause(self, name: str, left_s: float | None) -> None:
        """Sets how long what a server begins now takes; None ends its pause."""
        with (
            self._lock,
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            # A server that is just being killed is not reached.
            self._work[name] = {} if left_s is None else {"work_s": left_s}
            self._set_all(name)

    def _draw_fault(self) -> harm.Draw:
        """Draws a fault whose beginning is recorded when it is brought about.

        The base class notes it before it ends former faults, and may then wait
        for seconds until a stopped VM has ended.
        """
        name, begin, end = super()._draw_fault()

        def begin_now() -> None:
            self._record.faults[-1].began = time.monotonic()
            begin()

        return name, begin_now, end

    def _set_faults(self, name: str, **faults: bool) -> None:
        with self._lock:
            self._faults[name] = faults
            self._set_all(name)

    def _set_all(self, name: str) -> None:
        faults = {**self._faults.get(name, {}), **self._work.get(name, {})}
        super()._set_faults(name, **faults)


class ServerPauser:
    """Makes one, several or all servers pause, again and again.

    Args:
        started: The deployment.
        faults: Sets the faults of servers.
        rng: Chooses servers and durations.
        record: Takes what was done.
        work_s: Seconds between two events of a server that does not pause.

    Attributes:
        ends: Name of each server that ended, and when that was seen.
    """

    def __init__(
        self,
        started: node.Platform,
        faults: PausingHarm,
        rng: random.Random,
        record: verdict.Record,
        work_s: float,
    ) -> None:
        self._platform = started
        self._harm = faults
        self._rng = rng
        self._record = record
        self._work_s = work_s
        self._until: dict[str, float] = {}
        self.ends: list[tuple[str, float]] = []
        self._stopped = threading.Event()
        self._watcher = threading.Thread(target=self._watch)

    def __enter__(self) -> ServerPauser:
        self._watcher.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._watcher.join()

    def run(self, is_over: Callable[[], bool]) -> None:
        """Begins and ends pauses until the run is over."""
        next_at = time.monotonic()
        while not is_over():
            now = time.monotonic()
            if now >= next_at:
                self._begin(now)
                next_at = now + self._rng.uniform(*INTERVAL_S)
            self._update(now)
            time.sleep(TICK_S)
        for name in self._until:
            self._harm.set_pause(name, None)

    def _watch(self) -> None:
        """Records when servers end, until all callers are done.

        Servers of old releases are also ended when the run is over, while
        callers still read.
        """
        seen: dict[str, int] = {}
        while not self._stopped.wait(TICK_S / 2):
            for name in sorted(self._platform.replicas):
                process = self._platform.processes.get(name)
                if process is None:
                    continue
                alive = 0 if process.poll() is not None else process.pid
                if alive != seen.get(name, alive) and seen[name]:
                    self.ends.append((name, time.monotonic()))
                seen[name] = alive

    def _begin(self, now: float) -> None:
        names = sorted(self._platform.replicas)
        several = self._rng.randint(1, len(names))
        count = self._rng.choice([1, 1, several, len(names)])
        until = now + self._rng.uniform(*PAUSE_S)
        chosen = self._rng.sample(names, count)
        for name in chosen:
            self._until[name] = max(until, self._until.get(name, 0.0))
        shown = "all" if count == len(names) else " ".join(sorted(chosen))
        fault = verdict.Fault(f"server pause {shown}", now, until)
        self._record.pauses.append(fault)

    def _update(self, now: float) -> None:
        for name, until in list(self._until.items()):
            left_s = until - now
            if left_s <= self._work_s:
                del self._until[name]
            self._harm.set_pause(name, left_s if name in self._until else None)


@dataclasses.dataclass
class TimedReading(silent_load.Reading):
    """A reading and its moments.

    Attributes:
        sent_at: When the request was sent.
        ended_at: When the answer ended or the caller left.
        held: Servers that still held a place for a caller that had left, each
            with the seconds until it was free; infinity if that was not seen.
        is_looked_at: Whether servers were asked for such places in time.
    """

    sent_at: float = 0.0
    ended_at: float = 0.0
    held: dict[str, float] = dataclasses.field(default_factory=dict)
    is_looked_at: bool = False


@dataclasses.dataclass(frozen=True)
class Manner:
    """How a caller reads.

    Attributes:
        paths: What it asks for, in turn.
        patience_s: Silence after which it leaves, in seconds.
        pace_s: Pause after each part that it reads, in seconds.
        keeps_connection: Whether it asks again on the same connection.
    """

    paths: tuple[str, ...]
    patience_s: float = silent_load.TIME_LIMIT_MS / 1000 + 2
    pace_s: float = 0.0
    keeps_connection: bool = False


RESUMABLE, ONCE = "/stream/", "/stream-once/"
MANNERS = (
    Manner((RESUMABLE,), keeps_connection=True),
    Manner((ONCE,), keeps_connection=True),
    Manner((ONCE, RESUMABLE), patience_s=PATIENCE_S),
    Manner((RESUMABLE,), patience_s=PATIENCE_S, keeps_connection=True),
    Manner((RESUMABLE, ONCE), pace_s=SLOW_READ_S),
)


class StreamCaller:
    """A caller that asks one VM for streams again and again.

    Args:
        started: The deployment.
        vm: The VM.
        manner: How it reads.

    Attributes:
        readings: What it asked for.
    """

    def __init__(self, started: node.Platform, vm: str, manner: Manner) -> None:
        self._platform = started
        self._vm = vm
        self._manner = manner
        self._connection: http.client.HTTPConnection | None = None
        self.readings: list[TimedReading] = []

    def run(self, is_over: Callable[[], bool]) -> None:
        """Asks until the run is over."""
        for path in itertools.cycle(self._manner.paths):
            if is_over():
                break
            reading = self._ask(path)
            self.readings.append(reading)
            if reading.has_left:
                self._look_for_places(reading)
            time.sleep(0.05 if reading.is_whole else 0.2)
        self._close()

    def _ask(self, path: str) -> TimedReading:
        reading = TimedReading(f"pausing-{next(_NUMBERS)}", self._vm)
        if self._connection is None:
            host, port = self._platform.vms[self._vm]["front"].split(":")
            self._connection = http.client.HTTPConnection(
                host, int(port), timeout=self._manner.patience_s
            )
        reading.sent_at = time.monotonic()
        response = None
        try:
            response = self._send(self._connection, reading.request_id, path)
            reading.status = response.status
            self._read(response, reading)
        except TimeoutError:
            reading.has_left = True
        except (OSError, http.client.HTTPException):
            pass
        if response is not None and not reading.is_whole:
            response.close()
        if not (reading.is_whole and self._manner.keeps_connection):
            self._close()
        reading.ended_at = time.monotonic()
        reading.took_s = reading.ended_at - reading.sent_at
        return reading

    def _send(
        self, connection: http.client.HTTPConnection, name: str, path: str
    ) -> http.client.HTTPResponse:
        headers = {
            "Host": node.HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(silent_load.TIME_LIMIT_MS),
            "Authorization": f"Bearer {node.KEY}",
        }
        connection.request("POST", path, name.encode(), headers)
        return connection.getresponse()

    def _read(
        self, response: http.client.HTTPResponse, reading: TimedReading
    ) -> None:
        body = b""
        length = response.length
        while part := response.read1():
            body += part
            reading.ids = [int(found[1]) for found in _EVENT_ID.finditer(body)]
            time.sleep(self._manner.pace_s)
        is_complete = length is None or len(body) == length
        reading.is_whole = reading.status == http.HTTPStatus.OK and is_complete

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _look_for_places(self, reading: TimedReading) -> None:
        """Asks servers whether they still work for a caller that has left."""
        time.sleep(RELEASE_S)
        held = self._list_holding(reading.request_id)
        reading.is_looked_at = True
        reading.held = dict.fromkeys(held, float("inf"))
        for _ in range(HELD_LOOKS):
            if not held:
                return
            time.sleep(RELEASE_S)
            still = self._list_holding(reading.request_id)
            passed_s = time.monotonic() - reading.ended_at
            reading.held.update(dict.fromkeys(held - still, passed_s))
            held &= still

    def _list_holding(self, request_id: str) -> set[str]:
        holding = set()
        for name in sorted(self._platform.replicas):
            with contextlib.suppress(OSError, http.client.HTTPException):
                if request_id in self._platform.read_ledger(name)["working"]:
                    holding.add(name)
        return holding


class Explanation:
    """Finds out whether a fault of the soak explains what a caller saw.

    Args:
        started: The deployment.
        record: The faults that were brought about.
        ends: Name of each server that ended, and when that was seen.
    """

    def __init__(
        self,
        started: node.Platform,
        record: verdict.Record,
        ends: list[tuple[str, float]],
    ) -> None:
        self._faults = record.faults
        self._ends = ends
        self.arrivals: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        for name in started.replicas:
            self._read_runs(name, started.read_log(name))
        self._overtaken = {
            pair
            for vm in started.vms
            for pair in _iterate_overtaken(started.read_log(vm))
        }

    def _read_runs(self, name: str, lines: list[dict[str, Any]]) -> None:
        arrived = {}
        for line in lines:
            if line["message"] == "arrived":
                arrived[line["request_id"]] = line["at"]
            elif line["message"] == "running":
                request_id = line["request_id"]
                self.arrivals[request_id].setdefault(name, arrived[request_id])

    def has_run(self, reading: TimedReading) -> bool:
        """Returns whether any server ran a request."""
        return bool(self.arrivals.get(reading.request_id))

    def list_at_work(self, reading: TimedReading) -> list[str]:
        """Returns the servers at work on an answer that nothing explains.

        Empty if the request ran nowhere, the time limit was over, the VM was
        lost, or each of its servers was: harmed, restarted or overtaken.
        """
        limit_s = silent_load.TIME_LIMIT_MS / 1000
        if reading.took_s > limit_s - MARGIN_S or self._is_vm_lost(reading):
            return []
        return [
            name
            for name, at in self.arrivals[reading.request_id].items()
            if not self._is_server_lost(name, at, reading)
            and (reading.request_id, name) not in self._overtaken
        ]

    def may_hold(self, reading: TimedReading, name: str) -> bool:
        """Returns whether a fault explains that a place was held too long."""
        since, until = reading.ended_at, reading.ended_at + RELEASE_S
        at = self.arrivals[reading.request_id].get(name, reading.sent_at)
        return (
            self._is_suspended(reading.vm, since, until, f"delay {name}")
            or self._is_vm_lost(reading)
            or self._is_server_lost(name, at, reading, until)
        )

    def may_be_late(self, reading: TimedReading) -> bool:
        """Returns whether a fault explains that an answer had no end."""
        since, until = reading.sent_at, reading.ended_at
        return self._is_suspended(reading.vm, since, until) or self._is_vm_lost(
            reading
        )

    def _is_suspended(
        self, vm: str, since: float, until: float, *further: str
    ) -> bool:
        """Returns whether a VM or its links were suspended at some time."""
        return any(
            fault.began < until and fault.ended + RESUME_S > since
            for fault in self._faults
            if fault.name in (f"pause {vm}", *further)
            or _is_partition(fault, vm)
        )

    def _is_vm_lost(self, reading: TimedReading) -> bool:
        """Returns whether the VM was killed, or had no time left to stop."""
        for fault in self._faults:
            if fault.began > reading.ended_at + MARGIN_S:
                continue
            if fault.name == f"kill {reading.vm}" or "of all VMs" in fault.name:
                if fault.ended > reading.sent_at:
                    return True
            elif fault.name == f"stop {reading.vm}":
                over_at = fault.began + GRACE_S - MARGIN_S
                if fault.ended > reading.sent_at and over_at < reading.ended_at:
                    return True
        return False

    def _is_server_lost(
        self,
        name: str,
        since: float,
        reading: TimedReading,
        until: float | None = None,
    ) -> bool:
        """Returns whether a server ended or its link to the VM was harmed."""
        until = (reading.ended_at if until is None else until) + MARGIN_S
        if any(
            ended == name and since < at < until for ended, at in self._ends
        ):
            return True
        for fault in self._faults:
            kind, _, target = fault.name.partition(" ")
            ended = fault.ended
            if kind in _MOMENTARY and target == name:
                ended = fault.began + MARGIN_S
            elif not (
                (kind in _LASTING and target == name)
                or _is_partition(fault, reading.vm)
            ):
                continue
            if fault.began < until and since < ended + MARGIN_S:
                return True
        return False


def _is_partition(fault: verdict.Fault, vm: str) -> bool:
    words = fault.name.split()
    return words[0] == "partition" and vm in words


def _iterate_overtaken(
    lines: list[dict[str, Any]],
) -> Iterator[tuple[str, str]]:
    """Yields request and server of each attempt that another one overtook."""
    servers: dict[tuple[str, str], str] = {}
    for line in lines:
        event: Mapping[str, Any] = line.get("event") or {}
        attempt = (event.get("subject", ""), event.get("hedge", ""))
        if event.get("kind") == "dispatch":
            servers[attempt] = event["backend"]
        # One that ended for itself has a reason.
        is_overtaken = not event.get("reason")
        is_ended = event.get("kind") == "attempt_ended"
        if is_ended and is_overtaken and attempt in servers:
            yield attempt[0], servers[attempt]


def judge(
    readings: list[TimedReading],
    explanation: Explanation,
    events: int,
    event_s: float,
) -> list[promise.Promise]:
    """Judges what callers of streams saw while servers paused.

    Args:
        readings: What they saw.
        explanation: Knows the faults of the run.
        events: Events of a whole stream.
        event_s: Seconds between two of them.
    """
    unended = promise.Promise("no answer ends while its server is at work")
    released = promise.Promise("a server gets its places back at once")
    in_time = promise.Promise("an answer ends at its time limit")
    limit_s = silent_load.TIME_LIMIT_MS / 1000 + LATE_S
    for reading in readings:
        is_late = reading.has_left and reading.took_s > limit_s
        is_right = not is_late or explanation.may_be_late(reading)
        in_time.judge(is_right, f"{reading}")
        if reading.is_whole:
            is_right = reading.is_in_order and len(reading.ids) == events
            unended.judge(is_right, f"{reading}")
        elif not reading.has_left and explanation.has_run(reading):
            # A refusal ends an answer too if a server was at work on it.
            at_work = explanation.list_at_work(reading)
            unended.judge(not at_work, f"{at_work} {reading}")
        # A stream that could have ended since needs no notice of its caller.
        left_s = (events - len(reading.ids)) * event_s
        if reading.is_looked_at and left_s > RELEASE_S + MARGIN_S:
            held = {
                name: passed_s
                for name, passed_s in reading.held.items()
                if not explanation.may_hold(reading, name)
            }
            released.judge(not held, f"{held} {reading}")
    return [unended, released, in_time]

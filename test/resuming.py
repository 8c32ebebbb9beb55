"""Callers that break off streams and resume them at other VMs."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import itertools
import re
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
from pathlib import Path

from test import node
from test.test_node import ask, make_headers, wait_until

EVENTS = 8
EVENT_S = 0.05
"""Seconds between two events of a stream."""

BREAK_AFTER = 3
"""Number of events after which callers break streams off."""

RELEASES = ("v1", "v2")
PATH = "/stream/"
PATIENCE_S = 8.0

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ (\S+)\n\n")
_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """One attempt of a caller to get a stream, or the rest of it.

    Attributes:
        request_id: Its id.
        status: Status of the answer; 0 if the VM gave none.
        events: Number and release of each event that arrived.
        is_whole: Whether the answer arrived up to its end.
        body: The body of a refusal.
        retry_after_s: What a refusal advises, in seconds; 0 for nothing.
    """

    request_id: str
    status: int = 0
    events: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    is_whole: bool = False
    body: bytes = b""
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Stream:
    """A stream as its caller holds it together, over all attempts."""

    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and release of all events that arrived."""
        return [event for each in self.attempts for event in each.events]

    @property
    def releases(self) -> set[str]:
        """The releases that wrote the stream."""
        return {release for _, release in self.events}

    @property
    def is_whole(self) -> bool:
        """Whether each event has arrived, once and in order."""
        return [number for number, _ in self.events] == list(
            range(1, EVENTS + 1)
        )

    @property
    def first(self) -> Attempt:
        """The attempt that brought the first event."""
        return next(each for each in self.attempts if each.events)


def attempt_stream(
    started: node.Platform,
    vm: str,
    until: int | None = None,
    path: str = PATH,
    headers: dict[str, str] | None = None,
    on_break: Callable[[], None] | None = None,
) -> Attempt:
    """Asks a VM for a stream, or for the rest of one.

    Args:
        started: The deployment.
        vm: The VM.
        until: Number of the event after which the caller breaks off; None to
            read the answer to its end.
        path: What is asked.
        headers: Further headers.
        on_break: Called before the connection is closed after ``until``.
    """
    request_id = f"stream-{next(_NUMBERS)}"
    found = Attempt(request_id)
    host, port = started.vms[vm]["front"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
    deadline_ms = str(int(PATIENCE_S * 1000))
    sent = make_headers(X_Request_Id=request_id, X_Deadline_Ms=deadline_ms)
    try:
        connection.request("POST", path, b"x", {**sent, **(headers or {})})
        response = connection.getresponse()
        found.status = response.status
        if response.status != http.HTTPStatus.OK:
            found.body = response.read()
            advised = response.headers.get("Retry-After", "0")
            found.retry_after_s = float(advised)
            return found
        received = b""
        while data := response.read1(65536):
            received += data
            found.events = parse_events(received)
            if until and found.events and found.events[-1][0] >= until:
                if on_break is not None:
                    on_break()
                return found
        found.is_whole = True
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return found


def parse_events(received: bytes) -> list[tuple[int, str]]:
    """Returns number and release of each event of an answer."""
    return [
        (int(number), release.decode())
        for number, release in _EVENT.findall(received)
    ]


def resume(
    started: node.Platform,
    stream: Stream,
    vm: str,
    until: int | None = None,
    headers: dict[str, str] | None = None,
) -> Attempt:
    """Resumes a stream after its last event, and adds the attempt to it."""
    named = {
        "Last-Event-Id": str(stream.events[-1][0]),
        "Resumes": stream.first.request_id,
        **(headers or {}),
    }
    found = attempt_stream(started, vm, until, headers=named)
    stream.attempts.append(found)
    return found


def run_together(calls: Iterable[Callable[[], Stream]]) -> list[Stream]:
    """Runs calls at the same time and returns their streams."""
    listed = list(calls)
    with futures.ThreadPoolExecutor(len(listed)) as pool:
        return [each.result() for each in [pool.submit(c) for c in listed]]


def list_mixed(streams: Iterable[Stream]) -> list[Stream]:
    """Returns the streams that hold events of several releases."""
    return [stream for stream in streams if len(stream.releases) > 1]


def count_whole(streams: Iterable[Stream]) -> int:
    """Returns how many streams arrived whole."""
    return sum(stream.is_whole for stream in streams)


@contextlib.contextmanager
def run_releases(
    releases: Iterable[str] = RELEASES, vms: int = 4, copies: int = 2
) -> Iterator[node.Platform]:
    """Runs VMs and replicas of several releases in two availability zones.

    Args:
        releases: The releases.
        vms: How many VMs.
        copies: How many replicas of each release.
    """
    zones = itertools.cycle(("waw-a", "waw-b"))
    with tempfile.TemporaryDirectory() as name:
        started = node.Platform(Path(name))
        try:
            started.start_store()
            started.set_config(node.make_config(1))
            for release in releases:
                for number in range(copies):
                    start_release(started, f"{release}-{number}", release)
            for number, zone in zip(range(vms), zones, strict=False):
                started.start_vm(f"vm-{number}", zone=zone)
            for vm in started.vms:
                wait_until(
                    lambda vm=vm: ask(started, "/safe/", vm=vm).status == 200  # type: ignore[misc]
                )
            yield started
        finally:
            started.stop_all()


def start_release(started: node.Platform, name: str, release: str) -> None:
    """Starts a replica of a release; its name's last digit gives the zone."""
    started.start_replica(
        name,
        release,
        ("waw-a", "waw-b")[int(name[-1]) % 2],
        events=EVENTS,
        work_s=EVENT_S,
        release=release,
    )


def pause(seconds: float) -> Callable[[], None]:
    """Returns a call that waits."""
    return lambda: time.sleep(seconds)

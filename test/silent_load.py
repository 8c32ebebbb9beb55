"""Callers of streams whose servers stop sending for a while and go on."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import http.client
import itertools
import json
import pathlib
import re
import threading
import time
from collections.abc import Callable, Collection, Iterable, Iterator
from concurrent import futures
from typing import Any, Protocol, TypeVar

from test import callers, node
from test.test_node import ask, make_headers, wait_until

EVENTS = 12
EVENT_S = 0.3
"""Seconds between two events of a stream."""

TIME_LIMIT_MS = 12_000
SERVERS, VMS = 4, 4
CALLERS_PER_VM = 3

AFTER_REFUSAL_S = 0.2
"""Pause of a caller after an answer that was not whole, in seconds."""

ZONES = ("waw-a", "waw-b")

START_POLL_S = 0.005
"""How often a program that is being started is looked for, in seconds."""

_EVENT_ID = re.compile(rb"id: (\d+)\n")
_NUMBERS = itertools.count(1)

PlatformT = TypeVar("PlatformT", bound=node.Platform)


class Request(Protocol):
    """A request that a caller sent."""

    @property
    def request_id(self) -> str:
        """Its id."""


@dataclasses.dataclass
class Reading:
    """A request and what its caller has read of the answer.

    Attributes:
        request_id: Its id.
        vm: The VM that was asked.
        status: Status of the answer; 0 if there was none.
        ids: Ids of the events, in the order of their arrival.
        is_whole: Whether the answer arrived up to its end.
        has_left: Whether the caller left because nothing arrived.
        took_s: Seconds from the request to the end of the answer.
    """

    request_id: str
    vm: str
    status: int = 0
    ids: list[int] = dataclasses.field(default_factory=list)
    is_whole: bool = False
    has_left: bool = False
    took_s: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether the VM ended it without an answer or a refusal."""
        is_refused = self.status in (429, 503)
        return not (self.is_whole or self.has_left or is_refused)

    @property
    def is_in_order(self) -> bool:
        """Whether each event arrived once, in order."""
        return self.ids == list(range(1, len(self.ids) + 1))


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with a long time limit on all routes.

    Args:
        version: Its version.
        changes: Fields of the routes that differ.
    """
    config = node.make_config(version)
    return {
        **config,
        "routes": [
            {**route, "timeoutMs": TIME_LIMIT_MS, **changes}
            for route in config["routes"]
        ],
    }


def run_streaming(
    vms: int = VMS,
    servers: int = SERVERS,
    bounds: dict[str, float] | None = None,
) -> contextlib.AbstractContextManager[node.Platform]:
    """Runs VMs and slow servers in two zones."""
    return run_made(node.Platform, vms, servers, bounds)


@contextlib.contextmanager
def run_made(
    make: Callable[[pathlib.Path], PlatformT],
    vms: int = VMS,
    servers: int = SERVERS,
    bounds: dict[str, float] | None = None,
) -> Iterator[PlatformT]:
    """Runs VMs and slow servers in two zones.

    Args:
        make: Makes the deployment in a folder.
        vms: How many VMs.
        servers: How many servers.
        bounds: Bounds of the VMs' settings that differ from the usual ones.
    """
    with node.make_folder() as folder:
        started = make(folder)
        started.bounds.update(bounds or {})
        try:
            started.start_store()
            started.set_config(make_config(1))
            _start_together(started, _start_server, "i", servers)
            _start_together(started, _start_vm, "vm", vms)
            # Each answer takes as long as an event.
            with futures.ThreadPoolExecutor(vms) as pool:
                checks = (
                    functools.partial(_is_serving, started, vm)
                    for vm in started.vms
                )
                list(pool.map(wait_until, checks))
            yield started
        finally:
            started.stop_all()


def _start_together(
    started: PlatformT,
    start: Callable[[PlatformT, str, str], None],
    kind: str,
    count: int,
) -> None:
    """Starts servers or VMs, each while those before it come up."""
    with futures.ThreadPoolExecutor(count) as pool:
        starts = []
        for number in range(count):
            name = f"{kind}-{number}"
            job = pool.submit(start, started, name, ZONES[number % 2])
            starts.append(job)
            # A VM is told of those before it.
            while name not in started.processes and not job.done():
                time.sleep(START_POLL_S)
        for job in starts:
            job.result()


def _start_server(started: node.Platform, name: str, zone: str) -> None:
    started.start_replica(name, zone=zone, events=EVENTS, work_s=EVENT_S)
    started.write_record(name, born=1, zone=zone)


def _start_vm(started: node.Platform, name: str, zone: str) -> None:
    started.start_vm(name, zone=zone)


def _is_serving(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200


def read_answer(
    started: node.Platform,
    path: str,
    vm: str,
    patience_s: float = TIME_LIMIT_MS / 1000,
    until: int | None = None,
    headers: dict[str, str] | None = None,
) -> Reading:
    """Sends a request and reads its answer.

    Args:
        started: The deployment.
        path: What is asked.
        vm: The VM that is asked.
        patience_s: Silence after which the caller leaves, in seconds.
        until: Id of the event after which the caller leaves; None for none.
        headers: Further headers.
    """
    reading = Reading(f"silent-{next(_NUMBERS)}", vm)
    host, port = started.vms[vm]["front"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=patience_s)
    sent = make_headers(
        X_Request_Id=reading.request_id,
        X_Deadline_Ms=str(TIME_LIMIT_MS),
        **(headers or {}),
    )
    began_at = time.monotonic()
    try:
        connection.request("POST", path, b"x", sent)
        response = connection.getresponse()
        reading.status = response.status
        length = response.length
        body = b""
        while part := response.read1():
            body += part
            reading.ids = [int(found[1]) for found in _EVENT_ID.finditer(body)]
            if until is not None and until in reading.ids:
                reading.has_left = True
                return reading
        is_complete = length is None or len(body) == length
        reading.is_whole = reading.status == 200 and is_complete
    except TimeoutError:
        reading.has_left = True
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    reading.took_s = time.monotonic() - began_at
    return reading


@contextlib.contextmanager
def read_together(
    started: node.Platform,
    paths: Iterable[str],
    vms: Iterable[str],
    per_vm: int = 2,
    **options: Any,
) -> Iterator[list[futures.Future[Reading]]]:
    """Asks each path of each VM, and waits for all answers at the end.

    Args:
        started: The deployment.
        paths: What is asked.
        vms: The VMs that are asked.
        per_vm: Requests of each path to each VM.
        options: Passed on to ``read_answer``.
    """
    asked = [*itertools.product(paths, vms)] * per_vm
    with futures.ThreadPoolExecutor(len(asked)) as pool:
        yield [
            pool.submit(read_answer, started, path, vm, **options)
            for path, vm in asked
        ]


def list_events(
    started: node.Platform, kind: str, vms: Iterable[str] | None = None
) -> list[dict[str, Any]]:
    """Returns the events of a kind that VMs logged."""
    return [
        event
        for vm in (started.vms if vms is None else vms)
        for line in started.read_log(vm)
        if (event := line.get("event")) and event["kind"] == kind
    ]


def list_run_ids(started: node.Platform) -> set[str]:
    """Returns the ids of the requests that any run of a server began."""
    return {
        line["request_id"]
        for name in started.replicas
        for line in started.read_log(name)
        if line["message"] == "running"
    }


def explain(started: node.Platform, requests: Iterable[Request]) -> str:
    """Returns what VMs logged of requests and their attempts, line by line."""
    names = {request.request_id for request in requests}
    lines = (
        json.dumps(event)
        for vm in started.vms
        for line in started.read_log(vm)
        if (event := line.get("event"))
        and str(event.get("subject")).partition("~")[0] in names
    )
    return "\n".join(lines)


class StreamCallers(callers.RepeatingCallers[Reading]):
    """Callers that ask all VMs again and again until they are stopped.

    Args:
        started: The deployment.
        path: What is asked.
        per_vm: Callers of each VM.

    Attributes:
        path: As given.
    """

    def __init__(
        self, started: node.Platform, path: str, per_vm: int = CALLERS_PER_VM
    ) -> None:
        super().__init__(started, per_vm)
        self._started = started
        self.path = path

    @property
    def readings(self) -> list[Reading]:
        """What was asked, caller by caller."""
        return list(itertools.chain.from_iterable(self.by_caller))

    def _ask(self, vm: str) -> Reading:
        return read_answer(self._started, self.path, vm)

    def _get_pause_s(self, answer: Reading) -> float:
        return 0.0 if answer.is_whole else AFTER_REFUSAL_S


@contextlib.contextmanager
def pause_servers(
    started: node.Platform,
    names: Collection[str],
    work_s: float,
    then_s: float = EVENT_S,
) -> Iterator[None]:
    """Makes servers take longer for each event that they begin meanwhile.

    Args:
        started: The deployment.
        names: The servers.
        work_s: Seconds that such an event takes.
        then_s: Seconds that each event takes that they begin later.
    """
    for name in names:
        started.set_faults(name, work_s=work_s)
    try:
        yield
    finally:
        for name in names:
            started.set_faults(name, work_s=then_s)


@contextlib.contextmanager
def repeat(interval_s: float, act: Callable[[], None]) -> Iterator[None]:
    """Acts in a thread of its own, at regular intervals."""
    over = threading.Event()

    def run() -> None:
        while not over.wait(interval_s):
            act()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        over.set()
        thread.join()


def change_configuration(
    started: node.Platform, interval_s: float, first: int = 2
) -> contextlib.AbstractContextManager[None]:
    """Sends a new configuration at regular intervals."""
    versions = itertools.count(first)

    def change() -> None:
        version = next(versions)
        started.set_config(
            make_config(version, targetLatencyMs=500 + version % 2)
        )

    return repeat(interval_s, change)

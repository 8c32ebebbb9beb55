"""Callers of a deployment whose requests share parts of their prompts."""

from __future__ import annotations

import dataclasses
import http.client
import itertools
import threading
import time
from collections.abc import Callable, Collection, Iterable, Iterator
from concurrent import futures

from bench import promise
from test import node
from test.test_node import make_headers

COMMON = "c0:300"
"""The first part of all sound requests."""

SOUND_PATH = "/stream/"
SOUND_PAUSE_S = 0.02
"""Pause of a caller between two sound requests, in seconds."""

PAUSE_S = 0.3
"""Pause between two requests with a crashing part, in seconds."""

KNOWN_AFTER_S = 3.0
"""Time after the fifth crash from which requests with the part are late, in
seconds."""

MAX_LATE = 3
"""Late requests that may reach replicas."""

MIN_CRASHES = 3
FIFTH_CRASH = 5

_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request as its caller saw it.

    Attributes:
        request_id: Its id.
        sent_at: When it was sent, in seconds of the monotonic clock.
        status: Status of the answer; 0 if there was none.
        body: The body of the answer.
        is_whole: Whether the answer arrived up to its end.
    """

    request_id: str
    sent_at: float
    status: int
    body: bytes
    is_whole: bool

    @property
    def is_served(self) -> bool:
        """Whether it was answered whole with success."""
        return self.status == 200 and self.is_whole


def send(
    started: node.Platform, vm: str, path: str, parts: str, name: str
) -> Sent:
    """Sends a request with a body and a last part of its own."""
    number = next(_NUMBERS)
    request_id = f"{name}-{number}"
    headers = make_headers(
        X_Request_Id=request_id,
        X_Model="m",
        X_Token_Count="370,10",
        X_Prompt_Prefix=f"{parts},{number:08x}:20",
    )
    sent_at = time.monotonic()
    front = started.vms[vm]["front"]
    try:
        answer = node.call(front, "POST", path, str(number).encode(), headers)
    except (OSError, http.client.HTTPException):
        return Sent(request_id, sent_at, 0, b"", False)
    return Sent(request_id, sent_at, answer.status, answer.body, answer.whole)


class CallerGroup:
    """Callers that each send one request after the other until stopped.

    Args:
        started: The deployment.
        count: Number of callers.
        parts: The shared parts of their requests.
    """

    def __init__(
        self, started: node.Platform, count: int, parts: str = COMMON
    ) -> None:
        self._started = started
        self._parts = parts
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(count)
        ]
        self.sent: list[Sent] = []

    def __enter__(self) -> CallerGroup:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        vms = itertools.cycle(self._started.vms)
        for vm in itertools.islice(vms, number, None):
            if self._over.wait(SOUND_PAUSE_S):
                return
            self.sent.append(
                send(self._started, vm, SOUND_PATH, self._parts, "sound")
            )

    def get_served_part(self, since: float, until: float) -> float:
        """Returns the part of the requests sent in a span that were served."""
        served = [
            each.is_served
            for each in self.sent
            if since <= each.sent_at < until
        ]
        assert len(served) >= 20, "too few requests"
        return sum(served) / len(served)


def send_steadily(
    started: node.Platform,
    requests: Iterable[tuple[str, str]],
    interval_s: float,
    is_over: Callable[[], bool],
) -> list[Sent]:
    """Sends requests at a fixed rate to one VM after the other.

    Args:
        started: The deployment.
        requests: Path and parts of each request.
        interval_s: Time between two requests, in seconds.
        is_over: Returns whether to stop.
    """
    with futures.ThreadPoolExecutor(64) as pool:
        sent = [
            pool.submit(send, started, vm, path, parts, "crashing")
            for vm, (path, parts) in zip(
                itertools.cycle(started.vms),
                _pace(requests, interval_s, is_over),
                strict=False,
            )
        ]
        return [each.result() for each in sent]


def _pace(
    requests: Iterable[tuple[str, str]],
    interval_s: float,
    is_over: Callable[[], bool],
) -> Iterator[tuple[str, str]]:
    due_at = time.monotonic()
    for request in requests:
        due_at += interval_s
        time.sleep(max(0.0, due_at - time.monotonic()))
        if is_over():
            return
        yield request


class CrashingPartSender:
    """Sends different requests with a part that crashes replicas.

    Args:
        started: The deployment.
        vms: The VMs that get the requests, one after the other.
    """

    PART = "bad0"
    NAME = "bad"

    def __init__(self, started: node.Platform, vms: Iterable[str]) -> None:
        self._started = started
        self._vms = itertools.cycle(vms)
        self.sent: list[Sent] = []

    def run(self, is_over: Callable[[], bool]) -> None:
        """Sends requests until ``is_over`` is true."""
        parts = itertools.cycle(
            (
                f"{COMMON},{self.PART}:50",
                f"{self.PART}:50",
                f"c1:9,{self.PART}:5",
            )
        )
        paths = itertools.cycle(("/stream/", "/safe/"))
        for vm, path in zip(self._vms, paths, strict=False):
            if is_over():
                return
            self.sent.append(
                send(self._started, vm, path, next(parts), self.NAME)
            )
            time.sleep(PAUSE_S)

    def judge(
        self,
        arrivals: Collection[tuple[str, float]],
        is_calm: Callable[[float], bool],
    ) -> promise.Promise:
        """Checks that replicas stopped receiving the part in time.

        Args:
            arrivals: Id and time of each request that arrived at a replica, in
                seconds of the monotonic clock; with an entry for each attempt.
            is_calm: Returns whether all VMs were connected at a given time.
        """
        kept = promise.Promise("a part that ends what runs it is soon blocked")
        crashes = sorted(
            at for name, at in arrivals if name.startswith(f"{self.NAME}-")
        )
        if len(crashes) < MIN_CRASHES:
            return kept
        known_at = crashes[:FIFTH_CRASH][-1] + KNOWN_AFTER_S
        late = [
            each
            for each in self.sent
            if each.sent_at > known_at and is_calm(each.sent_at)
        ]
        ran = {name for name, _ in arrivals}
        reached = [each.request_id for each in late if each.request_id in ran]
        for each in late:
            kept.judge(
                len(reached) <= MAX_LATE, f"{each.request_id} of {reached}"
            )
        return kept

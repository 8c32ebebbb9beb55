"""A request that ends what runs it: its replicas, its tries, its judgement."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from collections.abc import Callable, Iterable

from bench import promise
from test import node

MARK = "ends what runs it"
BODY = b'{"prompt": "ends what runs it"}'

LATE_TRIES = 3
"""Tries that may reach replicas once each VM must know."""

KNOWN_S = 1.0
"""Within this time, in seconds, of the third replica's end each VM knows: half
of the shortest time that a deployment allows for it."""

PAUSE_S = 0.25
"""Pause between two tries, in seconds."""

BACK_S = 0.3
"""After how long a replica that has ended starts again, in seconds."""

BLOCKED = b"blocked_content"


class Supervisor:
    """Starts replicas again that have ended, a moment later."""

    def __init__(self, started: node.Platform) -> None:
        self._started = started
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.ended_at: list[float] = []

    def __enter__(self) -> Supervisor:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._over.set()
        self._thread.join()

    def get_known_at(self) -> float:
        """Returns from when on VMs must know; infinity for not yet."""
        if len(self.ended_at) < 3:
            return float("inf")
        return self.ended_at[2] + KNOWN_S

    def _run(self) -> None:
        while not self._over.wait(0.02):
            for name in self._started.replicas:
                if self._started.processes[name].poll() is None:
                    continue
                self.ended_at.append(time.monotonic())
                self._over.wait(BACK_S)
                self._started.restart_replica(name)
                born = int(time.time() * 1000)
                self._started.write_record(name, born=born)


class Tries:
    """The tries of such a request, from one VM to the next."""

    def __init__(self, started: node.Platform, vms: Iterable[str]) -> None:
        self._started = started
        self._vms = list(vms)
        self.sent: dict[str, float] = {}

    def run(self, is_over: Callable[[], bool]) -> None:
        """Sends tries until it is over; VMs may be down meanwhile."""
        paths = itertools.cycle(("/safe/", "/once/", "/stream/"))
        for number in itertools.count():
            if is_over():
                return
            vm = self._vms[number % len(self._vms)]
            name = f"try-{number}"
            self.sent[name] = time.monotonic()
            self._send(name, next(paths), vm)
            time.sleep(PAUSE_S)

    def _send(self, name: str, path: str, vm: str) -> None:
        headers = {
            "Host": node.HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {node.KEY}",
        }
        front = self._started.vms[vm]["front"]
        try:
            node.call(front, "POST", path, BODY, headers)
        except (OSError, http.client.HTTPException):
            # The VM is down, or its connection was cut: the next one is tried.
            return


def judge_tries(
    tries: Tries,
    supervisor: Supervisor,
    ran: set[str],
    is_calm: Callable[[float], bool],
) -> promise.Promise:
    """Returns whether the request was sent no more once VMs had to know.

    Each path is a content of its own.

    Args:
        tries: The tries.
        supervisor: Who saw replicas end.
        ran: Ids of what replicas ran.
        is_calm: Returns whether all VMs were in touch at a moment.
    """
    kept = promise.Promise("what ends what runs it is soon sent no more")
    # Three contents, each of which may end three replicas first.
    if len(supervisor.ended_at) < 9:
        return kept
    known_at = supervisor.ended_at[8] + KNOWN_S
    late = [
        name for name, at in tries.sent.items() if at > known_at and is_calm(at)
    ]
    for turn in range(3):
        own = [name for name in late if int(name[4:]) % 3 == turn]
        reached = [name for name in own if name in ran]
        for name in own:
            kept.judge(len(reached) <= LATE_TRIES, f"{name} of {reached}")
    return kept

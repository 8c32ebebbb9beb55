"""Sends a poison request repeatedly and checks that it is blocked in time."""

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
"""Tries that may still reach replicas after all VMs must block the content."""

DETECTION_LIMIT_S = 1.0
"""Time after the third crash within which all VMs must block the content, in
seconds: half of the shortest time that a deployment allows."""

PAUSE_S = 0.25
"""Pause between two tries, in seconds."""

RESTART_DELAY_S = 0.3
"""Delay before a crashed replica is restarted, in seconds."""

BLOCKED = b"blocked_content"


class Supervisor:
    """Restarts crashed replicas after a short delay.

    Args:
        started: The deployment.
        restart_delay_s: The delay, in seconds.
    """

    def __init__(
        self, started: node.Platform, restart_delay_s: float = RESTART_DELAY_S
    ) -> None:
        self._started = started
        self._restart_delay_s = restart_delay_s
        self._due_at: dict[str, float] = {}
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.ended_at: list[float] = []

    def __enter__(self) -> Supervisor:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._over.set()
        self._thread.join()

    def get_blocked_by(self) -> float:
        """Returns when all VMs must block the content; infinity if unknown."""
        if len(self.ended_at) < 3:
            return float("inf")
        return self.ended_at[2] + DETECTION_LIMIT_S

    def _run(self) -> None:
        while not self._over.wait(0.02):
            for name in self._list_ended():
                now = time.monotonic()
                if name not in self._due_at:
                    self.ended_at.append(now)
                    self._due_at[name] = now + self._restart_delay_s
                elif now >= self._due_at[name]:
                    self._restart(name)
        for name in self._list_ended():
            self._restart(name)

    def _list_ended(self) -> list[str]:
        return [
            name
            for name in self._started.replicas
            if self._started.processes[name].poll() is not None
        ]

    def _restart(self, name: str) -> None:
        self._due_at.pop(name, None)
        self._started.restart_replica(name)
        born = int(time.time() * 1000)
        self._started.write_record(name, born=born)


class TrySender:
    """Sends a poison request repeatedly, to one VM after the other."""

    def __init__(self, started: node.Platform, vms: Iterable[str]) -> None:
        self._started = started
        self._vms = list(vms)
        self.sent: dict[str, float] = {}

    def run(self, is_over: Callable[[], bool]) -> None:
        """Sends tries until ``is_over`` is true; VMs may be down meanwhile."""
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
            # The VM is down or the connection broke; the next try uses another.
            return


def check_tries(
    tries: TrySender,
    supervisor: Supervisor,
    ran: set[str],
    is_calm: Callable[[float], bool],
) -> promise.Promise:
    """Checks that replicas stopped receiving the request in time.

    Each path is a separate content.

    Args:
        tries: The sent tries.
        supervisor: Records the times of crashes.
        ran: Ids of the requests that replicas ran.
        is_calm: Returns whether all VMs were connected at a given time.
    """
    kept = promise.Promise("what ends what runs it is soon sent no more")
    # Three contents, each of which may crash three replicas first.
    if len(supervisor.ended_at) < 9:
        return kept
    known_at = supervisor.ended_at[8] + DETECTION_LIMIT_S
    late = [
        name for name, at in tries.sent.items() if at > known_at and is_calm(at)
    ]
    for turn in range(3):
        own = [name for name in late if int(name[4:]) % 3 == turn]
        reached = [name for name in own if name in ran]
        for name in own:
            kept.judge(len(reached) <= LATE_TRIES, f"{name} of {reached}")
    return kept

"""Callers that ask all VMs at once, and what they were answered."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
import functools
import itertools
import threading
import time
from collections.abc import Iterator
from typing import Generic, Self, TypeVar

from test import node
from test.test_node import ask, wait_until

PAUSE_S = 0.1
"""Pause between two requests of a caller, in seconds."""

_NUMBERS = itertools.count(1)

AnswerT = TypeVar("AnswerT")


@dataclasses.dataclass
class Asked:
    """A request and its answer.

    Attributes:
        request_id: Its id.
        vm: The VM that was asked.
        path: What was asked.
        sent_at: When it was sent, on the machine's clock in seconds.
        answered_at: When its answer was whole, likewise.
        status: Status of the answer; 0 where the VM gave none.
        headers: Headers of the answer, in lower case.
    """

    request_id: str
    vm: str
    path: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@contextlib.contextmanager
def run_serving(vms: int) -> Iterator[node.Platform]:
    """Runs a deployment of two replicas, each VM of which serves."""
    with node.run_platform(vms=vms, replicas=2) as platform:
        for vm in platform.vms:
            wait_until(functools.partial(_is_serving, platform, vm))
        yield platform


def _is_serving(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200


class RepeatingCallers(abc.ABC, Generic[AnswerT]):
    """Callers that ask all VMs at once, again and again until stopped.

    Args:
        started: The deployment.
        per_vm: Callers of each VM.

    Attributes:
        by_caller: What each caller was answered, in order.
    """

    def __init__(self, started: node.Platform, per_vm: int) -> None:
        vms = [vm for vm in started.vms for _ in range(per_vm)]
        self.by_caller: list[list[AnswerT]] = [[] for _ in vms]
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask_on, args=pair)
            for pair in zip(vms, self.by_caller, strict=True)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _ask_on(self, vm: str, answers: list[AnswerT]) -> None:
        while not self._stopped.is_set():
            answers.append(self._ask(vm))
            self._stopped.wait(self._get_pause_s(answers[-1]))

    @abc.abstractmethod
    def _ask(self, vm: str) -> AnswerT:
        """Asks a VM once."""

    @abc.abstractmethod
    def _get_pause_s(self, answer: AnswerT) -> float:
        """Returns the pause of a caller after an answer, in seconds."""


class Callers(RepeatingCallers[Asked]):
    """Asks all VMs at once until it is stopped.

    Args:
        started: The deployment.
        path: What is asked.
        per_vm: Callers of each VM.
    """

    def __init__(
        self, started: node.Platform, path: str, per_vm: int = 2
    ) -> None:
        super().__init__(started, per_vm)
        self._started = started
        self._path = path

    @property
    def asked(self) -> list[Asked]:
        """What was asked, caller by caller."""
        return list(itertools.chain.from_iterable(self.by_caller))

    @property
    def statuses(self) -> set[int]:
        """The statuses of all answers."""
        return {each.status for each in self.asked}

    def _ask(self, vm: str) -> Asked:
        return ask_once(self._started, self._path, vm)

    def _get_pause_s(self, answer: Asked) -> float:
        return PAUSE_S


def ask_once(started: node.Platform, path: str, vm: str) -> Asked:
    """Asks a VM; one that is down gives no answer."""
    name = f"{vm}.{next(_NUMBERS)}"
    asked = Asked(name, vm, path, time.monotonic())
    try:
        answer = ask(started, path, vm=vm, X_Request_Id=name)
    except OSError:
        return asked
    asked.answered_at = time.monotonic()
    asked.status = answer.status
    asked.headers = answer.headers
    return asked


def list_logged(
    started: node.Platform, name: str, message: str
) -> list[tuple[float, str]]:
    """Returns when a replica logged a message, of which request."""
    return [
        (line["at"], line["request_id"])
        for line in started.read_log(name)
        if line["message"] == message
    ]

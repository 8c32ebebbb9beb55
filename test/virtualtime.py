"""An event loop in virtual time, in which sleeping takes no real time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


class _Selector(selectors.DefaultSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """See the base class."""
        if timeout is None:
            return super().select(None)
        found = super().select(0)
        if not found:
            self.now += max(0.0, timeout)
        return found


class _Loop(asyncio.SelectorEventLoop):
    """An event loop that takes its time from the selector."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """See the base class."""
        return self._virtual.now

    def stand_still(self, seconds: float) -> None:
        """Lets time pass in which nothing runs."""
        self._virtual.now += seconds


def run(function: Callable[[], Awaitable[T]]) -> T:
    """Runs an asynchronous function in virtual time."""
    return anyio.run(function, backend_options={"loop_factory": _Loop})


def read() -> float:
    """Returns the running loop's time, 0 without a loop; replaces a clock."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


def stand_still(seconds: float) -> None:
    """Lets time pass in which the process of the running loop stands still."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, _Loop)
    loop.stand_still(seconds)

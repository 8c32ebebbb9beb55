"""Standstills of this process while its event loop waits for its sockets."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from collections.abc import Callable, Iterator
from types import FrameType


@contextlib.contextmanager
def stand_still(
    after_s: float, stopped_s: float, act: Callable[[], object]
) -> Iterator[None]:
    """Has the event loop's thread stand still once within the context.

    As after SIGSTOP and SIGCONT, the wait for the sockets ends without events,
    and due timers run before the sockets are read.

    Args:
        after_s: When it begins, in seconds; the event loop must be waiting.
        stopped_s: How long it takes, in seconds.
        act: Called at its begin: what others do meanwhile.
    """

    def interrupt(number: int, frame: FrameType | None) -> None:
        act()
        time.sleep(stopped_s)

    former = signal.signal(signal.SIGUSR1, interrupt)
    timer = threading.Timer(
        after_s, signal.pthread_kill, (threading.get_ident(), signal.SIGUSR1)
    )
    timer.start()
    try:
        yield
    finally:
        timer.join()
        signal.signal(signal.SIGUSR1, former)

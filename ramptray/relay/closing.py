"""Why connections of callers end."""

from __future__ import annotations

import collections
import enum
import logging
from collections.abc import Iterator

import msgspec

from ramptray.caller import metrics

LOG = logging.getLogger(__name__)


class CloseReason(enum.Enum):
    """Why a caller's connection ended.

    Attributes:
        CALLER: The caller closed it or asked for its close, or it was lost.
        IDLE: No request began within the idle time of the configuration.
        STOP: A planned stop closed it while no request was read.
        INVALID: A request was refused that is not valid or took too long.
        ANNOUNCED: This VM announced the close with an answer, as it is
            stopping, other VMs serve callers better, or other callers need the
            connection's descriptor.
        CUT: An answer ended early.
        UNREAD: The caller did not read its answer.
        CROWDED: Others needed its descriptor or its memory.
        ERROR: An error of this program.
    """

    CALLER = "caller"
    IDLE = "idle"
    STOP = "stop"
    INVALID = "invalid"
    ANNOUNCED = "announced"
    CUT = "cut"
    UNREAD = "unread"
    CROWDED = "crowded"
    ERROR = "error"


class Close(msgspec.Struct, frozen=True):
    """The end of a caller's connection.

    Attributes:
        reason: Why it ended.
        idle_s: Seconds from the end of its last request, or from when it was
            opened, until this VM ended its side.
        unread_bytes: Bytes that had arrived and were not read.
        requests: Number of requests that it carried.
        unanswered: Whether no answer began to a request that was read.
        dropped_bytes: Bytes that arrived after this VM had ended its side, as
            those of a request that crosses an idle connection's end.
    """

    reason: CloseReason
    idle_s: float
    unread_bytes: int
    requests: int
    unanswered: bool = False
    dropped_bytes: int = 0


class CloseLog:
    """Logs and counts the ends of callers' connections."""

    def __init__(self) -> None:
        self._counts: collections.Counter[CloseReason] = collections.Counter()
        self._unread: collections.Counter[CloseReason] = collections.Counter()

    def record(self, close: Close) -> None:
        """Records the end of a connection.

        What this VM closes is logged, and what ends without an answer; callers
        close connections all the time, and of those closed for others only the
        number is logged.
        """
        self._counts[close.reason] += 1
        self._unread[close.reason] += close.unread_bytes > 0
        # A close with unread bytes resets the connection.
        is_loss = close.unanswered or close.unread_bytes > 0
        if close.reason is CloseReason.CALLER and not close.unanswered:
            return
        if close.reason is CloseReason.CROWDED and not is_loss:
            return
        level = logging.WARNING if is_loss else logging.INFO
        LOG.log(
            level,
            "caller's connection closed",
            extra={
                "reason": close.reason.value,
                "idle_s": round(close.idle_s, 3),
                "unread_bytes": close.unread_bytes,
                "requests": close.requests,
                "unanswered": close.unanswered,
                "dropped_bytes": close.dropped_bytes,
            },
        )

    def list_gauges(self) -> Iterator[metrics.Gauge]:
        """Yields the metrics."""
        for reason in CloseReason:
            labels = {"reason": reason.value}
            yield metrics.Gauge(
                "connections_closed", labels, self._counts[reason]
            )
            yield metrics.Gauge(
                "connections_closed_unread", labels, self._unread[reason]
            )

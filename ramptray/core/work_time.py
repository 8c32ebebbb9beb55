"""How long requests take, learned from those that have ended.

Load pattern: a VM that is about to stop must tell which of its requests can
still end, beside a queue and with work of seconds.
"""

from __future__ import annotations

import collections

import msgspec

from ramptray.core import message

SAMPLES = 32
"""Answers of a route that its work is estimated from."""

QUANTILE = 0.8
"""Part of the answers that take no longer than the estimate."""

WAIT_SAMPLES = 8
"""Grants of a route that the wait for one is estimated from."""

MAX_ROUTES = 1000
"""Routes that are remembered; the one that was used least recently goes."""


class _Route(msgspec.Struct):
    """What was observed of one route.

    Attributes:
        work: Seconds that answers took, each divided by the size of its
            request.
        waits: Seconds that requests waited for a grant.
    """

    work: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=SAMPLES)
    )
    waits: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=WAIT_SAMPLES)
    )


class WorkTimes:
    """Estimates how long requests wait and how long their answers take."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def observe_wait(self, info: message.RequestInfo, wait_s: float) -> None:
        """Records a grant.

        Args:
            info: The request.
            wait_s: How long it waited, in seconds.
        """
        self._get_route(info).waits.append(wait_s)

    def observe_work(self, info: message.RequestInfo, work_s: float) -> None:
        """Records a complete answer.

        Args:
            info: The request.
            work_s: Seconds from its dispatch to the end of its answer.
        """
        self._get_route(info).work.append(work_s / _get_size(info))

    def estimate(
        self, info: message.RequestInfo, waited_s: float | None
    ) -> float | None:
        """Returns the seconds until a request ends; None if unknown.

        Args:
            info: The request.
            waited_s: How long it has waited for a grant, in seconds; None if it
                has one.
        """
        found = self._routes.get(info.route)
        if found is None or not found.work:
            return None
        work = sorted(found.work)
        work_s = work[int(QUANTILE * (len(work) - 1))] * _get_size(info)
        if waited_s is None or not found.waits:
            return work_s
        waits = sorted(found.waits)
        return work_s + max(0.0, waits[len(waits) // 2] - waited_s)

    def _get_route(self, info: message.RequestInfo) -> _Route:
        found = self._routes.pop(info.route, None) or _Route()
        self._routes[info.route] = found
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        return found


def _get_size(info: message.RequestInfo) -> int:
    """Returns what the time of an answer is proportional to."""
    return max(1, info.output_tokens)

"""Blocks requests that crash backend servers, for all shards."""

from __future__ import annotations

import collections
import logging
from collections.abc import Callable

import msgspec

from ramptray import timeline
from ramptray.core import backend, blocklist, message, poison, shard

LOG = logging.getLogger(__name__)

BREAK_REPORT_S = 0.5
"""Longest time between two reports of one crash, in seconds: a request whose
connection broke without showing why may be reported before those that show that
the server has ended."""

MAX_BREAKS = 256
"""Requests with a broken connection that are remembered."""

RequestUpdate = (
    message.Withdraw | message.Decline | message.FirstToken | message.Ended
)
"""A message about a request that a shard already has."""


class ContentBlocker:
    """Detects what crashes backend servers, and rejects blocked requests.

    Args:
        blocks: The blocks that this VM knows of.
        events: The timeline in which crashes are recorded.

    Attributes:
        blocks: The blocks that this VM knows of.
        detector: Decides from crashes and successes what to block.
        on_crash: Called when a backend server has crashed while it ran
            requests.
    """

    def __init__(
        self, blocks: blocklist.Blocklist, events: timeline.Timeline
    ) -> None:
        self.blocks = blocks
        self.detector = poison.PoisonDetector(blocks)
        self.on_crash: Callable[[], None] = _do_nothing
        self._timeline = events
        self._breaks: collections.deque[_Break] = collections.deque(
            maxlen=MAX_BREAKS
        )

    def check(
        self, request: message.RequestInfo, now: float
    ) -> message.Reject | None:
        """Returns a Reject if a block covers the request."""
        block = self.blocks.find_block(request.causes, now)
        if block is None:
            return None
        return message.Reject(
            request.request_id,
            message.Reason.BLOCKED,
            block.until - now,
            request.asks_again,
        )

    def observe(
        self, owner: shard.ShardOwner, update: RequestUpdate, now: float
    ) -> None:
        """Records the outcome of a request, before the shard frees its slot."""
        match update:
            case message.Decline(request_id, _, True):
                # The request never reached the backend server.
                self.detector.exclude_request(request_id)
            case message.Ended():
                self._record_end(owner, update, now)

    def _record_end(
        self, owner: shard.ShardOwner, ended: message.Ended, now: float
    ) -> None:
        placed = owner.fleet.get_placed(ended.request_id)
        server = owner.fleet.find(ended.request_id)
        if placed is None or server is None:
            return
        if ended.whole and not ended.failed:
            self._record_success(placed.request, now)
            return
        if server.state is backend.BackendState.LEAVING:
            # A leaving server stops as planned, so the requests that were
            # still running on it did not crash it.
            return
        if ended.gone:
            self._record_crash(owner, server, now)
        elif ended.broken:
            runner = _make_runner(placed, now)
            self._breaks.append(
                _Break(server.info.name, server.info.run, now, runner)
            )

    def _record_success(self, request: message.RequestInfo, now: float) -> None:
        for block in self.blocks.find_former(request.causes):
            LOG.warning(
                "block lifted",
                extra={"content": block.content, "origin": "request succeeded"},
            )
        detections = self.detector.record_success(
            request.content, now, request.parts
        )
        self._log_blocked(detections, now)

    def _record_crash(
        self, owner: shard.ShardOwner, server: backend.Backend, now: float
    ) -> None:
        broken = {
            each.runner.request_id: each.runner
            for each in self._breaks
            if (each.backend, each.run) == (server.info.name, server.info.run)
            and now - each.at <= BREAK_REPORT_S
        }
        placed_there = {
            request_id: _make_runner(placed, now)
            for request_id, placed in server.placed.items()
        }
        runners = {**broken, **placed_there}
        crash = poison.Crash(server.info.name, server.info.run, now, runners)
        if self.detector.has_ended(crash):
            return
        survivors = (
            placed.request.causes
            for placed in owner.fleet.iterate_placed()
            if placed.answers_since is not None
            and now - placed.answers_since >= poison.INNOCENT_AFTER_S
        )
        crash.survivors = frozenset().union(*survivors)
        detections = self.detector.record_crash(crash)
        self.on_crash()
        self._timeline.note(
            "crash",
            server.info.name,
            run=server.info.run,
            runners=[
                {
                    "request": runner.request_id,
                    "content": runner.content,
                    "parts": runner.parts,
                    "answered_s": runner.answered_s,
                    "count": self.detector.get_crash_count(runner.content),
                    "suspects": {
                        cause: self.detector.get_crash_count(cause)
                        for cause in self.detector.find_suspects(runner.causes)
                    },
                }
                for runner in runners.values()
            ],
        )
        self._log_blocked(detections, now)

    def _log_blocked(
        self, detections: list[poison.Detection], now: float
    ) -> None:
        for detection in detections:
            block = detection.block
            LOG.warning(
                "content blocked",
                extra={
                    "content": block.content,
                    "times": block.level,
                    "left_s": round(block.until - now, 1),
                    "count": detection.count,
                    "backends": detection.backends,
                    "request_ids": detection.request_ids,
                    "tied": detection.tied,
                    "origin": "crashes",
                },
            )


class _Break(msgspec.Struct, frozen=True):
    """A request whose connection broke, not known why."""

    backend: str
    run: int
    at: float
    runner: poison.RunningRequest


def _make_runner(
    placed: backend.PlacedRequest, now: float
) -> poison.RunningRequest:
    return poison.RunningRequest(
        placed.request.request_id,
        placed.request.content,
        placed.started,
        None if placed.answers_since is None else now - placed.answers_since,
        placed.request.parts,
    )


def _do_nothing() -> None:
    """Default of on_crash."""

"""Blocks request contents that crash backend servers, for all shards."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ramptray import timeline
from ramptray.core import backend, blocklist, message, poison, shard

LOG = logging.getLogger(__name__)


RequestUpdate = (
    message.Withdraw | message.Decline | message.FirstToken | message.Ended
)
"""A message about a request that a shard already has."""


class ContentBlocker:
    """Detects contents that crash backend servers, and rejects blocked ones.

    Args:
        blocks: The blocked contents that this VM knows of.
        events: The timeline in which crashes are recorded.

    Attributes:
        blocks: The blocked contents that this VM knows of.
        detector: Decides from crashes and successes which contents to block.
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

    def check(
        self, request: message.RequestInfo, now: float
    ) -> message.Reject | None:
        """Returns a Reject if the request's content is blocked."""
        left_s = self.blocks.get_remaining_s(request.content, now)
        if left_s <= 0:
            return None
        return message.Reject(
            request.request_id, message.Reason.BLOCKED, left_s
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
        if ended.whole:
            content = placed.request.content
            if self.blocks.get_remaining_s(content, now):
                LOG.warning(
                    "block lifted",
                    extra={"content": content, "origin": "request succeeded"},
                )
            self._log_blocked(self.detector.record_success(content, now), now)
            return
        if not ended.gone or server.state is backend.BackendState.LEAVING:
            # A leaving server stops as planned, so the requests that were
            # still running on it did not crash it.
            return
        self._record_crash(server, now)

    def _record_crash(self, server: backend.Backend, now: float) -> None:
        runners = {
            request_id: poison.RunningRequest(
                request_id,
                placed.request.content,
                placed.started,
                None
                if placed.answers_since is None
                else now - placed.answers_since,
                placed.request.parts,
            )
            for request_id, placed in server.placed.items()
        }
        crash = poison.Crash(server.info.name, server.info.run, now, runners)
        if self.detector.has_ended(crash):
            return
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


def _do_nothing() -> None:
    """Default of on_crash."""

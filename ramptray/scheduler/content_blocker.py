"""Keeps contents that end backend servers away from them, for all shards."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ramptray import timeline
from ramptray.core import backend, blocklist, message, poison, shard

LOG = logging.getLogger(__name__)


RequestUpdate = (
    message.Withdraw | message.Decline | message.FirstToken | message.Ended
)
"""What is told of a request to whoever holds it."""


class ContentBlocker:
    """Learns from requests that ended, and refuses those that are blocked.

    Args:
        blocks: The blocked contents that this VM knows of.
        events: Where decisions are noted.

    Attributes:
        blocks: The same.
        evidence: What speaks for and against contents.
        on_crash: Called when a backend server has ended under requests.
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
        """Returns the refusal of a request whose content is blocked."""
        left_s = self.blocks.get_remaining_s(request.content, now)
        if left_s <= 0:
            return None
        return message.Reject(
            request.request_id, message.Reason.BLOCKED, left_s
        )

    def learn(
        self, owner: shard.ShardOwner, told: RequestUpdate, now: float
    ) -> None:
        """Learns what a request did, before the owner frees its place."""
        match told:
            case message.Decline(request_id, _, True):
                # It had not reached the backend server.
                self.detector.exclude_request(request_id)
            case message.Ended():
                self._note_ended(owner, told, now)

    def _note_ended(
        self, owner: shard.ShardOwner, ended: message.Ended, now: float
    ) -> None:
        placed = owner.fleet.get_placed(ended.request_id)
        known = owner.fleet.find(ended.request_id)
        if placed is None or known is None:
            return
        if ended.whole:
            content = placed.request.content
            if self.blocks.get_remaining_s(content, now):
                LOG.warning(
                    "block lifted",
                    extra={"content": content, "origin": "it ended well"},
                )
            self._tell(self.detector.record_success(content, now), now)
            return
        if not ended.gone or known.state is backend.BackendState.LEAVING:
            # Whoever leaves ends as planned, with whatever is left there.
            return
        self._note_crash(known, now)

    def _note_crash(self, known: backend.Backend, now: float) -> None:
        runners = {
            request_id: poison.RunningRequest(
                request_id,
                placed.request.content,
                placed.started,
                None
                if placed.answers_since is None
                else now - placed.answers_since,
            )
            for request_id, placed in known.placed.items()
        }
        crash = poison.Crash(known.info.name, known.info.run, now, runners)
        if self.detector.has_ended(crash):
            return
        verdicts = self.detector.record_crash(crash)
        self.on_crash()
        self._timeline.note(
            "crash",
            known.info.name,
            run=known.info.run,
            runners=[
                {
                    "request": runner.request_id,
                    "content": runner.content,
                    "answered_s": runner.answered_s,
                    "count": self.detector.get_crash_count(runner.content),
                }
                for runner in runners.values()
            ],
        )
        self._tell(verdicts, now)

    def _tell(self, verdicts: list[poison.Detection], now: float) -> None:
        for verdict in verdicts:
            block = verdict.block
            LOG.warning(
                "content blocked",
                extra={
                    "content": block.content,
                    "times": block.level,
                    "left_s": round(block.until - now, 1),
                    "count": verdict.count,
                    "backends": verdict.backends,
                    "request_ids": verdict.request_ids,
                    "tied": verdict.tied,
                    "origin": "crashes",
                },
            )


def _do_nothing() -> None:
    """Stands in until somebody listens."""

"""Detects poison requests, which crash the backend servers that run them.

A crash ends all requests on the server, and one crash does not show which of
them caused it.  Detection combines several crashes by these rules:

- A poison request never completes.  A content that completes is cleared.
- A poison request is present at each of its crashes.  Contents that were sent
  together share the same crashes, so the content that explains the most crashes
  is blocked first, and those crashes no longer count against other contents.
- Servers that crash together, in one group, have an external cause, unless the
  same content ran on each of them.
- A poison request crashes the server soon after it starts.  A content that has
  been streaming its response for a while is cleared.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from ramptray.core import blocklist

GROUP_GAP_S = 0.05
"""Largest gap between crashes of one group, in seconds.  VMs detect a crash
within a few milliseconds, a busy VM within about 10 ms."""

MAX_GROUP_SPAN_S = 0.15
"""Longest span of a group of crashes, in seconds.  A poison request that is
retried at once crashes the next server some 0.1 s later."""

INNOCENT_AFTER_S = 0.5
"""A request that has been responding for this long, in seconds, did not cause
the crash, since poison requests crash a server soon after they start."""

CRASH_RETENTION_S = 600.0
"""How long a crash counts against the contents involved, in seconds.  Callers
retry within seconds or minutes."""

MAX_CRASH_GROUPS = 256
"""Crash groups that are kept.  A group holds the requests that ran on the
crashed servers, so this bounds memory and the work of each detection, even if a
large deployment crashes as a whole again and again."""

MIN_RESTART_S = 1.0
"""Shortest time in which a crashed backend server restarts, in seconds."""

MAX_ENDED_SERVERS = 1024
"""Crashed backend servers that are remembered, so that each crash counts
once."""

MAX_PROVEN_CONTENTS = 4096
"""Contents that are remembered as having completed.  Frequently requested
contents stay among the most recent ones."""

MIN_GROUPS = 3
"""Crash groups required before a content is blocked.  A harmless request is
retried once or twice; refusing it costs its caller more than one further crash
costs the other callers."""

MIN_GROUPS_PROVEN = 10
"""Crash groups required for a content that has completed before.  A frequently
requested content runs on every server that crashes, and completes rarely while
most servers crash."""

MIN_GROUPS_TIED = 5
"""Crash groups required to block several contents that share exactly the same
crashes.  They can't be distinguished any more, and one of them costs a backend
server each time."""


class RunningRequest(msgspec.Struct, frozen=True):
    """A request that was running on a backend server when it crashed.

    Attributes:
        request_id: The request.
        content: Digest of its content; empty if unknown.
        sent_at: When it was sent to the server, by the owner's clock.
        answered_s: Seconds since its response began; None if it had not.
        parts: Digests of the shared parts of its prompt.
    """

    request_id: str
    content: str
    sent_at: float
    answered_s: float | None
    parts: tuple[str, ...] = ()


class Crash(msgspec.Struct):
    """A crash of a backend server and the requests that ran on it."""

    backend: str
    run: int
    at: float
    runners: dict[str, RunningRequest]

    def list_suspects(self) -> set[str]:
        """Returns the contents that may have caused the crash."""
        contents = {runner.content for runner in self.runners.values()}
        return contents - self.list_innocents() - {""}

    def list_innocents(self) -> set[str]:
        """Returns the contents whose response began too long ago."""
        return {
            runner.content
            for runner in self.runners.values()
            if runner.answered_s is not None
            and runner.answered_s >= INNOCENT_AFTER_S
        }


class CrashGroup:
    """Crashes close enough in time to share one cause."""

    def __init__(self, first: Crash) -> None:
        self.crashes = [first]
        self._cleared: set[str] = set()

    def includes(self, crash: Crash) -> bool:
        """Returns whether a crash belongs to this group."""
        since_last = crash.at - self.crashes[-1].at
        since_first = crash.at - self.crashes[0].at
        return since_last <= GROUP_GAP_S and since_first <= MAX_GROUP_SPAN_S

    @property
    def at(self) -> float:
        """The time of the last crash."""
        return self.crashes[-1].at

    def clear(self, content: str) -> None:
        """Excludes a content as the cause of this group."""
        self._cleared.add(content)

    def list_suspects(self) -> set[str]:
        """Returns the contents that may have caused every crash of it."""
        suspects = [crash.list_suspects() for crash in self.crashes]
        return set.intersection(*suspects) - self._cleared


class Detection(msgspec.Struct, frozen=True):
    """A newly blocked content and the evidence for it.

    Attributes:
        block: The block.
        count: Crash groups that it may have caused.
        backends: Backend servers that crashed while running it.
        request_ids: The requests with this content that ran on them.
        tied: Whether other contents were involved in the same crashes.
    """

    block: blocklist.Block
    count: int
    backends: tuple[str, ...]
    request_ids: tuple[str, ...]
    tied: bool


class PoisonDetector:
    """Collects crashes and completions at an owner and blocks poison contents.

    Args:
        blocks: The blocklist that detected contents are added to.
    """

    def __init__(self, blocks: blocklist.Blocklist) -> None:
        self.blocks = blocks
        self._groups: collections.deque[CrashGroup] = collections.deque(
            maxlen=MAX_CRASH_GROUPS
        )
        self._proven: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._ended_at: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self._counts: dict[str, int] = {}

    def is_suspect(self, content: str) -> bool:
        """Returns whether a content is linked to a crash or was blocked."""
        return content in self._counts or self.blocks.was_blocked(content)

    def get_crash_count(self, content: str) -> int:
        """Returns how many crash groups a content may have caused."""
        return self._counts.get(content, 0)

    def record_crash(self, crash: Crash) -> list[Detection]:
        """Records a crash; returns newly blocked contents.

        Each request on the server reports the crash; only the first counts.
        """
        if self.has_ended(crash):
            return []
        self._record_end(crash)
        self._drop_expired(crash.at)
        if self._has_blocked_content(crash):
            return []
        for content in crash.list_innocents():
            self._clear(content)
        if self._groups and self._groups[-1].includes(crash):
            self._groups[-1].crashes.append(crash)
        else:
            self._groups.append(CrashGroup(crash))
        return self._detect(crash.at)

    def exclude_request(self, request_id: str) -> None:
        """Removes a request that had not reached the crashed server."""
        for group in self._groups:
            for crash in group.crashes:
                if crash.runners.pop(request_id, None) is not None:
                    self._update_counts()
                    return

    def record_success(self, content: str, now: float) -> list[Detection]:
        """Records a completed request; returns newly blocked contents."""
        if not content:
            return []
        # It was sent before the block and completed, so the block was wrong.
        self.blocks.lift(content, now)
        self._clear(content)
        return self._detect(now) if content in self._counts else []

    def _clear(self, content: str) -> None:
        """Clears a content of all crashes recorded so far."""
        self._proven[content] = None
        self._proven.move_to_end(content)
        while len(self._proven) > MAX_PROVEN_CONTENTS:
            self._proven.popitem(last=False)
        if content in self._counts:
            for group in self._groups:
                group.clear(content)

    def has_ended(self, crash: Crash) -> bool:
        """Returns whether the end of this run is already recorded.

        A server that reports no run number (0) counts as crashed again only
        after the time of a restart, and only if a request was sent to it since.
        A VM that was suspended may report requests sent before the crash late.
        """
        ended_at = self._ended_at.get((crash.backend, crash.run))
        if ended_at is None:
            return False
        if crash.run != 0 or crash.at - ended_at < MIN_RESTART_S:
            return True
        return all(r.sent_at <= ended_at for r in crash.runners.values())

    def _record_end(self, crash: Crash) -> None:
        self._ended_at[crash.backend, crash.run] = crash.at
        while len(self._ended_at) > MAX_ENDED_SERVERS:
            self._ended_at.popitem(last=False)

    def _has_blocked_content(self, crash: Crash) -> bool:
        """Returns whether a suspect is blocked, but was sent before that."""
        return any(
            self.blocks.get_remaining_s(content, crash.at) > 0
            for content in crash.list_suspects()
        )

    def _drop_expired(self, now: float) -> None:
        while self._groups and now - self._groups[0].at > CRASH_RETENTION_S:
            self._groups.popleft()

    def _update_counts(self) -> None:
        """Counts the crash groups that each content may have caused."""
        self._counts = collections.Counter(
            content
            for group in self._groups
            for content in group.list_suspects()
        )

    def _detect(self, now: float) -> list[Detection]:
        """Blocks the contents that explain the most crash groups.

        Repeats until no remaining content reaches its threshold.
        """
        detections: list[Detection] = []
        self._update_counts()
        # Contents that another VM has blocked explain the crashes seen here.
        self._drop_explained(
            c for c in self._counts if self.blocks.get_remaining_s(c, now)
        )
        self._update_counts()
        while found := self._find_poison_contents():
            for content in found:
                detections.append(self._block(content, now, len(found) > 1))
            self._drop_explained(found)
            self._update_counts()
        return detections

    def _find_poison_contents(self) -> list[str]:
        """Returns the contents to block; several if they are tied."""
        if again := [c for c in self._counts if self.blocks.was_blocked(c)]:
            # One more crash after an earlier block is enough.
            return again
        if not self._counts:
            return []
        most = max(self._counts.values())
        first = [c for c, count in self._counts.items() if count == most]
        if len(first) > 1 and most < MIN_GROUPS_TIED:
            return []
        return [c for c in first if most >= self._get_min_groups(c)]

    def _get_min_groups(self, content: str) -> int:
        return MIN_GROUPS_PROVEN if content in self._proven else MIN_GROUPS

    def _block(self, content: str, now: float, tied: bool) -> Detection:
        crashes = [
            crash
            for group in self._groups
            if content in group.list_suspects()
            for crash in group.crashes
        ]
        ids = [
            runner.request_id
            for crash in crashes
            for runner in crash.runners.values()
            if runner.content == content
        ]
        count = self.get_crash_count(content)
        block = self.blocks.block(content, len(crashes), now)
        backends = tuple(crash.backend for crash in crashes)
        return Detection(block, count, backends, tuple(ids), tied)

    def _drop_explained(self, contents: Iterable[str]) -> None:
        """Drops the crash groups that the given contents explain."""
        explaining = set(contents)
        remaining = [
            g for g in self._groups if not explaining & g.list_suspects()
        ]
        self._groups.clear()
        self._groups.extend(remaining)

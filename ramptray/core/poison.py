"""Finds out which request ended the backend servers that ran it.

A backend server that crashes takes all it runs with it: one culprit at most,
and bystanders.  One crash tells them apart by nothing.  What does:

- A culprit never ends well.  Whoever does is innocent.
- A culprit is there each time.  Requests that were sent on together meet the
  same crashes, so the one that explains most is looked for, and what it
  explains speaks against nobody else.
- Backend servers that end at the same moment have a cause outside, unless the
  same content ran on each of them.
- A culprit acts as it begins: one that has answered for a while did not.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from ramptray.core import blocklist

MOMENT_S = 0.05
"""Crashes closer than this, in seconds, are one moment: VMs learn of a crash
within a few milliseconds, a busy one within some ten."""

LONGEST_MOMENT_S = 0.15
"""Longest span of crashes that follow one another as one moment, in seconds:
one culprit sent on at once ends the next some 0.1 s later."""

INNOCENT_AFTER_S = 0.5
"""Who has answered for so long, in seconds, as the backend server ends is a
bystander: a culprit acts as it begins."""

FORGET_S = 600.0
"""How long a crash speaks against whom it met, in seconds: callers that try
again do so within seconds or minutes."""

MAX_MOMENTS = 256
"""Moments that are kept.  A moment holds what ran on the backend servers that
ended, so this bounds the memory, and the work of a judgement, also where all
of a large deployment crashes again and again."""

RESTART_S = 1.0
"""Shortest time in which a backend server that ended is back, in seconds."""

MAX_ENDED = 1024
"""Backend servers that ended which are remembered, so that each counts once."""

MAX_SOUND = 4096
"""Contents that are remembered to have ended well: those that are asked for
often are among the latest of them."""

NEEDED = 3
"""Moments that must speak against a content before it is blocked.  A bystander
is sent on once or twice; to refuse an innocent one is worse for its caller than
one crash more is for the others."""

NEEDED_OF_SOUND = 10
"""The same for a content that has ended well before: one that many ask for is
at each backend server that ends, and while most do, few of it end well."""

NEEDED_OF_TIED = 5
"""The same for several contents that met the very same crashes, which are then
all blocked: nothing tells them apart any more, and one of them costs a backend
server each time."""


class RunningRequest(msgspec.Struct, frozen=True):
    """A request that was at a backend server as it ended.

    Attributes:
        request_id: The request.
        content: Its content; empty where that is not told.
        sent_at: When it was sent there, by the owner's clock.
        answered_s: Seconds since its answer began; None where it had not.
    """

    request_id: str
    content: str
    sent_at: float
    answered_s: float | None


class Crash(msgspec.Struct):
    """A backend server that ended, and who was there."""

    backend: str
    run: int
    at: float
    runners: dict[str, RunningRequest]

    def list_suspects(self) -> set[str]:
        """Returns the contents of which one may have ended it."""
        everybody = {runner.content for runner in self.runners.values()}
        return everybody - self.list_innocents() - {""}

    def list_innocents(self) -> set[str]:
        """Returns the contents that had answered for so long."""
        return {
            runner.content
            for runner in self.runners.values()
            if runner.answered_s is not None
            and runner.answered_s >= INNOCENT_AFTER_S
        }


class CrashGroup:
    """Crashes that happened together."""

    def __init__(self, first: Crash) -> None:
        self.crashes = [first]
        self._cleared: set[str] = set()

    def takes(self, crash: Crash) -> bool:
        """Returns whether a crash happened at this moment, too."""
        since_last = crash.at - self.crashes[-1].at
        since_first = crash.at - self.crashes[0].at
        return since_last <= MOMENT_S and since_first <= LONGEST_MOMENT_S

    @property
    def at(self) -> float:
        """When the last of them was."""
        return self.crashes[-1].at

    def clear(self, content: str) -> None:
        """Notes that a content did not cause it."""
        self._cleared.add(content)

    def list_suspects(self) -> set[str]:
        """Returns the contents that may have caused all of it."""
        of_each = [crash.list_suspects() for crash in self.crashes]
        return set.intersection(*of_each) - self._cleared


class Detection(msgspec.Struct, frozen=True):
    """A content that is blocked from now on, and why.

    Attributes:
        block: The block.
        count: Moments that spoke against it.
        backends: Backend servers that ended under it.
        request_ids: The requests of this content that ran there.
        tied: Whether it could not be told apart from others.
    """

    block: blocklist.Block
    count: int
    backends: tuple[str, ...]
    request_ids: tuple[str, ...]
    tied: bool


class PoisonDetector:
    """What speaks for and against contents, as an owner has seen it.

    Args:
        blocks: Where those that are found out go.
    """

    def __init__(self, blocks: blocklist.Blocklist) -> None:
        self.blocks = blocks
        self._moments: collections.deque[CrashGroup] = collections.deque(
            maxlen=MAX_MOMENTS
        )
        self._sound: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._ended_at: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self._counts: dict[str, int] = {}

    def is_suspect(self, content: str) -> bool:
        """Returns whether anything speaks against a content."""
        return content in self._counts or self.blocks.was_blocked(content)

    def get_crash_count(self, content: str) -> int:
        """Returns how many moments speak against a content."""
        return self._counts.get(content, 0)

    def record_crash(self, crash: Crash) -> list[Detection]:
        """Takes a backend server that ended; returns who is found out.

        Each request that was there tells of it; the first one counts.
        """
        if self.has_ended(crash):
            return []
        self._note_end(crash)
        self._forget_old(crash.at)
        if self._is_explained(crash):
            return []
        for content in crash.list_innocents():
            self._clear(content)
        if self._moments and self._moments[-1].takes(crash):
            self._moments[-1].crashes.append(crash)
        else:
            self._moments.append(CrashGroup(crash))
        return self._judge(crash.at)

    def exclude_request(self, request_id: str) -> None:
        """Notes that a request had not reached a backend server that ended."""
        for moment in self._moments:
            for crash in moment.crashes:
                if crash.runners.pop(request_id, None) is not None:
                    self._count()
                    return

    def record_success(self, content: str, now: float) -> list[Detection]:
        """Notes that a request has ended well; returns who is found out."""
        if not content:
            return []
        # A run that was sent before it was blocked has shown it innocent.
        self.blocks.lift(content, now)
        self._clear(content)
        return self._judge(now) if content in self._counts else []

    def _clear(self, content: str) -> None:
        """Notes that a content is innocent of what has been seen so far."""
        self._sound[content] = None
        self._sound.move_to_end(content)
        while len(self._sound) > MAX_SOUND:
            self._sound.popitem(last=False)
        if content in self._counts:
            for moment in self._moments:
                moment.clear(content)

    def has_ended(self, crash: Crash) -> bool:
        """Returns whether this run is known to have ended.

        One that does not tell its runs may end again once it had the time to
        start, under requests that were sent to it since.  A VM that stood still
        tells late of those that were sent before.
        """
        ended_at = self._ended_at.get((crash.backend, crash.run))
        if ended_at is None:
            return False
        if crash.run != 0 or crash.at - ended_at < RESTART_S:
            return True
        return all(r.sent_at <= ended_at for r in crash.runners.values())

    def _note_end(self, crash: Crash) -> None:
        self._ended_at[crash.backend, crash.run] = crash.at
        while len(self._ended_at) > MAX_ENDED:
            self._ended_at.popitem(last=False)

    def _is_explained(self, crash: Crash) -> bool:
        """Returns whether a blocked content was there, sent before it was."""
        return any(
            self.blocks.get_remaining_s(content, crash.at) > 0
            for content in crash.list_suspects()
        )

    def _forget_old(self, now: float) -> None:
        while self._moments and now - self._moments[0].at > FORGET_S:
            self._moments.popleft()

    def _count(self) -> None:
        """Counts the moments that speak against each content."""
        self._counts = collections.Counter(
            content
            for moment in self._moments
            for content in moment.list_suspects()
        )

    def _judge(self, now: float) -> list[Detection]:
        """Blocks whoever explains most, while that is enough."""
        verdicts: list[Detection] = []
        self._count()
        # Those that another VM has found out explain what was seen here.
        self._settle(
            c for c in self._counts if self.blocks.get_remaining_s(c, now)
        )
        self._count()
        while found := self._find_culprits():
            for content in found:
                verdicts.append(self._block(content, now, len(found) > 1))
            self._settle(found)
            self._count()
        return verdicts

    def _find_culprits(self) -> list[str]:
        """Returns the contents to block: several that cannot be told apart."""
        if again := [c for c in self._counts if self.blocks.was_blocked(c)]:
            # It was blocked before, and has done it again.
            return again
        if not self._counts:
            return []
        most = max(self._counts.values())
        first = [c for c, count in self._counts.items() if count == most]
        if len(first) > 1 and most < NEEDED_OF_TIED:
            return []
        return [c for c in first if most >= self._get_needed(c)]

    def _get_needed(self, content: str) -> int:
        return NEEDED_OF_SOUND if content in self._sound else NEEDED

    def _block(self, content: str, now: float, tied: bool) -> Detection:
        crashes = [
            crash
            for moment in self._moments
            if content in moment.list_suspects()
            for crash in moment.crashes
        ]
        ids = [
            runner.request_id
            for crash in crashes
            for runner in crash.runners.values()
            if runner.content == content
        ]
        count = self.get_crash_count(content)
        made = self.blocks.block(content, len(crashes), now)
        backends = tuple(crash.backend for crash in crashes)
        return Detection(made, count, backends, tuple(ids), tied)

    def _settle(self, culprits: Iterable[str]) -> None:
        """Drops the moments that are explained."""
        found = set(culprits)
        left = [m for m in self._moments if not found & m.list_suspects()]
        self._moments.clear()
        self._moments.extend(left)

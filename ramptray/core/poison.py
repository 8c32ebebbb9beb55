"""Detects poison requests, which crash the backend servers that run them.

A crash ends all requests on the server, and one crash does not show which of
them caused it.  Detection combines several crashes by these rules:

- What crashes servers is the content of a request, or a part of its prompt that
  other requests may have too.  Each of these causes is judged by itself.
- A poison request never completes.  The causes of one that completes are
  cleared.
- A poison request is present at each of its crashes.  Requests that were sent
  together share the same crashes, so what explains the most crashes is blocked
  first, and those crashes no longer count against other causes.
- Causes that all crashes have in common can't be told apart.  A block then
  covers only the requests that have all of them, so that others show whether
  one of them alone is harmless.
- Servers that crash together, in one group, have an external cause, unless the
  same cause ran on each of them.
- A poison request crashes the server soon after it starts.  The causes of one
  that has been streaming its response for a while are cleared, on whichever
  server it runs.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Collection, Iterable, Iterator

import msgspec

from ramptray.core import blocklist, message, suspicion

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

MAX_PROVEN_CAUSES = 4096
"""Causes that are remembered as having completed.  Frequent ones stay among the
most recent."""

MIN_GROUPS = 3
"""Crash groups required before a cause is blocked.  A harmless request is
retried once or twice; refusing it costs its caller more than one further crash
costs the other callers."""

MIN_GROUPS_PART = 5
"""Crash groups required for a part that most crashes do without.  Unlike a
content, which runs a few times, a part that many requests share meets several
crashes with an external cause before one of its requests completes."""

MIN_GROUPS_PROVEN = 8
"""Crash groups required for a cause that has completed before.  A frequent one
runs on every server that crashes, and completes rarely while most servers
crash."""

MIN_GROUPS_TIED = 5
"""Crash groups required to block the causes of several requests that share
exactly the same crashes.  They can't be distinguished any more, and one of them
costs a backend server each time."""


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

    @property
    def causes(self) -> frozenset[str]:
        """The digests of its content and its parts."""
        return message.make_causes(self.content, self.parts)

    @property
    def is_innocent(self) -> bool:
        """Whether its response began too long before the crash."""
        return (
            self.answered_s is not None and self.answered_s >= INNOCENT_AFTER_S
        )


class Crash(msgspec.Struct):
    """A crash of a backend server and the requests that ran on it.

    Attributes:
        backend: The backend server.
        run: Its run.
        at: When it crashed, by the owner's clock.
        runners: The requests that ran on it, by id.
        survivors: Causes of requests that have been responding on other servers
            for ``INNOCENT_AFTER_S``.
    """

    backend: str
    run: int
    at: float
    runners: dict[str, RunningRequest]
    survivors: frozenset[str] = frozenset()

    def list_suspects(self) -> set[str]:
        """Returns what may have caused the crash."""
        causes = (runner.causes for runner in self.runners.values())
        return set().union(*causes) - self.list_innocents()

    def list_innocents(self) -> set[str]:
        """Returns the causes of requests that survive them."""
        innocent = (
            runner.causes
            for runner in self.runners.values()
            if runner.is_innocent
        )
        return set(self.survivors).union(*innocent)


class CrashGroup:
    """Crashes close enough in time to share one cause.

    Attributes:
        crashes: The crashes; changed through ``add`` and ``exclude_request``.
        is_explained: Whether a block covers a request that ran at each of them.
        is_evidence: Whether it counts against causes.  The block of a content
            leaves open whether one of its parts is the cause, so the group then
            still counts against those parts.
    """

    def __init__(self, first: Crash) -> None:
        self.crashes = [first]
        self.is_explained = False
        self.is_evidence = True
        self._cleared: set[str] = set()
        self._only: frozenset[str] | None = None
        # Derived from the crashes, since each detection reads them often.
        self._suspects: set[str] = set()
        self._cause_sets: list[frozenset[str]] = []
        self._derive()

    def _derive(self) -> None:
        suspects = set.intersection(
            *(crash.list_suspects() for crash in self.crashes)
        )
        suspects -= self._cleared
        if self._only is not None:
            suspects &= self._only
        self._suspects = suspects
        self._cause_sets = [runner.causes for runner in self._iterate_runners()]

    def add(self, crash: Crash) -> None:
        """Adds a crash of the same moment."""
        self.crashes.append(crash)
        self._derive()

    def exclude_request(self, request_id: str) -> bool:
        """Removes a request; returns whether it was at one of the crashes."""
        found = [crash.runners.pop(request_id, None) for crash in self.crashes]
        if not any(found):
            return False
        self._derive()
        return True

    def includes(self, crash: Crash) -> bool:
        """Returns whether a crash belongs to this group."""
        since_last = crash.at - self.crashes[-1].at
        since_first = crash.at - self.crashes[0].at
        return since_last <= GROUP_GAP_S and since_first <= MAX_GROUP_SPAN_S

    @property
    def at(self) -> float:
        """The time of the last crash."""
        return self.crashes[-1].at

    def clear(self, cause: str) -> None:
        """Excludes a cause of this group."""
        self._cleared.add(cause)
        self._suspects.discard(cause)

    def explain(self, causes: frozenset[str]) -> None:
        """Keeps as suspects only what the requests with these causes have."""
        covered = frozenset().union(*self._iterate_cause_sets(causes))
        self._only = covered & self._suspects
        self._suspects = set(self._only)
        self.is_explained = True
        self.is_evidence = any(self.has_content(cause) for cause in causes)

    def has_content(self, cause: str) -> bool:
        """Returns whether a cause is the content of a request."""
        return any(
            runner.content == cause for runner in self._iterate_runners()
        )

    def list_suspects(self) -> set[str]:
        """Returns what may have caused every crash of it."""
        return self._suspects

    def includes_causes(self, causes: frozenset[str]) -> bool:
        """Returns whether one request had all these causes, still suspected."""
        return causes <= self._suspects and any(
            True for _ in self._iterate_cause_sets(causes)
        )

    def find_common_causes(self, cause: str) -> set[str]:
        """Returns the suspects that all requests with a suspect have."""
        with_cause = self._iterate_cause_sets(frozenset({cause}))
        return self._suspects.intersection(*with_cause)

    def list_cause_sets(self) -> list[frozenset[str]]:
        """Returns the suspected causes of each request."""
        return [causes & self._suspects for causes in self._cause_sets]

    def _iterate_cause_sets(
        self, wanted: frozenset[str]
    ) -> Iterator[frozenset[str]]:
        """Yields the causes of each request that has the wanted ones."""
        return (causes for causes in self._cause_sets if wanted <= causes)

    def _iterate_runners(self) -> Iterator[RunningRequest]:
        return itertools.chain.from_iterable(
            crash.runners.values() for crash in self.crashes
        )


class Detection(msgspec.Struct, frozen=True):
    """A new block and the evidence for it.

    Attributes:
        block: The block.
        count: Crash groups that it explains.
        backends: Backend servers that crashed under the requests it covers.
        request_ids: The requests that it covers and that ran on them.
        tied: Whether other requests were involved in the same crashes.
    """

    block: blocklist.Block
    count: int
    backends: tuple[str, ...]
    request_ids: tuple[str, ...]
    tied: bool


class PoisonDetector(suspicion.Suspicions):
    """Collects crashes and completions at an owner and blocks their causes.

    Args:
        blocks: The blocklist that detected causes are added to.
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

    def is_suspect(self, cause: str) -> bool:
        """Returns whether a cause is linked to a crash or was blocked."""
        return bool(self.find_suspects(frozenset({cause})))

    def find_suspects(self, causes: frozenset[str]) -> frozenset[str]:
        """See the base class."""
        former = (
            blocklist.split_key(block.content)
            for block in self.blocks.find_former(causes)
        )
        return (causes & self._counts.keys()).union(*former)

    def find_on_trial(self, causes: frozenset[str]) -> frozenset[str]:
        """See the base class."""
        return frozenset(
            cause
            for cause in self.find_suspects(causes)
            if cause not in self._proven
            or self._counts.get(cause, 0) >= MIN_GROUPS
        )

    def get_crash_count(self, cause: str) -> int:
        """Returns how many crash groups a cause may explain."""
        return self._counts.get(cause, 0)

    def record_crash(self, crash: Crash) -> list[Detection]:
        """Records a crash; returns new blocks.

        Each request on the server reports the crash; only the first counts.
        """
        if self.has_ended(crash):
            return []
        self._record_end(crash)
        self._drop_expired(crash.at)
        if self._is_covered(crash):
            return []
        for cause in crash.list_innocents():
            self._clear(cause)
        if self._groups and self._groups[-1].includes(crash):
            self._groups[-1].add(crash)
        else:
            self._groups.append(CrashGroup(crash))
        return self._detect(crash.at)

    def exclude_request(self, request_id: str) -> None:
        """Removes a request that had not reached the crashed server."""
        if any(group.exclude_request(request_id) for group in self._groups):
            self._update_counts()

    def record_success(
        self, content: str, now: float, parts: Iterable[str] = ()
    ) -> list[Detection]:
        """Records a completed request; returns new blocks.

        Args:
            content: Digest of its content; empty if unknown.
            now: The owner's clock in seconds.
            parts: Digests of the shared parts of its prompt.
        """
        causes = message.make_causes(content, parts)
        # It was sent before the block and completed, so the block was wrong.
        for block in self.blocks.find_former(causes):
            self.blocks.lift(block.content, now)
        was_suspect = not causes.isdisjoint(self._counts)
        for cause in causes:
            self._clear(cause)
        return self._detect(now) if was_suspect else []

    def _clear(self, cause: str) -> None:
        """Clears a cause of all crashes recorded so far."""
        self._proven[cause] = None
        self._proven.move_to_end(cause)
        while len(self._proven) > MAX_PROVEN_CAUSES:
            self._proven.popitem(last=False)
        if cause in self._counts:
            for group in self._groups:
                group.clear(cause)

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

    def _is_covered(self, crash: Crash) -> bool:
        """Returns whether a block covers a request that was sent before it."""
        return any(
            self.blocks.find_block(runner.causes, crash.at)
            for runner in crash.runners.values()
            if not runner.is_innocent
        )

    def _drop_expired(self, now: float) -> None:
        while self._groups and now - self._groups[0].at > CRASH_RETENTION_S:
            self._groups.popleft()

    def _update_counts(self) -> None:
        """Counts the crash groups that each cause may explain."""
        self._counts = _count_suspects(self._groups)

    def _detect(self, now: float) -> list[Detection]:
        """Blocks what explains the most crash groups.

        Repeats until no remaining cause reaches its threshold.
        """
        detections: list[Detection] = []
        self._update_counts()
        # What another VM has blocked explains the crashes seen here.
        self._explain(
            blocklist.split_key(block.content)
            for group in self._list_open_groups()
            for causes in group.list_cause_sets()
            if (block := self.blocks.find_block(causes, now))
        )
        while found := self._find_poison():
            detections += [
                self._block(causes, now, len(found) > 1) for causes in found
            ]
            self._explain(found)
        self._update_counts()
        return detections

    def _list_open_groups(self) -> list[CrashGroup]:
        """Returns the crash groups that no block explains."""
        return [group for group in self._groups if not group.is_explained]

    def _list_evidence(self) -> list[CrashGroup]:
        """Returns the crash groups that count against causes."""
        return [group for group in self._groups if group.is_evidence]

    def _explain(self, found: Iterable[frozenset[str]]) -> None:
        """Marks the crash groups that blocks of these causes explain."""
        blocked = set(found)
        for group in self._list_evidence():
            for causes in blocked:
                if group.includes_causes(causes):
                    group.explain(causes)

    def _find_poison(self) -> list[frozenset[str]]:
        """Returns what to block; several sets of causes if they are tied."""
        open_groups = self._list_open_groups()
        if len(self.blocks) and (again := self._find_former(open_groups)):
            return again
        groups = self._list_evidence()
        counts = _count_suspects(groups)
        frequent = (
            cause
            for cause in _count_suspects(open_groups)
            if counts[cause] >= MIN_GROUPS
        )
        eligible = frozenset(
            cause
            for cause in frequent
            if counts[cause] >= self._get_min_groups(cause, groups)
        )
        explained = {
            causes: tuple(g for g in groups if g.includes_causes(causes))
            for causes in {
                _find_common_causes(groups, cause) & eligible
                for cause in eligible
            }
        }
        # A cause that others have in common too may be harmless by itself.
        specific = [
            causes
            for causes in explained
            if not any(causes < other for other in explained)
        ]
        if not specific:
            return []
        first = max(specific, key=lambda causes: len(explained[causes]))
        tied = [c for c in specific if explained[c] == explained[first]]
        if len(tied) > 1 and len(explained[first]) < MIN_GROUPS_TIED:
            return []
        return tied

    def _find_former(self, groups: list[CrashGroup]) -> list[frozenset[str]]:
        """Returns what was blocked before and ran at one more crash.

        One more crash after an earlier block is enough.
        """
        return [
            blocklist.split_key(key)
            for key in {
                block.content
                for group in groups
                for causes in group.list_cause_sets()
                for block in self.blocks.find_former(causes)
            }
        ]

    def _get_min_groups(self, cause: str, groups: list[CrashGroup]) -> int:
        if cause in self._proven:
            return MIN_GROUPS_PROVEN
        linked = [cause in group.list_suspects() for group in groups]
        since = linked.index(True)
        is_in_most = 2 * sum(linked) >= len(linked) - since
        is_content = any(group.has_content(cause) for group in groups)
        return MIN_GROUPS if is_content or is_in_most else MIN_GROUPS_PART

    def _block(
        self, causes: frozenset[str], now: float, tied: bool
    ) -> Detection:
        groups = [
            group
            for group in self._list_evidence()
            if group.includes_causes(causes)
        ]
        crashes = [crash for group in groups for crash in group.crashes]
        runners = [
            runner
            for crash in crashes
            for runner in crash.runners.values()
            if causes <= runner.causes
        ]
        # A content determines its parts.
        contents = causes & {runner.content for runner in runners}
        covered = contents or sorted(
            causes, key=lambda cause: self._counts.get(cause, 0)
        )
        key = blocklist.make_key(
            itertools.islice(covered, blocklist.MAX_COVERED_CAUSES)
        )
        return Detection(
            self.blocks.block(
                key,
                len(crashes),
                now,
                blocklist.INITIAL_BLOCK_S
                if contents
                else blocklist.INITIAL_PART_BLOCK_S,
            ),
            len(groups),
            tuple(crash.backend for crash in crashes),
            tuple(runner.request_id for runner in runners),
            tied,
        )


def _count_suspects(groups: Iterable[CrashGroup]) -> dict[str, int]:
    """Returns how many crash groups each suspect may explain."""
    return collections.Counter(
        itertools.chain.from_iterable(group.list_suspects() for group in groups)
    )


def _find_common_causes(
    groups: Collection[CrashGroup], cause: str
) -> frozenset[str]:
    """Returns what all suspected requests with a cause have in common."""
    common = (
        group.find_common_causes(cause)
        for group in groups
        if group.includes_causes(frozenset({cause}))
    )
    return frozenset(set.intersection(*common))

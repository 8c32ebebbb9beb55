"""Candidate backend servers for a request, found at constant cost.

An owner may have hundreds of backend servers.  It considers only those that
probably hold the request's prefix, and a window over those with a free slot,
which advances with each decision.
"""

from __future__ import annotations

import collections
import itertools

from ramptray.core import backend as backends

WINDOW_SIZE = 16
"""Number of backend servers with a free slot that one decision considers."""

MAX_HOLDERS = 4
"""Maximum number of backend servers remembered per prefix block."""

MAX_INDEXED_BLOCKS = 50_000
"""Maximum number of prefix blocks in the index, evicted in LRU order."""


class FreeBackendPool:
    """The backend servers with a free slot, in no particular order."""

    def __init__(self) -> None:
        self._backends: list[backends.Backend] = []
        self._positions: dict[str, int] = {}
        self._cursor = 0

    def __len__(self) -> int:
        return len(self._backends)

    def update(self, known: backends.Backend) -> None:
        """Adds or removes a backend server, depending on its free slots."""
        name = known.info.name
        position = self._positions.get(name)
        if known.has_free_slot:
            if position is None:
                self._positions[name] = len(self._backends)
                self._backends.append(known)
            else:
                self._backends[position] = known
        elif position is not None:
            self._remove(name, position)

    def discard(self, name: str) -> None:
        """Removes a backend server, if present."""
        position = self._positions.get(name)
        if position is not None:
            self._remove(name, position)

    def next_window(self) -> list[backends.Backend]:
        """Returns the next ``WINDOW_SIZE`` backend servers, or all if fewer."""
        count = len(self._backends)
        if count <= WINDOW_SIZE:
            return list(self._backends)
        start = self._cursor % count
        self._cursor = start + WINDOW_SIZE
        ring = itertools.chain(
            self._backends[start : start + WINDOW_SIZE],
            self._backends[: max(0, start + WINDOW_SIZE - count)],
        )
        return list(ring)

    def _remove(self, name: str, position: int) -> None:
        last = self._backends.pop()
        del self._positions[name]
        if last.info.name != name:
            self._backends[position] = last
            self._positions[last.info.name] = position


class ReleasePools:
    """The backend servers with a free slot, together and by release.

    A stream that goes on may use one release only.  If few servers have it, the
    windows over all servers would rarely hold one of them.
    """

    def __init__(self) -> None:
        self._all = FreeBackendPool()
        self._by_release: dict[str, FreeBackendPool] = {}
        self._releases: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._all)

    def update(self, known: backends.Backend) -> None:
        """Adds or removes a backend server, depending on its free slots."""
        name, release = known.info.name, known.info.release
        if self._releases.get(name, release) != release:
            self.discard(name)
        self._releases[name] = release
        self._all.update(known)
        pool = self._by_release.setdefault(release, FreeBackendPool())
        pool.update(known)

    def discard(self, name: str) -> None:
        """Removes a backend server, if present."""
        self._all.discard(name)
        release = self._releases.pop(name, None)
        if release is not None:
            self._by_release[release].discard(name)
            if release not in self._releases.values():
                del self._by_release[release]

    def next_window(self, release: str | None = None) -> list[backends.Backend]:
        """Returns the next servers to consider.

        Args:
            release: Their release; None for any.
        """
        if release is None:
            return self._all.next_window()
        pool = self._by_release.get(release)
        return pool.next_window() if pool else []


class PrefixHolderIndex:
    """Maps a prefix block to the servers that computed it most recently."""

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def add(self, prefix: tuple[int, ...], name: str) -> None:
        """Records that a backend server computes these blocks."""
        for block in prefix:
            others = [n for n in self._holders.get(block, ()) if n != name]
            self._holders[block] = (name, *others[: MAX_HOLDERS - 1])
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_INDEXED_BLOCKS:
            self._holders.popitem(last=False)

    def find(self, prefix: tuple[int, ...]) -> tuple[str, ...]:
        """Returns the servers that hold the longest known part of a prefix."""
        known = self._holders
        if not prefix or prefix[0] not in known:
            return ()
        # Blocks are chained, so the last known one is found by binary search.
        low, high = 0, len(prefix) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle] in known:
                low = middle
            else:
                high = middle - 1
        return known[prefix[low]]

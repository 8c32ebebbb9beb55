"""Which backend servers are looked at for a request, at a flat cost.

An owner may have hundreds of backend servers.  It looks at those that probably
hold the request's prefix, and at a window over those with a free place that
moves on with each look.
"""

from __future__ import annotations

import collections
import itertools

from ramptray.core import backend as backends

WINDOW = 16
"""Backend servers with a free place that one decision looks at."""

HOLDERS = 4
"""Backend servers that are remembered for each prefix block."""

REMEMBERED_BLOCKS = 50_000
"""Prefix blocks that are remembered, least recently placed first out."""


class FreeBackendPool:
    """The backend servers with a free place, in no particular order."""

    def __init__(self) -> None:
        self._list: list[backends.Backend] = []
        self._places: dict[str, int] = {}
        self._cursor = 0

    def __len__(self) -> int:
        return len(self._list)

    def update(self, known: backends.Backend) -> None:
        """Takes a backend server in or out, as its places are now."""
        name = known.info.name
        place = self._places.get(name)
        if known.has_free_slot:
            if place is None:
                self._places[name] = len(self._list)
                self._list.append(known)
            else:
                self._list[place] = known
        elif place is not None:
            self._remove(name, place)

    def discard(self, name: str) -> None:
        """Takes a backend server out."""
        place = self._places.get(name)
        if place is not None:
            self._remove(name, place)

    def next_window(self) -> list[backends.Backend]:
        """Returns the next few backend servers; all, if there are few."""
        count = len(self._list)
        if count <= WINDOW:
            return list(self._list)
        start = self._cursor % count
        self._cursor = start + WINDOW
        ring = itertools.chain(
            self._list[start : start + WINDOW],
            self._list[: max(0, start + WINDOW - count)],
        )
        return list(ring)

    def _remove(self, name: str, place: int) -> None:
        last = self._list.pop()
        del self._places[name]
        if last.info.name != name:
            self._list[place] = last
            self._places[last.info.name] = place


class PrefixHolderIndex:
    """Remembers where requests with a prefix block went last."""

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[int, tuple[str, ...]] = (
            collections.OrderedDict()
        )

    def add(self, prefix: tuple[int, ...], name: str) -> None:
        """Notes that a backend server computes these blocks."""
        for block in prefix:
            others = [n for n in self._holders.get(block, ()) if n != name]
            self._holders[block] = (name, *others[: HOLDERS - 1])
            self._holders.move_to_end(block)
        while len(self._holders) > REMEMBERED_BLOCKS:
            self._holders.popitem(last=False)

    def find(self, prefix: tuple[int, ...]) -> tuple[str, ...]:
        """Returns the backend servers that share most of a prefix."""
        known = self._holders
        if not prefix or prefix[0] not in known:
            return ()
        # Blocks are chained: the deepest known one is found by halving.
        low, high = 0, len(prefix) - 1
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle] in known:
                low = middle
            else:
                high = middle - 1
        return known[prefix[low]]

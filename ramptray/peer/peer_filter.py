"""Decides which peers can be reached; failure tests simulate partitions."""

from __future__ import annotations

import abc
import json
import pathlib


class PeerFilter(abc.ABC):
    """Decides which peers can be reached."""

    @abc.abstractmethod
    def allows(self, address: str) -> bool:
        """Returns whether messages to and from an address may pass."""


class AllowAllPeers(PeerFilter):
    """Allows messages to and from all peers."""

    def allows(self, address: str) -> bool:
        """See the base class."""
        return True


class FilePeerFilter(PeerFilter):
    """Blocks the addresses listed in a file, for failure tests.

    Args:
        path: A JSON list of addresses; reloaded when it changes.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._modified_ns = 0
        self._blocked: frozenset[str] = frozenset()

    def allows(self, address: str) -> bool:
        """See the base class."""
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns != self._modified_ns:
                self._blocked = frozenset(json.loads(self._path.read_text()))
                self._modified_ns = modified_ns
        except (OSError, ValueError):
            pass  # Missing or partly written file: keep the previous list.
        return address not in self._blocked


def make_peer_filter(cut_file: str | None) -> PeerFilter:
    """Returns the peer filter for a setting ``cut_file``."""
    return (
        FilePeerFilter(pathlib.Path(cut_file)) if cut_file else AllowAllPeers()
    )

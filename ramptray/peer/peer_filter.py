"""Decides which peers can be reached; only failure tests cut any off."""

from __future__ import annotations

import abc
import json
import pathlib


class PeerFilter(abc.ABC):
    """Returns whether a peer can be reached."""

    @abc.abstractmethod
    def allows(self, address: str) -> bool:
        """Returns whether messages to and from an address get through."""


class AllowAllPeers(PeerFilter):
    """Lets everything through."""

    def allows(self, address: str) -> bool:
        """See the base class."""
        return True


class FilePeerFilter(PeerFilter):
    """Cuts off the addresses that a file lists, for failure tests.

    Args:
        path: A JSON list of addresses; read anew whenever it changes.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._changed_at = 0
        self._cut: frozenset[str] = frozenset()

    def allows(self, address: str) -> bool:
        """See the base class."""
        try:
            changed_at = self._path.stat().st_mtime_ns
            if changed_at != self._changed_at:
                self._cut = frozenset(json.loads(self._path.read_text()))
                self._changed_at = changed_at
        except (OSError, ValueError):
            pass  # No file, or one that is being written: as before.
        return address not in self._cut


def make_peer_filter(cut_file: str | None) -> PeerFilter:
    """Returns the gate that the settings ask for."""
    return (
        FilePeerFilter(pathlib.Path(cut_file)) if cut_file else AllowAllPeers()
    )

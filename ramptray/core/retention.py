"""How long facts on backend servers outlast their configuration.

A server whose service or record is removed works on, and a later configuration
or an older copy of the store may list it again.  What is known of its run still
holds then.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

RETENTION_S = 600.0
"""How long facts on a backend server are kept after the configuration has
stopped listing it, in seconds."""


class ServerRetention:
    """Tells which backend servers have not been listed for long."""

    def __init__(self) -> None:
        self._unlisted_since: dict[str, float] = {}

    def find_expired(
        self, known: Iterable[str], listed: Container[str], now: float
    ) -> set[str]:
        """Returns the servers that have not been listed for ``RETENTION_S``.

        Args:
            known: The servers that facts are kept of.
            listed: The servers of the configuration.
            now: Current time, in seconds of a monotonic clock.
        """
        self._unlisted_since = {
            name: self._unlisted_since.get(name, now)
            for name in known
            if name not in listed
        }
        return {
            name
            for name, since in self._unlisted_since.items()
            if now - since >= RETENTION_S
        }

    def renew(self, name: str) -> None:
        """Records that a server has just shown that it is at work."""
        self._unlisted_since.pop(name, None)

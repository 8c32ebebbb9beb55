"""Which releases of a service have served lately."""

from __future__ import annotations

import collections
import math
from collections.abc import Collection, Mapping

from ramptray.core import stream_origin


class ReleaseHistory:
    """Tracks the releases of each service, as far as this VM has seen them."""

    def __init__(self) -> None:
        self._known_since = math.inf
        self._listed: dict[str, frozenset[str]] = {}
        # When each release was listed last, by service.
        self._listed_until: collections.defaultdict[str, dict[str, float]] = (
            collections.defaultdict(dict)
        )

    def observe(
        self, releases: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Applies the releases that are listed now.

        Args:
            releases: The releases of all backend servers by service, also of
                those that are leaving.
            now: The current time, in seconds.
        """
        self._known_since = min(self._known_since, now)
        for service, listed in self._listed.items():
            for release in listed - frozenset(releases.get(service, ())):
                self._listed_until[service][release] = now
        self._listed = {
            service: frozenset(listed) for service, listed in releases.items()
        }
        self._forget_old(now)

    def record_gap(self, now: float) -> None:
        """Records that releases may have come and gone unseen."""
        self._known_since = now

    def find_only(self, service: str, now: float) -> str | None:
        """Returns the release that began all streams a caller may resume.

        Returns:
            The release; None if there were several, or if this VM has not seen
            all that served while such a stream may have begun.
        """
        if self._known_since > now - stream_origin.MAX_RETENTION_S:
            return None
        served = set(self._listed.get(service, ()))
        served.update(
            release
            for release, until in self._listed_until[service].items()
            if until > now - stream_origin.MAX_RETENTION_S
        )
        return served.pop() if len(served) == 1 else None

    def _forget_old(self, now: float) -> None:
        oldest = now - stream_origin.MAX_RETENTION_S
        for service, releases in list(self._listed_until.items()):
            kept = {r: until for r, until in releases.items() if until > oldest}
            if kept:
                self._listed_until[service] = kept
            else:
                del self._listed_until[service]

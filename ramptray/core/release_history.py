"""Which releases of a service have served lately."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import msgspec

from ramptray.core import stream_origin

UNLIMITED_S = 1e9
"""Length that is sent for a history without a beginning, in seconds."""


MIN_GAIN_S = 1.0
"""By how much a history must be longer to be adopted, in seconds.  Times of
arrival vary, so equal histories differ a little."""


class HistoryPage(msgspec.Struct, frozen=True):
    """A VM's history of releases, as VMs exchange it.

    Attributes:
        known_s: Seconds for which it is complete.
        position: End of the stream of replicas up to which it is complete.
        ages_s: Seconds since each release was listed last, by service; 0 for
            one that is listed.
    """

    known_s: float
    position: int
    ages_s: dict[str, dict[str, float]]


class ReleaseHistory:
    """Tracks the releases of each service, as far as this VM has seen them."""

    def __init__(self) -> None:
        # From when on, and from which position of the stream of replicas on,
        # no release was missed.
        self._known_since = math.inf
        self._begin = 0
        self._listed: dict[str, frozenset[str]] = {}
        # When each release was listed last, by service.
        self._listed_until: dict[str, dict[str, float]] = {}

    def observe(
        self, releases: Mapping[str, Collection[str]], now: float
    ) -> bool:
        """Applies the releases that are listed now.

        Args:
            releases: The releases of all backend servers by service, also of
                those that are leaving.
            now: The current time, in seconds.

        Returns:
            Whether they are others than before.
        """
        before = self._listed
        for service, listed in before.items():
            for release in listed - frozenset(releases.get(service, ())):
                self._record_listed(service, release, now)
        self._listed = {
            service: frozenset(listed) for service, listed in releases.items()
        }
        self._forget_old(now)
        return self._listed != before

    def begin(self, since: float, position: int) -> None:
        """Begins anew, as releases may have come and gone unseen.

        Args:
            since: From when on none was missed, in seconds; minus infinity if
                nothing has served before.
            position: End of the stream of replicas that is known here.
        """
        self._known_since = since
        self._begin = position

    def get_length_s(self, now: float) -> float:
        """Returns for how many seconds no release was missed."""
        return max(0.0, now - self._known_since)

    def make_page(self, position: int, now: float) -> HistoryPage:
        """Returns the history for another VM.

        Args:
            position: End of the stream of replicas that is known here.
            now: The current time, in seconds.
        """
        ages_s = {
            service: {release: now - until for release, until in ends.items()}
            for service, ends in self._listed_until.items()
        }
        for service, listed in self._listed.items():
            ages_s.setdefault(service, {}).update(dict.fromkeys(listed, 0.0))
        known_s = min(self.get_length_s(now), UNLIMITED_S)
        return HistoryPage(known_s, position, ages_s)

    def adopt(self, page: HistoryPage, now: float) -> bool:
        """Extends this history by that of another VM, if the two overlap.

        Args:
            page: The history of the other VM.
            now: When it was received, in seconds.

        Returns:
            Whether it was longer by ``MIN_GAIN_S`` and overlaps.
        """
        gain_s = page.known_s - self.get_length_s(now)
        if page.position < self._begin or gain_s < MIN_GAIN_S:
            return False
        self._known_since = now - page.known_s
        for service, ages_s in page.ages_s.items():
            for release, age_s in ages_s.items():
                self._record_listed(service, release, now - age_s)
        self._forget_old(now)
        return True

    def find_only(self, service: str, span_s: float, now: float) -> str | None:
        """Returns the only release that has served for some time.

        Args:
            service: The service.
            span_s: The time up to now, in seconds.
            now: The current time, in seconds.

        Returns:
            The release; None if there were several, or if this VM does not know
            all that served in that time.
        """
        if self._known_since > now - span_s:
            return None
        served = set(self._listed.get(service, ()))
        served.update(
            release
            for release, until in self._listed_until.get(service, {}).items()
            if until > now - span_s
        )
        return served.pop() if len(served) == 1 else None

    def _record_listed(self, service: str, release: str, until: float) -> None:
        ends = self._listed_until.setdefault(service, {})
        ends[release] = max(until, ends.get(release, -math.inf))

    def _forget_old(self, now: float) -> None:
        oldest = now - stream_origin.MAX_RETENTION_S
        kept = {
            service: {r: until for r, until in ends.items() if until > oldest}
            for service, ends in self._listed_until.items()
        }
        self._listed_until = {s: ends for s, ends in kept.items() if ends}

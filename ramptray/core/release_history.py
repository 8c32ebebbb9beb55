"""Which releases of a service have served lately."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Mapping

import msgspec

from ramptray.core import stream_origin

UNLIMITED_S = 1e9
"""Length that is sent for a history without a beginning, in seconds."""


MIN_GAIN_S = 1.0
"""By how much a history must be longer to be adopted, in seconds.  Times of
arrival vary, so equal histories differ a little."""


class Evidence(enum.Enum):
    """What a history of releases rests on.

    Attributes:
        OBSERVED: This VM has seen all that was listed.
        PEER: The history of another VM.
        RECORD: The release record and all records of replicas since.
        STREAM_BEGIN: All records of replicas that there have ever been.
    """

    OBSERVED = "observed"
    PEER = "peer"
    RECORD = "record"
    STREAM_BEGIN = "stream_begin"


class Basis(msgspec.Struct, frozen=True):
    """What statements about former releases rest on.

    Attributes:
        length_s: Seconds for which no release was missed.
        evidence: What shows that.
        peer_evidence: What the history of the other VM rests on, if the
            evidence is that history; None if it does not say.
    """

    length_s: float
    evidence: Evidence
    peer_evidence: Evidence | None = None


class HistoryPage(msgspec.Struct, frozen=True):
    """A VM's history of releases, as VMs exchange it.

    Attributes:
        known_s: Seconds for which it is complete.
        position: End of the stream of replicas up to which it is complete.
        ages_s: Seconds since each release was listed last, by service; 0 for
            one that is listed.
        evidence: What it rests on, never the history of yet another VM; None
            from VMs of an older version.
    """

    known_s: float
    position: int
    ages_s: dict[str, dict[str, float]]
    evidence: Evidence | None = None


class ReleaseHistory:
    """Tracks the releases of each service, as far as this VM has seen them."""

    def __init__(self) -> None:
        # From when on, and from which position of the stream of replicas on,
        # no release was missed.
        self._known_since = math.inf
        # From when on this VM has seen all by itself.
        self._observed_since = math.inf
        self._begin = 0
        # What the time before that rests on.
        self._evidence = Evidence.OBSERVED
        self._peer_evidence: Evidence | None = None
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
            since: From when on none was missed, in seconds.
            position: End of the stream of replicas that is known here.
        """
        self._known_since = self._observed_since = since
        self._begin = position
        self._set_evidence(Evidence.OBSERVED)

    def restore(
        self,
        releases: Mapping[str, Collection[str]],
        evidence: Evidence,
        now: float,
    ) -> None:
        """Completes the history over the whole span from what the store shows.

        Args:
            releases: The releases that may have begun a stream up to now, by
                service.
            evidence: What shows that there were no others.
            now: The time up to which they count as listed, in seconds.
        """
        for service, listed in releases.items():
            for release in listed:
                self._record_listed(service, release, now)
        self._known_since = min(self._known_since, now - stream_origin.SPAN_S)
        self._set_evidence(evidence)

    def get_length_s(self, now: float) -> float:
        """Returns for how many seconds no release was missed."""
        return max(0.0, now - self._known_since)

    def describe(self, now: float) -> Basis:
        """Returns what statements about former releases rest on now."""
        length_s = min(self.get_length_s(now), UNLIMITED_S)
        if self.get_observed_s(now) >= stream_origin.SPAN_S:
            return Basis(length_s, Evidence.OBSERVED)
        return Basis(length_s, self._evidence, self._peer_evidence)

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
        basis = self.describe(now)
        evidence: Evidence | None = basis.evidence
        if evidence is Evidence.PEER:
            evidence = basis.peer_evidence
        return HistoryPage(basis.length_s, position, ages_s, evidence)

    def adopt(self, page: HistoryPage, now: float) -> bool:
        """Extends this history by that of another VM, if the two overlap.

        Args:
            page: The history of the other VM.
            now: When it was received, in seconds.

        Returns:
            Whether it was longer by ``MIN_GAIN_S``, overlaps and says on what
            it rests.  VMs of older versions, which do not, take a start for
            the first one because their settings say so.
        """
        if page.evidence is None:
            return False
        gain_s = page.known_s - self.get_length_s(now)
        if page.position < self._begin or gain_s < MIN_GAIN_S:
            return False
        self._known_since = now - page.known_s
        self._set_evidence(Evidence.PEER, page.evidence)
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

    def compute_wait_s(self, service: str, span_s: float, now: float) -> float:
        """Returns how long no release can be certain if nothing changes.

        Args:
            service: The service.
            span_s: The time for which it must have served alone, in seconds.
            now: The current time, in seconds.

        Returns:
            The time in seconds; infinity while several releases are listed.
        """
        listed = self._listed.get(service, frozenset())
        if len(listed) > 1:
            return math.inf
        ends = sorted(
            until
            for release, until in self._listed_until.get(service, {}).items()
            if release not in listed
        )
        # Without a listed release the one that went last is left.
        others = ends if listed else ends[:-1]
        return max(0.0, max([self._known_since, *others]) + span_s - now)

    def get_observed_s(self, now: float) -> float:
        """Returns for how many seconds this VM itself has missed no release."""
        return max(0.0, now - self._observed_since)

    def _set_evidence(
        self, evidence: Evidence, peer_evidence: Evidence | None = None
    ) -> None:
        self._evidence = evidence
        self._peer_evidence = peer_evidence

    def _record_listed(self, service: str, release: str, until: float) -> None:
        ends = self._listed_until.setdefault(service, {})
        ends[release] = max(until, ends.get(release, -math.inf))

    def _forget_old(self, now: float) -> None:
        oldest = now - stream_origin.SPAN_S
        kept = {
            service: {r: until for r, until in ends.items() if until > oldest}
            for service, ends in self._listed_until.items()
        }
        self._listed_until = {s: ends for s, ends in kept.items() if ends}

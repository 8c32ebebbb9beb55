"""Finds the release at which a caller's stream has to go on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.core import release_history, stream_origin
from ramptray.entry import origin_store
from ramptray.relay import message, refusal

SEARCH_RETRY_S = 1.0
"""Retry-After where a VM that may know the stream did not answer, in seconds:
by then the membership has replaced a lost one."""

REFUSAL_TEXTS = {
    stream_origin.Source.AMBIGUOUS: "ambiguous_stream",
    stream_origin.Source.UNKNOWN: "unknown_stream",
    stream_origin.Source.UNNAMED: "unnamed_stream",
}


class ResumptionResolver:
    """Finds what began the streams that callers resume.

    Args:
        origins: The origins that this VM and others keep.
        history: The releases that have served.
        confirm_current: Returns whether this VM knows all backend servers that
            were registered up to the call.
    """

    def __init__(
        self,
        origins: origin_store.OriginStore,
        history: release_history.ReleaseHistory,
        confirm_current: Callable[[], Awaitable[bool]],
    ) -> None:
        self._origins = origins
        self._history = history
        self._confirm_current = confirm_current

    async def resolve(
        self,
        request: message.CallerRequest,
        route: model.Route,
        customer: str,
    ) -> origin_store.Finding:
        """Returns what began the stream that a caller resumes.

        Args:
            request: The caller's request.
            route: The route that matched it.
            customer: The customer whose key the caller holds.
        """
        finding = origin_store.Finding(stream_origin.Source.UNNAMED)
        if request.resumes:
            key = stream_origin.make_key(customer, request.resumes)
            finding = await self._origins.find(key)
            if finding.source is stream_origin.Source.UNKNOWN:
                elsewhere = await self._origins.find_in_other_zones(key)
                if elsewhere.source is not stream_origin.Source.UNKNOWN:
                    finding = elsewhere
        if finding.origin or finding.source is stream_origin.Source.AMBIGUOUS:
            self._origins.count_resumed(finding.source)
            return finding
        origin = await self._find_only_origin(route)
        if origin is not None:
            finding = origin_store.Finding(
                stream_origin.Source.ONLY_RELEASE, origin
            )
        self._origins.count_resumed(finding.source)
        return finding

    async def _find_only_origin(
        self, route: model.Route
    ) -> stream_origin.Origin | None:
        """Returns the origin of all streams of a route, if it is certain.

        A release that another VM already uses may not be known here yet, so
        this VM first makes sure that it has read all records.
        """
        services = {target.service for target in route.targets}
        if len(services) != 1:
            return None
        (service,) = services
        span_s = route.timeout_s + stream_origin.RETENTION_MARGIN_S
        now = steadyclock.read()
        release = self._history.find_only(service, span_s, now)
        if release is None or not await self._confirm_current():
            return None
        now = steadyclock.read()
        if self._history.find_only(service, span_s, now) != release:
            return None
        return stream_origin.Origin(service, release)


def make_refusal(finding: origin_store.Finding) -> refusal.Refusal:
    """Returns the refusal of a stream whose origin is not known."""
    retry_after_s = 0.0 if finding.is_complete else SEARCH_RETRY_S
    return refusal.Refusal(
        refusal.UNAVAILABLE, REFUSAL_TEXTS[finding.source], retry_after_s
    )

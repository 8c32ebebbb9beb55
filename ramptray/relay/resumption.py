"""Finds the release at which a caller's stream has to go on."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from ramptray import steadyclock
from ramptray.bundle import model
from ramptray.core import release_history, route_history, stream_origin
from ramptray.entry import origin_store
from ramptray.relay import message, refusal

SEARCH_RETRY_S = 1.0
"""Retry-After where a VM that may know the stream did not answer, in seconds:
by then the membership has replaced a lost one."""

SETTLE_S = 2.0
"""Time after which a VM's history of releases is no longer expected to be
completed by what other VMs or the store know, in seconds: several of them have
been asked by then."""

MIN_RETRY_S = 0.1
"""Shortest Retry-After, in seconds.  A 0 would be no advice."""

REFUSAL_TEXTS = {
    stream_origin.Source.AMBIGUOUS: "ambiguous_stream",
    stream_origin.Source.UNKNOWN: "unknown_stream",
    stream_origin.Source.UNNAMED: "unnamed_stream",
}


class Resolution(msgspec.Struct, frozen=True):
    """At which release a caller's stream goes on, or why at none.

    Attributes:
        finding: What began the stream, if that is known.
        retry_after_s: Seconds for which the reason stands, if it is known of no
            release.
        span_s: Seconds for which the history of releases was asked; None if it
            was not.
        basis: What the history rests on; None likewise.
    """

    finding: origin_store.Finding
    retry_after_s: float = stream_origin.SPAN_S
    span_s: float | None = None
    basis: release_history.Basis | None = None


class ResumptionResolver:
    """Finds what began the streams that callers resume.

    Args:
        origins: The origins that this VM and others keep.
        history: The releases that have served.
        routes: The services that routes have led to.
        confirm_current: Returns whether this VM knows all backend servers that
            were registered up to the call.
    """

    def __init__(
        self,
        origins: origin_store.OriginStore,
        history: release_history.ReleaseHistory,
        routes: route_history.RouteHistory,
        confirm_current: Callable[[], Awaitable[bool]],
    ) -> None:
        self._origins = origins
        self._history = history
        self._routes = routes
        self._confirm_current = confirm_current

    async def resolve(
        self,
        request: message.CallerRequest,
        route: model.Route,
        customer: str,
    ) -> Resolution:
        """Returns what began the stream that a caller resumes.

        Args:
            request: The caller's request.
            route: The route that matched it.
            customer: The customer whose key the caller holds.
        """
        finding = origin_store.Finding(stream_origin.Source.UNNAMED)
        key: bytes | None = None
        if request.resumes:
            key = stream_origin.make_key(customer, request.resumes)
            finding = await self._origins.find(key)
            if finding.source is stream_origin.Source.UNKNOWN:
                elsewhere = await self._origins.find_in_other_zones(key)
                finding = msgspec.structs.replace(
                    elsewhere,
                    is_complete=finding.is_complete and elsewhere.is_complete,
                )
        if finding.origin or finding.source is stream_origin.Source.AMBIGUOUS:
            self._origins.count_resumed(finding.source)
            return Resolution(finding)
        only = await self._find_only_origin(route)
        retry_after_s = 0.0
        match only:
            case Ok(origin):
                finding = origin_store.Finding(
                    stream_origin.Source.ONLY_RELEASE, origin
                )
            case Err(wait_s):
                if key is not None:
                    finding = await self._find_stored(key, finding)
                retry_after_s = (
                    wait_s if finding.is_complete else SEARCH_RETRY_S
                )
        self._origins.count_resumed(finding.source)
        basis = self._history.describe(steadyclock.read())
        return Resolution(finding, retry_after_s, stream_origin.SPAN_S, basis)

    async def _find_stored(
        self, key: bytes, unknown: origin_store.Finding
    ) -> origin_store.Finding:
        """Returns what the store knows of a stream that no VM knows.

        Args:
            key: The stream's key.
            unknown: What the VMs have answered.
        """
        stored = await self._origins.find_stored(key)
        return msgspec.structs.replace(
            stored, is_complete=stored.is_complete and unknown.is_complete
        )

    async def _find_only_origin(
        self, route: model.Route
    ) -> Result[stream_origin.Origin, float]:
        """Returns the origin of all streams of a route, if it is certain.

        A release that another VM already uses may not be known here yet, so
        this VM first makes sure that it has read all records.

        Returns:
            The origin, or in how many seconds it may be certain.
        """
        services = self._routes.list_services(
            route, stream_origin.SPAN_S, steadyclock.read()
        )
        if len(services) != 1:
            return Err(stream_origin.SPAN_S)
        (service,) = services
        release = self._find_only_release(service)
        if release is None:
            return Err(self._compute_retry_s(service))
        if not await self._confirm_current():
            return Err(SEARCH_RETRY_S)
        if self._find_only_release(service) != release:
            return Err(self._compute_retry_s(service))
        return Ok(stream_origin.Origin(service, release))

    def _find_only_release(self, service: str) -> str | None:
        return self._history.find_only(
            service, stream_origin.SPAN_S, steadyclock.read()
        )

    def _compute_retry_s(self, service: str) -> float:
        """Returns in how many seconds one release may be certain."""
        now = steadyclock.read()
        wait_s = self._history.compute_wait_s(
            service, stream_origin.SPAN_S, now
        )
        if math.isinf(wait_s):
            return stream_origin.SPAN_S
        if self._history.get_observed_s(now) < SETTLE_S:
            return SEARCH_RETRY_S
        return max(wait_s, MIN_RETRY_S)


def make_refusal(resolution: Resolution) -> refusal.Refusal:
    """Returns the refusal of a stream whose origin is not known."""
    return refusal.Refusal(
        refusal.UNAVAILABLE,
        REFUSAL_TEXTS[resolution.finding.source],
        resolution.retry_after_s,
    )

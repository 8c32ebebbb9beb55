"""Admits relayed requests: route, key and token counts, then the exchange."""

from __future__ import annotations

import logging

import msgspec

from ramptray import steadyclock
from ramptray import timeline as timelines
from ramptray.bundle import acceptance, model
from ramptray.caller import metrics as caller_metrics
from ramptray.core import message as core_message
from ramptray.core import release_history, stream_origin
from ramptray.entry import dispatcher as dispatchers
from ramptray.entry import origin_store
from ramptray.relay import answer as answers
from ramptray.relay import client as relay_client
from ramptray.relay import (
    content,
    exchange,
    message,
    refusal,
    resumption,
    routing,
)

LOG = logging.getLogger(__name__)

UNAUTHORIZED = 401
NOT_FOUND = 404

MAX_WAIT_FRACTION = 0.45
"""Largest share of the caller's patience that a request may spend waiting; if
it is refused after more than half, the caller has no time left to retry."""

CONFIG_WAIT_S = 0.3
"""How long a request waits, in seconds, for the first configuration of a VM
that has just started.  The store's newest records arrive within some 20 ms, or
about 0.25 s while the store is slow; a longer wait would use up most of a
route's objective."""

MAX_LOGGED_HOST_CHARS = 255
"""Longest host from a caller that is logged: the longest name in DNS."""

MAX_LOGGED_ID_CHARS = 64
"""Longest id from a caller that is logged."""


class _Admission(msgspec.Struct, frozen=True):
    """A request that may be served.

    Attributes:
        request: The caller's request.
        bundle: The bundle by which it is served.
        route: The route that matched it.
        customer: The customer; empty on a public route without a key.
    """

    request: message.CallerRequest
    bundle: model.Bundle
    route: model.Route
    customer: str

    @property
    def is_resumption(self) -> bool:
        """Whether the caller holds the beginning of a stream."""
        is_stream = self.route.kind is model.RouteKind.STREAM
        return is_stream and bool(self.request.last_event)


class RelayService:
    """Serves relayed requests according to the bundle in force.

    Args:
        zone: The zone whose schedulers place the requests.
        dispatcher: Submits requests to the schedulers.
        client: Connection pool to backend servers.
        metrics: Counters and histograms.
        timeline: Records refused requests.
        origins: Records what began streams.
        resumptions: Finds what began streams that callers resume.
        content_key: Secret key of the content digests.
    """

    def __init__(
        self,
        zone: str,
        dispatcher: dispatchers.Dispatcher,
        client: relay_client.RelayClient,
        metrics: caller_metrics.Metrics,
        timeline: timelines.Timeline,
        origins: origin_store.OriginStore,
        resumptions: resumption.ResumptionResolver,
        content_key: bytes = b"",
    ) -> None:
        self._content_key = content_key
        self._zone = zone
        self._dispatcher = dispatcher
        self._client = client
        self._metrics = metrics
        self._timeline = timeline
        self._origins = origins
        self._resumptions = resumptions
        self._routes = routing.RouteTable({})
        self._in_force: acceptance.InForce | None = None

    async def serve(
        self, request: message.CallerRequest, writer: answers.ResponseWriter
    ) -> None:
        """Serves one request until its response has ended."""
        in_force = await self._dispatcher.backends.wait_for_bundle(
            CONFIG_WAIT_S
        )
        if in_force is None:
            await self._refuse(request, writer, refusal.NOT_READY)
            return
        routed = await self._route_request(request, in_force)
        if isinstance(routed, refusal.Refusal):
            await self._refuse(request, writer, routed)
            return
        await self._run_exchange(routed, writer)

    async def _route_request(
        self, request: message.CallerRequest, in_force: acceptance.InForce
    ) -> answers.RoutedRequest | refusal.Refusal:
        """Returns the request with its route, or the refusal to send.

        A request that resumes a stream waits until its origin is known.
        """
        admitted = self._admit(request, in_force)
        if isinstance(admitted, refusal.Refusal):
            return admitted
        if not admitted.is_resumption:
            return self._route(admitted, None)
        asked_at = steadyclock.read()
        origin = await self._find_origin(admitted)
        if isinstance(origin, refusal.Refusal):
            return origin
        waited_s = steadyclock.read() - asked_at
        # The configuration may have changed in the meantime.
        admitted = self._admit(
            _shorten_deadline(request, admitted.route, waited_s),
            self._dispatcher.in_force or in_force,
        )
        if isinstance(admitted, refusal.Refusal):
            return admitted
        return self._route(admitted, origin)

    async def _find_origin(
        self, admitted: _Admission
    ) -> stream_origin.Origin | refusal.Refusal:
        """Returns what began the stream that a caller resumes, or a refusal."""
        request = admitted.request
        resolution = await self._resumptions.resolve(
            request, admitted.route, admitted.customer
        )
        finding = resolution.finding
        origin = finding.origin
        self._timeline.note(
            "resume",
            request.request_id,
            resumes=(request.resumes or "")[:MAX_LOGGED_ID_CHARS] or None,
            last_event=(request.last_event or "")[:MAX_LOGGED_ID_CHARS],
            service=origin.service if origin else None,
            release=origin.release if origin else None,
            source=finding.source.value,
            all_answered=finding.is_complete,
            retry_after_s=(
                None if origin else round(resolution.retry_after_s, 3)
            ),
            span_s=resolution.span_s,
            **_describe_basis(resolution.basis),
        )
        return origin or resumption.make_refusal(resolution)

    async def _run_exchange(
        self, routed: answers.RoutedRequest, writer: answers.ResponseWriter
    ) -> None:
        active = exchange.Exchange(
            routed, self._dispatcher, self._client, writer, self._origins
        )
        started_at = steadyclock.read()
        tier = routed.info.tier
        try:
            await active.run()
        finally:
            self._metrics.count_end(
                tier, active.outcome, routed.route.kind.value
            )
            if active.cut_cause:
                self._metrics.count_cut(
                    active.cut_cause, routed.route.kind.value
                )
            self._metrics.record(
                "answer", tier, steadyclock.read() - started_at
            )
            if active.first_event_s is not None:
                self._metrics.record("first_event", tier, active.first_event_s)

    async def _refuse(
        self,
        request: message.CallerRequest,
        writer: answers.ResponseWriter,
        refused: refusal.Refusal,
    ) -> None:
        generation = self._in_force.generation if self._in_force else None
        self._timeline.note(
            "refused",
            request.request_id,
            status=refused.status,
            reason=refused.text,
            host=request.host[:MAX_LOGGED_HOST_CHARS],
            generation=generation,
        )
        self._metrics.count_end("", "refused", refused.text)
        await writer.refuse(refused)

    def _admit(
        self, request: message.CallerRequest, in_force: acceptance.InForce
    ) -> _Admission | refusal.Refusal:
        """Returns the route and customer of a request, or the refusal."""
        bundle = in_force.bundle
        if (
            self._in_force is None
            or self._in_force.bundle.routes is not bundle.routes
        ):
            # Most bundles change only backend servers; keep the route table.
            self._routes = routing.RouteTable(bundle.routes)
        self._in_force = in_force
        # The body may have been read before this limit was known.
        if len(request.body) > bundle.relay.body_bytes:
            return refusal.Refusal(refusal.CONTENT_TOO_LARGE, "body too large")
        route = self._routes.find(request.host, request.target)
        if route is None:
            return refusal.Refusal(NOT_FOUND, "no_route")
        customer = ""
        if not route.public:
            found = bundle.get_customer_by_key(request.key or "")
            if found is None:
                return refusal.Refusal(UNAUTHORIZED, "unknown_key")
            customer = found
        return _Admission(request, bundle, route, customer)

    def _route(
        self, admitted: _Admission, origin: stream_origin.Origin | None
    ) -> answers.RoutedRequest | refusal.Refusal:
        """Returns the request with its service, or the refusal to send.

        Args:
            admitted: The request.
            origin: What began the stream that it resumes; None if it resumes
                none.
        """
        route = admitted.route
        service = routing.pick_service(route, admitted.request.request_id)
        if origin is not None:
            service = origin.service
            if service not in {target.service for target in route.targets}:
                return refusal.Refusal(
                    refusal.UNAVAILABLE, "service_left", stream_origin.SPAN_S
                )
        if service not in admitted.bundle.services:
            return refusal.Refusal(
                refusal.UNAVAILABLE, "no_service", refusal.NOT_READY_RETRY_S
            )
        routed = self._build_routed_request(
            admitted.request,
            admitted.bundle,
            route,
            admitted.customer,
            service,
        )
        if origin is None:
            return routed
        info = msgspec.structs.replace(routed.info, release=origin.release)
        return msgspec.structs.replace(routed, info=info)

    def _build_routed_request(
        self,
        request: message.CallerRequest,
        bundle: model.Bundle,
        route: model.Route,
        customer: str,
        service: str,
    ) -> answers.RoutedRequest:
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        declared = bundle.customers.get(customer)
        tier = _pick_tier(declared, route)
        patience_s = min(route.patience_s or timeout_s, timeout_s)
        prompt = request.prompt_tokens
        if prompt is None:
            prompt = model.UNSIZED_TOKENS
        engine = bundle.engines.get(service)
        event_tokens = engine.tokens_per_event if engine else 1
        info = core_message.RequestInfo(
            request_id=request.request_id,
            shard=core_message.ShardKey(self._zone, service),
            customer=customer,
            tier=tier,
            prompt_tokens=prompt,
            output_tokens=request.likely_tokens or request.output_tokens,
            prefix=request.prefix,
            prefix_tokens=request.prefix_tokens,
            route=route.path_prefix,
            deadline_s=timeout_s,
            limit_tokens=_count_tokens(request, declared),
            repeatable=_is_repeatable(route),
            max_attempts=route.max_attempts,
            objective_s=route.objective_s,
            wait_s=patience_s * MAX_WAIT_FRACTION,
            max_gap_s=route.max_gap_s,
            event_tokens=event_tokens,
            content=content.make_digest(request, customer, self._content_key),
            parts=content.make_part_digests(
                request, service, self._content_key
            ),
            regions=_intersect(
                route.regions, declared.regions if declared else None
            ),
        )
        return answers.RoutedRequest(
            request, info, route, customer, timeout_s, event_tokens
        )


def _describe_basis(
    basis: release_history.Basis | None,
) -> dict[str, float | str | None]:
    """Returns what an only release rests on, for logs."""
    if basis is None:
        return {}
    return {
        "history_s": round(basis.length_s, 3),
        "evidence": basis.evidence.value,
        "peer_evidence": (
            basis.peer_evidence.value if basis.peer_evidence else None
        ),
    }


def _shorten_deadline(
    request: message.CallerRequest, route: model.Route, waited_s: float
) -> message.CallerRequest:
    """Returns a request with the time that is left after it has waited."""
    timeout_s = route.timeout_s
    if request.deadline_s is not None:
        timeout_s = min(timeout_s, request.deadline_s)
    left_s = max(0.0, timeout_s - waited_s)
    return msgspec.structs.replace(request, deadline_s=left_s)


def _pick_tier(customer: model.Customer | None, route: model.Route) -> str:
    if customer is None:
        return route.tier
    return customer.route_tiers.get(route.tier, customer.tiers[0])


def _intersect(
    first: list[str] | None, second: list[str] | None
) -> tuple[str, ...] | None:
    """Returns the regions in both lists; None means any region."""
    if first is None or second is None:
        either = second if first is None else first
        return None if either is None else tuple(either)
    return tuple(region for region in first if region in second)


def _count_tokens(
    request: message.CallerRequest, customer: model.Customer | None
) -> int:
    """Returns how many tokens to charge to the customer's limit."""
    if request.prompt_tokens is not None:
        return request.prompt_tokens + request.output_tokens
    if customer is None:
        return model.UNSIZED_TOKENS
    return customer.limits.unsized_tokens


def _is_repeatable(route: model.Route) -> bool:
    if route.kind is model.RouteKind.STREAM:
        return route.resumable
    return route.kind is model.RouteKind.SAFE

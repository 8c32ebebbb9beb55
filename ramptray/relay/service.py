"""Takes relayed requests in: route, key, sizes, then the exchange."""

from __future__ import annotations

import logging

from ramptray import steadyclock
from ramptray import timeline as timelines
from ramptray.bundle import acceptance, model
from ramptray.caller import metrics
from ramptray.core import message as core_message
from ramptray.entry import dispatcher
from ramptray.relay import client as relay_client
from ramptray.relay import content, exchange, message, refusal, routing

LOG = logging.getLogger(__name__)

UNAUTHORIZED = 401
NOT_FOUND = 404

MAX_WAIT_FRACTION = 0.45
"""Part of a caller's patience that its request may wait before it is refused: a
refusal after more than half of it leaves no time to come back."""

IN_FORCE_WAIT_S = 0.3
"""How long a request waits for the first configuration of a VM that has just
started, in seconds: the store's newest records arrive within some 20 ms, and
within about 0.25 s while it is slow.  Longer would be most of an objective."""

NOT_READY_RETRY_S = 0.3
"""When to come back to a VM that has no configuration yet, in seconds: the
caller meets another VM then."""


class RelayService:
    """Serves relayed requests by the bundle in force.

    Args:
        zone: The zone whose schedulers are asked.
        desk: The dispatcher.
        client: Connections to backend servers.
        measures: Counters and histograms.
        events: The time line.
        content_key: Secret that goes into the digests of contents.
    """

    def __init__(
        self,
        zone: str,
        desk: dispatcher.Dispatcher,
        client: relay_client.RelayClient,
        measures: metrics.Metrics,
        events: timelines.Timeline,
        content_key: bytes = b"",
    ) -> None:
        self._content_key = content_key
        self._zone = zone
        self._desk = desk
        self._client = client
        self._metrics = measures
        self._timeline = events
        self._table = routing.RouteTable({})
        self._of: acceptance.InForce | None = None

    async def serve(
        self, asked: message.CallerRequest, writer: exchange.ResponseWriter
    ) -> None:
        """Serves one request to the end of its answer."""
        in_force = await self._desk.backends.wait_for_bundle(IN_FORCE_WAIT_S)
        if in_force is None:
            await self._refuse(
                asked,
                writer,
                refusal.Refusal(
                    refusal.UNAVAILABLE, "not_ready", NOT_READY_RETRY_S
                ),
            )
            return
        order = self._make_order(asked, in_force)
        if isinstance(order, refusal.Refusal):
            await self._refuse(asked, writer, order)
            return
        await self._exchange(order, writer)

    async def _exchange(
        self, order: exchange.RoutedRequest, writer: exchange.ResponseWriter
    ) -> None:
        served = exchange.Exchange(order, self._desk, self._client, writer)
        began = steadyclock.read()
        tier = order.info.tier
        try:
            await served.run()
        finally:
            self._metrics.count_end(
                tier, served.outcome, order.route.kind.value
            )
            self._metrics.record("answer", tier, steadyclock.read() - began)
            if served.first_event_s is not None:
                self._metrics.record("first_event", tier, served.first_event_s)

    async def _refuse(
        self,
        asked: message.CallerRequest,
        writer: exchange.ResponseWriter,
        refused: refusal.Refusal,
    ) -> None:
        generation = self._of.generation if self._of else None
        self._timeline.note(
            "refused",
            asked.request_id,
            status=refused.status,
            reason=refused.text,
            host=asked.host,
            generation=generation,
        )
        self._metrics.count_end("", "refused", refused.text)
        await writer.refuse(refused)

    def _make_order(
        self, asked: message.CallerRequest, in_force: acceptance.InForce
    ) -> exchange.RoutedRequest | refusal.Refusal:
        """Returns what to serve, or why it is not served."""
        bundle = in_force.bundle
        if self._of is None or self._of.bundle.routes is not bundle.routes:
            # Most bundles differ in their backend servers only.
            self._table = routing.RouteTable(bundle.routes)
        self._of = in_force
        route = self._table.find(asked.host, asked.target)
        if route is None:
            return refusal.Refusal(NOT_FOUND, "no_route")
        customer = ""
        if bundle.customers and not route.public:
            found = bundle.get_customer_by_key(asked.key or "")
            if found is None:
                return refusal.Refusal(UNAUTHORIZED, "unknown_key")
            customer = found
        service = routing.pick_service(route, asked.request_id)
        if service not in bundle.services:
            return refusal.Refusal(
                refusal.UNAVAILABLE, "no_service", NOT_READY_RETRY_S
            )
        return self._describe(asked, bundle, route, customer, service)

    def _describe(
        self,
        asked: message.CallerRequest,
        bundle: model.Bundle,
        route: model.Route,
        customer: str,
        service: str,
    ) -> exchange.RoutedRequest:
        timeout_s = route.timeout_s
        if asked.deadline_s is not None:
            timeout_s = min(timeout_s, asked.deadline_s)
        declared = bundle.customers.get(customer)
        tier = _pick_tier(declared, route)
        patience_s = min(route.patience_s or timeout_s, timeout_s)
        prompt = asked.prompt_tokens
        if prompt is None:
            prompt = model.UNSIZED_TOKENS
        engine = bundle.engines.get(service)
        event_tokens = engine.tokens_per_event if engine else 1
        info = core_message.RequestInfo(
            request_id=asked.request_id,
            shard=core_message.ShardKey(self._zone, service),
            customer=customer,
            tier=tier,
            prompt_tokens=prompt,
            output_tokens=asked.likely_tokens or asked.output_tokens,
            prefix=asked.prefix,
            prefix_tokens=asked.prefix_tokens,
            route=route.path_prefix,
            deadline_s=timeout_s,
            limit_tokens=_count_tokens(asked, declared),
            repeatable=_is_repeatable(route),
            max_attempts=route.max_attempts,
            objective_s=route.objective_s,
            wait_s=patience_s * MAX_WAIT_FRACTION,
            max_gap_s=route.max_gap_s,
            event_tokens=event_tokens,
            content=content.make_digest(asked, customer, self._content_key),
            regions=_intersect(
                route.regions, declared.regions if declared else None
            ),
        )
        return exchange.RoutedRequest(
            asked, info, route, customer, timeout_s, event_tokens
        )


def _pick_tier(customer: model.Customer | None, route: model.Route) -> str:
    if customer is None:
        return route.tier
    return customer.route_tiers.get(route.tier, customer.tiers[0])


def _intersect(
    first: list[str] | None, second: list[str] | None
) -> tuple[str, ...] | None:
    """Returns the regions that are in both lists; None stands for any."""
    if first is None or second is None:
        either = second if first is None else first
        return None if either is None else tuple(either)
    return tuple(region for region in first if region in second)


def _count_tokens(
    asked: message.CallerRequest, customer: model.Customer | None
) -> int:
    """Returns what a request counts against its customer's limit."""
    if asked.prompt_tokens is not None:
        return asked.prompt_tokens + asked.output_tokens
    if customer is None:
        return model.UNSIZED_TOKENS
    return customer.limits.unsized_tokens


def _is_repeatable(route: model.Route) -> bool:
    if route.kind is model.RouteKind.STREAM:
        return route.resumable
    return route.kind is model.RouteKind.SAFE

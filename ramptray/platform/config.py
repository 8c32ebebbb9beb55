"""Decodes the operator's configuration in the store into a bundle."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from typing import Any, Literal

import msgspec
from result import Err, Ok

from ramptray import decoding
from ramptray.bundle import model, validation
from ramptray.core import prefix_cache
from ramptray.platform import scheduling_zone, settings

MAX_QUEUED_TOKENS = 1_000_000_000
"""Practically unlimited: only the requests' deadlines bound a queue, and its
order decides which requests expire."""

UNBOUNDED_KV_TOKENS = 1_000_000_000
"""KV memory of a service without model engines, in tokens."""

DEFAULT_SLOTS = 64
"""Concurrent requests of a replica whose record is not known yet."""

MIN_PATIENCE_S = 2.0
"""Shortest time for which callers wait for a stream's event, in seconds."""

PATIENCE_PER_OBJECTIVE = 4
"""Minimum time that callers wait for a stream's event, in objectives."""

PATIENCE_PER_GAP = 8
"""Minimum time that callers wait for a stream's event, in maximum gaps."""

_KINDS = {
    "streaming": model.RouteKind.STREAM,
    "safe": model.RouteKind.SAFE,
    "unsafe": model.RouteKind.ONCE,
}


class ConfigError(decoding.DecodeError):
    """Invalid configuration; the message is one line that names the field."""


class _Wire(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the configuration's parts; unknown fields are ignored."""


class _Split(_Wire, frozen=True, kw_only=True):
    service: model.Name
    weight: model.NonNegativeFloat


class _Route(_Wire, frozen=True, kw_only=True):
    name: model.Name
    host: str = msgspec.field(name="hostname")
    path_prefix: str = msgspec.field(name="pathPrefix")
    kind: Literal["streaming", "safe", "unsafe"]
    timeout_ms: model.PositiveFloat = msgspec.field(name="timeoutMs")
    # Time within which a response, or its first event, earns full credit.
    target_ms: model.PositiveFloat = msgspec.field(name="targetLatencyMs")
    gap_ms: float | None = msgspec.field(name="targetGapMs", default=None)
    priority: int = 0
    service: model.Name | None = None
    split: list[_Split] = msgspec.field(
        name="trafficSplit", default_factory=list
    )
    max_attempts: model.PositiveInt = msgspec.field(
        name="maxAttempts", default=1
    )
    public: bool = False
    resumable: bool = False
    regions: list[str] | None = msgspec.field(
        name="allowedRegions", default=None
    )


class _Engine(_Wire, frozen=True, kw_only=True):
    slots: model.EngineSlots
    kv_tokens: model.PositiveInt = msgspec.field(
        name="kvTokens", default=UNBOUNDED_KV_TOKENS
    )
    # Tokens per event of a stream.
    stride: model.PositiveInt = 1


class _Service(_Wire, frozen=True, kw_only=True):
    name: model.Name
    engine: _Engine | None = None
    warm_up_per_s: model.NonNegativeFloat = msgspec.field(
        name="coldPerS", default=0.0
    )


class _Limits(_Wire, frozen=True, kw_only=True):
    header_bytes: model.HeaderBytes = msgspec.field(name="maxHeaderBytes")
    body_bytes: model.Count = msgspec.field(name="maxBodyBytes")
    header_ms: model.PositiveFloat = msgspec.field(name="headerTimeoutMs")
    idle_ms: model.PositiveFloat = msgspec.field(name="idleTimeoutMs")


class _Tenant(_Wire, frozen=True, kw_only=True):
    name: model.Name
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    priority: int | None = None
    # Unit of the rate and burst: "tokens" or "requests"; a rate of 0 means
    # no limit.
    unit: str = "requests"
    rate_per_s: float = msgspec.field(name="ratePerS", default=0.0)
    burst: model.NonNegativeFloat = 0.0
    unsized_tokens: model.PositiveInt = msgspec.field(
        name="uncachedTokens", default=model.UNSIZED_TOKENS
    )
    regions: list[str] | None = msgspec.field(
        name="allowedRegions", default=None
    )


class _Config(_Wire, frozen=True, kw_only=True):
    version: model.PositiveInt
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    # Without this field no request needs a key; with an empty list, or tenants
    # that hold no key, every request on a route that is not public does.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


_PARTS: dict[str, type[_Wire]] = {
    "routes": _Route,
    "services": _Service,
    "tenants": _Tenant,
}
"""Lists of parts of which one may be left out, with the type of each part."""

DEFAULT_LIMIT_TERMS = settings.LimitTerms()


class PartialConfig(msgspec.Struct, frozen=True):
    """The valid parts of a configuration.

    Attributes:
        bundle: The bundle that they declare, without replicas.
        omitted: The parts left out, by their fields.
    """

    bundle: model.Bundle
    omitted: list[str]


class _DecodedRoute(msgspec.Struct, frozen=True):
    """A decoded route with its source.

    Attributes:
        declared: The route's fields in the configuration.
        wire: The validated fields.
        route: The route in the bundle.
    """

    declared: dict[str, Any]
    wire: _Route
    route: model.Route


class ConfigParser:
    """Decodes successive configurations.

    Routes that have not changed are reused without validating them again.  The
    expected load is a configuration of more than a thousand routes on a VM with
    half a core, of which one route changes up to about once per second.

    Args:
        terms: How customers' requests are summed against their limits.
        zones: The scheduling zones of the deployment.
    """

    def __init__(
        self,
        terms: settings.LimitTerms = DEFAULT_LIMIT_TERMS,
        zones: Sequence[str] = (scheduling_zone.SINGLE_ZONE,),
    ) -> None:
        self._terms = terms
        self._zones = list(zones)
        self._decoded: dict[str, _DecodedRoute] = {}
        self._checks_keys = True

    def parse(self, text: str) -> model.Bundle:
        """Returns the bundle declared by a configuration, without replicas.

        Raises:
            ConfigError: The configuration is invalid.
        """
        return self._parse_fields(_read_fields(text))

    def parse_valid_parts(self, text: str) -> PartialConfig:
        """Returns the bundle that the valid parts of a configuration declare.

        Invalid routes, services and customers are left out, and so are invalid
        limits.  Customers that are no list are not left out, since without
        them no request would need a key.

        Raises:
            ConfigError: Its fields cannot be read, or it names no version.
        """
        fields = _read_fields(text)
        omitted: list[str] = []
        for name, kind in _PARTS.items():
            parts = fields.get(name)
            if not isinstance(parts, list):
                continue
            invalid = [
                number
                for number, part in enumerate(parts)
                if not _is_valid(part, kind)
            ]
            omitted.extend(f"{name}.{number}" for number in invalid)
            fields[name] = [
                part
                for number, part in enumerate(parts)
                if number not in invalid
            ]
        if "limits" in fields and not _is_valid(fields["limits"], _Limits):
            omitted.append("limits")
            del fields["limits"]
        return PartialConfig(self._parse_fields(fields), omitted)

    def _parse_fields(self, fields: dict[str, Any]) -> model.Bundle:
        try:
            with decoding.translate_errors():
                return self._parse_changed(fields)
        except ConfigError:
            raise
        except decoding.DecodeError as error:
            self._decoded = {}
            raise ConfigError(_describe(fields, error)) from error

    def _parse_changed(self, fields: dict[str, Any]) -> model.Bundle:
        declared = msgspec.convert(
            fields.get("routes", []), type=list[dict[str, Any]]
        )
        others = {
            name: value for name, value in fields.items() if name != "routes"
        }
        raw = msgspec.convert(others, _Config, strict=False)
        checks_keys = raw.tenants is not msgspec.UNSET
        if checks_keys != self._checks_keys:
            self._checks_keys = checks_keys
            self._decoded = {}
        decoded = [self._decode_route(each) for each in declared]
        self._decoded = {each.wire.name: each for each in decoded}
        return _make_bundle(
            raw,
            [each.wire for each in decoded],
            {each.wire.name: each.route for each in decoded},
            self._terms,
            self._zones,
        )

    def _decode_route(self, declared: dict[str, Any]) -> _DecodedRoute:
        known = self._decoded.get(str(declared.get("name")))
        if known is not None and known.declared == declared:
            return known
        wire = msgspec.convert(declared, _Route, strict=False)
        route = _make_route(wire, self._checks_keys)
        return _DecodedRoute(declared, wire, route)


def _read_fields(text: str) -> dict[str, Any]:
    try:
        return decoding.decode_json(text, dict[str, Any])
    except decoding.DecodeError as error:
        raise ConfigError(f"not a JSON object: {error}") from error


def _describe(fields: dict[str, Any], error: decoding.DecodeError) -> str:
    """Returns a text that names each invalid field, where that is known."""
    with contextlib.suppress(decoding.DecodeError), decoding.translate_errors():
        match validation.convert(fields, _Config, strict=False):
            case Err(violations):
                return validation.format_violations(violations)
            case Ok(_):
                pass
    return str(error)


def _is_valid(part: Any, kind: type[_Wire]) -> bool:
    """Returns whether a part of a configuration can be used by itself."""
    try:
        with decoding.translate_errors():
            wire = msgspec.convert(part, kind, strict=False)
            if isinstance(wire, _Route):
                _make_route(wire, True)
    except decoding.DecodeError:
        return False
    return True


def parse_config(
    text: str, terms: settings.LimitTerms = DEFAULT_LIMIT_TERMS
) -> model.Bundle:
    """Returns the bundle declared by a single configuration.

    Args:
        text: The configuration.
        terms: How customers' requests are summed against their limits.

    Raises:
        ConfigError: The configuration is invalid.
    """
    return ConfigParser(terms).parse(text)


def _make_bundle(
    raw: _Config,
    declared: list[_Route],
    routes: dict[str, model.Route],
    terms: settings.LimitTerms,
    zones: list[str],
) -> model.Bundle:
    priorities = sorted({route.priority for route in declared})
    tenants = [] if raw.tenants is msgspec.UNSET else raw.tenants
    return model.Bundle(
        generation=raw.version,
        # A dummy key: bundles are unsigned, as the store accepts changes only
        # from operators.
        operators=model.Operators(
            keys={"store": "ed25519:" + "0" * 64}, signatures_required=1
        ),
        zones=zones,
        tiers=_make_tiers(tenants, priorities),
        customers={
            tenant.name: _make_customer(tenant, priorities, terms)
            for tenant in tenants
        },
        services={s.name: _make_service(s) for s in raw.services},
        engines={s.name: _make_engine(s) for s in raw.services},
        backend_servers={},
        routes=routes,
        relay=_make_relay_limits(raw.limits),
    )


def _make_tiers(
    tenants: list[_Tenant], priorities: list[int]
) -> dict[str, model.Tier]:
    """Returns the tiers, ordered by the customer's rank, then by the route's.

    The route's rank only orders the requests of customers of equal rank.
    """
    ranks = {t.priority for t in tenants if t.priority is not None}
    pairs = sorted(
        {(priority, priority) for priority in priorities}
        | {(rank, priority) for rank in ranks for priority in priorities}
        | {(0, 0)}
    )
    return {
        _name_tier(*pair): model.Tier(order=order, deadline_s=3600)
        for order, pair in enumerate(pairs)
    }


def _name_tier(rank: int, priority: int) -> str:
    return f"p{rank}.{priority}"


def _make_customer(
    tenant: _Tenant, priorities: list[int], terms: settings.LimitTerms
) -> model.Customer:
    limits = model.Limits()
    if tenant.rate_per_s > 0:
        limits = _make_customer_limits(tenant, terms)
    return model.Customer(
        key_hashes=[model.hash_key(key) for key in tenant.keys],
        tiers=[_name_tier(0, 0)],
        route_tiers={
            _name_tier(priority, priority): _name_tier(rank, priority)
            for priority in priorities
            for rank in [
                priority if tenant.priority is None else tenant.priority
            ]
        },
        limits=limits,
        regions=tenant.regions,
    )


def _make_customer_limits(
    tenant: _Tenant, terms: settings.LimitTerms
) -> model.Limits:
    in_tokens = tenant.unit == "tokens"
    rate = max(1.0, tenant.rate_per_s)
    limits = model.Limits(
        requests_per_s=None if in_tokens else rate,
        tokens_per_s=rate if in_tokens else None,
        burst=tenant.burst,
        unsized_tokens=tenant.unsized_tokens,
    )
    if not terms.span_s:
        return limits
    total = (rate * terms.span_s + tenant.burst) * (1 + terms.excess)
    slack = terms.slack if in_tokens else 0.0
    return msgspec.structs.replace(
        limits, span_s=terms.span_s, span_total=total + slack
    )


def _make_service(service: _Service) -> model.Service:
    kind = model.ServiceKind.PLAIN
    if service.engine:
        kind = model.ServiceKind.MODEL
    return model.Service(
        kind=kind, queue_tokens=MAX_QUEUED_TOKENS, headroom=0.0
    )


def _make_engine(service: _Service) -> model.Engine:
    engine = service.engine
    if engine is None:
        return model.Engine(
            max_running=DEFAULT_SLOTS,
            kv_tokens=UNBOUNDED_KV_TOKENS,
            warm_up_per_s=service.warm_up_per_s,
        )
    return model.Engine(
        max_running=engine.slots,
        kv_tokens=engine.kv_tokens,
        # The prefix cache shares memory with running requests, which evict it.
        cache_blocks=engine.kv_tokens // prefix_cache.BLOCK_TOKENS,
        tokens_per_event=engine.stride,
        warm_up_per_s=service.warm_up_per_s,
    )


def _make_route(route: _Route, checks_keys: bool) -> model.Route:
    targets = [
        model.Target(service=split.service, weight=split.weight)
        for split in route.split
    ]
    if route.service is not None:
        targets = [model.Target(service=route.service)]
    if not targets:
        raise ConfigError(f"routes: {route.name} leads to no service")
    return model.Route(
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        targets=targets,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_ms / 1000,
        max_gap_s=None if route.gap_ms is None else route.gap_ms / 1000,
        patience_s=_compute_patience(route),
        max_attempts=route.max_attempts,
        tier=_name_tier(route.priority, route.priority),
        public=route.public or not checks_keys,
        resumable=route.resumable,
        regions=route.regions,
    )


def _compute_patience(route: _Route) -> float | None:
    """Returns how long callers wait for a stream's first event, in seconds."""
    if _KINDS[route.kind] is not model.RouteKind.STREAM:
        return None
    return max(
        MIN_PATIENCE_S,
        PATIENCE_PER_OBJECTIVE * route.target_ms / 1000,
        PATIENCE_PER_GAP * (route.gap_ms or 0.0) / 1000,
    )


def _make_relay_limits(limits: _Limits | None) -> model.RelayLimits:
    if limits is None:
        return model.RelayLimits()
    return model.RelayLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_s=limits.header_ms / 1000,
        idle_s=limits.idle_ms / 1000,
    )

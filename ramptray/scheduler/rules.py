"""Derives a shard's rules and backend servers from the bundle in force."""

from __future__ import annotations

from ramptray.bundle import model
from ramptray.core import backend, limit, membership, message
from ramptray.core import rules as shard_rules


def make_rules(
    bundle: model.Bundle, key: message.ShardKey
) -> shard_rules.ShardRules:
    """Returns the rules of a shard."""
    service = bundle.services[key.service]
    divisor = service.shards * len(bundle.zones)
    return shard_rules.ShardRules(
        ranks=bundle.get_tier_ranks(),
        queue_cost=service.queue_tokens // service.shards,
        headroom=service.headroom,
        shares={name: c.share for name, c in bundle.customers.items()},
        version=f"{key.service}@{service.version}",
        limits={
            name: _make_rate_limit(customer.limits, divisor, len(bundle.zones))
            for name, customer in bundle.customers.items()
        },
        zones=len(bundle.zones),
    )


def _make_rate_limit(
    limits: model.Limits, divisor: int, zones: int
) -> limit.RateLimit:
    """Returns a shard's part of a customer's limits, empty if it has none."""
    if limits == model.Limits():
        return limit.RateLimit()
    return limit.RateLimit(
        _divide(limits.requests_per_s, divisor),
        _divide(limits.tokens_per_s, divisor),
        _divide(limits.burst, divisor),
        limits.span_s,
        limits.span_total / divisor,
        zones,
    )


def list_backend_infos(
    bundle: model.Bundle, key: message.ShardKey
) -> list[backend.BackendInfo]:
    """Returns the backend servers of a shard that may receive requests."""
    shards = bundle.services[key.service].shards
    return [
        make_backend_info(bundle, name)
        for name, server in bundle.backend_servers.items()
        if server.zone == key.zone
        and server.service == key.service
        and not server.leaving
        and server.is_zone_known
        and membership.get_shard_number(name, shards) == key.number
    ]


def make_backend_info(bundle: model.Bundle, name: str) -> backend.BackendInfo:
    """Returns the facts on a backend server that its shard needs."""
    server = bundle.backend_servers[name]
    engine = bundle.engines[server.engine]
    return backend.BackendInfo(
        name,
        engine.max_running,
        engine.kv_tokens,
        engine.cache_blocks,
        server.url,
        server.run,
        engine.warm_up_per_s,
        server.warm_at,
        server.release,
        server.region,
    )


def _divide(rate: float | None, divisor: int) -> float | None:
    return None if rate is None else rate / divisor

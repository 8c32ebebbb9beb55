"""Models of the bundle, the configuration that operators sign.

The bundle is JSON with comments.  Customers, tiers, services, engines and
backend servers are objects keyed by name.
"""

from __future__ import annotations

import enum
import functools
import hashlib
from typing import Annotated, Literal

import msgspec

from ramptray.core import rollout

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}\Z")]
PublicKey = Annotated[str, msgspec.Meta(pattern=r"^ed25519:[0-9a-f]{64}\Z")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+(/\S*)?\Z")]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
EngineSlots = Annotated[int, msgspec.Meta(ge=1, le=4096)]
HeaderBytes = Annotated[int, msgspec.Meta(ge=256)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Model(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all models; rejects unknown fields.

    Only parsed data is validated, by ``validation``; objects that the code
    constructs are not.
    """


class Operators(Model, frozen=True, kw_only=True):
    """The operators that may sign the next bundle.

    Attributes:
        keys: Public keys by operator name.
        signatures_required: Number of operators that must sign.
    """

    keys: Annotated[dict[Name, PublicKey], msgspec.Meta(min_length=1)]
    signatures_required: PositiveInt = 1


class Tier(Model, frozen=True, kw_only=True):
    """A priority class of requests.

    Attributes:
        order: Unique rank among the tiers; the lowest is the most urgent.
        deadline_s: Deadline of requests that name none, in seconds.
    """

    order: Count
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=86400)]


UNSIZED_TOKENS = 200
"""Default size of a request that does not state it, in tokens."""


class Limits(Model, frozen=True, kw_only=True):
    """A customer's rate limits for each service, over all zones.

    Attributes:
        requests_per_s: Requests per second.
        tokens_per_s: Tokens per second: prompt tokens plus four times the
            output tokens; on relayed routes, prompt plus output tokens.
        burst: Requests or tokens that may be used at once; None for two
            seconds of the rate.
        span_s: Length of a sliding window that limits the total instead of
            rate and burst, in seconds; the rate then only says whether
            requests or tokens are counted.
        span_total: Maximum of requests or tokens in any such window.
        unsized_tokens: On relayed routes, tokens counted for a request that
            does not state its size.
    """

    requests_per_s: Annotated[float, msgspec.Meta(ge=1)] | None = None
    tokens_per_s: Annotated[float, msgspec.Meta(ge=1)] | None = None
    burst: NonNegativeFloat | None = None
    span_s: PositiveFloat | None = None
    span_total: NonNegativeFloat = 0.0
    unsized_tokens: PositiveInt = UNSIZED_TOKENS


class Customer(Model, frozen=True, kw_only=True):
    """A customer, identified by the hashes of its bearer keys.

    Attributes:
        key_hashes: SHA-256 of each bearer key.
        tiers: Tiers it may request; the first is the default, also on relayed
            routes.
        route_tiers: Replacements for tiers of relayed routes, for this
            customer's requests.
        share: Weight within a tier.
        limits: Rate limits.
        regions: Regions whose backend servers may run its requests on relayed
            routes; None for any.
    """

    key_hashes: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    tiers: Annotated[list[Name], msgspec.Meta(min_length=1)]
    route_tiers: dict[Name, Name] = {}
    share: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    limits: Limits = Limits()
    regions: list[str] | None = None


class ServiceKind(enum.Enum):
    """Kind of the backend servers of a service."""

    MODEL = "model"
    PLAIN = "plain"


class Legacy(Model, frozen=True, kw_only=True):
    """The legacy script that still serves some of a service's requests.

    Attributes:
        url: Base URL of the legacy script.
        percent: Percentage of the requests that it serves.
    """

    url: Url
    percent: Annotated[float, msgspec.Meta(ge=0, le=100)]


class Service(Model, frozen=True, kw_only=True):
    """A model or plain service.

    Attributes:
        kind: Whether model engines or plain servers run its requests.
        version: The model version that the engines load.
        queue_tokens: Cost in tokens that may be queued in a zone before
            requests are shed.
        headroom: Fraction of each engine's slots reserved for the highest
            tier.
        shards: Number of shards of the service in each zone.
        repeatable_methods: HTTP methods of a plain service that may be
            retried.
        legacy: The legacy script that still serves some of the requests.
    """

    kind: ServiceKind
    version: str = "1"
    queue_tokens: PositiveInt = 200_000
    headroom: Annotated[float, msgspec.Meta(ge=0, le=0.9)] = 0.1
    shards: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    repeatable_methods: list[str] = msgspec.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS"]
    )
    legacy: Legacy | None = None


class Engine(Model, frozen=True, kw_only=True):
    """A kind of engine.

    Attributes:
        max_running: Maximum number of requests in its batch.
        kv_tokens: Tokens that fit its KV memory.
        cache_blocks: Capacity of its prefix cache, in blocks of 64 tokens.
        checks_fencing: Whether it rejects orders with an old fencing token.
        tokens_per_event: Tokens in each event of a stream.
        warm_up_per_s: Requests per second that it can take until it is warm; 0
            if it needs no warm-up.
    """

    max_running: EngineSlots
    kv_tokens: PositiveInt = 1_000_000
    cache_blocks: Count = 1024
    checks_fencing: bool = False
    tokens_per_event: PositiveInt = 1
    warm_up_per_s: NonNegativeFloat = 0.0


class BackendServer(Model, frozen=True, kw_only=True):
    """A replica of a model or plain service.

    Attributes:
        zone: Its availability zone.
        service: The service it belongs to.
        engine: Its kind of engine.
        url: Its base URL.
        leaving: Whether it gets no new requests.
        role: The role assigned to its engine.
        availability_zone: Its availability zone, if ``zone`` spans several.
        run: Number of its current run, if known; a higher number is a later
            run, which has no state of the earlier ones.
        warm_at: Time at which it is warm, on the monotonic clock of the VM
            that holds the bundle.
        release: Release of its software; empty if not known.
        region: Region of its availability zone; empty if not known.
        is_zone_known: Whether its availability zone is known.  If not, this VM
            grants it to no request, but other VMs may.
    """

    zone: Name
    service: Name
    engine: Name
    url: Url
    leaving: bool = False
    role: Name = "any"
    # Only compared, never parsed: each platform has its own zone names.
    availability_zone: str | None = None
    run: int = 0
    warm_at: float = 0.0
    release: str = ""
    region: str = ""
    is_zone_known: bool = True


class RouteKind(enum.Enum):
    """Kind of response of a relayed route, and whether requests may be retried.

    Attributes:
        STREAM: A stream of events; retried only if the route is resumable.
        SAFE: One response; the request may run more than once.
        ONCE: One response; the request runs at most once.
    """

    STREAM = "stream"
    SAFE = "safe"
    ONCE = "once"


class Target(Model, frozen=True, kw_only=True):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the weights of the other targets.
    """

    service: Name
    weight: NonNegativeFloat = 1.0


class Route(Model, frozen=True, kw_only=True):
    """A route that relays requests of a host and path prefix byte for byte.

    Attributes:
        host: Host that requests name.
        path_prefix: Prefix of the path; the longest match wins.
        kind: Kind of response, and whether requests may be retried.
        targets: The services that receive its requests.
        timeout_s: Maximum time that a request is held, in seconds.
        objective_s: Latency objective for the response, or for the first event
            of a stream, in seconds.
        max_gap_s: Maximum pause between the events of a stream that meets its
            objective, in seconds.
        patience_s: Time that callers wait for the start of a response, in
            seconds; None for their deadline.
        max_attempts: Maximum number of backend servers that one request is
            sent to.
        tier: Tier of requests of customers without a tier of their own.
        public: Whether requests need no key.
        resumable: Whether a stream may resume at another backend server.
        regions: Regions whose backend servers may run its requests; None for
            any.
    """

    host: str
    path_prefix: str
    kind: RouteKind
    targets: Annotated[list[Target], msgspec.Meta(min_length=1)]
    timeout_s: PositiveFloat
    objective_s: PositiveFloat
    max_gap_s: float | None = None
    patience_s: float | None = None
    max_attempts: PositiveInt = 1
    tier: Name
    public: bool = False
    resumable: bool = False
    regions: list[str] | None = None


class RelayLimits(Model, frozen=True, kw_only=True):
    """Size and time limits of callers on relayed routes.

    Attributes:
        header_bytes: Maximum size of a request head, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        header_s: Timeout for receiving a request head, in seconds.
        idle_s: Timeout of an idle connection, in seconds.
    """

    header_bytes: HeaderBytes = 16 * 1024
    body_bytes: Count = 4 * 1024 * 1024
    header_s: PositiveFloat = 3.0
    idle_s: PositiveFloat = 15.0


class Weights(Model, frozen=True, kw_only=True):
    """Load limits of the weight store.

    Attributes:
        loads_at_once: Engines of one zone that may load concurrently.
    """

    loads_at_once: PositiveInt = 2


class Bundle(Model, frozen=True, kw_only=True, dict=True):
    """The complete configuration that operators sign.

    Attributes:
        generation: Generation number, one more than that of the base.
        base: Digest of the bundle it replaces; None for the first.
        operators: Operators that may sign the next bundle.
        zones: Names of the availability zones.
        tiers: Priority classes of requests, by name.
        customers: Customers, by name.
        services: Model and plain services, by the name used in requests.
        engines: Kinds of engine, by name.
        backend_servers: Backend servers, by name.
        weights: Load limits of the weight store.
        claim_window_s: Maximum age of an idempotency key whose age is known,
            in seconds; must be shorter than the retention of the platform's
            log.
        routes: Relayed routes, by name.
        relay: Limits of callers on relayed routes.
        rollouts: Rollouts ordered by operators, by service.
    """

    generation: PositiveInt
    base: Digest | None = None
    operators: Operators
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]
    tiers: Annotated[dict[Name, Tier], msgspec.Meta(min_length=1)]
    customers: dict[Name, Customer]
    services: dict[Name, Service]
    engines: dict[Name, Engine]
    backend_servers: dict[Name, BackendServer]
    weights: Weights = Weights()
    claim_window_s: PositiveFloat = 3600.0
    routes: dict[Name, Route] = {}
    relay: RelayLimits = RelayLimits()
    rollouts: dict[Name, rollout.Order] = {}

    def get_tier_ranks(self) -> dict[str, int]:
        """Returns the rank of each tier, 0 for the most urgent."""
        ordered = sorted(self.tiers, key=lambda name: self.tiers[name].order)
        return {name: rank for rank, name in enumerate(ordered)}

    def get_customer_by_key(self, key: str) -> str | None:
        """Returns the name of the customer with this bearer key, if any.

        An empty key is no key, even if a customer lists its hash.
        """
        if not key:
            return None
        return self._customers_by_key_hash.get(hash_key(key))

    @functools.cached_property
    def _customers_by_key_hash(self) -> dict[str, str]:
        return {
            digest: name
            for name, customer in self.customers.items()
            for digest in customer.key_hashes
        }


def hash_key(key: str) -> str:
    """Returns the hash under which the bundle lists a customer's key."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()

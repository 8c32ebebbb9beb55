"""The bundle: what operators declare, as validated models.

The bundle is JSON with comments.  Names of customers, tiers, services, engines
and backend servers are the keys of its objects.
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
    """Base of all models: unknown fields are mistakes.

    Only what is read is checked, by ``validation``; what the code makes itself
    is not.
    """


class Operators(Model, frozen=True, kw_only=True):
    """Who may sign the next bundle.

    Attributes:
        keys: Operators' names and public keys.
        signatures_required: How many of them must sign.
    """

    keys: Annotated[dict[Name, PublicKey], msgspec.Meta(min_length=1)]
    signatures_required: PositiveInt = 1


class Tier(Model, frozen=True, kw_only=True):
    """A class of requests; the lowest order goes first.

    Attributes:
        order: Place among the tiers, unique; the lowest is the most urgent.
        deadline_s: Seconds after which an answer is of no use, unless the
            request names its own deadline.
    """

    order: Count
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=86400)]


UNSIZED_TOKENS = 200
"""Usual size of a request that does not give it, in tokens."""


class Limits(Model, frozen=True, kw_only=True):
    """A customer's limits for each service, over all zones.

    Attributes:
        requests_per_s: Requests a second.
        tokens_per_s: Prompt tokens and four times the output tokens a second;
            on a relayed route, prompt and output tokens.
        burst: Requests or tokens that may be used at once; None for two
            seconds' worth of the rate.
        span_s: Where a total is held over any span of some seconds instead of
            rate and burst: the span; the rate then only names what is counted.
        span_total: Most requests or tokens in any such span.
        unsized_tokens: On relayed routes, tokens that a request without a
            size counts.
    """

    requests_per_s: Annotated[float, msgspec.Meta(ge=1)] | None = None
    tokens_per_s: Annotated[float, msgspec.Meta(ge=1)] | None = None
    burst: NonNegativeFloat | None = None
    span_s: PositiveFloat | None = None
    span_total: NonNegativeFloat = 0.0
    unsized_tokens: PositiveInt = UNSIZED_TOKENS


class Customer(Model, frozen=True, kw_only=True):
    """A customer, known by the hashes of its keys.

    Attributes:
        key_hashes: SHA-256 of each bearer key.
        tiers: Tiers it may ask for; the first is used where it names none,
            and for what it sends on relayed routes.
        route_tiers: For some tiers of relayed routes, the tier that this
            customer's requests have there instead.
        share: Weight within a tier.
        limits: Its limits.
        regions: Regions whose backend servers may run what it sends on relayed
            routes; None for any.
    """

    key_hashes: Annotated[list[Digest], msgspec.Meta(min_length=1)]
    tiers: Annotated[list[Name], msgspec.Meta(min_length=1)]
    route_tiers: dict[Name, Name] = {}
    share: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    limits: Limits = Limits()
    regions: list[str] | None = None


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Legacy(Model, frozen=True, kw_only=True):
    """The old script that still takes part of a service's requests.

    Attributes:
        url: Where the old script listens.
        percent: Part of the requests that goes to it.
    """

    url: Url
    percent: Annotated[float, msgspec.Meta(ge=0, le=100)]


class Service(Model, frozen=True, kw_only=True):
    """A model or plain service that callers name.

    Attributes:
        kind: Whether model engines or plain servers stand behind it.
        version: The model version that the engines are to have loaded.
        queue_tokens: Cost that may wait in a zone before requests are shed.
        headroom: Part of each engine's places kept for the highest tier.
        shards: Into how many parts each zone divides the service.
        repeatable_methods: Methods of a plain service that may be repeated.
        legacy: The old script that still takes a share of the requests.
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
        max_running: Requests it batches at a time.
        kv_tokens: Tokens that fit its KV memory.
        cache_blocks: Prefix blocks of 64 tokens its cache keeps.
        checks_fencing: Whether it refuses orders with an old fencing number.
        tokens_per_event: Tokens that an event of a stream holds.
        warm_up_per_s: Requests a second that it bears until it is warm; 0 where
            it needs no warming up.
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
        zone: The availability zone it stands in.
        service: The service it works for.
        engine: Its kind of engine.
        url: Where it listens.
        leaving: Whether it is to get no new work.
        role: The role that its engine is to have.
        availability_zone: Where it stands, if ``zone`` spans several.
        run: Which of its runs this is, where that is known: a larger
            number is a later one, which knows nothing of those before.
        warm_at: When it is warm, on the steady clock of the VM that holds the
            bundle.
        release: The release of its software; empty where that is not known.
        region: The region of its availability zone; empty where that is not
            known.
    """

    zone: Name
    service: Name
    engine: Name
    url: Url
    leaving: bool = False
    role: Name = "any"
    # Only compared, never parsed: platforms name their zones as they like.
    availability_zone: str | None = None
    run: int = 0
    warm_at: float = 0.0
    release: str = ""
    region: str = ""


class RouteKind(enum.Enum):
    """How a relayed route's requests are answered, and whether they repeat.

    Attributes:
        STREAM: A series of events; repeatable only where the route resumes.
        SAFE: One answer; may run more than once.
        ONCE: One answer; runs at most once.
    """

    STREAM = "stream"
    SAFE = "safe"
    ONCE = "once"


class Target(Model, frozen=True, kw_only=True):
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to those of the route's other targets.
    """

    service: Name
    weight: NonNegativeFloat = 1.0


class Route(Model, frozen=True, kw_only=True):
    """Requests of one host and path prefix, relayed byte for byte.

    Attributes:
        host: The host that callers name.
        path_prefix: What the path begins with; the longest prefix wins.
        kind: How it is answered.
        targets: The services that take its requests.
        timeout_s: Longest time a request is held, in seconds.
        objective_s: Time in which an answer, or its first event, is in time.
        max_gap_s: Longest pause between events of an answer in time.
        patience_s: How long callers wait for the beginning of an answer; None
            for their deadline.
        max_attempts: Backend servers that one request may be sent to.
        tier: Tier of the requests of customers that have none of their own.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another backend server.
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
    """What a relayed caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_s: Seconds in which a head must have arrived.
        idle_s: Seconds that an idle connection is kept.
    """

    header_bytes: HeaderBytes = 16 * 1024
    body_bytes: Count = 4 * 1024 * 1024
    header_s: PositiveFloat = 3.0
    idle_s: PositiveFloat = 15.0


class Weights(Model, frozen=True, kw_only=True):
    """What the weight store can bear.

    Attributes:
        loads_at_once: Engines of one zone that may load at a time.
    """

    loads_at_once: PositiveInt = 2


class Bundle(Model, frozen=True, kw_only=True, dict=True):
    """All that operators declare.

    Attributes:
        generation: One more than that of the bundle it replaces.
        base: Digest of the bundle it replaces; None for the first.
        operators: Who may sign the next bundle.
        zones: Names of the availability zones.
        tiers: Classes of requests, by name.
        customers: Customers, by name.
        services: Model and plain services, by the name that callers use.
        engines: Kinds of engine, by name.
        backend_servers: Replicas, by name.
        weights: What the weight store can bear.
        claim_window_s: How old a key with a known age may be, in seconds;
            less than the platform's log keeps its records.
        routes: Relayed routes, by name.
        relay: Limits towards relayed callers.
        rollouts: Rollouts that operators have ordered, by service.
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
        """Returns the name of the customer that holds this bearer key."""
        return self._customers_by_hash.get(hash_key(key))

    @functools.cached_property
    def _customers_by_hash(self) -> dict[str, str]:
        return {
            digest: name
            for name, customer in self.customers.items()
            for digest in customer.key_hashes
        }


def hash_key(key: str) -> str:
    """Returns the form in which a customer's key stands in the bundle."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()

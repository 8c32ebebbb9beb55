"""Settings of the load and the seeded schedule of requests."""

from __future__ import annotations

import enum
import math
import random
import uuid
from typing import Annotated

import msgspec

from ramptray.bundle import model
from ramptray.core import prefix

FILLER_WORD = "lorem "


class Kind(enum.Enum):
    """The interface that a class of requests uses."""

    CHAT = "chat"
    PLAIN = "plain"


class Burst(model.Model, frozen=True, kw_only=True):
    """A period of higher request rates.

    Attributes:
        at_s: Start, in seconds after the start of the load.
        for_s: Duration, in seconds.
        factor: Factor by which all rates are multiplied.
    """

    at_s: model.NonNegativeFloat
    for_s: model.PositiveFloat
    factor: model.PositiveFloat


class LoadClass(model.Model, frozen=True, kw_only=True):
    """A class of similar requests.

    Attributes:
        customer: The customer that sends the requests.
        tier: The requested tier.
        service: The service that is called.
        kind: The interface that is used.
        rate_per_s: Requests per second.
        prompt_tokens: Minimum and maximum; drawn from a log-uniform
            distribution.
        shared_tokens: Length of the prefix shared by the prompts of a group.
        groups: Number of groups with a shared prefix.
        max_tokens: Minimum and maximum of the requested output tokens.
        deadline_s: Deadline of each request, in seconds.
        repeatable: Whether requests carry no idempotency key.
        stream: Whether answers are streamed.
        resends: Maximum number of times a caller without a complete answer
            resends a request, with the same idempotency key.
    """

    customer: model.Name
    tier: model.Name
    service: model.Name
    kind: Kind = Kind.CHAT
    rate_per_s: model.PositiveFloat
    prompt_tokens: tuple[int, int] = (16, 64)
    shared_tokens: model.Count = 0
    groups: model.PositiveInt = 1
    max_tokens: tuple[int, int] = (8, 32)
    deadline_s: model.PositiveFloat = 30.0
    repeatable: bool = True
    stream: bool = True
    resends: model.Count = 0


class LoadSettings(model.Model, frozen=True, kw_only=True):
    """Settings of ``ramptray-load``.

    Attributes:
        entries: Base URLs of the entries, used in rotation.
        keys: Bearer key of each customer.
        engines: Base URLs of engine stand-ins whose ledgers are read.
        seed: Seed of the random generator.
        duration_s: Time during which requests are sent, in seconds.
        classes: Classes of requests to send.
        bursts: Periods of higher request rates.
        log_level: Minimum level that is logged.
    """

    entries: Annotated[list[model.Url], msgspec.Meta(min_length=1)]
    keys: dict[model.Name, str]
    engines: list[model.Url] = []
    seed: int = 1
    duration_s: model.PositiveFloat = 10.0
    classes: Annotated[list[LoadClass], msgspec.Meta(min_length=1)]
    bursts: list[Burst] = []
    log_level: str = "WARNING"


class ScheduledRequest(msgspec.Struct, frozen=True):
    """A request with its time of sending.

    Attributes:
        at_s: Time of sending, in seconds after the start of the load.
        number: Position in the schedule.
        load_class: Its class.
        prompt: Its prompt, or the body of a call to a plain service.
        max_tokens: Requested output tokens.
        key: Idempotency key; None for repeatable requests.
    """

    at_s: float
    number: int
    load_class: LoadClass
    prompt: str
    max_tokens: int
    key: str | None


def make_schedule(settings: LoadSettings) -> list[ScheduledRequest]:
    """Returns the requests to send, in order of time.

    Equal settings give equal schedules, as only the seeded generator is used.
    """
    rng = random.Random(settings.seed)
    requests = [
        _draw_request(load_class, at_s, rng)
        for load_class in settings.classes
        for at_s in _draw_times(load_class, settings, rng)
    ]
    requests.sort(key=lambda request: request.at_s)
    return [
        msgspec.structs.replace(request, number=number)
        for number, request in enumerate(requests)
    ]


def _draw_times(
    load_class: LoadClass, settings: LoadSettings, rng: random.Random
) -> list[float]:
    """Draws the arrivals of a Poisson process whose rate rises in bursts.

    Arrivals are drawn at the highest rate and then thinned.
    """
    highest = max([1.0, *(burst.factor for burst in settings.bursts)])
    times: list[float] = []
    at_s = rng.expovariate(load_class.rate_per_s * highest)
    while at_s < settings.duration_s:
        if rng.random() < _get_rate_factor(at_s, settings.bursts) / highest:
            times.append(at_s)
        at_s += rng.expovariate(load_class.rate_per_s * highest)
    return times


def _get_rate_factor(at_s: float, bursts: list[Burst]) -> float:
    factors = [b.factor for b in bursts if b.at_s <= at_s < b.at_s + b.for_s]
    return max(factors, default=1.0)


def _draw_request(
    load_class: LoadClass, at_s: float, rng: random.Random
) -> ScheduledRequest:
    low, high = load_class.prompt_tokens
    tokens = int(math.exp(rng.uniform(math.log(low), math.log(high))))
    group = rng.randrange(load_class.groups)
    shared = _make_text(
        f"{load_class.customer} {group}", load_class.shared_tokens
    )
    own = _make_text(f"{rng.getrandbits(64):016x}", max(tokens, 8))
    key = str(uuid.UUID(int=rng.getrandbits(128), version=4))
    return ScheduledRequest(
        at_s,
        0,
        load_class,
        shared + own,
        rng.randint(*load_class.max_tokens),
        None if load_class.repeatable else key,
    )


def _make_text(start: str, tokens: int) -> str:
    length = tokens * prefix.CHARS_PER_TOKEN
    repeats = length // len(FILLER_WORD) + 1
    return (f"{start} " + FILLER_WORD * repeats)[:length]

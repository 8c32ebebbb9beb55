"""Load patterns: what callers ask, and what happens to the engines."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import msgspec
import pyjson5
from result import Err, Ok

from ramptray.bundle import model, validation

FOLDER = pathlib.Path(__file__).parent.parent / "pattern"
"""Where the patterns stand that are shipped."""


class PatternError(Exception):
    """A pattern cannot be used; one line names the file and the place."""


class Kind(model.Model, frozen=True, kw_only=True):
    """Requests of one kind.

    Attributes:
        tier: Its tier; tiers are ordered by their names.
        per_s: Requests a second, over all customers.
        prompt_tokens: Median size of the prompt.
        prompt_spread: Standard deviation of the size's logarithm.
        max_prompt_tokens: Largest prompt.
        output_tokens: Median size of the answer.
        output_spread: Standard deviation of that size's logarithm.
        max_output_tokens: Largest answer.
        guess_spread: By how much the caller's guess of it is off, likewise.
        objective_s: Time from the first try to the first event, for full worth.
        max_gap_s: Longest pause between events, for full worth.
        patience_s: Pause without an event after which callers give up.
        timeout_s: Time after which the answer is of no more use.
        worth: Worth of an answer in time.
        late_part: Part of the worth that a late answer has.
        tries: How often a caller asks at most.
    """

    tier: str
    per_s: model.PositiveFloat
    prompt_tokens: Annotated[float, msgspec.Meta(ge=1)]
    prompt_spread: model.NonNegativeFloat = 1.0
    max_prompt_tokens: model.PositiveInt = 100_000
    output_tokens: Annotated[float, msgspec.Meta(ge=1)]
    output_spread: model.NonNegativeFloat = 1.0
    max_output_tokens: model.PositiveInt = 4000
    guess_spread: model.NonNegativeFloat = 0.5
    objective_s: model.PositiveFloat
    max_gap_s: model.PositiveFloat = 0.25
    patience_s: model.PositiveFloat = 2.0
    timeout_s: model.PositiveFloat
    worth: model.PositiveFloat
    late_part: model.Fraction = 0.1
    tries: model.PositiveInt = 2


class Engines(model.Model, frozen=True, kw_only=True):
    """Engines of one speed.

    Attributes:
        count: How many.
        places: Requests that one runs at a time.
        prefill_tokens_per_s: Prompt tokens a second.
        fixed_s: Time to a first token besides those for the prompt.
        step_s: Time between tokens with one request.
        step_growth: Part by which each further request lengthens it.
        chunk_tokens: Prompt tokens that are read between two tokens of others.
        event_tokens: Tokens that an event of an answer holds.
    """

    count: model.PositiveInt
    places: model.PositiveInt
    prefill_tokens_per_s: model.PositiveFloat
    fixed_s: model.NonNegativeFloat = 0.0
    step_s: model.PositiveFloat
    step_growth: model.NonNegativeFloat = 0.0
    chunk_tokens: model.PositiveInt = 1024
    event_tokens: model.PositiveInt = 6


class Trouble(enum.Enum):
    """What may happen."""

    LOAD = "load"
    CUSTOMER = "customer"
    SLOW = "slow"
    CRASH = "crash"
    IMPATIENT = "impatient"
    RESTART = "restart"


class Event(model.Model, frozen=True, kw_only=True):
    """Something that happens for a while.

    Attributes:
        kind: ``load``: all load times ``times``; ``customer``: the load of one
            customer; ``slow``: the first ``engines`` engines work ``times`` as
            long; ``crash``: they lose all and are gone; ``impatient``: callers
            come back at once; ``restart``: all VMs are down, and know nothing
            afterwards.
        at_s: When it begins.
        for_s: How long it lasts.
        times: How strong it is.
        engines: How many engines it strikes.
        zone: The zone that it happens in; empty for all.
    """

    kind: Trouble
    at_s: model.NonNegativeFloat
    for_s: model.PositiveFloat
    times: model.PositiveFloat = 1.0
    engines: model.Count = 0
    zone: str = ""

    def covers(self, now: float) -> bool:
        """Returns whether it goes on at this moment."""
        return self.at_s <= now < self.at_s + self.for_s


class Customers(model.Model, frozen=True, kw_only=True):
    """Who asks.

    Attributes:
        count: How many customers; each sends half of the one before it.
        tokens_per_s: Limit of each; None for none.
        span_s: Span over which the limit holds as a total.
        span_total: Tokens in any such span.
    """

    count: model.PositiveInt = 4
    tokens_per_s: model.PositiveFloat | None = None
    span_s: model.PositiveFloat | None = None
    span_total: model.NonNegativeFloat = 0.0


class Zone(model.Model, frozen=True, kw_only=True):
    """A scheduling zone.

    Attributes:
        load: Its callers' part of the load of the kinds; 1 for all of it.
        engines: Its engines; left out if they are the pattern's.
    """

    load: model.NonNegativeFloat = 1.0
    engines: list[Engines] = []


class Pattern(model.Model, frozen=True, kw_only=True):
    """A load pattern.

    Attributes:
        says: What it stands for, in a sentence.
        length_s: How long callers ask.
        kinds: Kinds of requests by their names.
        engines: The engines.
        customers: Who asks.
        events: What happens.
        zones: Scheduling zones by their names; none for a single one.
        delay_s: One-way delay between zones, in seconds.
        owners: How many owners schedule the same servers, each for a part of
            the callers, unaware of each other.
        base: Name of a shipped pattern without a base that gives what is left
            out here.
    """

    says: str
    length_s: Annotated[float, msgspec.Meta(gt=0, le=600)]
    kinds: dict[str, Kind]
    engines: list[Engines]
    customers: Customers = Customers()
    events: list[Event] = []
    zones: dict[str, Zone] = {}
    delay_s: model.NonNegativeFloat = 0.03
    owners: model.PositiveInt = 1
    base: str | None = None

    def get_zone(self, name: str) -> Pattern:
        """Returns the pattern of one zone by itself."""
        zone = self.zones[name]
        part = Event(
            kind=Trouble.LOAD, at_s=0.0, for_s=self.length_s, times=zone.load
        )
        return msgspec.structs.replace(
            self,
            engines=zone.engines or self.engines,
            events=[part, *(e for e in self.events if e.zone in ("", name))],
            zones={},
        )


def list_names() -> list[str]:
    """Returns the names of the patterns that are shipped."""
    return sorted(path.stem for path in FOLDER.glob("*.json5"))


def read_pattern(name: str) -> Pattern:
    """Returns a shipped pattern, or the one of a file.

    Raises:
        PatternError: There is none, or it has a mistake.
    """
    path = pathlib.Path(name)
    if not path.suffix:
        path = FOLDER / f"{name}.json5"
    fields = _read_fields(path)
    if base := fields.get("base"):
        fields = {**_read_fields(_find_base(path, base)), **fields}
    match validation.convert(fields, Pattern):
        case Ok(pattern):
            return pattern
        case Err(mistakes):
            told = validation.format_violations(mistakes)
            raise PatternError(f"{path}: {told}")


def _find_base(path: pathlib.Path, base: object) -> pathlib.Path:
    if base not in list_names():
        raise PatternError(f"{path}: there is no pattern {base} to build on")
    return FOLDER / f"{base}.json5"


def _read_fields(path: pathlib.Path) -> dict[str, object]:
    try:
        fields = pyjson5.decode(path.read_text())
    except (OSError, pyjson5.Json5DecoderException) as error:
        raise PatternError(f"{path}: {error}") from error
    if not isinstance(fields, dict):
        raise PatternError(f"{path}: an object is wanted")
    return fields

"""A replica's record in the store, decoded into a backend server."""

from __future__ import annotations

import dataclasses

import pydantic

from ramptray.platform import settings

_DRAINING = "draining"


class RecordError(Exception):
    """A record that cannot be used; one line names the place."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """What a replica says of itself.

    Attributes:
        service: The service it works for.
        address: IP number and port it listens on.
        zone: Its availability zone.
        slots: Requests it works on at a time.
        leaving: Whether it is to get no new work.
    """

    service: str
    address: str
    zone: str
    slots: int
    leaving: bool


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    service: str
    address: str
    zone: str
    slots: int = pydantic.Field(ge=1)
    state: str


def parse_record(value: bytes) -> Replica:
    """Returns the replica that a record describes.

    Raises:
        RecordError: The record makes no sense.
    """
    try:
        raw = _Record.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise RecordError(settings.describe(error)) from error
    return Replica(
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        slots=raw.slots,
        leaving=raw.state == _DRAINING,
    )

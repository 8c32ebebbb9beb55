"""A replica's record in the store, decoded into a backend server."""

from __future__ import annotations

import pydantic

from ramptray.peer import message as peer_message
from ramptray.platform import settings

_DRAINING = "draining"


class RecordError(Exception):
    """A record that cannot be used; one line names the place."""


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    service: str
    address: str
    zone: str
    slots: int = pydantic.Field(ge=1)
    state: str


def parse_record(value: bytes) -> peer_message.Replica:
    """Returns the replica that a record describes.

    Raises:
        RecordError: The record makes no sense.
    """
    try:
        raw = _Record.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise RecordError(settings.describe(error)) from error
    return peer_message.Replica(
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        slots=raw.slots,
        leaving=raw.state == _DRAINING,
    )

"""A replica's record in the store, decoded into a backend server.

Others may write records too.  One that is not wholly sound names no replica:
guessing at the rest of it would send callers' requests to an address that
nobody vouches for.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Collection
from typing import Annotated

import msgspec

from ramptray.peer import message as peer_message

MAX_SLOTS = 100_000
"""Requests at a time of any replica; a larger number is a mistake, and would
send everything there."""

MAX_MS = 2**53
"""Latest start that is believed, in Unix milliseconds: larger numbers are not
exact in every program that writes records."""


MAX_ERROR_CHARS = 200
"""Longest account of a mistake: it repeats what the record holds, and is
logged."""


class RecordError(Exception):
    """A record that cannot be used; one line names the place."""


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


_KEY = re.compile(r"[!-~]+")
"""Names of replicas: they stand in headers."""

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[0-9A-Za-z.-]+:0*([1-9][0-9]{0,3}|[1-5][0-9]{4}"
        r"|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\Z",
    ),
]


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    service: _Text
    address: _Address
    zone: _Text
    release: str = msgspec.field(name="version", default="")
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _State
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)] = msgspec.field(
        name="born", default=0
    )
    warm_in_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)] = msgspec.field(
        name="coldMs", default=0.0
    )


def parse_record(
    value: bytes,
    name: str = "-",
    position: int = -1,
    zones: Collection[str] = (),
) -> peer_message.Replica:
    """Returns the replica that a record describes.

    Args:
        value: The record.
        name: The replica's name, under which the record stands.
        position: Its offset in the store; -1 where that is not known.
        zones: The availability zones that there are; empty for any.

    Raises:
        RecordError: The record makes no sense.
    """
    if not _KEY.fullmatch(name):
        raise RecordError("its name cannot stand in a header")
    try:
        raw = msgspec.json.decode(value.decode(), type=_Record)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise RecordError(str(error)[:MAX_ERROR_CHARS]) from error
    if zones and raw.zone not in zones:
        raise RecordError(f"zone: {raw.zone} is not known")
    return peer_message.Replica(
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        slots=raw.slots,
        leaving=raw.state is _State.DRAINING,
        run=raw.started_ms,
        position=position,
        warm_in_s=raw.warm_in_ms / 1000,
        release=raw.release,
    )

"""Decodes a replica's record in the store into a backend server.

Other programs may write records too.  A record with any invalid field is
rejected as a whole: using the remaining fields could send callers' requests to
an address that no replica has published.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Collection
from typing import Annotated

import msgspec

from ramptray import decoding
from ramptray.peer import message as peer_message

MAX_SLOTS = 100_000
"""Maximum concurrent requests of a replica.

A larger number is an error in the record, and would draw all requests to that
replica."""

MAX_TIMESTAMP_MS = 2**53
"""Latest accepted start, in Unix milliseconds.

Programs that write records as floating-point numbers cannot represent larger
integers exactly."""

MAX_HOST_CHARS = 253
"""Maximum length of a host name, in characters (RFC 1035)."""


class RecordError(decoding.DecodeError):
    """Invalid record; the message is one line that names the field."""


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


_NAME_PATTERN = re.compile(r"[!-~]+")
"""Allowed names of replicas: names are sent in headers."""

_NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
_Address = Annotated[
    str,
    msgspec.Meta(
        # Labels of 1 to 63 characters (RFC 1035): a resolver encodes no others.
        pattern=r"^([0-9A-Za-z-]{1,63}\.)*[0-9A-Za-z-]{1,63}\.?:0*([1-9][0-9]{0,3}|[1-5][0-9]{4}"
        r"|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\Z",
    ),
]


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    service: _NonEmptyStr
    address: _Address
    zone: _NonEmptyStr
    release: str = msgspec.field(name="version", default="")
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _State
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)] = (
        msgspec.field(name="born", default=0)
    )
    warm_in_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)] = (
        msgspec.field(name="coldMs", default=0.0)
    )


def parse_record(
    value: bytes,
    name: str = "-",
    position: int = -1,
    zones: Collection[str] = (),
) -> peer_message.Replica:
    """Decodes a replica's record.

    Args:
        value: The record.
        name: The replica's name, which is the record's key.
        position: The record's position in the store; -1 if unknown.
        zones: The availability zones in the settings; empty if any may exist.

    Raises:
        RecordError: The record is invalid.
    """
    if not _NAME_PATTERN.fullmatch(name):
        raise RecordError("its name cannot stand in a header")
    try:
        raw = decoding.decode_json(value, _Record)
    except decoding.DecodeError as error:
        raise RecordError(str(error)) from error
    if len(raw.address.rpartition(":")[0]) > MAX_HOST_CHARS:
        raise RecordError(f"address: host of over {MAX_HOST_CHARS} characters")
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
        is_zone_known=not zones or raw.zone in zones,
    )

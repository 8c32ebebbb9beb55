"""Pages of records as the store sends them."""

from __future__ import annotations

import base64
import binascii
import struct

import msgspec

from ramptray.log import error as log_error
from ramptray.log import keyedstream
from ramptray.platform import stream_position

RECORD_LENGTH = struct.Struct(">I")
"""What stands before each record: its length."""

PAGE_HEADER = struct.Struct(">QQ")
"""What stands before the records: the end, and the first offset kept."""

INVALID_VALUE = b"\x00"
"""Stands for a value of which the bytes make no sense."""


class StoreError(log_error.LogError):
    """The store did not answer, or turned the call away."""


class TrimmedError(StoreError, log_error.LogTrimmedError):
    """Records that were asked for are not kept any more."""


class NewestItem(msgspec.Struct):
    """The newest record of a key, on the wire."""

    # The store's field is named after TLS; it holds the record's key.
    key: str = msgspec.field(name="tlsKey")
    value: str = ""
    offset: int = -1


class NewestPage(msgspec.Struct):
    """A page of newest records, on the wire."""

    items: list[NewestItem]
    end: int
    more: bool = msgspec.field(name="hasMore", default=False)


def encode_newest(page: NewestPage) -> bytes:
    """Returns a page as the store sends it."""
    return msgspec.json.encode(page)


def decode_newest(body: bytes) -> NewestPage:
    """Returns the page in the bytes.

    Raises:
        StoreError: They are none.
    """
    try:
        return msgspec.json.decode(body, type=NewestPage)
    except msgspec.MsgspecError as error:
        raise StoreError(f"not a page of records: {error}") from error


def decode_value(text: str) -> bytes:
    """Returns a value; ``INVALID_VALUE`` for one that makes no sense."""
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # Whoever reads the value says so; the other items hold.
        return INVALID_VALUE


def decode_records(body: bytes, offset: int) -> keyedstream.Changes:
    """Splits the store's bytes: end, first offset kept, then records.

    Raises:
        TrimmedError: Records from the offset on are not kept any more.
        StoreError: The bytes are not a series of records.
    """
    try:
        end, first = PAGE_HEADER.unpack_from(body)
        if first > stream_position.get_offset(offset):
            raise TrimmedError(f"records before {first} are gone")
        end = stream_position.make_position(
            stream_position.get_generation(offset), end
        )
        records: list[keyedstream.Change] = []
        at = PAGE_HEADER.size
        while at < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, at)
            at += RECORD_LENGTH.size
            position = offset + len(records)
            records.append(_decode_keyed(body[at : at + length], position))
            at += length
    except struct.error as error:
        raise StoreError(f"not a series of records: {error}") from error
    return keyedstream.Changes(
        records, offset + len(records) if records else end
    )


def _decode_keyed(record: bytes, position: int) -> keyedstream.Change:
    """Splits a record: length of the key (1 byte), key, value.

    One that cannot be split stands for no key, so that the others hold.
    """
    key_end = 1 + record[0] if record else 1
    key = record[1:key_end].decode(errors="replace")
    if len(record) < key_end:
        return keyedstream.Change("", None, position)
    return keyedstream.Change(key, record[key_end:] or None, position)

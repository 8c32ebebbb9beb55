"""Encodes and decodes the pages of records that the store sends."""

from __future__ import annotations

import base64
import contextlib
import json
import re
import struct
from typing import Annotated, Any

import msgspec

from ramptray import decoding
from ramptray.log import error as log_error
from ramptray.log import keyedstream
from ramptray.platform import stream_position

RECORD_LENGTH = struct.Struct(">I")
"""Prefix of each record: its length."""

PAGE_HEADER = struct.Struct(">QQ")
"""Precedes the records: the topic's end, and the first offset retained."""

INVALID_VALUE = b"\x00"
"""Replaces a value that is not valid base64."""


_SURROGATES = re.compile("[\ud800-\udfff]")
_NO_BYTES = re.compile("[\ud800-\udc7f\udd00-\udfff]")
"""Surrogates that do not stand for a byte (``surrogateescape``)."""


class StoreError(log_error.LogError):
    """The store did not respond, or rejected the call."""


class TrimmedError(StoreError, log_error.LogTrimmedError):
    """The requested records are no longer retained.

    Attributes:
        first: Offset of the first record retained; None if not known.
    """

    def __init__(self, text: str, first: int | None = None) -> None:
        self.first = first
        super().__init__(text)


_Offset = Annotated[
    int, msgspec.Meta(ge=-1, lt=1 << stream_position.OFFSET_BITS)
]


class NewestItem(msgspec.Struct):
    """Wire format of the newest record of a key."""

    # Despite its name on the wire, the field holds the record's key.
    key: str = msgspec.field(name="tlsKey")
    value: str = ""
    offset: _Offset = -1


class NewestPage(msgspec.Struct):
    """Wire format of a page of newest records."""

    items: list[NewestItem]
    end: _Offset
    more: bool = msgspec.field(name="hasMore", default=False)


class _LenientPage(msgspec.Struct):
    """Page whose items are decoded one by one."""

    items: list[Any]
    end: _Offset
    more: bool = msgspec.field(name="hasMore", default=False)


def encode_newest(page: NewestPage) -> bytes:
    """Returns the wire format of a page, whose keys may be no text."""
    return json.dumps(msgspec.to_builtins(page)).encode()


def decode_newest(body: bytes) -> NewestPage:
    """Decodes a page of newest records.

    Items that are invalid are left out.  Keys that are not Unicode text hold
    lone surrogates, see ``clean_key``.

    Raises:
        StoreError: The bytes are not a valid page.
    """
    try:
        return decoding.decode_json(body, NewestPage)
    except decoding.DecodeError:
        # One odd item would otherwise make the whole page unreadable.
        return _decode_items(body)


def _decode_items(body: bytes) -> NewestPage:
    try:
        plain = decoding.decode_lenient_json(body)
        with decoding.translate_errors():
            page = msgspec.convert(plain, _LenientPage)
    except decoding.DecodeError as error:
        raise StoreError(f"not a page of records: {error}") from error
    items = []
    for item in page.items:
        with contextlib.suppress(msgspec.ValidationError):
            items.append(msgspec.convert(item, NewestItem))
    return NewestPage(items, page.end, page.more)


def clean_key(key: str) -> str:
    """Returns a key as text, in the form that ``decode_records`` gives it."""
    return _SURROGATES.sub("\ufffd", key)


def make_cursor(key: str) -> str:
    """Returns the key after which the next page begins.

    Lone surrogates that stand for a byte are kept, and sent as that byte.
    """
    return _NO_BYTES.sub("\ufffd", key)


class _GonePage(msgspec.Struct):
    """Wire format of the response for records that are no longer retained."""

    first: Annotated[int, msgspec.Meta(ge=0)]


def decode_first(body: bytes) -> int | None:
    """Returns the first offset retained that a response names, if any."""
    try:
        return decoding.decode_json(body, _GonePage).first
    except decoding.DecodeError:
        return None


def decode_value(text: str) -> bytes:
    """Decodes a value; returns ``INVALID_VALUE`` for invalid base64."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        # The reader of the value reports it; the other items stay usable.
        return INVALID_VALUE


def decode_records(body: bytes, offset: int) -> keyedstream.Changes:
    """Decodes the store's bytes: end, first offset retained, then records.

    Raises:
        TrimmedError: Records from the offset on are no longer retained.
        StoreError: The bytes are not a series of records.
    """
    try:
        end, first = PAGE_HEADER.unpack_from(body)
        if first > stream_position.get_offset(offset):
            raise TrimmedError(f"records before {first} are gone", first)
        end = stream_position.make_position(
            stream_position.get_generation(offset), end
        )
        records: list[keyedstream.Change] = []
        cursor = PAGE_HEADER.size
        while cursor < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, cursor)
            cursor += RECORD_LENGTH.size
            position = offset + len(records)
            records.append(
                _decode_record(body[cursor : cursor + length], position)
            )
            cursor += length
    except struct.error as error:
        raise StoreError(f"not a series of records: {error}") from error
    return keyedstream.Changes(
        records, offset + len(records) if records else end
    )


def _decode_record(record: bytes, position: int) -> keyedstream.Change:
    """Decodes a record: length of the key (1 byte), key, value.

    A malformed record gets an empty key, so that the others stay usable.
    """
    key_end = 1 + record[0] if record else 1
    key = record[1:key_end].decode(errors="replace")
    if len(record) < key_end:
        return keyedstream.Change("", None, position)
    return keyedstream.Change(key, record[key_end:] or None, position)

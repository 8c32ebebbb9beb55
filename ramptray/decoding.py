"""Decodes bytes that other programs wrote.

Anyone may write to what this program reads.  Libraries raise more for such
bytes than they document: for deep nesting, for text that is not Unicode, for
numbers out of range.  Here each of these becomes one error.
"""

from __future__ import annotations

import contextlib
import json
import tomllib
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

MAX_BYTES = 64 * 1024 * 1024
"""Size of the largest value that is decoded, in bytes: that of a bundle.  The
interpreter's recursion limit bounds the nesting."""

MAX_ERROR_CHARS = 200
"""Maximum length of an error text, which may quote the value."""

T = TypeVar("T")


class DecodeError(Exception):
    """A value is invalid; the message is one line."""


@contextlib.contextmanager
def translate_errors() -> Iterator[None]:
    """Turns each error of decoding or validating a value into a DecodeError.

    Raises:
        DecodeError: The value is invalid.
    """
    try:
        yield
    except DecodeError:
        raise
    except Exception as error:
        text = " ".join(str(error).split()) or type(error).__name__
        raise DecodeError(text[:MAX_ERROR_CHARS]) from error


def decode_json(data: bytes | str, kind: type[T]) -> T:
    """Returns the value of a JSON text.

    Args:
        data: The text.
        kind: Type of the value.

    Raises:
        DecodeError: The text is invalid, or not a value of this type.
    """
    with translate_errors():
        _check_size(data)
        return msgspec.json.decode(data, type=kind)


def decode_lenient_json(data: bytes) -> Any:
    """Returns the plain value of a JSON text with parts that are not Unicode.

    Such parts hold lone surrogates in the value.

    Raises:
        DecodeError: The text is invalid.
    """
    with translate_errors():
        _check_size(data)
        return json.loads(data.decode(errors="surrogateescape"))


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Returns a MessagePack value.

    Raises:
        DecodeError: The bytes are invalid, or not a value of this type.
    """
    with translate_errors():
        _check_size(data)
        return msgspec.msgpack.decode(data, type=kind)


def decode_toml(data: bytes) -> dict[str, Any]:
    """Returns the fields of a TOML text.

    Raises:
        DecodeError: The text is invalid.
    """
    with translate_errors():
        _check_size(data)
        return tomllib.loads(data.decode())


def _check_size(data: bytes | str) -> None:
    if len(data) > MAX_BYTES:
        raise DecodeError(f"larger than {MAX_BYTES} bytes")

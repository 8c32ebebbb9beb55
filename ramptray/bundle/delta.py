"""Differences between bundles, so that a change costs its own size only.

A difference is the new text compressed with the old one as dictionary.  What is
signed stays the whole text, so acceptance is the same either way.
"""

from __future__ import annotations

import base64

import zstandard

MAX_TEXT_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 3


class DeltaError(Exception):
    """The bytes are not a difference to this base."""


def make_delta(base: str, text: str) -> str:
    """Returns what turns the base into the text, as base64."""
    return base64.b64encode(
        make_binary_delta(base.encode(), text.encode())
    ).decode()


def make_binary_delta(known: bytes, new: bytes) -> bytes:
    """Returns what turns the known bytes into the new ones.

    Args:
        known: What the reader has; empty where it has nothing.
        new: What it is to have.
    """
    # The window must reach back over the whole base.
    window = max(zstandard.WINDOWLOG_MIN, (len(known) + len(new)).bit_length())
    # Long-distance matching would find less: 9.8 kB instead of 52 bytes for one
    # changed route of 1,317.
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, window_log=window, write_content_size=True
    )
    packer = zstandard.ZstdCompressor(
        dict_data=_make_dictionary(known), compression_params=parameters
    )
    return packer.compress(new)


def apply_delta(base: str, delta: str) -> str:
    """Returns the text that the difference makes of the base.

    Raises:
        DeltaError: It is no difference to this base.
    """
    try:
        packed = base64.b64decode(delta, validate=True)
        return apply_binary_delta(base.encode(), packed).decode()
    except ValueError as error:
        raise DeltaError(str(error)) from error


def apply_binary_delta(known: bytes, packed: bytes) -> bytes:
    """Returns the new bytes; see ``pack``.

    Raises:
        DeltaError: The packed bytes do not follow from the known ones.
    """
    unpacker = zstandard.ZstdDecompressor(
        dict_data=_make_dictionary(known), max_window_size=MAX_TEXT_BYTES
    )
    try:
        return unpacker.decompress(packed, max_output_size=MAX_TEXT_BYTES)
    except zstandard.ZstdError as error:
        raise DeltaError(str(error)) from error


def _make_dictionary(raw: bytes) -> zstandard.ZstdCompressionDict | None:
    if not raw:
        return None
    return zstandard.ZstdCompressionDict(
        raw, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )

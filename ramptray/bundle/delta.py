"""Differences between bundles, so that a change costs its own size only.

A difference is the new text compressed with the old one as dictionary.  What is
signed stays the whole text, so acceptance is the same either way.
"""

from __future__ import annotations

import base64

import zstandard

MAX_TEXT_BYTES = 64 * 1024 * 1024
LEVEL = 3


class DeltaError(Exception):
    """The bytes are not a difference to this base."""


def make_delta(base: str, text: str) -> str:
    """Returns what turns the base into the text, as base64."""
    known, new = base.encode(), text.encode()
    # The window must reach back over the whole base.
    window = max(zstandard.WINDOWLOG_MIN, (len(known) + len(new)).bit_length())
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, window_log=window, enable_ldm=True, write_content_size=True
    )
    packer = zstandard.ZstdCompressor(
        dict_data=_make_dictionary(known), compression_params=parameters
    )
    return base64.b64encode(packer.compress(new)).decode()


def apply_delta(base: str, delta: str) -> str:
    """Returns the text that the difference makes of the base.

    Raises:
        DeltaError: It is no difference to this base.
    """
    unpacker = zstandard.ZstdDecompressor(
        dict_data=_make_dictionary(base.encode()),
        max_window_size=MAX_TEXT_BYTES,
    )
    try:
        packed = base64.b64decode(delta, validate=True)
        text = unpacker.decompress(packed, max_output_size=MAX_TEXT_BYTES)
        return text.decode()
    except (zstandard.ZstdError, ValueError) as error:
        raise DeltaError(str(error)) from error


def _make_dictionary(raw: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        raw, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )

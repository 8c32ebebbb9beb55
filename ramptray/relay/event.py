"""Splits a stream of server-sent events at event boundaries.

Only complete events are forwarded, so that a stream that breaks in the middle
of an event can resume at another backend server without duplicated or missing
bytes.
"""

from __future__ import annotations

import re

_END = re.compile(rb"(?>\r\n|\n)(?:\r\n|\n|\r(?!\n|\Z))|\r\r\n?")
"""The empty line after an event, with the line ends of the HTML standard.  A
carriage return after a line feed may be half of a line end."""

MAX_END_BYTES = 4
"""Length of the longest end of an event."""

_ID = re.compile(rb"(?:^|(?<=[\r\n]))id:[ ]?([^\r\n]*)")
_FIELD = re.compile(rb"(?:^|(?<=[\r\n]))[^:\r\n]")
"""Begin of a line that is no comment."""


class EventSplitter:
    """Buffers an incomplete event until its end has arrived.

    Attributes:
        last_id: Id of the last complete event that has one; None so far.
        count: Number of complete events so far, without comments.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.count = 0
        self._remainder = b""

    def split(self, data: bytes) -> bytes:
        """Returns the events that these bytes complete."""
        buffered = self._remainder + data
        end = 0
        # What was held before has no complete end of an event.
        searched = max(0, len(self._remainder) - MAX_END_BYTES + 1)
        for found in _END.finditer(buffered, searched):
            if _FIELD.search(buffered, end, found.start()):
                self.count += 1
            end = found.end()
        complete, self._remainder = buffered[:end], buffered[end:]
        if ids := _ID.findall(complete):
            self.last_id = ids[-1].decode("latin-1")
        return complete

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    def take_remainder(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        remainder, self._remainder = self._remainder, b""
        return remainder

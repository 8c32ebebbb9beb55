"""Splits a stream of server-sent events at their ends.

Only whole events are passed on, so that a stream that breaks in the middle of
one can go on elsewhere without a piece twice or missing.
"""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Holds back the beginning of an event until its end has arrived.

    Attributes:
        last_id: Id of the last whole event; None before the first.
        count: Whole events so far.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.count = 0
        self._remainder = b""

    def split(self, data: bytes) -> bytes:
        """Returns the whole events that these bytes complete."""
        buffered = self._remainder + data
        end = 0
        for found in _END.finditer(buffered):
            end = found.end()
            self.count += 1
        complete, self._remainder = buffered[:end], buffered[end:]
        if ids := _ID.findall(complete):
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def take_remainder(self) -> bytes:
        """Returns what follows the last whole event."""
        remainder, self._remainder = self._remainder, b""
        return remainder

"""Parses an engine's response into server-sent events."""

from __future__ import annotations

import msgspec

END_DATA = "[DONE]"
"""Data of the event that ends a complete response."""


class Event(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes:
        number: Id of the event, counted from 1 within its stream.
        data: Data of the event.
    """

    number: int
    data: str

    @property
    def is_end(self) -> bool:
        """Whether this event ends the response."""
        return self.data == END_DATA


class EventSplitter:
    """Buffers bytes and returns the complete events in them."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that these bytes complete."""
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        return [_parse(block.decode("utf-8", "replace")) for block in blocks]


def _parse(block: str) -> Event:
    fields = dict(
        line.partition(": ")[::2] for line in block.splitlines() if line
    )
    number = fields.get("id", "0")
    return Event(int(number) if number.isdigit() else 0, fields.get("data", ""))

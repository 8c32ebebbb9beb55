"""Splits an engine's answer into server-sent events."""

from __future__ import annotations

import msgspec

END_DATA = "[DONE]"
"""Data of the event that marks the end of a whole answer."""


class Event(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes:
        number: The event's id, counted from 1 within its stream.
        data: The event's data.
    """

    number: int
    data: str

    @property
    def is_end(self) -> bool:
        """Whether this is the end marker of the answer."""
        return self.data == END_DATA


class EventSplitter:
    """Collects bytes and returns the whole events among them."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that these bytes complete."""
        *whole, self._rest = (self._rest + data).split(b"\n\n")
        return [_parse(block.decode("utf-8", "replace")) for block in whole]


def _parse(block: str) -> Event:
    fields = dict(
        line.partition(": ")[::2] for line in block.splitlines() if line
    )
    number = fields.get("id", "0")
    return Event(int(number) if number.isdigit() else 0, fields.get("data", ""))

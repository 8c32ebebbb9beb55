"""The byte stream that carries HTTP to a backend server."""

from __future__ import annotations

import abc


class ByteStream(abc.ABC):
    """A stream of bytes in both directions, read by one task."""

    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Returns whether it is open and nothing waits to be read."""

    @abc.abstractmethod
    async def receive(self, timeout_s: float | None = None) -> bytes:
        """Returns all bytes received; waits if there are none.

        Args:
            timeout_s: Longest time to wait, in seconds; None for no limit.

        Raises:
            EndOfStream: The other end has closed its side.
            BrokenResourceError: The stream is lost.
            ClosedResourceError: It was closed here.
            TimeoutError: Nothing has arrived, and the time is over.
        """

    @abc.abstractmethod
    async def send(self, data: bytes, timeout_s: float) -> None:
        """Writes bytes and waits until they are accepted.

        Args:
            data: The bytes.
            timeout_s: Longest time to wait for the other end, in seconds.

        Raises:
            BrokenResourceError: The stream is lost.
            ClosedResourceError: It was closed here.
            TimeoutError: The other end does not read.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the stream at once and drops unsent bytes."""

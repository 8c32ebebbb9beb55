"""Keeps a process attached to one scheduler."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
from anyio.streams import memory

from ramptray import steadyclock
from ramptray.peer import link as peer_link
from ramptray.peer import link_failures
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.2
MAX_QUEUED_MESSAGES = 50_000


class LinkOpened(msgspec.Struct, frozen=True):
    """A link to a scheduler is open; only the greeting was sent so far.

    Attributes:
        address: The scheduler's address.
        rtt_s: Round trip of the greeting, in seconds.
    """

    address: str
    rtt_s: float = 0.0


class LinkClosed(msgspec.Struct, frozen=True):
    """A link to a scheduler is broken; queued messages were dropped."""

    address: str


class MessageReceived(msgspec.Struct, frozen=True):
    """A scheduler has sent a message."""

    address: str
    body: Any


Event = LinkOpened | LinkClosed | MessageReceived


class Attachment:
    """Keeps a link to one scheduler open, and reopens it when it breaks.

    Messages sent while the link is down are dropped: when it is up again, the
    dispatcher sends its whole state to the scheduler.
    """

    def __init__(
        self,
        address: str,
        hello: peer_message.Hello,
        client: peer_link.PeerClient,
        report: Callable[[Event], None],
    ) -> None:
        self.address = address
        self._hello = hello
        self._client = client
        self._report = report
        self._queue: memory.MemoryObjectSendStream[Any] | None = None
        self._scope = anyio.CancelScope()

    def send(self, body: Any) -> None:
        """Queues a message if the link is up; a full queue closes the link."""
        if self._queue is None:
            return
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            try:
                self._queue.send_nowait(body)
            except anyio.WouldBlock:
                self._queue.close()

    def stop(self) -> None:
        """Closes the link permanently."""
        self._scope.cancel()

    async def run(self) -> None:
        """Keeps the link open until ``stop`` is called."""
        with self._scope:
            while True:
                try:
                    await self._run_link()
                except* peer_link.LinkError as group:
                    self._record_error(group.exceptions[0])
                self._queue = None
                self._report(LinkClosed(self.address))
                await anyio.sleep(RECONNECT_DELAY_S)

    def _record_error(self, error: Exception) -> None:
        LOG.debug("link down: %s", error)
        has_opened = self._queue is not None
        if not has_opened and isinstance(error, peer_link.LinkError):
            self._client.record_failure(
                self.address, link_failures.Kind.LINK, error
            )

    async def _run_link(self) -> None:
        async with self._client.attach(self.address) as link:
            greeted_at = steadyclock.read()
            await link.send(self._hello)
            # The scheduler responds to the greeting with its view at once.
            first = await link.receive()
            rtt_s = steadyclock.read() - greeted_at
            send, receive = anyio.create_memory_object_stream[Any](
                MAX_QUEUED_MESSAGES
            )
            self._queue = send
            self._client.failures.record_open(
                self.address, link_failures.Kind.LINK
            )
            self._report(LinkOpened(self.address, rtt_s))
            self._report(MessageReceived(self.address, first))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, link)
                async for body in receive:
                    bodies = peer_link.drain_queue(body, receive)
                    await link.send(*bodies)
                raise peer_link.LinkError(f"{self.address}: queue overflow")

    async def _read(self, link: peer_link.Link) -> None:
        while True:
            body = await link.receive()
            self._report(MessageReceived(self.address, body))

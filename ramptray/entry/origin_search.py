"""Searches for the origin of a stream at other VMs."""

from __future__ import annotations

import logging
from collections.abc import Sequence

import anyio
import anyio.abc
import msgspec

from ramptray import deadline as deadlines
from ramptray import steadyclock
from ramptray.core import stream_origin
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

FIND_TIMEOUT_S = 0.3
"""Time within which other VMs must answer what they know of a stream, in
seconds."""

OTHER_ZONE_TIMEOUT_S = 0.8
"""Time within which VMs of other zones must answer, in seconds: two connections
and their own search."""

SECOND_ANSWER_S = 0.05
"""How long to wait for a second VM that knows the origin, in seconds.  It might
know that attempts of the same id began at different origins."""

MAX_SEARCHES = 64
"""Number of searches at other VMs at a time.  Callers may name any id."""


class Search(msgspec.Struct):
    """A search at other VMs.

    Attributes:
        waits_for: Number of VMs that have not answered.
        failed: Number of VMs that gave no answer.
        found: The answers of VMs that know the stream.
        changed: Set when a VM has answered.
    """

    waits_for: int
    failed: int = 0
    found: list[tuple[stream_origin.Origin, ...]] = msgspec.field(
        default_factory=list
    )
    changed: anyio.Event = msgspec.field(default_factory=anyio.Event)

    @property
    def is_complete(self) -> bool:
        """Whether all VMs have answered."""
        return not (self.failed or self.waits_for)

    def end_one(self) -> None:
        """Records that a VM has answered or failed to."""
        self.waits_for -= 1
        self.changed.set()
        self.changed = anyio.Event()


class OriginSearcher:
    """Asks several VMs at once what they know of a stream.

    Args:
        client: Sends requests to other VMs.
    """

    def __init__(self, client: peer_link.Asker) -> None:
        self._client = client
        self._searches = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Lets questions end that a search no longer waits for.

        They are not cancelled, see ``StreamDistributor._follow``.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None

    async def search(
        self, addresses: Sequence[str], key: bytes, is_kept: bool
    ) -> Search:
        """Asks VMs of the own zone.

        Args:
            addresses: The VMs.
            key: The stream's key.
            is_kept: Whether this VM knows the origin itself.
        """
        request = peer_message.FindOrigin(key)
        return await self._ask_all(addresses, request, FIND_TIMEOUT_S, is_kept)

    async def search_zones(
        self, addresses: Sequence[str], key: bytes
    ) -> Search:
        """Asks one VM of each other zone, which asks others there.

        Args:
            addresses: The VMs.
            key: The stream's key.
        """
        request = peer_message.FindOrigin(key, asks_zone=True)
        return await self._ask_all(
            addresses, request, OTHER_ZONE_TIMEOUT_S, False
        )

    async def _ask_all(
        self,
        addresses: Sequence[str],
        request: peer_message.FindOrigin,
        timeout_s: float,
        is_kept: bool,
    ) -> Search:
        """Asks VMs until two know the origin, or all have answered."""
        if self._tasks is None or self._searches >= MAX_SEARCHES:
            return Search(0, failed=len(addresses))
        self._searches += 1
        try:
            search = Search(len(addresses))
            for address in addresses:
                self._tasks.start_soon(
                    self._ask_one, address, request, timeout_s, search
                )
            await _wait_for_two(search, timeout_s, is_kept)
            return search
        finally:
            self._searches -= 1

    async def _ask_one(
        self,
        address: str,
        request: peer_message.FindOrigin,
        timeout_s: float,
        search: Search,
    ) -> None:
        try:
            answer = await self._client.ask(address, request, timeout_s)
        except peer_link.LinkError as error:
            LOG.debug("no answer on a stream's origin: %s", error)
            answer = None
        if not isinstance(answer, peer_message.FoundOrigin):
            search.failed += 1
        elif answer.origins:
            search.found.append(answer.origins)
        search.end_one()


async def _wait_for_two(
    search: Search, timeout_s: float, is_kept: bool
) -> None:
    """Waits until two VMs know the origin, or all have answered.

    Args:
        search: The search.
        timeout_s: How long to wait at most, in seconds.
        is_kept: Whether this VM knows the origin itself.
    """
    deadline = steadyclock.read() + timeout_s
    while search.waits_for and len(search.found) + is_kept < 2:
        left_s = deadline - steadyclock.read()
        if search.found or is_kept:
            left_s = min(left_s, SECOND_ANSWER_S)
        with deadlines.move_on_after(left_s) as scope:
            await search.changed.wait()
        if scope.cancelled_caught:
            return

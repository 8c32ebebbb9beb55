"""Where a scheduler's bundle comes from, and how peers pass it on."""

from __future__ import annotations

import abc
import logging
from collections.abc import Callable, Iterable, Mapping

from ramptray.bundle import acceptance
from ramptray.core import membership
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)


WATCHER_COUNT = 2
"""VMs that watch the log's streams for all: one of them may be frozen or cut
off from the log, and each costs the log a call a second a stream."""

WATCH_KEY = "watch"
"""Key by which the watchers are chosen."""


class BundleSource(abc.ABC):
    """Follows what operators publish, and learns of it from peers.

    Args:
        client: Asks peers.
        fetch_timeout_s: Longest time for a peer to send its bundle, in seconds.
    """

    def __init__(
        self, client: peer_link.PeerClient, fetch_timeout_s: float
    ) -> None:
        self._client = client
        self._fetch_timeout_s = fetch_timeout_s

    @property
    @abc.abstractmethod
    def in_force(self) -> acceptance.InForce | None:
        """The bundle in force on this VM."""

    @property
    @abc.abstractmethod
    def log_up(self) -> bool:
        """Whether the log, or the store, answers."""

    @abc.abstractmethod
    def get_log_age(self, now: float) -> float | None:
        """Returns the seconds since it last answered, None for never."""

    @abc.abstractmethod
    def accept_from_peer(
        self, address: str, answer: peer_message.FetchedBundle
    ) -> None:
        """Takes the bundle that a peer has handed over."""

    @abc.abstractmethod
    def list_stream_ends(self) -> dict[str, int]:
        """Returns how far each stream that is followed is known to reach."""

    @abc.abstractmethod
    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """Takes how far streams reach as a peer knows."""

    @abc.abstractmethod
    def set_watching(self, watching: bool) -> None:
        """Sets whether this VM watches the streams for the others."""

    def update_members(
        self, me: membership.Member, alive: Iterable[membership.Member]
    ) -> None:
        """Takes the VMs that are alive; some watch the streams for all."""
        vms = [member.vm for member in alive]
        watchers = membership.pick_owners(WATCH_KEY, vms, WATCHER_COUNT)
        self.set_watching(me.vm in watchers)

    async def serve_streams(
        self, request: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """Returns what a peer lacks of the streams, if they are passed on."""
        return peer_message.ToldStreams([])

    @abc.abstractmethod
    def set_on_stream_advance(self, on_news: Callable[[], None]) -> None:
        """Sets what is called when peers may not know how far streams reach."""

    async def fetch(self, address: str, generation: int) -> None:
        """Takes a newer bundle from a peer."""
        current = self.in_force.generation if self.in_force else 0
        if generation > current:
            await self.fetch_newer(address)

    async def fetch_newer(self, address: str) -> None:
        """Takes what a peer has that is newer."""
        current = self.in_force.generation if self.in_force else 0
        try:
            answer = await self._client.ask(
                address,
                peer_message.FetchBundle(current),
                self._fetch_timeout_s,
            )
        except peer_link.LinkError as error:
            LOG.info("bundle from a peer: %s", error)
            return
        self.accept_from_peer(address, answer)

    def serve_bundle(
        self, request: peer_message.FetchBundle
    ) -> peer_message.FetchedBundle:
        """Returns the bundle in force if it is newer than the peer's."""
        current = self.in_force
        if current is None or current.generation <= request.above:
            return peer_message.FetchedBundle(None)
        return peer_message.FetchedBundle(current.envelope)

"""Base class of bundle sources, with the exchange of bundles between peers."""

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
"""Number of VMs that watch the log's streams on behalf of all.  More than one,
as a watcher may be frozen or cut off from the log; each costs the log one call
a second for each stream."""

WATCH_KEY = "watch"
"""Hash key that selects the watchers among the members."""


class BundleSource(abc.ABC):
    """Follows the bundles that operators publish, in the log and from peers.

    Args:
        client: Sends requests to peers.
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
        """Whether the log or store answers."""

    @abc.abstractmethod
    def get_log_age(self, now: float) -> float | None:
        """Returns the seconds since the log's last answer, None for never."""

    @abc.abstractmethod
    def accept_from_peer(
        self, address: str, answer: peer_message.FetchedBundle
    ) -> None:
        """Accepts a bundle that was fetched from a peer."""

    @abc.abstractmethod
    def list_stream_ends(self) -> dict[str, int]:
        """Returns the known end of each followed stream."""

    @abc.abstractmethod
    def update_stream_ends(self, ends: Mapping[str, int]) -> None:
        """Updates the known ends of streams with those of a peer."""

    @abc.abstractmethod
    def set_watching(self, watching: bool) -> None:
        """Sets whether this VM watches the streams on behalf of all."""

    def update_members(
        self, me: membership.Member, alive: Iterable[membership.Member]
    ) -> None:
        """Selects the watchers among the VMs that are alive."""
        vms = [member.vm for member in alive]
        watchers = membership.pick_owners(WATCH_KEY, vms, WATCHER_COUNT)
        self.set_watching(me.vm in watchers)

    async def serve_streams(
        self, request: peer_message.FollowStreams
    ) -> peer_message.ToldStreams:
        """Returns a peer's missing records, if streams are distributed."""
        return peer_message.ToldStreams([])

    @abc.abstractmethod
    def set_on_stream_advance(self, on_advance: Callable[[], None]) -> None:
        """Sets the callback for stream ends that peers may not know yet."""

    async def fetch(self, address: str, generation: int) -> None:
        """Fetches a peer's bundle if its generation is newer."""
        current = self.in_force.generation if self.in_force else 0
        if generation > current:
            await self.fetch_newer(address)

    async def fetch_newer(self, address: str) -> None:
        """Asks a peer for its bundle if it is newer than the one in force."""
        current = self.in_force.generation if self.in_force else 0
        try:
            answer = await self._client.ask(
                address,
                peer_message.FetchBundle(current),
                self._fetch_timeout_s,
            )
        except peer_link.LinkError as error:
            LOG.info("could not fetch a bundle from a peer: %s", error)
            return
        self.accept_from_peer(address, answer)

    def serve_bundle(
        self, request: peer_message.FetchBundle
    ) -> peer_message.FetchedBundle:
        """Returns the bundle in force if it is newer than the requester's."""
        current = self.in_force
        if current is None or current.generation <= request.above:
            return peer_message.FetchedBundle(None)
        return peer_message.FetchedBundle(current.envelope)

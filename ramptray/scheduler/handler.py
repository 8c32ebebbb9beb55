"""Handles messages and requests that a scheduler receives from peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio

from ramptray import steadyclock, timeline
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import event, gossip, hub, source, status

if TYPE_CHECKING:
    # Only VMs that relay streams keep their origins.
    from ramptray.entry import origin_store, release_sync

COLLECT_TIMEOUT_S = 1.0
"""Time limit for collecting attached processes' timeline events, in seconds."""

MAX_ATTACHED_PROCESSES = 16
"""Maximum number of attached processes whose events are buffered."""


class SchedulerHandler(peer_link.Handler):
    """Passes attached processes' messages to the hub and answers requests.

    Attributes:
        on_tunneled_hints: Called with the hints of a response that this VM
            tunneled.
        origins: Keeps the origins of streams; None if this VM serves none.
        releases: Serves the history of releases; None likewise.
    """

    def __init__(
        self,
        scheduler_hub: hub.Hub,
        gossiper: gossip.Gossiper,
        bundle_source: source.BundleSource,
        events: timeline.Timeline,
    ) -> None:
        self._hub = scheduler_hub
        self._gossiper = gossiper
        self._bundle_source = bundle_source
        self._timeline = events
        self.on_tunneled_hints: Callable[[peer_message.TunneledHints], None] = (
            _ignore_hints
        )
        self.origins: origin_store.OriginStore | None = None
        self.releases: release_sync.ReleaseSync | None = None

    async def open(self, session: peer_link.Session) -> None:
        """See the base class."""
        self._hub.post(event.SessionOpened(session))

    async def receive(self, session: peer_link.Session, body: Any) -> None:
        """See the base class."""
        self._hub.post(event.MessageReceived(session, body))

    async def close(self, session: peer_link.Session) -> None:
        """See the base class."""
        self._hub.post(event.SessionClosed(session))

    async def answer(self, request: Any) -> Any:
        """See the base class."""
        match request:
            case peer_message.Gossip():
                answer = self._gossiper.receive(request)
                mine = self._gossiper.membership.me.generation
                if request.sender.generation > mine:
                    sender = request.sender
                    await self._bundle_source.fetch(
                        sender.address, sender.generation
                    )
                return answer
            case peer_message.FetchBundle():
                return self._bundle_source.serve_bundle(request)
            case peer_message.FollowStreams():
                return await self._bundle_source.serve_streams(request)
            case peer_message.AskStatus():
                return peer_message.Status(
                    status.make_report(
                        self._hub, self._gossiper, self._bundle_source
                    )
                )
            case peer_message.ListBlocks():
                return self._list_blocks()
            case peer_message.LiftBlock(content):
                self._hub.blocks.lift(content, steadyclock.read())
                return self._list_blocks()
            case peer_message.AskTimeline():
                return await self._collect_events(request)
            case peer_message.TunneledHints():
                self.on_tunneled_hints(request)
                return peer_message.Received()
            case peer_message.KeepOrigins() if self.origins is not None:
                return self.origins.keep(request)
            case peer_message.FindOrigin() if self.origins is not None:
                return await self.origins.answer(request)
            case peer_message.FetchReleaseHistory() if self.releases:
                return self.releases.serve()
        raise ValueError(f"unknown request type: {type(request).__name__}")

    def _list_blocks(self) -> peer_message.BlockedContents:
        updates = self._hub.blocks.list_updates(steadyclock.read())
        return peer_message.BlockedContents(updates)

    async def _collect_events(
        self, request: peer_message.AskTimeline
    ) -> peer_message.TimelineEvents:
        """Returns the events of this VM's processes that respond in time."""
        events = self._timeline.list_events(request.after, request.subject)
        send, receive = anyio.create_memory_object_stream[
            peer_message.TimelineEvents
        ](MAX_ATTACHED_PROCESSES)
        self._hub.post(event.TimelineRequested(request, send))
        with anyio.move_on_after(COLLECT_TIMEOUT_S):
            async for answer in receive:
                events.extend(answer.events)
        return peer_message.TimelineEvents(events)


def _ignore_hints(hints: peer_message.TunneledHints) -> None:
    """Default of ``on_tunneled_hints``."""

"""What a scheduler does with its peers' messages."""

from __future__ import annotations

from typing import Any

from ramptray import timeline
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import follower, gossip, hub, status


class SchedulerServant(peer_link.Servant):
    """Passes attached processes to the hub and answers questions."""

    def __init__(
        self,
        owner: hub.Hub,
        gossiper: gossip.Gossiper,
        follow: follower.Follower,
        events: timeline.Timeline,
    ) -> None:
        self._hub = owner
        self._gossiper = gossiper
        self._follower = follow
        self._timeline = events

    async def open(self, session: peer_link.Session) -> None:
        """See the base class."""
        self._hub.post(hub.Opened(session))

    async def receive(self, session: peer_link.Session, body: Any) -> None:
        """See the base class."""
        self._hub.post(hub.Received(session, body))

    async def close(self, session: peer_link.Session) -> None:
        """See the base class."""
        self._hub.post(hub.Closed(session))

    async def answer(self, question: Any) -> Any:
        """See the base class."""
        match question:
            case peer_message.Gossip():
                answer = self._gossiper.receive(question)
                mine = self._gossiper.membership.me.generation
                if question.sender.generation > mine:
                    sender = question.sender
                    await self._follower.fetch(
                        sender.address, sender.generation
                    )
                return answer
            case peer_message.FetchBundle():
                return self._follower.answer(question)
            case peer_message.AskStatus():
                return peer_message.Status(
                    status.make_report(
                        self._hub, self._gossiper, self._follower
                    )
                )
            case peer_message.AskTimeline(after, subject):
                return peer_message.TimelineEvents(
                    self._timeline.list_events(after, subject)
                )
        raise ValueError(f"no question: {type(question).__name__}")

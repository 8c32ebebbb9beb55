"""Questions for the time lines of the processes attached to a scheduler."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterable

import anyio
import msgspec
from anyio.streams import memory

from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message
from ramptray.scheduler import event

_Answers = memory.MemoryObjectSendStream[peer_message.TimelineEvents]


class TimelineQueries:
    """Passes each question on and hands its answers back.

    The stream of a question's answers closes with the last of those asked.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._open: dict[tuple[int, peer_link.Session], _Answers] = {}

    def ask(
        self,
        wanted: event.TimelineRequested,
        asked: Iterable[peer_link.Session],
    ) -> None:
        """Asks some attached processes."""
        number = next(self._numbers)
        question = msgspec.structs.replace(wanted.question, ticket=number)
        for session in asked:
            self._open[number, session] = wanted.answers.clone()
            session.send(question)
        wanted.answers.close()

    def forward_answer(
        self, session: peer_link.Session, events: peer_message.TimelineEvents
    ) -> None:
        """Takes the answer of a process."""
        answers = self._open.pop((events.ticket, session), None)
        if answers is not None:
            with contextlib.suppress(anyio.BrokenResourceError), answers:
                answers.send_nowait(events)

    def drop_session(self, session: peer_link.Session) -> None:
        """Notes that a process has gone and answers nothing any more."""
        for key in [key for key in self._open if key[1] is session]:
            self._open.pop(key).close()

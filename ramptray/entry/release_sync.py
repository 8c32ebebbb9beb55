"""Gets the history of releases that this VM has not seen itself."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence

import anyio

from ramptray import steadyclock
from ramptray.core import membership, release_history, stream_origin
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

LOG = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 0.5
"""Timeout of a request for another VM's history, in seconds."""

FIRST_PAUSE_S = 0.25
"""Pause after a history that was of no use, in seconds; it doubles up to
``MAX_PAUSE_S``."""

MAX_PAUSE_S = 4.0
"""Longest such pause, in seconds."""


class ReleaseSync:
    """Extends the history of releases by those of other VMs.

    A VM that has just started knows only what is listed now.  Until it knows
    what served before, streams of unknown origin cannot go on here.

    Args:
        address: Address of this VM's scheduler.
        client: Sends requests to other VMs.
        history: The history to extend.
        get_position: Returns the end of the stream of replicas that is known
            here.
    """

    def __init__(
        self,
        address: str,
        client: peer_link.Asker,
        history: release_history.ReleaseHistory,
        get_position: Callable[[], int],
    ) -> None:
        self._address = address
        self._client = client
        self._history = history
        self._get_position = get_position
        self._members: list[str] = []
        self._gap = anyio.Event()

    def update_members(self, members: Sequence[membership.Member]) -> None:
        """Applies a view of the membership."""
        self._members = [
            member.address
            for member in members
            if member.address != self._address
        ]

    def begin(self, since: float, position: int) -> None:
        """Begins the history anew, see ``ReleaseHistory.begin``."""
        self._history.begin(since, position)
        self._gap.set()

    def serve(self) -> peer_message.ReleaseHistoryUpdate:
        """Returns this VM's history for another one."""
        return peer_message.ReleaseHistoryUpdate(
            self._history.make_page(self._get_position(), steadyclock.read())
        )

    async def run(self) -> None:
        """Extends the history whenever it began anew, until cancelled."""
        while True:
            await self._gap.wait()
            self._gap = anyio.Event()
            pause_s = FIRST_PAUSE_S
            while self._is_short():
                if await self._fetch():
                    continue
                await anyio.sleep(pause_s * random.uniform(0.8, 1.2))
                pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def _is_short(self) -> bool:
        length_s = self._history.get_length_s(steadyclock.read())
        return length_s < stream_origin.MAX_RETENTION_S

    async def _fetch(self) -> bool:
        """Asks one VM; returns whether its history extends this VM's."""
        if not self._members:
            return False
        address = random.choice(self._members)
        try:
            answer = await self._client.ask(
                address, peer_message.FetchReleaseHistory(), FETCH_TIMEOUT_S
            )
        except peer_link.LinkError as error:
            LOG.debug("no history of releases: %s", error)
            return False
        if not isinstance(answer, peer_message.ReleaseHistoryUpdate):
            return False
        now = steadyclock.read()
        adopted = self._history.adopt(answer.page, now)
        if adopted:
            LOG.info(
                "history of releases extended",
                extra={
                    "peer": address,
                    "length_s": round(self._history.get_length_s(now), 1),
                },
            )
        return adopted

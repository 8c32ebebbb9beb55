"""What entries have learned of backend servers, for the owners of this VM."""

from __future__ import annotations

import logging
from collections.abc import Container

import msgspec

from ramptray.core import message

LOG = logging.getLogger(__name__)


class BackendObservations:
    """Keeps the newest speed and hints of each backend server.

    Attributes:
        speeds: The speeds by the servers' names.
    """

    def __init__(self) -> None:
        self.speeds: dict[str, message.SpeedLearned] = {}
        self._hints: dict[str, message.ServerHints] = {}
        # By entry and server: the server's run, and when the pause ends.
        self._pauses: dict[tuple[str, str], tuple[int, float]] = {}

    def record_hints(
        self, hints: message.ServerHints, origin: str, now: float
    ) -> None:
        """Takes a server's hints.

        Args:
            hints: What it says of itself.
            origin: The entry that sent them, which the pause is for.
            now: The scheduler's clock in seconds.
        """
        previous = self._hints.get(hints.backend)
        hints = hints.follow(previous)
        if hints.pause_s > 0.0:
            pause = (hints.run, now + hints.pause_s)
            self._pauses[origin, hints.backend] = pause
        # Of a pause what is left differs each time.
        without_pause = msgspec.structs.replace(hints, pause_s=0.0)
        if without_pause == previous and not hints.pause_s:
            return
        self._hints[hints.backend] = without_pause
        LOG.info(
            "server hints taken",
            extra={
                **msgspec.structs.asdict(hints),
                "former_per_s": previous and previous.limit_per_s,
                "origin": origin,
            },
        )

    def list_hints(self, now: float) -> list[tuple[str, message.ServerHints]]:
        """Returns the hints with the entries that their pauses are for.

        Those of servers that give none any more are among them.
        """
        pauses = [
            (entry, message.ServerHints(backend, run, pause_s=until - now))
            for (entry, backend), (run, until) in self._pauses.items()
            if until > now
        ]
        # What lasts comes last: a pause alone names no limit.
        return [*pauses, *(("", hints) for hints in self._hints.values())]

    def discard_except(self, backends: Container[str], now: float) -> None:
        """Drops what is known of all other backend servers."""
        self.speeds = {n: k for n, k in self.speeds.items() if n in backends}
        self._hints = {n: k for n, k in self._hints.items() if n in backends}
        self._pauses = {
            (entry, backend): (run, until)
            for (entry, backend), (run, until) in self._pauses.items()
            if backend in backends and until > now
        }

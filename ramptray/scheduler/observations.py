"""What entries have observed of backend servers, for this VM's shards."""

from __future__ import annotations

import logging
from collections.abc import Container

import msgspec

from ramptray.core import message, retention

LOG = logging.getLogger(__name__)


class BackendObservations:
    """Stores the latest speed and hints of each backend server.

    Attributes:
        speeds: The speeds by server name.
    """

    def __init__(self) -> None:
        self.speeds: dict[str, message.SpeedLearned] = {}
        self._hints: dict[str, message.ServerHints] = {}
        # (entry, server) -> the server's run and the time the pause ends.
        self._pauses: dict[tuple[str, str], tuple[int, float]] = {}
        self._retention = retention.ServerRetention()

    def record_hints(
        self, hints: message.ServerHints, origin: str, now: float
    ) -> None:
        """Records the hints that a server has sent.

        Args:
            hints: The hints.
            origin: The entry that received them; a pause applies to it alone.
            now: The scheduler's clock in seconds.
        """
        self._retention.renew(hints.backend)
        previous = self._hints.get(hints.backend)
        hints = hints.merge_previous(previous)
        if hints.pause_s > 0.0:
            pause = (hints.run, now + hints.pause_s)
            self._pauses[origin, hints.backend] = pause
        # The remaining time of a pause differs in each message, so it is left
        # out of the comparison.
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
        """Returns the hints, each with the entry that its pause applies to.

        Hints that a server no longer sends are included.
        """
        pauses = [
            (entry, message.ServerHints(backend, run, pause_s=until - now))
            for (entry, backend), (run, until) in self._pauses.items()
            if until > now
        ]
        # Hints without a pause follow the pauses: a pause carries no limit and
        # would otherwise overwrite the server's limit.
        return [*pauses, *(("", hints) for hints in self._hints.values())]

    def discard_except(self, backends: Container[str], now: float) -> None:
        """Removes servers that have not been listed for long, and old pauses.

        Args:
            backends: The backend servers of the configuration.
            now: The scheduler's clock in seconds.
        """
        for name in self._retention.find_expired(
            self.speeds.keys() | self._hints.keys(), backends, now
        ):
            self.speeds.pop(name, None)
            self._hints.pop(name, None)
        self._pauses = {
            key: (run, until)
            for key, (run, until) in self._pauses.items()
            if until > now
        }

"""What entries have learned of backend servers, for the owners of this VM."""

from __future__ import annotations

import logging
from collections.abc import Container

import msgspec

from ramptray.core import message

LOG = logging.getLogger(__name__)


class LearnedBook:
    """Keeps the newest speed and hints of each backend server.

    Attributes:
        speeds: The speeds by the servers' names.
    """

    def __init__(self) -> None:
        self.speeds: dict[str, message.SpeedLearned] = {}
        self._hints: dict[str, message.ServerHints] = {}

    def take_hints(self, hints: message.ServerHints, origin: str) -> None:
        """Takes a server's hints.

        Args:
            hints: What it says of itself.
            origin: The entry that sent it.
        """
        former = self._hints.get(hints.backend)
        if former and former.is_leaving and former.run == hints.run:
            hints = msgspec.structs.replace(hints, is_leaving=True)
        if hints == former:
            return
        self._hints[hints.backend] = hints
        LOG.info(
            "server hints taken",
            extra={
                **msgspec.structs.asdict(hints),
                "former_per_s": former and former.limit_per_s,
                "origin": origin,
            },
        )

    def list_hints(self) -> list[message.ServerHints]:
        """Returns the hints, also of servers that give none any more."""
        return list(self._hints.values())

    def discard_except(self, backends: Container[str]) -> None:
        """Drops what is known of all other backend servers."""
        self.speeds = {n: k for n, k in self.speeds.items() if n in backends}
        self._hints = {n: k for n, k in self._hints.items() if n in backends}

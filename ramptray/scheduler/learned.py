"""What entries have learned of backend servers, for the owners of this VM."""

from __future__ import annotations

import logging
from collections.abc import Container

import msgspec

from ramptray.core import message

LOG = logging.getLogger(__name__)


class LearnedBook:
    """Keeps the newest speed and request limit of each backend server.

    Attributes:
        speeds: The speeds by the servers' names.
    """

    def __init__(self) -> None:
        self.speeds: dict[str, message.SpeedLearned] = {}
        self._limits: dict[str, message.LimitNamed] = {}

    def take_limit(self, named: message.LimitNamed, origin: str) -> bool:
        """Takes a request limit; returns whether it is new.

        Args:
            named: The limit, or that there is none any more.
            origin: The entry that sent it.
        """
        former = self._limits.get(named.backend)
        if named == former:
            return False
        self._limits[named.backend] = named
        LOG.info(
            "server limit taken",
            extra={
                **msgspec.structs.asdict(named),
                "former_per_s": former and former.limit_per_s,
                "origin": origin,
            },
        )
        return True

    def list_limits(self) -> list[message.LimitNamed]:
        """Returns the limits, and the servers that name none any more."""
        return list(self._limits.values())

    def discard_except(self, backends: Container[str]) -> None:
        """Drops what is known of all other backend servers."""
        self.speeds = {n: k for n, k in self.speeds.items() if n in backends}
        self._limits = {n: k for n, k in self._limits.items() if n in backends}

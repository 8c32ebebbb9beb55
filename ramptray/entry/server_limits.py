"""Request limits that backend servers name in their answers."""

from __future__ import annotations

import logging

from ramptray.entry import ticket as tickets

LOG = logging.getLogger(__name__)


class ServerLimits:
    """Keeps the newest request limit of each backend server."""

    def __init__(self) -> None:
        self._limits: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def get(self, backend: str, run: int) -> float | None:
        """Returns the requests a second that a backend server accepts.

        Args:
            backend: The backend server.
            run: Which of its runs; a limit ends with its run.
        """
        known = self._limits.get(backend)
        return known[1] if known is not None and known[0] == run else None

    def observe(self, received: tickets.HeadReceived) -> bool:
        """Takes the limit that an answer names; returns whether it is new."""
        former = self.get(received.backend, received.run)
        limit = received.limit_per_s
        if limit == former:
            return False
        if limit is None:
            del self._limits[received.backend]
        else:
            self._limits[received.backend] = received.run, limit
        LOG.info(
            "server limit changed",
            extra={
                "backend": received.backend,
                "run": received.run,
                "limit_per_s": limit,
                "former_per_s": former,
                "request_id": received.request_id,
            },
        )
        return True

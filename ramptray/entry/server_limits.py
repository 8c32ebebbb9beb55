"""Request limits that backend servers name in their answers.

A limit is sent to a scheduler ahead of the next request on the same link, so
that no request is granted there without it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ramptray.core import message
from ramptray.entry import ticket as tickets

LOG = logging.getLogger(__name__)


class ServerLimits:
    """Keeps the newest limit of each backend server and passes it on.

    Args:
        send: Sends a message to a scheduler, by its address.
        list_links: Returns the schedulers that this entry is attached to.
    """

    def __init__(
        self,
        send: Callable[[str, message.LimitNamed], None],
        list_links: Callable[[], Iterable[str]],
    ) -> None:
        self._limits: dict[str, message.LimitNamed] = {}
        self._send = send
        self._list_links = list_links

    def __len__(self) -> int:
        return len(self._limits)

    def get(self, backend: str, run: int) -> float | None:
        """Returns the requests a second that a backend server accepts.

        Args:
            backend: The backend server.
            run: Which of its runs; a limit ends with its run.
        """
        known = self._limits.get(backend)
        if known is None or known.run != run:
            return None
        return known.limit_per_s

    def observe(self, received: tickets.HeadReceived) -> None:
        """Takes the limit that an answer names, or that it names none."""
        former = self.get(received.backend, received.run)
        named = message.LimitNamed(
            received.backend, received.run, received.limit_per_s
        )
        if named.limit_per_s != former:
            self._keep(named, former, received.request_id)
            for address in set(self._list_links()):
                self._send(address, named)
        elif named.limit_per_s != received.granted_limit_per_s:
            # The owner missed it, or an older answer reached it last.
            self._send(received.owner, named)

    def send_all(self, address: str) -> None:
        """Sends a scheduler all limits that are known here."""
        for named in self._limits.values():
            self._send(address, named)

    def discard_except(self, backends: Iterable[str]) -> None:
        """Drops the limits of all other backend servers."""
        if not self._limits:
            return
        kept = set(backends)
        self._limits = {n: k for n, k in self._limits.items() if n in kept}

    def _keep(
        self,
        named: message.LimitNamed,
        former_per_s: float | None,
        request_id: str,
    ) -> None:
        if named.limit_per_s is None:
            del self._limits[named.backend]
        else:
            self._limits[named.backend] = named
        LOG.info(
            "server limit changed",
            extra={
                "backend": named.backend,
                "run": named.run,
                "limit_per_s": named.limit_per_s,
                "former_per_s": former_per_s,
                "request_id": request_id,
            },
        )

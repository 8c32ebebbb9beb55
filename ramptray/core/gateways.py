"""Gateways: entries through which others reach backend servers."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import msgspec

from ramptray.core import backend as backends

MAX_GATEWAYS = 3
"""Number of gateways that a grant names."""

SILENCE_VALIDITY_S = 3.0
"""How long an entry's report that it cannot reach a server counts, in seconds.
An entry without requests sends no newer one."""

FAILED_GATEWAY_BACKOFF_S = 0.5
"""Seconds for which a gateway that failed for an entry is not named to it."""


class _Silence(msgspec.Struct, frozen=True):
    """The backend servers that an entry cannot reach, as of a time."""

    servers: frozenset[str]
    at: float


class GatewayDirectory:
    """Tracks which entries are gateways, and what they cannot reach.

    It serves all shards of an owner, as the links of an entry do not depend on
    the service.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._silences: dict[str, _Silence] = {}
        self._failed_until: dict[tuple[str, str], float] = {}
        self._turns = itertools.count()

    def add_entry(self, entry: str, address: str) -> None:
        """Adds an entry whose VM opens tunnels at this address."""
        self._addresses[entry] = address

    def remove_entry(self, entry: str) -> None:
        """Removes an entry that has detached."""
        self._addresses.pop(entry, None)
        self._silences.pop(entry, None)

    def record_silent(
        self, entry: str, servers: Iterable[str], now: float
    ) -> None:
        """Replaces the backend servers that an entry cannot reach."""
        silent = frozenset(servers)
        if silent:
            self._silences[entry] = _Silence(silent, now)
        else:
            self._silences.pop(entry, None)

    def add_silent(self, entry: str, server: str, now: float) -> None:
        """Adds a backend server that an entry cannot reach."""
        former = self._silences.get(entry)
        servers = former.servers if former else frozenset()
        self._silences[entry] = _Silence(servers | {server}, now)

    def find_entry(self, address: str) -> str | None:
        """Returns the entry whose VM opens tunnels at an address."""
        return next(
            (name for name, at in self._addresses.items() if at == address),
            None,
        )

    def has_others(self, entry: str) -> bool:
        """Returns whether there are gateways besides this entry."""
        return bool(self._addresses.keys() - {entry})

    def record_failures(
        self, entry: str, addresses: Iterable[str], now: float
    ) -> None:
        """Records gateways through which an entry reached no server."""
        self._failed_until = {
            pair: until
            for pair, until in self._failed_until.items()
            if until > now
        }
        for address in addresses:
            until = now + FAILED_GATEWAY_BACKOFF_S
            self._failed_until[entry, address] = until

    def list_gateways(
        self, entry: str, server: backends.Backend, now: float
    ) -> tuple[str, ...]:
        """Returns the addresses of gateways from an entry to a server.

        Those to which the server has answered recently come first.  Gateways of
        equal rank take turns.
        """
        usable = [
            (name, address)
            for name, address in self._addresses.items()
            if name != entry
            and not self._is_silent(name, server.info.name, now)
            and not server.availability.is_ejected_for(name, now)
            and self._failed_until.get((entry, address), 0.0) <= now
        ]
        if not usable:
            return ()
        turn = next(self._turns) % len(usable)
        ranked = sorted(
            usable[turn:] + usable[:turn],
            key=lambda gateway: (
                not server.availability.has_answered(gateway[0], now)
            ),
        )
        return tuple(address for _, address in ranked[:MAX_GATEWAYS])

    def _is_silent(self, entry: str, server: str, now: float) -> bool:
        silence = self._silences.get(entry)
        return (
            silence is not None
            and server in silence.servers
            and now - silence.at < SILENCE_VALIDITY_S
        )

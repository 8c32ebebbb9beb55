"""The backend servers of the bundle, and which of them can be reached."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ramptray import steadyclock
from ramptray.bundle import acceptance, model
from ramptray.core import message, release_history
from ramptray.entry import reachability
from ramptray.peer import message as peer_message


class BackendDirectory:
    """Combines the bundle in force with the reachability of its servers.

    Args:
        scheduling_zone: The entry's scheduling zone; None for any.

    Attributes:
        in_force: The bundle in force, if any.
        on_unreachable_zone: Called with the addresses of the backend servers of
            a zone that may be partitioned off: idle connections to them might
            accept a request and never respond.
        on_backend_restart: Called with a backend server that has restarted,
            and its new run.
        releases: The releases that have served.
        on_releases: Called when other releases are listed than before.
        describe_record: Returns on what this VM's belief about a backend server
            rests, for logs.
    """

    def __init__(self, scheduling_zone: str | None = None) -> None:
        self._scheduling_zone = scheduling_zone
        self.in_force: acceptance.InForce | None = None
        self.on_unreachable_zone: Callable[[list[str]], None] = (
            _ignore_addresses
        )
        self.releases = release_history.ReleaseHistory()
        self.on_releases: Callable[[], None] = _do_nothing
        self.describe_record: Callable[[str], dict[str, Any]] = _describe_none
        self.on_backend_restart: Callable[[str, int], None] = _ignore_restart
        self._first_in_force = anyio.Event()
        self._reachability = reachability.Reachability()
        self._has_unreachable_zone = anyio.Event()
        self._zones: dict[str, str] = {}
        self._vm_zones: set[str] = set()

    def apply_bundle(self, in_force: acceptance.InForce) -> None:
        """Replaces the bundle in force."""
        previous = self.in_force
        self.in_force = in_force
        if previous:
            self._handle_restarts(previous.bundle, in_force.bundle)
        self._first_in_force.set()
        if self.releases.observe(
            _list_releases(in_force.bundle), steadyclock.read()
        ):
            self.on_releases()
        self._zones = {
            name: server.availability_zone or server.zone
            for name, server in in_force.bundle.backend_servers.items()
        }

    def _handle_restarts(
        self, previous: model.Bundle, new: model.Bundle
    ) -> None:
        """Removes the reachability state of restarted backend servers."""
        for name, server in new.backend_servers.items():
            previous_server = previous.backend_servers.get(name)
            if (
                previous_server is not None
                and previous_server.run != server.run
            ):
                self._reachability.remove(name)
                self.on_backend_restart(name, server.run)

    def get_granted_url(self, grant: message.Grant) -> str | None:
        """Returns the URL of a granted backend server; None if it is leaving.

        If this VM's bundle lacks the server or has an earlier run of it, the
        URL comes from the grant: the owner may have a newer configuration.
        """
        if self.in_force is None:
            return None
        server = self.in_force.bundle.backend_servers.get(grant.backend)
        if server is None or grant.run > server.run:
            return grant.url or None
        return None if server.leaving else server.url

    async def wait_for_bundle(
        self, timeout_s: float
    ) -> acceptance.InForce | None:
        """Returns the bundle in force; waits briefly for the first one."""
        if self.in_force is None:
            with anyio.move_on_after(timeout_s):
                await self._first_in_force.wait()
        return self.in_force

    def find_url(self, backend: str) -> str | None:
        """Returns the URL of a backend server of the bundle."""
        if self.in_force is None:
            return None
        server = self.in_force.bundle.backend_servers.get(backend)
        return server.url if server else None

    def get_release(self, grant: message.Grant) -> str | None:
        """Returns the release of a granted backend server.

        Returns:
            The release; None if neither the bundle nor the grant names that of
            this run.
        """
        if self.in_force is None:
            return grant.release
        server = self.in_force.bundle.backend_servers.get(grant.backend)
        if server is None or server.run != grant.run:
            return grant.release
        return server.release

    @property
    def reachable_share(self) -> float:
        """Share of the scheduling zone's slots in zones that can be reached.

        All zones count if the scheduling zone has no backend server.
        """
        if self.in_force is None:
            return 1.0
        suspect = self._reachability.list_suspect_zones()
        bundle = self.in_force.bundle
        servers = {
            name: server
            for name, server in bundle.backend_servers.items()
            if not server.leaving
        }
        own = {
            name: server
            for name, server in servers.items()
            if self._scheduling_zone in (None, server.zone)
        }
        slots = [
            (self._zones[name], bundle.engines[server.engine].max_running)
            for name, server in (own or servers).items()
        ]
        reachable = sum(count for zone, count in slots if zone not in suspect)
        return reachable / max(1, sum(count for _, count in slots))

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """Returns the backend servers that must not be tried now."""
        return self._reachability.list_unreachable(self._zones, now)

    def record_connect_failure(self, backend: str | None, now: float) -> None:
        """Records that a connection to a backend server could not be opened."""
        if backend is None:
            return
        zone = self._zones.get(backend, "")
        if self._reachability.record_connect_failure(backend, zone, now):
            self._has_unreachable_zone.set()
            self.reset_zone_connections(zone)

    async def wait_for_unreachable_zone(self) -> None:
        """Waits until some zone is unreachable."""
        if not self._reachability.list_unreachable_zones():
            self._has_unreachable_zone = anyio.Event()
            await self._has_unreachable_zone.wait()

    def list_probe_targets(self, turn: int) -> list[tuple[str, str]]:
        """Returns a backend server of each unreachable zone, with its URL.

        Args:
            turn: Number of the probe; the servers of a zone are probed
                round-robin.
        """
        chosen = []
        for zone in sorted(self._reachability.list_unreachable_zones()):
            names = sorted(n for n, z in self._zones.items() if z == zone)
            name = names[turn % len(names)] if names else ""
            if url := self.find_url(name):
                chosen.append((name, url))
        return chosen

    def record_answer(self, backend: str | None, now: float) -> None:
        """Records that a backend server has answered."""
        if backend is not None:
            zone = self._zones.get(backend, "")
            self._reachability.record_answer(backend, zone, now)

    def apply_view(self, view: peer_message.View) -> None:
        """Suspects the zones that have no live VM in the view any more."""
        live_zones = {m.availability_zone for m in view.members} - {""}
        for zone in self._vm_zones - live_zones:
            self._reachability.record_lost_vms(zone)
            self.reset_zone_connections(zone)
        self._vm_zones = live_zones

    def reset_zone_connections(self, zone: str) -> None:
        """Requests new connections to the backend servers of a zone."""
        if self.in_force is None:
            return
        self.on_unreachable_zone(
            [
                server.url.removeprefix("http://")
                for name, server in self.in_force.bundle.backend_servers.items()
                if self._zones[name] == zone
            ]
        )


def _do_nothing() -> None:
    """Default of ``on_releases``."""


def _describe_none(backend: str) -> dict[str, Any]:
    """Default of ``describe_record``."""
    return {}


def _list_releases(bundle: model.Bundle) -> dict[str, set[str]]:
    """Returns the releases of all backend servers by service."""
    releases: dict[str, set[str]] = {}
    for server in bundle.backend_servers.values():
        releases.setdefault(server.service, set()).add(server.release)
    return releases


def _ignore_restart(backend: str, run: int) -> None:
    """Default of ``on_backend_restart``."""


def _ignore_addresses(addresses: list[str]) -> None:
    """Default of ``on_unreachable_zone``."""

"""The backend servers of the bundle, and which of them can be reached."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import anyio

from ramptray import steadyclock
from ramptray.bundle import acceptance, model
from ramptray.core import (
    message,
    release_history,
    retention,
    route_history,
    stream_origin,
)
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
        routes: The services that routes have led to.
        on_releases: Called when other releases are listed than before, or
            routes lead to other services.
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
        self.routes = route_history.RouteHistory()
        self.on_releases: Callable[[], None] = _do_nothing
        self.describe_record: Callable[[str], dict[str, Any]] = _describe_none
        self.on_backend_restart: Callable[[str, int], None] = _ignore_restart
        self._first_in_force = anyio.Event()
        self._reachability = reachability.Reachability()
        self._has_unreachable_zone = anyio.Event()
        self._zones: dict[str, str] = {}
        self._service_zones: dict[str, dict[str, str]] = {}
        self._vm_zones: set[str] = set()
        self._runs: dict[str, int] = {}
        self._retention = retention.ServerRetention()

    def apply_bundle(self, in_force: acceptance.InForce) -> None:
        """Replaces the bundle in force."""
        previous = self.in_force
        self.in_force = in_force
        now = steadyclock.read()
        self._handle_restarts(in_force.bundle, now)
        self._first_in_force.set()
        has_moved = (
            previous is None
            or previous.bundle.routes is not in_force.bundle.routes
        ) and self.routes.observe(in_force.bundle.routes.values(), now)
        listed = _list_releases(in_force.bundle)
        if self.releases.observe(listed, now) or has_moved:
            self.on_releases()
        self._zones = {
            name: server.availability_zone or server.zone
            for name, server in in_force.bundle.backend_servers.items()
        }
        self._service_zones = {}
        for name, server in in_force.bundle.backend_servers.items():
            of_service = self._service_zones.setdefault(server.service, {})
            of_service[name] = self._zones[name]

    def _handle_restarts(self, bundle: model.Bundle, now: float) -> None:
        """Removes the reachability state of restarted backend servers.

        A server may restart while the configuration does not list it.
        """
        servers = bundle.backend_servers
        for name in self._retention.find_expired(self._runs, servers, now):
            del self._runs[name]
        for name, server in servers.items():
            if self._runs.setdefault(name, server.run) != server.run:
                self._runs[name] = server.run
                self._reachability.remove(name)
                self.on_backend_restart(name, server.run)

    def get_granted_url(self, grant: message.Grant) -> str | None:
        """Returns the URL of a granted backend server; None if it is leaving.

        If this VM's bundle lacks the server or has an earlier run of it, the
        URL comes from the grant: the owner may have a newer configuration.
        """
        if self.in_force is None:
            return None
        server = self._find_record(grant)
        if server is None:
            return grant.url or None
        return None if server.leaving else server.url

    def find_origin(
        self, grant: message.Grant, service: str
    ) -> stream_origin.Origin | None:
        """Returns service and release of the server that a grant leads to.

        They follow the record that gives the server's URL, which may be of a
        later run than the grant.

        Args:
            grant: The grant.
            service: The service that the grant is for.

        Returns:
            The origin of what the server sends; None if it is unknown.
        """
        server = self._find_record(grant)
        if server is not None:
            return stream_origin.Origin(server.service, server.release)
        if grant.release is None:
            return None
        return stream_origin.Origin(service, grant.release)

    def _find_record(self, grant: message.Grant) -> model.BackendServer | None:
        """Returns the record of a granted server; None if it is not known here.

        The record is of the granted run or a later one.
        """
        if self.in_force is None:
            return None
        server = self.in_force.bundle.backend_servers.get(grant.backend)
        return None if server is None or server.run < grant.run else server

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
        """Returns the release of the server that a grant leads to.

        It follows the record that gives the server's URL, which may be of a
        later run than the grant, see ``find_origin``.

        Returns:
            The release; None if neither a record nor the grant names it.
        """
        server = self._find_record(grant)
        return grant.release if server is None else server.release

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
            if not server.leaving and server.is_zone_known
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
        return tuple(
            itertools.chain.from_iterable(
                self._reachability.list_unreachable(zones, now)
                for zones in self._service_zones.values()
            )
        )

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

"""What an entry believes of the backend servers and the zones around it."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ramptray.bundle import acceptance, model
from ramptray.core import message
from ramptray.entry import reachability
from ramptray.peer import message as peer_message


class BackendDirectory:
    """Joins the bundle in force with what was found out of reach.

    Attributes:
        in_force: The bundle in force, if any.
        on_silent_zone: Called with the addresses of the backend servers of a
            zone that has perhaps been cut off: idle connections to them may
            take a request and never say a word.
        on_new_run: Called with a backend server that has started again, and
            its run.
    """

    def __init__(self) -> None:
        self.in_force: acceptance.InForce | None = None
        self.on_unreachable_zone: Callable[[list[str]], None] = _do_nothing
        self.on_backend_restart: Callable[[str, int], None] = _ignore_run
        self._first_in_force = anyio.Event()
        self._reachability = reachability.Reachability()
        self._has_silent = anyio.Event()
        self._zones: dict[str, str] = {}
        self._vm_zones: set[str] = set()

    def apply_bundle(self, in_force: acceptance.InForce) -> None:
        """Works by this bundle from now on."""
        former = self.in_force
        self.in_force = in_force
        if former:
            self._take_new_runs(former.bundle, in_force.bundle)
        self._first_in_force.set()
        self._zones = {
            name: server.availability_zone or server.zone
            for name, server in in_force.bundle.backend_servers.items()
        }

    def _take_new_runs(self, former: model.Bundle, new: model.Bundle) -> None:
        """Forgets what was believed of backend servers that started again."""
        for name, server in new.backend_servers.items():
            before = former.backend_servers.get(name)
            if before is not None and before.run != server.run:
                self._reachability.remove(name)
                self.on_backend_restart(name, server.run)

    def get_granted_url(self, grant: message.Grant) -> str | None:
        """Returns where a granted backend server listens.

        One that this VM does not know, or of which it knows an earlier run
        only, is taken from the owner's word: the owner may hear sooner.  None
        where it is leaving.
        """
        if self.in_force is None:
            return None
        server = self.in_force.bundle.backend_servers.get(grant.backend)
        if server is None or grant.run > server.run:
            return grant.url or None
        return None if server.leaving else server.url

    async def wait_for_bundle(
        self, longest_s: float
    ) -> acceptance.InForce | None:
        """Returns the bundle in force, waiting a little for the first one."""
        if self.in_force is None:
            with anyio.move_on_after(longest_s):
                await self._first_in_force.wait()
        return self.in_force

    def find_url(self, backend: str) -> str | None:
        """Returns where a backend server of the bundle listens."""
        if self.in_force is None:
            return None
        server = self.in_force.bundle.backend_servers.get(backend)
        return server.url if server else None

    @property
    def reachable_share(self) -> float:
        """Part of the backend servers' places in zones that are not silent."""
        if self.in_force is None:
            return 1.0
        silent = self._reachability.list_suspect_zones()
        bundle = self.in_force.bundle
        places = [
            (self._zones[name], bundle.engines[server.engine].max_running)
            for name, server in bundle.backend_servers.items()
            if not server.leaving
        ]
        reached = sum(count for zone, count in places if zone not in silent)
        return reached / max(1, sum(count for _, count in places))

    def list_unreachable(self, now: float) -> tuple[str, ...]:
        """Returns the backend servers that are not to be tried now."""
        return self._reachability.list_unreachable(self._zones, now)

    def record_connect_failure(self, backend: str | None, now: float) -> None:
        """Notes that a connection to a backend server could not be opened."""
        if backend is None:
            return
        zone = self._zones.get(backend, "")
        if self._reachability.record_connect_failure(backend, zone, now):
            self._has_silent.set()
            self.reset_zone_connections(zone)

    async def wait_silent(self) -> None:
        """Waits until some zone is silent."""
        if not self._reachability.list_unreachable_zones():
            self._has_silent = anyio.Event()
            await self._has_silent.wait()

    def list_probe_targets(self, turn: int) -> list[tuple[str, str]]:
        """Returns a backend server of each silent zone, with its URL.

        Args:
            turn: Counts up, so that each of a zone has its turn.
        """
        chosen = []
        for zone in sorted(self._reachability.list_unreachable_zones()):
            names = sorted(n for n, z in self._zones.items() if z == zone)
            name = names[turn % len(names)] if names else ""
            if url := self.find_url(name):
                chosen.append((name, url))
        return chosen

    def record_answer(self, backend: str | None, now: float) -> None:
        """Notes that a backend server has answered."""
        if backend is not None:
            zone = self._zones.get(backend, "")
            self._reachability.record_answer(backend, zone, now)

    def apply_view(self, view: peer_message.View) -> None:
        """Distrusts the zones whose VMs are not heard any more."""
        heard = {m.availability_zone for m in view.members} - {""}
        for zone in self._vm_zones - heard:
            self._reachability.record_lost_vms(zone)
            self.reset_zone_connections(zone)
        self._vm_zones = heard

    def reset_zone_connections(self, zone: str) -> None:
        """Has connections opened anew to the backend servers of a zone."""
        if self.in_force is None:
            return
        self.on_unreachable_zone(
            [
                server.url.removeprefix("http://")
                for name, server in self.in_force.bundle.backend_servers.items()
                if self._zones[name] == zone
            ]
        )


def _ignore_run(backend: str, run: int) -> None:
    """Stands in until somebody listens."""


def _do_nothing(told: list[str]) -> None:
    """Stands in until somebody listens."""

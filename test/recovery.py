"""Deployments whose VMs lose power and start again."""

from __future__ import annotations

import contextlib
import json
import pathlib
from collections.abc import Iterable

from bench import ports, proxy
from test import callers, partition

ZONES = ("waw-a", "waw-b", "waw-c")


class PoweredPlatform(partition.LinkedPlatform):
    """A deployment with links of their own from each VM to replicas and store.

    A VM that loses power closes no connection: replicas and the store go on
    holding those that it had.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self._stores: dict[str, proxy.Proxy] = {}

    def start_vm(
        self,
        name: str,
        store: str | None = None,
        link_mbps: float = 1000.0,
        zone: str = "waw-a",
    ) -> None:
        """See the base class."""
        self._stores[name] = proxy.Proxy(store or self.store)
        super().start_vm(name, self._stores[name].address, link_mbps, zone)

    def lose_power(self, vms: Iterable[str]) -> None:
        """Ends VMs without closing their connections."""
        lost = list(vms)
        proxy.strand_all(
            link
            for vm in lost
            for link in (*self.list_links(vm), self._stores[vm])
        )
        for vm in lost:
            self.processes[vm].kill()
        for vm in lost:
            self.processes[vm].wait()

    def start_again(self, vms: Iterable[str]) -> None:
        """Starts VMs again with the settings that they have."""
        for vm in vms:
            self.restart_vm(vm)

    def move_vm(self, name: str) -> None:
        """Gives a VM other addresses; seeds still name the former ones."""
        path = self.folder / f"{name}.toml"
        text = path.read_text()
        for kind in ("front", "ready", "control"):
            address = f"127.0.0.1:{ports.reserve_port()}"
            former = self.vms[name][kind]
            text = text.replace(
                f"{kind} = {json.dumps(former)}",
                f"{kind} = {json.dumps(address)}",
            )
            self.vms[name][kind] = address
        path.write_text(text)

    def stop_all(self) -> None:
        """See the base class."""
        super().stop_all()
        for made in self._stores.values():
            made.close()


def run_powered() -> contextlib.AbstractContextManager[PoweredPlatform]:
    """Runs two VMs and a replica in each zone until each VM serves."""
    return partition.run_made(PoweredPlatform, 2 * ZONES, ZONES)


def get_served_part(
    asked: Iterable[callers.Asked], vms: Iterable[str], since: float
) -> float:
    """Returns the part of the requests sent since a time that was served.

    Args:
        asked: The requests.
        vms: The VMs that count.
        since: The time, on the machine's clock in seconds.
    """
    counted = [
        each for each in asked if each.vm in set(vms) and each.sent_at >= since
    ]
    return sum(each.status == 200 for each in counted) / len(counted)

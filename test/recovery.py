"""Deployments whose VMs lose power and start again."""

from __future__ import annotations

import contextlib
import functools
import itertools
import json
import pathlib
import tempfile
import time
from collections.abc import Iterable, Iterator

from bench import ports, proxy
from test import callers, node, partition
from test.test_node import ask, wait_until

ZONES = ("waw-a", "waw-b", "waw-c")
STRAND_S = 0.05
"""Time in which the proxies have stranded the connections, in seconds."""


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
        for vm in lost:
            for link in (*self.list_links(vm), self._stores[vm]):
                link.strand()
        time.sleep(STRAND_S)
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


@contextlib.contextmanager
def run_powered(vms: int = 6, replicas: int = 3) -> Iterator[PoweredPlatform]:
    """Runs a deployment in three availability zones until each VM serves.

    Args:
        vms: How many VMs.
        replicas: How many replicas.
    """
    with tempfile.TemporaryDirectory() as name:
        platform = PoweredPlatform(pathlib.Path(name))
        try:
            platform.start_store()
            platform.set_config(node.make_config(1))
            zones = itertools.cycle(ZONES)
            for number, zone in zip(range(replicas), zones, strict=False):
                platform.start_replica(f"i-{number}", zone=zone)
            for number, zone in zip(range(vms), zones, strict=False):
                platform.start_vm(f"vm-{number}", zone=zone)
            for vm in platform.vms:
                wait_until(functools.partial(_is_serving, platform, vm))
            yield platform
        finally:
            platform.stop_all()


def _is_serving(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200


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

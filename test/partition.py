"""Deployments whose VMs can be partitioned from the backend servers."""

from __future__ import annotations

import contextlib
import functools
import json
import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from bench import proxy
from test import callers, node
from test.test_node import ask, wait_until


class LinkedPlatform(node.Platform):
    """A deployment with a link of its own from each VM to each replica.

    Replicas are started and announced before VMs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.program = "test.linked_vm"
        self.zones: dict[str, str] = {}
        self._links: dict[str, dict[str, proxy.Proxy]] = {}

    def start_vm(
        self,
        name: str,
        store: str | None = None,
        link_mbps: float = 1000.0,
        zone: str = "waw-a",
    ) -> None:
        """See the base class."""
        self.zones[name] = zone
        addresses = [
            self.announced.get(replica, address)
            for replica, address in self.replicas.items()
        ]
        self._links[name] = {
            address: proxy.Proxy(address) for address in addresses
        }
        ways = {
            address: link.address for address, link in self._links[name].items()
        }
        (self.folder / f"{name}.links").write_text(json.dumps(ways))
        super().start_vm(name, store, link_mbps, zone)

    def partition(
        self, vms: Iterable[str], how: proxy.Partition | None
    ) -> None:
        """Partitions VMs from all replicas; None ends the partition."""
        for vm in vms:
            for link in self.list_links(vm):
                link.partition(how)

    def list_links(self, vm: str) -> list[proxy.Proxy]:
        """Returns a VM's links to the replicas."""
        return list(self._links[vm].values())

    def list_in_zone(self, zone: str) -> list[str]:
        """Returns the VMs of an availability zone."""
        return [vm for vm, found in self.zones.items() if found == zone]

    def find_owner(self) -> str:
        """Returns the VM that granted the newest request."""
        grants = (
            line
            for vm in self.vms
            for line in self.read_log(vm)
            if line.get("event", {}).get("kind") == "grant"
        )
        newest = max(grants, key=lambda line: int(line["event"]["clock"]))
        return str(newest["event"]["process"]).removeprefix("node/")

    def stop_all(self) -> None:
        """See the base class."""
        super().stop_all()
        for links in self._links.values():
            for link in links.values():
                link.close()


PlatformT = TypeVar("PlatformT", bound=LinkedPlatform)


@contextlib.contextmanager
def run_made(
    make: Callable[[pathlib.Path], PlatformT],
    vm_zones: Iterable[str],
    replica_zones: Iterable[str],
) -> Iterator[PlatformT]:
    """Runs a deployment until each VM serves.

    Args:
        make: Makes the deployment in a folder.
        vm_zones: The availability zone of each VM.
        replica_zones: The availability zone of each replica.
    """
    with node.make_folder() as folder:
        platform = make(folder)
        try:
            platform.start_store()
            platform.set_config(node.make_config(1))
            for number, zone in enumerate(replica_zones):
                platform.start_replica(f"i-{number}", zone=zone)
            for number, zone in enumerate(vm_zones):
                platform.start_vm(f"vm-{number}", zone=zone)
            for vm in platform.vms:
                wait_until(functools.partial(_is_serving, platform, vm))
            yield platform
        finally:
            platform.stop_all()


def run_linked(
    vm_zones: Iterable[str], replica_zones: Iterable[str]
) -> contextlib.AbstractContextManager[LinkedPlatform]:
    """Runs a deployment whose VMs can be partitioned; see ``run_made``."""
    return run_made(LinkedPlatform, vm_zones, replica_zones)


def _is_serving(started: node.Platform, vm: str) -> bool:
    return ask(started, "/safe/", vm=vm).status == 200


def list_failed(asked: Iterable[callers.Asked]) -> list[callers.Asked]:
    """Returns the requests that were not served."""
    return [each for each in asked if each.status != 200]

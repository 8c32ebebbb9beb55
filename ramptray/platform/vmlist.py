"""Client of the platform's lagging list of live and leaving VMs."""

from __future__ import annotations

import dataclasses
import enum

import httpcore
import msgspec

from ramptray.platform import log

TIMEOUT_S = 2.0


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list.

    Attributes:
        name: The VM's name; for a backend server its name in the bundle.
        zone: Its availability zone.
        role: ``entry`` or ``backend``.
        address: For an entry VM, its scheduler's IP number and port.
        state: Live or leaving.
    """

    name: str
    zone: str
    role: str
    address: str
    state: VmState


class VmList:
    """The platform's list of VMs over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(max_connections=2)

    async def fetch(self, zone: str | None = None) -> list[Vm]:
        """Returns the list, as old as the platform's lag makes it.

        Raises:
            log.PlatformError: There is no answer.
        """
        query = f"?zone={zone}" if zone else ""
        answer = await log.call_platform(
            self._pool, "GET", f"{self._url}/vms{query}", TIMEOUT_S
        )
        return msgspec.convert(answer, list[Vm])

"""Client of the platform's list of live and leaving VMs, which may be stale."""

from __future__ import annotations

import enum

import httpcore
import msgspec

from ramptray import decoding
from ramptray.log import client as log_client

TIMEOUT_S = 2.0
NOT_MODIFIED = 304


class VmState(enum.Enum):
    """A VM's state according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """A VM in the platform's list.

    Attributes:
        name: The VM's name; for a backend server its name in the bundle.
        zone: Its availability zone.
        role: ``entry`` or ``backend``.
        address: For an entry VM, its scheduler's IP address and port.
        state: Live or leaving.
    """

    name: str
    zone: str
    role: str
    address: str
    state: VmState


class VmList:
    """The platform's list of the VMs of one zone, over HTTP.

    Args:
        url: Base URL of the platform's services.
        zone: The zone whose VMs are listed.
        agent: This process's user agent.
    """

    def __init__(self, url: str, zone: str, agent: str) -> None:
        self._url = f"{url.rstrip('/')}/vms?zone={zone}"
        self._agent = agent
        self._pool = httpcore.AsyncConnectionPool(max_connections=2)
        self._etag = ""
        self._vms: list[Vm] = []

    async def fetch(self) -> list[Vm]:
        """Returns the list, which may be stale.

        A conditional request transfers it only after a change.

        Raises:
            log_client.PlatformError: There is no valid response.
        """
        headers = [("user-agent", self._agent)]
        if self._etag:
            headers.append(("if-none-match", self._etag))
        response = await log_client.send_request(
            self._pool, "GET", self._url, TIMEOUT_S, headers
        )
        if response.status == NOT_MODIFIED:
            return self._vms
        if response.status != 200:
            raise log_client.PlatformError(
                f"{self._url}: status {response.status}"
            )
        vms = log_client.decode_response(response, self._url)
        try:
            with decoding.translate_errors():
                self._vms = msgspec.convert(vms, list[Vm])
        except decoding.DecodeError as error:
            raise log_client.PlatformError(f"{self._url}: {error}") from error
        self._etag = _find_etag(response)
        return self._vms


def _find_etag(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""

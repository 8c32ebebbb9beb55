"""Discovers and queries the schedulers of a deployment."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import AsyncIterator, Iterable
from typing import Any

import anyio
import click

from ramptray import settings, wallclock
from ramptray.bundle import parsing
from ramptray.core import clock
from ramptray.peer import link as peer_link
from ramptray.peer import message as peer_message

REQUEST_TIMEOUT_S = 2.0

SETTINGS_OPTION = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    envvar="RAMPTRAY_SETTINGS",
    help="The operator's settings, JSON with comments.",
)


def read_settings(file: pathlib.Path) -> settings.OperatorSettings:
    """Reads the operator's settings.

    Raises:
        parsing.InvalidFileError: The settings are invalid.
    """
    return parsing.read_model(file, settings.OperatorSettings)


class SchedulerClient:
    """Queries schedulers, discovering all of them from a few addresses."""

    def __init__(
        self, schedulers: Iterable[str], client: peer_link.PeerClient
    ) -> None:
        self._schedulers = frozenset(schedulers)
        self._client = client

    async def query_all(
        self, request: Any, addresses: list[str]
    ) -> dict[str, Any]:
        """Sends a request to each address concurrently.

        Returns the responses by address, without those that failed.
        """
        responses: dict[str, Any] = {}

        async def ask(address: str) -> None:
            with contextlib.suppress(peer_link.LinkError):
                responses[address] = await self._client.ask(
                    address, request, REQUEST_TIMEOUT_S
                )

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        return {a: responses[a] for a in addresses if a in responses}

    async def fetch_reports(self) -> dict[str, dict[str, Any]]:
        """Returns the status report of every reachable scheduler, by VM.

        Starts with the configured schedulers and follows the addresses of
        live peers in their reports.
        """
        reports: dict[str, dict[str, Any]] = {}
        queried: set[str] = set()
        pending = set(self._schedulers)
        while pending:
            queried |= pending
            responses = await self.query_all(
                peer_message.AskStatus(), sorted(pending)
            )
            for response in responses.values():
                reports[response.report["vm"]] = response.report
            advertised = {
                peer["address"]
                for report in reports.values()
                for peer in (*report["members"], *report["others"])
                if peer.get("state", "alive") == "alive"
            }
            pending = advertised - queried
        return dict(sorted(reports.items()))


@contextlib.asynccontextmanager
async def open_client_from_settings(
    operator_settings: settings.OperatorSettings,
) -> AsyncIterator[SchedulerClient]:
    """Opens a client for the schedulers named in the settings."""
    async with open_client(
        operator_settings.schedulers, operator_settings.tls
    ) as client:
        yield client


@contextlib.asynccontextmanager
async def open_client(
    schedulers: Iterable[str], tls: settings.TlsSettings | None = None
) -> AsyncIterator[SchedulerClient]:
    """Opens a client for schedulers at known addresses."""
    client = peer_link.PeerClient(clock.HybridClock(wallclock.read), tls)
    try:
        yield SchedulerClient(schedulers, client)
    finally:
        await client.close()

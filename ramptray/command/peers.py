"""Asks the schedulers of a deployment, wherever they are."""

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
    """Returns the operator's settings.

    Raises:
        parsing.InvalidFileError: They have mistakes.
    """
    return parsing.read_model(file, settings.OperatorSettings)


class SchedulerClient:
    """All schedulers that can be found from a few of them."""

    def __init__(
        self, schedulers: Iterable[str], client: peer_link.PeerClient
    ) -> None:
        self._schedulers = frozenset(schedulers)
        self._client = client

    async def query_all(
        self, question: Any, addresses: list[str]
    ) -> dict[str, Any]:
        """Returns the answers of those that answered, by address."""
        answers: dict[str, Any] = {}

        async def ask(address: str) -> None:
            with contextlib.suppress(peer_link.LinkError):
                answers[address] = await self._client.ask(
                    address, question, REQUEST_TIMEOUT_S
                )

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(ask, address)
        return {a: answers[a] for a in addresses if a in answers}

    async def fetch_reports(self) -> dict[str, dict[str, Any]]:
        """Returns every reachable scheduler's report, by VM.

        Starts from the settings and goes on to whom the reports name.
        """
        reports: dict[str, dict[str, Any]] = {}
        asked: set[str] = set()
        wanted = set(self._schedulers)
        while wanted:
            asked |= wanted
            answers = await self.query_all(
                peer_message.AskStatus(), sorted(wanted)
            )
            for answer in answers.values():
                reports[answer.report["vm"]] = answer.report
            named = {
                peer["address"]
                for report in reports.values()
                for peer in (*report["members"], *report["others"])
                if peer.get("state", "alive") == "alive"
            }
            wanted = named - asked
        return dict(sorted(reports.items()))


@contextlib.asynccontextmanager
async def open_client_from_settings(
    operator_settings: settings.OperatorSettings,
) -> AsyncIterator[SchedulerClient]:
    """Opens the channels to a deployment's schedulers."""
    async with open_client(
        operator_settings.schedulers, operator_settings.tls
    ) as client:
        yield client


@contextlib.asynccontextmanager
async def open_client(
    schedulers: Iterable[str], tls: settings.TlsSettings | None = None
) -> AsyncIterator[SchedulerClient]:
    """Opens the channels to schedulers that are known by their addresses."""
    client = peer_link.PeerClient(clock.HybridClock(wallclock.read), tls)
    try:
        yield SchedulerClient(schedulers, client)
    finally:
        await client.close()

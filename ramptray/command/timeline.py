"""``ramptray timeline``: events of all processes in one order."""

from __future__ import annotations

import pathlib
from typing import Any

import anyio
import click
import msgspec

from ramptray import settings
from ramptray.command import peers
from ramptray.peer import message as peer_message

_FIXED = ("clock", "process", "zone", "kind", "subject")


@click.command(name="timeline")
@peers.SETTINGS_OPTION
@click.option("--subject", default="", help="A request, server or bundle.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def command(settings_file: pathlib.Path, subject: str, as_json: bool) -> None:
    """Shows what happened, over all processes that can be reached."""
    events = anyio.run(fetch, peers.read_settings(settings_file), 0, subject)
    for event in events:
        click.echo(
            msgspec.json.encode(event).decode()
            if as_json
            else format_event(event, events[0]["clock"])
        )


async def fetch(
    given: settings.OperatorSettings, after: int, subject: str
) -> list[dict[str, Any]]:
    """Returns the events of all processes, in the order of their clocks."""
    async with peers.open_peers(given) as found:
        reports = await found.find_reports()
        answers = await found.ask_all(
            peer_message.AskTimeline(after, subject),
            [report["address"] for report in reports.values()],
        )
    events = [event for answer in answers.values() for event in answer.events]
    return sorted(events, key=lambda e: (e["clock"], e["process"]))


def format_event(event: dict[str, Any], first: int) -> str:
    """Returns an event as a line."""
    details = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _FIXED and value is not None
    )
    seconds = (event["clock"] - first) / 1e6
    return (
        f"{seconds:>10.6f}  {event['process']:<26}{event['kind']:<12}"
        f"{event['subject']:<34}{details}"
    )

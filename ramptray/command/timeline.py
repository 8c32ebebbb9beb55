"""``ramptray timeline``: events of all processes in causal order."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from typing import Any

import anyio
import click
import msgspec

from ramptray import settings, timeline
from ramptray.command import peers, timeline_page
from ramptray.command.error import CommandError
from ramptray.peer import message as peer_message

LIVE_INTERVAL_S = 0.5
_COLUMN_FIELDS = ("clock", "process", "zone", "kind", "subject")
_PATH = click.Path(path_type=pathlib.Path)


@click.command(name="timeline")
@click.option(
    "--settings",
    "settings_file",
    type=_PATH,
    envvar="RAMPTRAY_SETTINGS",
    help="The operator's settings; not needed with --logs.",
)
@click.option("--subject", default="", help="A request, server or bundle.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
@click.option(
    "--html", "html_file", type=_PATH, help="Write an HTML page instead."
)
@click.option("--live", is_flag=True, help="Follow new events until Ctrl-C.")
@click.option(
    "--logs",
    type=_PATH,
    multiple=True,
    help="Read collected log files instead of querying processes.",
)
def command(
    settings_file: pathlib.Path | None,
    subject: str,
    as_json: bool,
    html_file: pathlib.Path | None,
    live: bool,
    logs: tuple[pathlib.Path, ...],
) -> None:
    """Shows the events of all processes.

    Events are sorted by the processes' hybrid logical clocks, so that a cause
    precedes its effects even if the clocks of the VMs differ.
    """
    if live:
        anyio.run(_follow, _read_settings(settings_file), subject)
        return
    events = (
        sort_events(read_logs(logs, subject))
        if logs
        else anyio.run(fetch_events, _read_settings(settings_file), 0, subject)
    )
    if html_file is not None:
        page = timeline_page.make_page(f"Time line {subject}".strip(), events)
        html_file.write_text(page)
        click.echo(f"{html_file}: {len(events)} events")
        return
    for event in events:
        click.echo(
            msgspec.json.encode(event).decode()
            if as_json
            else format_event(event, events[0]["clock"])
        )


async def fetch_events(
    operator_settings: settings.OperatorSettings, after: int, subject: str
) -> list[dict[str, Any]]:
    """Fetches the events of all processes, sorted by their clocks."""
    async with peers.open_client_from_settings(operator_settings) as client:
        reports = await client.fetch_reports()
        responses = await client.query_all(
            peer_message.AskTimeline(after, subject),
            [report["address"] for report in reports.values()],
        )
    return sort_events(
        event for response in responses.values() for event in response.events
    )


def read_logs(
    files: tuple[pathlib.Path, ...], subject: str
) -> Iterator[dict[str, Any]]:
    """Yields the events in log files, skipping other lines."""
    for file in files:
        try:
            lines = file.read_bytes().splitlines()
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from error
        for line in lines:
            try:
                event = msgspec.json.decode(line).get("event")
            except (msgspec.DecodeError, AttributeError):
                continue
            if event and timeline.matches_subject(subject, event):
                yield event


def sort_events(events: Any) -> list[dict[str, Any]]:
    """Sorts events by clock, then by process."""
    return sorted(events, key=lambda e: (e["clock"], e["process"]))


def format_event(event: dict[str, Any], first: int) -> str:
    """Formats an event as a line, with the time relative to the first."""
    details = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _COLUMN_FIELDS and value is not None
    )
    seconds = (event["clock"] - first) / 1e6
    return (
        f"{seconds:>10.6f}  {event['process']:<26}{event['kind']:<12}"
        f"{event['subject']:<34}{details}"
    )


async def _follow(
    operator_settings: settings.OperatorSettings, subject: str
) -> None:
    after = first = 0
    while True:
        events = await fetch_events(operator_settings, after, subject)
        for event in events:
            first = first or event["clock"]
            after = event["clock"]
            click.echo(format_event(event, first))
        await anyio.sleep(LIVE_INTERVAL_S)


def _read_settings(file: pathlib.Path | None) -> settings.OperatorSettings:
    if file is None:
        raise click.UsageError("either --settings or --logs is required")
    return peers.read_settings(file)

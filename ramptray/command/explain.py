"""``ramptray explain``: traces one request through collected logs."""

from __future__ import annotations

import datetime
import itertools
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import click
import msgspec

from ramptray.command.error import CommandError
from ramptray.core import request

LOOKBACK_S = 5.0
"""Age up to which state changes before a request are shown, in seconds.

Stale state that misrouted a request is seldom older.
"""

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
"""Format of the timestamps of log lines, in UTC."""

_PATH = click.Path(path_type=pathlib.Path)
_EVENT_FIELDS = {"clock", "process", "zone", "kind", "subject"}
_LOG_METADATA = {
    "time",
    "level",
    "name",
    "message",
    "program",
    "process",
    "event",
    "exc_info",
    "taskName",
}

_STATE_KINDS = {"membership", "bundle"}
"""Kinds of events that report a state change rather than a request."""

REASON_TEXTS: Mapping[str, str] = {
    "customer_limit": "its customer was over its limit at the owner",
    "overloaded": "no slot at a backend server became free in time",
    "deadline": "the deadline of the route or the caller passed",
    "no_backend": "the service had no backend server left",
    "not_ready": "the VM had no configuration, or knew no owner",
    "no_route": "the configuration in force had no such route",
    "unknown_key": "the configuration in force had no such key",
    "backend_refused": "the backend server did not admit it",
    "backend_lost": "the backend server failed, or broke the connection",
    "stopping": "the VM was about to stop, and it could not end in time",
    "no_release": "no backend server of the release that began it was left",
    "blocked_content": "its content or a part of its prompt ended servers",
    "stream_broken": "the answer broke off and could not be resumed",
    "caller_gone": "the caller closed first",
}
"""Explanation of each reason."""


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
        time_s: Time of writing, in seconds of the writer's clock.
        process: The process that wrote the line.
        kind: Kind of the event, or the message of a plain log line.
        subject: The request or other object concerned; empty for none.
        details: Remaining fields.
    """

    time_s: float
    process: str
    kind: str
    subject: str
    details: Mapping[str, Any]

    def format(self, origin_s: float) -> str:
        """Returns the line as text, with the time relative to an origin."""
        facts = " ".join(
            f"{name}={value}"
            for name, value in self.details.items()
            if value is not None
        )
        after = f"{self.time_s - origin_s:>+9.3f}"
        return f"{after}  {self.process:<28}{self.kind}  {facts}".rstrip()


@click.command(name="explain")
@click.argument("request_id")
@click.option(
    "--logs",
    type=_PATH,
    multiple=True,
    required=True,
    help="Collected log files, or folders of them.",
)
def command(request_id: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Traces one request and the state that decisions were based on.

    Shows the state changes on the VMs involved shortly before the request,
    then each decision on it, and finally why it ended.
    """
    lines = sorted(read_lines(list_files(logs)), key=lambda line: line.time_s)
    request_lines = [
        line
        for line in lines
        if line.subject == request_id
        or line.subject.startswith(f"{request_id}{request.HEDGE_MARK}")
    ]
    if not request_lines:
        raise CommandError(f"{request_id}: no line of these logs names it")
    first_s = request_lines[0].time_s
    click.echo("believed before:")
    for line in find_state_changes(lines, request_lines):
        click.echo(line.format(first_s))
    click.echo("decided:")
    for line in request_lines:
        click.echo(line.format(first_s))
    click.echo(f"ended: {describe_end(request_lines)}")


def list_files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    """Expands folders to the files directly in them, sorted by name."""
    return list(
        itertools.chain.from_iterable(
            sorted(p for p in path.iterdir() if p.is_file())
            if path.is_dir()
            else [path]
            for path in paths
        )
    )


def read_lines(files: Iterable[pathlib.Path]) -> Iterator[LogLine]:
    """Yields the parsed lines of log files, skipping all but JSON objects."""
    for file in files:
        try:
            texts = file.read_bytes().splitlines()
        except OSError as error:
            raise CommandError(f"{file}: {error.strerror}") from error
        for text in texts:
            try:
                fields = msgspec.json.decode(text, type=dict[str, Any])
            except msgspec.MsgspecError:
                continue
            line = _make_line(fields)
            if line is not None:
                yield line


def find_state_changes(
    lines: Iterable[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """Returns state changes that may have influenced a request.

    These are the changes in the processes that handled the request, from
    shortly before its first line to its last.
    """
    involved = {line.process for line in request_lines}
    begin, end = request_lines[0].time_s - LOOKBACK_S, request_lines[-1].time_s
    return [
        line
        for line in lines
        if not line.subject
        and line.process in involved
        and begin <= line.time_s <= end
    ]


def describe_end(request_lines: list[LogLine]) -> str:
    """Describes how a request ended and why."""
    last = next(
        (
            line
            for line in reversed(request_lines)
            if line.kind in ("end", "refused")
        ),
        None,
    )
    if last is None:
        return (
            "its process ended first; see its last log lines and its next start"
        )
    outcome = last.details.get("outcome", "refused")
    reason = last.details.get("reason")
    if reason is None:
        return str(outcome)
    return f"{outcome}: {REASON_TEXTS.get(reason, reason)} ({reason})"


def _make_line(fields: dict[str, Any]) -> LogLine | None:
    event = fields.get("event")
    if isinstance(event, dict) and "clock" in event:
        return _make_event(event)
    try:
        written = datetime.datetime.strptime(
            str(fields.get("time")), TIME_FORMAT
        )
    except ValueError:
        return None
    return LogLine(
        written.replace(tzinfo=datetime.UTC).timestamp(),
        str(fields.get("process", "")),
        str(fields.get("message", "")),
        "",
        {k: v for k, v in fields.items() if k not in _LOG_METADATA},
    )


def _make_event(event: dict[str, Any]) -> LogLine:
    return LogLine(
        event["clock"] / 1e6,
        str(event.get("process", "")),
        str(event.get("kind", "")),
        ""
        if event.get("kind") in _STATE_KINDS
        else str(event.get("subject", "")),
        {k: v for k, v in event.items() if k not in _EVENT_FIELDS},
    )

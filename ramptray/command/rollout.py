"""``ramptray rollout``: puts a signed bundle in force everywhere."""

from __future__ import annotations

import pathlib
from typing import Any

import anyio
import click
import msgspec

from ramptray import settings, steadyclock
from ramptray.bundle import acceptance, signature
from ramptray.bundle import record as bundle_record
from ramptray.command import bundle, peers
from ramptray.command.error import CommandError
from ramptray.log import client as log_client

POLL_S = 0.1
PROGRESS_S = 2.0

_ADVICE = {
    acceptance.RolloutStatus.WRONG_BASE: (
        "another bundle is in force. Get it with `ramptray rollout "
        "--show-in-force`, put your change on it with `ramptray bundle "
        "rebase`, check, sign and roll out again"
    ),
    acceptance.RolloutStatus.BAD_SIGNATURE: (
        "too few valid signatures by the operators of the bundle in force; "
        "sign it with `ramptray bundle sign`"
    ),
    acceptance.RolloutStatus.INVALID: "run `ramptray bundle check`",
    acceptance.RolloutStatus.NO_HISTORY: (
        "the log has forgotten which bundle it follows and holds no "
        "checkpoint; see docs/operators.md"
    ),
}


@click.command(name="rollout")
@click.argument("file", type=click.Path(path_type=pathlib.Path), required=False)
@peers.SETTINGS_OPTION
@click.option(
    "--wait",
    "wait_s",
    default=30.0,
    help="Seconds to wait for every live VM.",
)
@click.option(
    "--show-in-force",
    is_flag=True,
    help="Print the signed bundle in force and do nothing else.",
)
def command(
    file: pathlib.Path | None,
    settings_file: pathlib.Path,
    wait_s: float,
    show_in_force: bool,
) -> None:
    """Publishes the signed bundle in FILE and waits until it is in force."""
    given = peers.read_settings(settings_file)
    if show_in_force:
        click.echo(anyio.run(_show_in_force, given))
        return
    if file is None:
        raise click.UsageError("FILE is needed")
    envelope = bundle.read_envelope(file)
    checked = bundle.parse(file, envelope)
    if not envelope.signatures:
        raise CommandError(f"{file}: not signed; run ramptray bundle sign")
    anyio.run(_roll_out, given, envelope, checked.generation, wait_s)


async def _show_in_force(given: settings.OperatorSettings) -> str:
    reader = await _read_log(log_client.HttpLog(given.platform), given)
    if reader.in_force is None:
        raise CommandError("no bundle is in force yet")
    shown = msgspec.json.encode(reader.in_force.envelope)
    return msgspec.json.format(shown).decode()


async def _roll_out(
    given: settings.OperatorSettings,
    envelope: signature.Envelope,
    generation: int,
    wait_s: float,
) -> None:
    began = steadyclock.read()
    log = log_client.HttpLog(given.platform)
    reader = await _read_log(log, given)
    view = reader.log_in_force
    record = bundle_record.format_record(
        bundle_record.make_rollout(envelope, view.envelope if view else None)
    )
    try:
        offset = await log.append(bundle_record.STREAM, record)
    except log_client.PlatformError as error:
        raise CommandError(
            f"the log gave no answer ({error}); the bundle may or may not "
            "come into force. To roll the same file out again is harmless"
        ) from error
    click.echo(f"appended at offset {offset}")
    await _check_verdict(log, given, envelope)
    async with peers.open_peers(given) as found:
        await _wait_in_force(found, generation, wait_s, began)


async def _check_verdict(
    log: log_client.Log,
    given: settings.OperatorSettings,
    envelope: signature.Envelope,
) -> None:
    """Reads the log as every scheduler does and says what it decided.

    Raises:
        CommandError: The bundle was not accepted.
    """
    reader = await _read_log(log, given)
    verdict = reader.statuses.get(envelope.digest)
    accepted = (
        acceptance.RolloutStatus.ACCEPTED,
        acceptance.RolloutStatus.REPEATED,
    )
    if verdict in accepted:
        return
    current = reader.in_force
    by = (
        f"generation {current.generation} ({current.envelope.digest}, signed "
        f"by {', '.join(current.envelope.signatures)}) is in force"
        if current
        else "no bundle is in force"
    )
    assert verdict is not None
    advice = _ADVICE.get(verdict, "")
    raise CommandError(f"not accepted, {verdict.value}: {by}; {advice}")


async def _read_log(
    log: log_client.Log, given: settings.OperatorSettings
) -> acceptance.RolloutLogTracker:
    reader = acceptance.RolloutLogTracker(given.trust)
    try:
        while True:
            page = await log.read(bundle_record.STREAM, reader.next_offset, 0.0)
            reader.skip_to(page.first_retained)
            for record in page.records:
                parsed = bundle_record.parse_record(record.body)
                if parsed is not None:
                    reader.apply(record.offset, parsed)
            if not page.records or reader.next_offset >= page.next_offset:
                return reader
    except log_client.PlatformError as error:
        raise CommandError(f"the log gave no answer ({error})") from error


async def _wait_in_force(
    found: peers.Peers, generation: int, wait_s: float, began: float
) -> None:
    """Waits until every live VM works by the generation.

    Raises:
        CommandError: Some do not in time.
    """
    seen: dict[str, float] = {}
    shown_at = steadyclock.read()
    while True:
        reports = await found.find_reports()
        for vm, report in reports.items():
            if vm not in seen and get_generation(report) >= generation:
                seen[vm] = steadyclock.read() - began
                click.echo(
                    f"{vm:<24} generation {get_generation(report)}  "
                    f"{seen[vm]:.2f} s"
                )
        late = sorted(set(reports) - set(seen))
        if reports and not late:
            click.echo(f"in force on {len(seen)} VMs")
            return
        if steadyclock.read() - began > wait_s:
            names = ", ".join(late) or "no scheduler answers"
            raise CommandError(
                f"accepted, but after {wait_s:g} s not yet in force on: "
                f"{names}; it will come into force there when they can be "
                "reached"
            )
        if steadyclock.read() - shown_at > PROGRESS_S:
            shown_at = steadyclock.read()
            click.echo(f"waiting for {', '.join(late)}", err=True)
        await anyio.sleep(POLL_S)


def get_generation(report: dict[str, Any]) -> int:
    """Returns the generation by which everything on a VM works."""
    attached = [process["generation"] for process in report["attached"]]
    return int(min([report["generation"], *attached]))

"""``ramptray rollout``: publishes a signed bundle and awaits its activation."""

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

POLL_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 2.0

_ADVICE = {
    acceptance.RolloutStatus.WRONG_BASE: (
        "another bundle is in force. Get it with `ramptray rollout "
        "--show-in-force`, rebase your change on it with `ramptray bundle "
        "rebase`, check, sign and roll out again"
    ),
    acceptance.RolloutStatus.BAD_SIGNATURE: (
        "too few valid signatures by the operators of the bundle in force; "
        "sign it with `ramptray bundle sign`"
    ),
    acceptance.RolloutStatus.INVALID: "run `ramptray bundle check`",
    acceptance.RolloutStatus.NO_HISTORY: (
        "the log no longer holds the bundle it is based on, nor a "
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
    help="Seconds to wait until every live VM applies it.",
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
    operator_settings = peers.read_settings(settings_file)
    if show_in_force:
        click.echo(anyio.run(_show_in_force, operator_settings))
        return
    if file is None:
        raise click.UsageError("FILE is required")
    envelope = bundle.read_envelope(file)
    checked = bundle.parse(file, envelope)
    if not envelope.signatures:
        raise CommandError(f"{file}: not signed; run ramptray bundle sign")
    anyio.run(
        _roll_out, operator_settings, envelope, checked.generation, wait_s
    )


async def _show_in_force(operator_settings: settings.OperatorSettings) -> str:
    tracker = await _read_log(
        log_client.HttpLog(operator_settings.platform), operator_settings
    )
    if tracker.in_force is None:
        raise CommandError("no bundle is in force yet")
    shown = msgspec.json.encode(tracker.in_force.envelope)
    return msgspec.json.format(shown).decode()


async def _roll_out(
    operator_settings: settings.OperatorSettings,
    envelope: signature.Envelope,
    generation: int,
    wait_s: float,
) -> None:
    started_at = steadyclock.read()
    log = log_client.HttpLog(operator_settings.platform)
    tracker = await _read_log(log, operator_settings)
    base = tracker.log_in_force
    record = bundle_record.format_record(
        bundle_record.make_rollout(envelope, base.envelope if base else None)
    )
    try:
        offset = await log.append(bundle_record.STREAM, record)
    except log_client.PlatformError as error:
        raise CommandError(
            f"the log is unavailable ({error}); the bundle may or may not "
            "come into force. It is safe to roll out the same file again"
        ) from error
    click.echo(f"appended at offset {offset}")
    await _check_status(log, operator_settings, envelope)
    async with peers.open_client_from_settings(operator_settings) as client:
        await _wait_until_in_force(client, generation, wait_s, started_at)


async def _check_status(
    log: log_client.Log,
    operator_settings: settings.OperatorSettings,
    envelope: signature.Envelope,
) -> None:
    """Evaluates the log as every scheduler does and checks the result.

    Raises:
        CommandError: The bundle was not accepted.
    """
    tracker = await _read_log(log, operator_settings)
    status = tracker.statuses.get(envelope.digest)
    accepted = (
        acceptance.RolloutStatus.ACCEPTED,
        acceptance.RolloutStatus.REPEATED,
    )
    if status in accepted:
        return
    current = tracker.in_force
    by = (
        f"generation {current.generation} ({current.envelope.digest}, signed "
        f"by {', '.join(current.envelope.signatures)}) is in force"
        if current
        else "no bundle is in force"
    )
    assert status is not None
    advice = _ADVICE.get(status, "")
    raise CommandError(f"not accepted, {status.value}: {by}; {advice}")


async def _read_log(
    log: log_client.Log, operator_settings: settings.OperatorSettings
) -> acceptance.RolloutLogTracker:
    tracker = acceptance.RolloutLogTracker(operator_settings.trust)
    try:
        while True:
            page = await log.read(
                bundle_record.STREAM, tracker.next_offset, 0.0
            )
            tracker.skip_to(page.first_retained)
            for record in page.records:
                parsed = bundle_record.parse_record(record.body)
                if parsed is not None:
                    tracker.apply(record.offset, parsed)
            if not page.records or tracker.next_offset >= page.next_offset:
                return tracker
    except log_client.PlatformError as error:
        raise CommandError(f"the log is unavailable ({error})") from error


async def _wait_until_in_force(
    client: peers.SchedulerClient,
    generation: int,
    wait_s: float,
    started_at: float,
) -> None:
    """Waits until every live VM has applied the generation.

    Raises:
        CommandError: A VM has not applied it before the timeout.
    """
    in_force_after_s: dict[str, float] = {}
    shown_at = steadyclock.read()
    while True:
        reports = await client.fetch_reports()
        for vm, report in reports.items():
            if (
                vm not in in_force_after_s
                and get_applied_generation(report) >= generation
            ):
                in_force_after_s[vm] = steadyclock.read() - started_at
                click.echo(
                    f"{vm:<24} generation {get_applied_generation(report)}  "
                    f"{in_force_after_s[vm]:.2f} s"
                )
        late = sorted(set(reports) - set(in_force_after_s))
        if reports and not late:
            click.echo(f"in force on {len(in_force_after_s)} VMs")
            return
        if steadyclock.read() - started_at > wait_s:
            names = ", ".join(late) or "no scheduler answers"
            raise CommandError(
                f"accepted, but after {wait_s:g} s not yet in force on: "
                f"{names}; it will come into force there when they can be "
                "reached"
            )
        if steadyclock.read() - shown_at > PROGRESS_INTERVAL_S:
            shown_at = steadyclock.read()
            click.echo(f"waiting for {', '.join(late)}", err=True)
        await anyio.sleep(POLL_INTERVAL_S)


def get_applied_generation(report: dict[str, Any]) -> int:
    """Returns the lowest generation applied by any process on a VM."""
    attached = [process["generation"] for process in report["attached"]]
    return int(min([report["generation"], *attached]))

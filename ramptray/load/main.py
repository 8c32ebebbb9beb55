"""``ramptray-load``: seeded load against running entries, with a report."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Callable
from typing import Any

import anyio
import click
import httpcore
import msgspec

import ramptray
from ramptray import process, steadyclock
from ramptray.bundle import parsing
from ramptray.load import plan, report, shooter

PROGRESS_S = 1.0


async def run_load(
    settings: plan.LoadSettings, show: Callable[[str], None]
) -> list[shooter.Hit]:
    """Sends the whole schedule and returns what became of each request.

    Args:
        settings: What to send, and where.
        show: Shows a line of progress.
    """
    schedule = plan.make_schedule(settings)
    hits: list[shooter.Hit] = []
    gun = shooter.Shooter(settings)
    began = steadyclock.read()

    async def send(shot: plan.Shot) -> None:
        hits.append(await gun.shoot(shot, steadyclock.read() - began))

    async def show_progress() -> None:
        while True:
            await anyio.sleep(PROGRESS_S)
            useful = sum(hit.useful for hit in hits)
            spent = steadyclock.read() - began
            show(
                f"{spent:5.0f} s  {len(hits)}/{len(schedule)} ended, "
                f"{useful} useful"
            )

    async with anyio.create_task_group() as progress:
        progress.start_soon(show_progress)
        async with anyio.create_task_group() as tasks:
            for shot in schedule:
                wait_s = shot.at_s - (steadyclock.read() - began)
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                tasks.start_soon(send, shot)
        progress.cancel_scope.cancel()
    return hits


async def read_ledgers(urls: list[str]) -> list[dict[str, Any]]:
    """Returns the ledgers of the engine stand-ins that can be reached."""
    ledgers: list[dict[str, Any]] = []
    async with httpcore.AsyncConnectionPool() as pool:
        for url in urls:
            try:
                answer = await pool.request("GET", f"{url}/ledger")
            except httpcore.NetworkError:
                continue
            ledgers.append(msgspec.json.decode(answer.content))
    return ledgers


def write_record(path: pathlib.Path, hits: list[shooter.Hit]) -> None:
    """Writes each request's end as a JSON line."""
    with path.open("wb") as file:
        for hit in hits:
            fields = {**msgspec.to_builtins(hit), "useful": hit.useful}
            fields.pop("gaps")
            file.write(msgspec.json.encode(fields) + b"\n")


@click.command(name="ramptray-load")
@click.version_option(ramptray.__version__)
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="What to send, and where, in JSON with comments.",
)
@click.option("--json", "as_json", is_flag=True, help="End with JSON.")
@click.option(
    "--record",
    type=click.Path(path_type=pathlib.Path),
    help="Write each request's end to this file as a JSON line.",
)
def run(
    settings_file: pathlib.Path, as_json: bool, record: pathlib.Path | None
) -> None:
    """Sends seeded load to running entries and reports what callers got.

    Exit codes: 0 when all was sent, 1 if an answer was wrong, 2 for a mistake
    in the settings or arguments.
    """
    try:
        settings = parsing.read_model(settings_file, plan.LoadSettings)
    except parsing.InvalidFileError as error:
        click.echo(str(error), err=True)
        sys.exit(process.EXIT_INVALID_INPUT)

    def show(line: str) -> None:
        click.echo(line, err=True)

    async def main() -> tuple[list[shooter.Hit], list[dict[str, Any]]]:
        found = await run_load(
            settings, lambda line: click.echo(line, err=True)
        )
        return found, await read_ledgers(settings.engines)

    hits, ledgers = anyio.run(main)
    if record is not None:
        write_record(record, hits)
    reports = report.sum_up(hits)
    summary = report.summarize(reports, ledgers)
    click.echo(report.format_table(reports))
    click.echo(f"wasted prefill: {summary['wasted_prefill_share']:.2%}")
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    sys.exit(process.EXIT_FAILED if any(r.wrong for r in reports) else 0)

"""``ramptray-load``: sends seeded load to entries and reports results."""

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
from ramptray.load import plan, report, sender

PROGRESS_INTERVAL_S = 1.0


async def run_load(
    settings: plan.LoadSettings, show: Callable[[str], None]
) -> list[sender.RequestResult]:
    """Sends all scheduled requests and returns their results.

    Args:
        settings: Settings of the load.
        show: Called with each line of progress.
    """
    schedule = plan.make_schedule(settings)
    results: list[sender.RequestResult] = []
    load_sender = sender.LoadSender(settings)
    started_at = steadyclock.read()

    async def send(request: plan.ScheduledRequest) -> None:
        results.append(
            await load_sender.send(request, steadyclock.read() - started_at)
        )

    async def show_progress() -> None:
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            useful = sum(result.useful for result in results)
            elapsed_s = steadyclock.read() - started_at
            show(
                f"{elapsed_s:5.0f} s  {len(results)}/{len(schedule)} ended, "
                f"{useful} useful"
            )

    async with anyio.create_task_group() as progress:
        progress.start_soon(show_progress)
        async with anyio.create_task_group() as tasks:
            for request in schedule:
                wait_s = request.at_s - (steadyclock.read() - started_at)
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                tasks.start_soon(send, request)
        progress.cancel_scope.cancel()
    return results


async def read_ledgers(urls: list[str]) -> list[dict[str, Any]]:
    """Fetches the ledgers of all reachable engine stand-ins."""
    ledgers: list[dict[str, Any]] = []
    async with httpcore.AsyncConnectionPool() as pool:
        for url in urls:
            try:
                answer = await pool.request("GET", f"{url}/ledger")
            except httpcore.NetworkError:
                continue
            ledgers.append(msgspec.json.decode(answer.content))
    return ledgers


def write_record(
    path: pathlib.Path, results: list[sender.RequestResult]
) -> None:
    """Writes the result of each request as a JSON line."""
    with path.open("wb") as file:
        for result in results:
            fields = {**msgspec.to_builtins(result), "useful": result.useful}
            fields.pop("gaps")
            file.write(msgspec.json.encode(fields) + b"\n")


@click.command(name="ramptray-load")
@click.version_option(ramptray.__version__)
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Settings of the load, in JSON with comments.",
)
@click.option("--json", "as_json", is_flag=True, help="End with JSON.")
@click.option(
    "--record",
    type=click.Path(path_type=pathlib.Path),
    help="Write each request's result to this file as a JSON line.",
)
def run(
    settings_file: pathlib.Path, as_json: bool, record: pathlib.Path | None
) -> None:
    """Sends seeded load to running entries and reports the results.

    Exit codes: 0 if all requests were sent, 1 if an answer was wrong, 2 if
    the settings or arguments are invalid.
    """
    try:
        settings = parsing.read_model(settings_file, plan.LoadSettings)
    except parsing.InvalidFileError as error:
        click.echo(str(error), err=True)
        sys.exit(process.EXIT_INVALID_INPUT)

    def show(line: str) -> None:
        click.echo(line, err=True)

    async def main() -> tuple[list[sender.RequestResult], list[dict[str, Any]]]:
        found = await run_load(
            settings, lambda line: click.echo(line, err=True)
        )
        return found, await read_ledgers(settings.engines)

    results, ledgers = anyio.run(main)
    if record is not None:
        write_record(record, results)
    reports = report.summarize_tiers(results)
    summary = report.summarize(reports, ledgers)
    click.echo(report.format_table(reports))
    click.echo(f"wasted prefill: {summary['wasted_prefill_share']:.2%}")
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    sys.exit(process.EXIT_FAILED if any(r.wrong for r in reports) else 0)

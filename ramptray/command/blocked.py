"""``ramptray blocked``: lists and lifts blocks on request contents."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Iterator

import anyio
import click
import msgspec

from ramptray import settings
from ramptray.command import peers
from ramptray.command.error import CommandError
from ramptray.core import blocklist
from ramptray.peer import message as peer_message


@click.command(name="blocked")
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    envvar="RAMPTRAY_SETTINGS",
    help="The operator's settings; not needed with --scheduler.",
)
@click.option(
    "--scheduler",
    "schedulers",
    multiple=True,
    help="IP address and port of a scheduler, instead of --settings.",
)
@click.option(
    "--lift",
    "content",
    default="",
    help="Content or parts to unblock, as listed.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(
    settings_file: pathlib.Path | None,
    schedulers: tuple[str, ...],
    content: str,
    as_json: bool,
) -> None:
    """Lists what crashed backend servers, or lifts a block.

    Contents and parts of prompts are identified by digests, which the "request"
    and "content blocked" log lines contain too.  A block of several parts, with
    "+" in between, covers the requests that have all of them.
    """
    tls = None
    if not schedulers:
        if settings_file is None:
            raise CommandError("either --settings or --scheduler is required")
        operator_settings = peers.read_settings(settings_file)
        schedulers, tls = (
            tuple(operator_settings.schedulers),
            operator_settings.tls,
        )
    blocks = anyio.run(_fetch_blocks, schedulers, tls, content)
    if content and content not in {block.content for block in blocks}:
        raise CommandError(f"{content} is not blocked")
    if as_json:
        click.echo(msgspec.json.encode(blocks).decode())
        return
    for line in iterate_lines(blocks):
        click.echo(line)


def iterate_lines(blocks: Iterable[blocklist.BlockUpdate]) -> Iterator[str]:
    """Yields the table's header and a line for each block."""
    yield f"{'content':<26}{'left':>8}{'times':>7}{'crashes':>9}  state"
    for block in blocks:
        state = "lifted" if block.lifted else "blocked"
        if not block.lifted and block.left_s <= 0:
            state = "may be tried"
        yield (
            f"{block.content:<26}{block.left_s:>7.0f}s{block.level:>7}"
            f"{block.crashes:>9}  {state}"
        )


async def _fetch_blocks(
    schedulers: tuple[str, ...], tls: settings.TlsSettings | None, content: str
) -> list[blocklist.BlockUpdate]:
    """Returns the merged blocks of all schedulers, longest remaining first.

    Raises:
        CommandError: No scheduler responds.
    """
    request: object = peer_message.ListBlocks()
    if content:
        request = peer_message.LiftBlock(content)
    async with peers.open_client(schedulers, tls) as client:
        reports = await client.fetch_reports()
        addresses = [report["address"] for report in reports.values()]
        responses = await client.query_all(request, addresses)
    if not responses:
        raise CommandError("no scheduler answers")
    merged: dict[str, blocklist.BlockUpdate] = {}
    for response in responses.values():
        for block in response.blocks:
            known = merged.get(block.content)
            if known is None or (block.level, block.lifted) > (
                known.level,
                known.lifted,
            ):
                merged[block.content] = block
    return sorted(merged.values(), key=lambda block: -block.left_s)

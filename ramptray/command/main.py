"""``ramptray``: the operators' command."""

from __future__ import annotations

import sys

import click

import ramptray
from ramptray import process
from ramptray.bundle import parsing
from ramptray.command import (
    blocked,
    bundle,
    explain,
    keys,
    losses,
    rollout,
    status,
    timeline,
)
from ramptray.command.error import CommandError


@click.group(name="ramptray")
@click.version_option(ramptray.__version__)
def run_group() -> None:
    """Manages bundles and keys, and shows the state of a deployment.

    Exit codes: 0 success, 1 failure, 2 an invalid file or argument.
    """


for command in (
    blocked.command,
    bundle.group,
    explain.command,
    keys.group,
    losses.command,
    rollout.command,
    status.command,
    timeline.command,
):
    run_group.add_command(command)


def run() -> None:
    """Runs the command and prints expected errors without a traceback."""
    process.configure_logging("ramptray", "ERROR")
    try:
        run_group()
    except parsing.InvalidFileError as error:
        click.echo(str(error), err=True)
        sys.exit(process.EXIT_INVALID_INPUT)
    except CommandError as error:
        click.echo(f"ramptray: {error}", err=True)
        sys.exit(process.EXIT_FAILED)

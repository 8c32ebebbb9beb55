"""``bin/bench``: one command for each benchmark."""

from __future__ import annotations

import click

from bench import slopes


@click.group(name="bench")
def run() -> None:
    """Runs one benchmark; each ends with one line of JSON."""


run.add_command(slopes.command)

if __name__ == "__main__":
    run()

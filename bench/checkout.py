"""What benchmarks share that compare several checkouts in one run."""

from __future__ import annotations

import json
import pathlib
import statistics
from collections.abc import Mapping, Sequence
from typing import Any

import click

TREES_OPTION = click.option(
    "--tree",
    "trees",
    multiple=True,
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    help="A checkout to measure, again for more; this one by default.",
)


def list_trees(trees: Sequence[pathlib.Path]) -> list[pathlib.Path]:
    """Returns the checkouts to measure."""
    return [tree.resolve() for tree in trees or (pathlib.Path.cwd(),)]


def report(
    found: Mapping[pathlib.Path, Sequence[Any]], runs: int, digits: int
) -> None:
    """Prints the medians of each checkout, a line of JSON each.

    Args:
        found: Named tuples of figures, by their checkouts.
        runs: How many runs stand behind them.
        digits: Decimal places.
    """
    for tree, measured in found.items():
        medians = [
            round(statistics.median(values), digits)
            for values in zip(*measured, strict=True)
        ]
        figures = dict(zip(measured[0]._fields, medians, strict=True))
        click.echo(json.dumps({"tree": str(tree), "runs": runs, **figures}))

"""``bin/bench replay``: load patterns against variants of the core."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import pathlib
import statistics

import click
from matplotlib import pyplot

from bench.replay import pattern, variant, world, worth

MEASURES = (
    "worth",
    "worst",
    "served",
    "in_time",
    "late",
    "refused",
    "failed",
    "tries_refused",
    "again_cost",
)


@click.command(name="replay")
@click.option(
    "--pattern",
    "names",
    multiple=True,
    help="A shipped pattern or a file; all shipped ones if left out.",
)
@click.option(
    "--variant",
    "texts",
    multiple=True,
    default=["now"],
    help="now, a policy, or module.NAME=value of the core, joined by commas.",
)
@click.option("--seeds", default=3, show_default=True, help="How many.")
@click.option("--jobs", default=4, show_default=True, help="Processes to use.")
@click.option("--kinds", is_flag=True, help="Shows each kind of requests.")
@click.option(
    "--plot", type=click.Path(path_type=pathlib.Path), help="A PNG to write."
)
def command(
    names: tuple[str, ...],
    texts: tuple[str, ...],
    seeds: int,
    jobs: int,
    kinds: bool,
    plot: pathlib.Path | None,
) -> None:
    """Plays load patterns in virtual time and shows what they are worth."""
    chosen = names or tuple(pattern.list_names())
    try:
        for name in chosen:
            pattern.read_pattern(name)
        for text in texts:
            variant.parse_variant(text)
    except (pattern.PatternError, ValueError) as error:
        raise click.ClickException(str(error)) from error
    runs = list(itertools.product(chosen, texts, range(1, seeds + 1)))
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        played = list(pool.map(_play, *zip(*runs, strict=True)))
    results: dict[str, dict[str, dict[str, float]]] = {}
    for name, text in itertools.product(chosen, texts):
        of_both = [
            found
            for (of_name, of_text, _), found in zip(runs, played, strict=True)
            if (of_name, of_text) == (name, text)
        ]
        results.setdefault(name, {})[text] = _average(of_both)
    _show(results, kinds)
    if plot is not None:
        _draw(results, plot)
    click.echo(json.dumps(results))


def _play(name: str, text: str, seed: int) -> dict[str, float]:
    """Plays one pattern once; returns its measures."""
    chosen = variant.parse_variant(text)
    with variant.use(chosen):
        played = world.play(pattern.read_pattern(name), seed, chosen.policy)
    total = worth.sum_up(played.calls)
    measures = {
        "worth": total.worth,
        "worst": worth.find_worst(played.calls),
        "served": total.served,
        "in_time": total.in_time / total.asked,
        "late": total.late / total.asked,
        "refused": total.refused / total.asked,
        "failed": total.failed / total.asked,
        "tries_refused": total.tries_refused,
        "again_cost": total.again_cost,
    }
    for kind, sums in worth.sum_up_kinds(played.calls).items():
        measures[f"{kind} in time"] = sums.in_time / sums.asked
        measures[f"{kind} served"] = sums.served
        measures[f"{kind} tries_refused"] = sums.tries_refused
    return measures


def _average(found: list[dict[str, float]]) -> dict[str, float]:
    names = sorted(set(itertools.chain.from_iterable(found)))
    return {
        name: round(statistics.fmean(one.get(name, 0.0) for one in found), 4)
        for name in names
    }


def _show(results: dict[str, dict[str, dict[str, float]]], kinds: bool) -> None:
    click.echo(
        f"{'pattern':<16}{'variant':<36}"
        + "".join(f"{measure:>14}" for measure in MEASURES)
    )
    for name, variants in results.items():
        for text, measures in variants.items():
            cells = "".join(f"{measures[m]:>14.3f}" for m in MEASURES)
            click.echo(f"{name:<16}{text:<36}{cells}")
            for kind, value in measures.items():
                if kinds and kind not in MEASURES:
                    click.echo(f"{'':<18}{kind:<34}{value:>9.3f}")


def _draw(
    results: dict[str, dict[str, dict[str, float]]], path: pathlib.Path
) -> None:
    """Draws the worth of each pattern, variants side by side."""
    figure, axes = pyplot.subplots(figsize=(10, 4))
    texts = list(next(iter(results.values())))
    width = 0.8 / len(texts)
    for number, text in enumerate(texts):
        places = [n + number * width for n in range(len(results))]
        heights = [variants[text]["worth"] for variants in results.values()]
        axes.bar(places, heights, width, label=text)
    axes.set_xticks(range(len(results)), list(results), rotation=20)
    axes.set_ylabel("worth")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)

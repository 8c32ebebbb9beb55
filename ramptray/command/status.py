"""``ramptray status``: shows the state of VMs, shards and backend servers."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator
from typing import Any

import anyio
import click
import msgspec

from ramptray import settings
from ramptray.command import peers, rollout
from ramptray.command.error import CommandError


@click.command(name="status")
@peers.SETTINGS_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def command(settings_file: pathlib.Path, as_json: bool) -> None:
    """Shows the state of VMs, shards and backend servers."""
    operator_settings = peers.read_settings(settings_file)
    reports = anyio.run(fetch_reports, operator_settings)
    if not reports:
        raise CommandError("no scheduler answers")
    if as_json:
        click.echo(msgspec.json.encode(reports).decode())
        return
    for line in iterate_lines(reports):
        click.echo(line)


def iterate_lines(reports: dict[str, dict[str, Any]]) -> Iterator[str]:
    """Formats the reports as tables."""
    yield (
        f"{'VM':<20}{'zone':<18}{'generation':<12}{'log':<6}{'log age':>8}"
        f"{'peers':>7}  lease"
    )
    for vm, report in reports.items():
        log = "up" if report["log_up"] else "DOWN"
        lease = "holds" if report.get("lease") else ""
        yield (
            f"{vm:<20}{report['zone']:<18}"
            f"{rollout.get_applied_generation(report):<12}{log:<6}"
            f"{_format_age(report['log_age_s']):>8}"
            f"{_count_alive(report):>7}  {lease}"
        )
    yield ""
    yield (
        f"{'shard':<34}{'owner':<20}{'waiting by tier':<18}{'running':>8}"
        f"{'granted':>8}{'spilled':>8}  shed in the last minute"
    )
    for vm, shard in _iterate_owned_shards(reports):
        waiting = " ".join(map(str, shard["waiting_by_tier"]))
        yield (
            f"{shard['shard']:<34}{vm:<20}{waiting:<18}"
            f"{shard['running']:>8}{shard['granted']:>8}"
            f"{shard['redirected']:>8}  {_format_shed(shard)}"
        )
    yield from _iterate_zones(reports)
    yield ""
    yield (
        f"{'backend server':<24}{'state':<10}{'running':>8}{'places':>7}"
        f"{'prefill/s':>11}{'step':>9}"
    )
    for _, shard in _iterate_owned_shards(reports):
        for server in shard["backend_servers"]:
            yield (
                f"{server['name']:<24}{server['state']:<10}"
                f"{server['running']:>8}{server['places']:>7}"
                f"{server['prefill_tokens_per_s']:>11.0f}"
                f"{server['step_s'] * 1000:>6.1f} ms"
            )

    yield from _iterate_rollouts(reports)
    yield from _iterate_links_down(reports)


def _iterate_links_down(reports: dict[str, dict[str, Any]]) -> Iterator[str]:
    """Yields a table of the links that do not open, if there are any."""
    names = {
        peer["address"]: peer["vm"]
        for report in reports.values()
        for peer in (*report["members"], *report.get("others", []))
    }
    lines = [
        f"{vm:<20}{report['zone']:<18}"
        f"{names.get(down['address'], down['address']):<24}{down['kind']:<7}"
        f"{_format_age(down['down_s']):>8}{down['failures']:>10}"
        f"  {down['error']}"
        for vm, report in reports.items()
        for down in report.get("links_down", [])
    ]
    if not lines:
        return
    yield ""
    yield (
        f"{'link down from VM':<20}{'zone':<18}{'to':<24}{'kind':<7}"
        f"{'for':>8}{'failures':>10}  error"
    )
    yield from lines


def _iterate_zones(reports: dict[str, dict[str, Any]]) -> Iterator[str]:
    """Yields a table of what owners know of other zones, if anything."""
    zones = [
        (shard, zone)
        for _, shard in _iterate_owned_shards(reports)
        for zone in shard.get("other_zones", [])
    ]
    if not zones:
        return
    yield ""
    yield (
        f"{'shard':<34}{'other zone':<18}{'owner':<22}{'age':>7}{'delay':>9}"
        f"{'free':>6}{'places':>7}{'wait':>8}  spilled"
    )
    for shard, zone in zones:
        delay_s = zone["delay_s"]
        delay = "-" if delay_s is None else f"{delay_s * 1000:.1f} ms"
        spilled = ", ".join(
            f"{counted['reason']} {counted['count']}"
            for counted in shard["redirected_by_zone"]
            if counted["zone"] == zone["zone"]
        )
        state = "" if zone["has_backend"] else "no server; "
        yield (
            f"{shard['shard']:<34}{zone['zone']:<18}{zone['owner']:<22}"
            f"{zone['age_s']:>5.1f} s{delay:>9}{zone['free_slots']:>6}"
            f"{zone['slots']:>7}{zone['wait_s']:>6.2f} s"
            f"  {state}{spilled or 'none'}"
        )


def _iterate_rollouts(reports: dict[str, dict[str, Any]]) -> Iterator[str]:
    """Yields a table of the releases being rolled out, if there are any."""
    rollouts = [
        (vm, shard, shard["rollout"])
        for vm, shard in _iterate_owned_shards(reports)
        if shard.get("rollout")
    ]
    if not rollouts:
        return
    yield ""
    yield (
        f"{'release rolled out':<34}{'owner':<20}{'state':<13}"
        f"{'requests':>10}{'of':>8}{'answers':>9}{'failed':>8}  why"
    )
    for vm, shard, progress in rollouts:
        name = f"{shard['shard']} {progress['release']}"
        yield (
            f"{name:<34}{vm:<20}{progress['state']:<13}"
            f"{progress['sent_new']:>10}{progress['sent']:>8}"
            f"{progress['answers_new']:>9}{progress['failures_new']:>8}"
            f"  {progress['reason']}"
        )


def _format_age(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.0f} s"


def _count_alive(report: dict[str, Any]) -> int:
    return sum(member["state"] == "alive" for member in report["members"])


def _format_shed(shard: dict[str, Any]) -> str:
    shed = shard["shed_last_minute"]
    parts = [f"{tier} {count}" for tier, count in shed.items() if count]
    return ", ".join(parts) or "none"


def _iterate_owned_shards(
    reports: dict[str, dict[str, Any]],
) -> Iterator[tuple[str, dict[str, Any]]]:
    for vm, report in reports.items():
        for shard in report["shards"]:
            if shard["owned"]:
                yield vm, shard


async def fetch_reports(
    operator_settings: settings.OperatorSettings,
) -> dict[str, dict[str, Any]]:
    """Returns the status report of every reachable scheduler, by VM."""
    async with peers.open_client_from_settings(operator_settings) as client:
        return await client.fetch_reports()

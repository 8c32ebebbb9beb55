"""``bin/demo``: a small deployment, its first rollout and a mixed load."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import types
from typing import Any

import click

from bench import deployment

SCRIPTS = pathlib.Path(sys.executable).parent
FAST, SLOW = "fast", "slow"


def make_plan() -> deployment.Plan:
    """Returns three zones, engines of two speeds and one plain service."""
    zones = ("waw-a", "waw-b", "lodz-c")
    engines = [
        spec
        for zone in zones
        for spec in (
            deployment.EngineSpec(
                f"{zone}-fast", zone, "assistant", FAST, 6000.0, 0.015
            ),
            deployment.EngineSpec(
                f"{zone}-slow", zone, "assistant", SLOW, 1500.0, 0.035
            ),
        )
    ]
    return deployment.Plan(
        zones=dict.fromkeys(zones, 1),
        engines=engines,
        plain=[("portal-1", "waw-a", "portal")],
        tiers=[("urgent", 10.0), ("normal", 30.0), ("batch", 120.0)],
        customers={
            "salon-ola": ["normal", "urgent"],
            "hydraulik": ["normal", "batch"],
        },
    )


def make_load(
    started: deployment.Deployment, seconds: float, seed: int
) -> dict[str, Any]:
    """Returns the settings of the demo's load."""
    chat = {"service": "assistant", "max_tokens": [8, 40]}
    return {
        "entries": [entry.url for entry in started.entries],
        "keys": started.keys,
        "engines": started.engine_urls,
        "seed": seed,
        "duration_s": seconds,
        "classes": [
            {
                **chat,
                "customer": "salon-ola",
                "tier": "urgent",
                "rate_per_s": 6,
                "deadline_s": 10,
            },
            {
                **chat,
                "customer": "hydraulik",
                "tier": "normal",
                "rate_per_s": 5,
                "prompt_tokens": [32, 600],
                "shared_tokens": 256,
                "groups": 3,
                "stream": False,
            },
            {
                **chat,
                "customer": "hydraulik",
                "tier": "batch",
                "rate_per_s": 2,
                "prompt_tokens": [500, 3000],
                "shared_tokens": 512,
                "groups": 2,
                "deadline_s": 120,
            },
            {
                "customer": "salon-ola",
                "tier": "normal",
                "service": "portal",
                "kind": "plain",
                "rate_per_s": 4,
                "repeatable": False,
            },
        ],
        "bursts": [
            {"at_s": seconds * 0.4, "for_s": seconds * 0.3, "factor": 3}
        ],
    }


@click.command(name="demo")
@click.option("--seconds", default=12.0, help="How long load is sent.")
@click.option("--seed", default=1, help="Seed of the load.")
@click.option("--json", "as_json", is_flag=True, help="End with JSON.")
@click.option("--stay", is_flag=True, help="Leave it up until Ctrl-C.")
def run(seconds: float, seed: int, as_json: bool, stay: bool) -> None:
    """Starts a small deployment on loopback and sends it a mixed load."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    with tempfile.TemporaryDirectory(prefix="ramptray-demo-") as name:
        folder = pathlib.Path(name)
        started = deployment.Deployment(make_plan(), folder)
        try:
            _say(f"starting {len(started.processes)} processes on loopback")
            started.start_all()
            _roll_out(started, folder)
            started.wait_ready()
            _say(f"sending a mixed load for {seconds:g} s")
            last = _send_load(started, folder, seconds, seed)
            if stay:
                _stay(started, folder)
            if as_json:
                click.echo(last)
        except KeyboardInterrupt:
            _say("interrupted")
            sys.exit(130)
        finally:
            _say("ending every process that was started")
            started.stop_all()


def _roll_out(started: deployment.Deployment, folder: pathlib.Path) -> None:
    bundle = folder / "bundle.json5"
    bundle.write_text(json.dumps(started.make_bundle(), indent=1))
    settings = str(folder / "operator.json")
    _run("ramptray", "bundle", "check", str(bundle))
    key = str(folder / "anna.key")
    _run(
        *("ramptray", "bundle", "sign", str(bundle)),
        *("--operator", "anna", "--key", key),
    )
    _run("ramptray", "rollout", f"{bundle}.signed", "--settings", settings)


def _send_load(
    started: deployment.Deployment,
    folder: pathlib.Path,
    seconds: float,
    seed: int,
) -> str:
    """Sends the load, shows its report and returns its JSON line."""
    path = folder / "load.json"
    path.write_text(json.dumps(make_load(started, seconds, seed)))
    sent = subprocess.run(
        [SCRIPTS / "ramptray-load", "--settings", path, "--json"],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    *table, last = sent.stdout.strip().splitlines()
    click.echo("\n".join(table))
    return last


def _stay(started: deployment.Deployment, folder: pathlib.Path) -> None:
    entry = started.entries[0].url
    key = started.keys["salon-ola"]
    body = json.dumps(
        {
            "model": "assistant",
            "stream": True,
            "max_tokens": 8,
            "messages": [{"role": "user", "content": "VAT on haircuts?"}],
        }
    )
    auth = f"-H 'authorization: Bearer {key}'"
    settings = folder / "operator.json"
    click.echo(
        "\nup until Ctrl-C; try:\n"
        f"  curl -N {auth} -d '{body}' {entry}/v1/chat/completions\n"
        f"  curl {auth} {entry}/v1/models\n"
        f"  curl {auth} -H 'idempotency-key: invoice-1' -d 'n=1' "
        f"{entry}/services/portal/invoices\n"
        f"  curl {entry}/metrics\n"
        f"  {SCRIPTS}/ramptray status --settings {settings}\n"
        f"  {SCRIPTS}/ramptray timeline --settings {settings}\n"
    )
    signal.pause()


def _run(program: str, *arguments: str) -> None:
    _say(" ".join(["$", program, *arguments]))
    subprocess.run([SCRIPTS / program, *arguments], check=True)


def _interrupt(number: int, frame: types.FrameType | None) -> None:
    raise KeyboardInterrupt


def _say(line: str) -> None:
    click.echo(line, err=True)


if __name__ == "__main__":
    run()

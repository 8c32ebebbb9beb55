"""Runs every command of the operators' guide in order, with TLS."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from bench import deployment

GUIDE = pathlib.Path(__file__).parent.parent / "docs" / "operators.md"
EDITOR = """#!/bin/sh
# Replaces the interactive editor: fills in the bundle on the first call.
if grep -q 127.0.0.1:8001 "$1"; then cp filled.json "$1"
else sed -i 's/"share": 1.0/"share": 2.0/' "$1"; fi
"""
PLAN = deployment.Plan(
    zones={"waw-a": 1},
    engines=[deployment.EngineSpec("e1", "waw-a", "assistant", "fast")],
    plain=[],
    tiers=[("urgent", 10.0)],
    customers={"ola": ["urgent"]},
    customer_fields={"ola": {"share": 1.0}},
    controllers=False,
)


def read_commands() -> list[str]:
    """Extracts the console commands from the guide."""
    blocks = re.findall(r"```console\n(.*?)```", GUIDE.read_text(), re.DOTALL)
    lines = [line for block in blocks for line in block.splitlines()]
    return [line.removeprefix("$ ") for line in lines]


def run(command: str, folder: pathlib.Path) -> str:
    """Runs a shell command and returns its output; fails on a non-zero exit."""
    scripts = pathlib.Path(sys.executable).parent
    done = subprocess.run(
        ["bash", "-c", command],
        cwd=folder,
        env={
            **os.environ,
            "PATH": f"{scripts}:{os.environ['PATH']}",
            "EDITOR": "./editor",
            "RAMPTRAY_SETTINGS": str(folder / "operator.json"),
        },
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, f"{command}\n{done.stdout}{done.stderr}"
    return done.stdout


def test_every_command_of_the_guide_succeeds() -> None:
    commands = read_commands()
    assert len(commands) > 12
    with tempfile.TemporaryDirectory(prefix="ramptray-") as name:
        folder = pathlib.Path(name)
        editor = folder / "editor"
        editor.write_text(EDITOR)
        editor.chmod(0o700)
        first_key = commands.index("ramptray keys new anna.key")
        rest = commands[first_key + 1 :]
        for command in commands[: first_key + 1]:
            run(command, folder)
        key = (folder / "anna.key").read_text().strip()
        tls = {
            "certificate_file": str(folder / "tls" / "waw-a-vm1.pem"),
            "key_file": str(folder / "tls" / "waw-a-vm1.key"),
            "authority_file": str(folder / "tls" / "authority.pem"),
        }
        plan = dataclasses.replace(PLAN, common={"tls": tls})
        started = deployment.Deployment(plan, folder, key)
        bundle = json.dumps(started.make_bundle(), indent=1)
        (folder / "filled.json").write_text(bundle)
        try:
            started.start_all()
            shown = {command: run(command, folder) for command in rest}
        finally:
            started.stop_all()
    assert "in force on 1 VMs" in shown["ramptray rollout bundle.json5.signed"]
    assert '"share":2.0' in "".join(
        shown["ramptray bundle diff current.signed next.json5"].split()
    )
    assert "e1" in shown["ramptray status"]
    timeline = shown["ramptray timeline --subject generation-2"]
    assert "scheduler/waw-a-vm1" in timeline
    assert "entry/waw-a-vm1" in timeline

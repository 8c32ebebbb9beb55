"""The docs say what the code does."""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

import msgspec
import pyjson5
import pytest

from bench import reference
from ramptray import settings
from ramptray.bundle import parsing
from ramptray.caller import refusal
from ramptray.core import message
from ramptray.node import settings as node_settings

DOCS = pathlib.Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("name", sorted(reference.PAGES))
def test_reference_tables_are_as_the_models_are(name: str) -> None:
    written = (DOCS / name).read_text()
    tables = reference.make_tables(reference.PAGES[name])
    assert written.endswith(tables), "run bin/bench reference"
    assert "|  |" not in tables, "a field has no description"


def test_every_reason_is_documented_and_has_a_status() -> None:
    page = (DOCS / "callers.md").read_text()
    for reason in message.Reason:
        assert f"`{reason.value}`" in page
        assert reason in refusal.STATUS


def test_links_between_pages_lead_somewhere() -> None:
    for page in [*DOCS.rglob("*.md"), DOCS.parent / "README.md"]:
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / link).exists(), f"{page}: {link}"


def list_named(path: pathlib.Path) -> set[str]:
    """Returns the settings that a file names."""
    return set(pyjson5.decode(path.read_text()))


def list_fields(kind: type[msgspec.Struct]) -> set[str]:
    """Returns the settings that there are."""
    return {field.name for field in msgspec.structs.fields(kind)}


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("entry", settings.EntrySettings),
        ("scheduler", settings.SchedulerSettings),
        ("controller", settings.ControllerSettings),
        ("operator", settings.OperatorSettings),
    ],
)
def test_examples_name_every_setting(
    name: str, kind: type[msgspec.Struct]
) -> None:
    path = DOCS.parent / "example" / f"{name}.json5"
    parsing.read_model(path, kind)
    assert list_named(path) == list_fields(kind)


def test_a_settings_mistake_is_one_line_each_with_its_place(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "entry.json5"
    file.write_text('{"vm": "A B", "zone": "waw-a", /* gone */ "listn": 1}')
    program = pathlib.Path(sys.executable).parent / "ramptray-entry"
    done = subprocess.run(
        [program, "--settings", file], capture_output=True, text=True
    )
    lines = done.stderr.splitlines()
    assert done.returncode == 2
    assert {line.split(": ")[1] for line in lines} == {
        "vm",
        "listen",
        "listn",
        "scheduler",
    }
    assert all(line.startswith(f"{file}: ") for line in lines)


def test_the_deploy_file_s_settings_name_every_setting() -> None:
    path = DOCS.parent / "deploy" / "node.json5"
    read = parsing.read_model(path, node_settings.NodeSettings)
    assert read == node_settings.NodeSettings()
    assert list_named(path) == list_fields(node_settings.NodeSettings)

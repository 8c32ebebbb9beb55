"""Writes the reference tables of settings and bundle from their models."""

from __future__ import annotations

import inspect
import pathlib
import re
from collections.abc import Iterator

import click
import msgspec

from ramptray import settings
from ramptray.bundle import model
from ramptray.load import plan
from ramptray.node import settings as node_settings
from ramptray.standin.engine import main as engine
from ramptray.standin.platform import main as platform
from ramptray.standin.replica import main as replica
from ramptray.standin.service import main as service
from ramptray.standin.store import main as store

DOCS = pathlib.Path(__file__).parent.parent / "docs"

SETTINGS: list[tuple[str, type[msgspec.Struct]]] = [
    ("ramptray-entry", settings.EntrySettings),
    ("ramptray-entry: limits", settings.CallerLimits),
    ("ramptray-scheduler", settings.SchedulerSettings),
    ("ramptray-controller", settings.ControllerSettings),
    ("ramptray-node", node_settings.NodeSettings),
    ("ramptray", settings.OperatorSettings),
    ("tls, in any of these", settings.TlsSettings),
    ("ramptray-load", plan.LoadSettings),
    ("ramptray-load: classes", plan.LoadClass),
    ("ramptray-load: bursts", plan.Burst),
    ("ramptray-fake-engine", engine.FakeEngineSettings),
    ("ramptray-fake-service", service.FakeServiceSettings),
    ("ramptray-fake-platform", platform.FakePlatformSettings),
    ("ramptray-fake-store", store.FakeStoreSettings),
    ("ramptray-fake-replica", replica.FakeReplicaSettings),
]

BUNDLE: list[tuple[str, type[msgspec.Struct]]] = [
    ("the bundle", model.Bundle),
    ("operators", model.Operators),
    ("tiers.NAME", model.Tier),
    ("customers.NAME", model.Customer),
    ("customers.NAME.limits", model.Limits),
    ("services.NAME", model.Service),
    ("services.NAME.legacy", model.Legacy),
    ("routes.NAME", model.Route),
    ("routes.NAME.targets", model.Target),
    ("relay", model.RelayLimits),
    ("engines.NAME", model.Engine),
    ("backend_servers.NAME", model.BackendServer),
    ("weights", model.Weights),
]

PAGES = {"settings.md": SETTINGS, "bundle.md": BUNDLE}
MARK = "<!-- written by bin/bench reference -->"


@click.command(name="reference")
def command() -> None:
    """Writes the tables of docs/settings.md and docs/bundle.md."""
    for name, parts in PAGES.items():
        path = DOCS / name
        head = path.read_text().partition(MARK)[0]
        path.write_text(head + make_tables(parts))
        click.echo(f"{path}: written")


def make_tables(parts: list[tuple[str, type[msgspec.Struct]]]) -> str:
    """Returns the tables of a page, with the mark before them."""
    tables = [f"{MARK}\n"]
    for title, kind in parts:
        tables.append(f"\n## {title}\n\n")
        tables.append("| field | default | meaning |\n|---|---|---|\n")
        tables.extend(_iterate_rows(kind))
    return "".join(tables)


def _iterate_rows(kind: type[msgspec.Struct]) -> Iterator[str]:
    meanings = _read_meanings(kind)
    for field in msgspec.structs.fields(kind):
        default = "needed" if field.required else _show(field)
        meaning = meanings.get(field.name, "")
        yield f"| `{field.name}` | {default} | {meaning} |\n"


def _show(field: msgspec.structs.FieldInfo) -> str:
    value = field.default
    if value is msgspec.NODEFAULT:
        value = field.default_factory()  # type: ignore[operator,misc]
    if isinstance(value, msgspec.Struct):
        return "see below"
    return f"`{getattr(value, 'value', value)}`"


def _read_meanings(kind: type[msgspec.Struct]) -> dict[str, str]:
    """Returns the attributes that a model's doc comments describe."""
    meanings: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        doc = inspect.getdoc(base) or ""
        _, _, attributes = doc.partition("Attributes:\n")
        for found in re.finditer(
            r"^    (\w+): (.*(?:\n        .*)*)", attributes, re.MULTILINE
        ):
            meanings[found[1]] = " ".join(found[2].split())
    return meanings

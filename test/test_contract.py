"""Checks that the platform contract's table matches what the adapter reads."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil
import re
from typing import NamedTuple

import msgspec
import pytest

from ramptray import platform

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "platform-contract.md"
ADAPTER = ROOT / "ramptray" / "platform"
NONE = "-"

HTTP_HEADERS = frozenset(
    {
        "content-length",
        "content-type",
        "expect",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers defined by HTTP."""

INTERNAL_MODULES = frozenset({"blocks"})
"""Modules whose records only ramptray reads and writes."""


class Row(NamedTuple):
    """One name of the contract."""

    name: str
    meaning: str
    module: str
    decides: str
    test: str
    known_by: str = ""
    last_check: str = ""


def list_rows() -> list[Row]:
    """Returns the rows of all tables of the page."""
    lines = PAGE.read_text().splitlines()
    cells = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines
        if line.startswith("| `")
    ]
    return [Row(name.strip("`"), *rest) for name, *rest in cells]


ROWS = list_rows()
READ_ROWS = [row for row in ROWS if row.module != NONE]


def list_wire_fields() -> set[str]:
    """Returns the names of all fields that the adapter decodes."""
    names: set[str] = set()
    for found in pkgutil.iter_modules(platform.__path__):
        if found.name in INTERNAL_MODULES:
            continue
        module = importlib.import_module(f"ramptray.platform.{found.name}")
        for name, kind in inspect.getmembers(module, inspect.isclass):
            own = kind.__module__ == module.__name__
            if (
                own
                and issubclass(kind, msgspec.Struct)
                and is_wire_format(name, kind)
            ):
                fields = msgspec.structs.fields(kind)
                names |= {field.encode_name for field in fields}
    return names


def is_wire_format(name: str, kind: type[msgspec.Struct]) -> bool:
    """Returns whether a class describes a wire format."""
    renamed = any(
        field.encode_name != field.name
        for field in msgspec.structs.fields(kind)
    )
    return renamed or any(base.__name__ == "_Wire" for base in kind.__mro__)


def list_literals() -> set[str]:
    """Returns the headers, topics and paths in the adapter's source."""
    header = (ADAPTER / "header.py").read_text()
    headers = set(re.findall(r'b"([a-z]+(?:-[a-z]+)+)"', header))
    sources = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
    others = set(re.findall(r'"(/v1/[a-z-]+|keyed\.[a-z]+)"', sources))
    return (headers - HTTP_HEADERS) | others


def test_each_name_has_one_row() -> None:
    names = [row.name for row in ROWS]
    assert sorted(set(names)) == sorted(names)
    assert len(READ_ROWS) > 50


@pytest.mark.parametrize("row", READ_ROWS, ids=lambda row: row.name)
def test_read_name_appears_in_its_module(row: Row) -> None:
    source = (ROOT / "ramptray" / row.module).read_text().lower()
    bare = row.name.lower().removeprefix("op/")
    assert re.search(rf"(?<![a-z]){re.escape(bare)}(?![a-z])", source), row
    assert (ROOT / "test" / row.test).exists(), row


def test_unread_name_has_reason() -> None:
    for row in ROWS:
        if row.module == NONE:
            assert len(row.decides) > 5, row
            assert row.test == NONE, row


RESPONSE_ROWS = [row for row in ROWS if row.known_by]
ROLES = {"entry", "owners", "by the record", "caller", NONE}


def test_response_rows_name_roles() -> None:
    assert len(RESPONSE_ROWS) > 8
    for row in RESPONSE_ROWS:
        assert set(row.known_by.split(", ")) <= ROLES, row


@pytest.mark.parametrize(
    "row",
    [row for row in RESPONSE_ROWS if "entry" in row.known_by],
    ids=lambda row: row.name,
)
def test_response_header_has_last_check(row: Row) -> None:
    # Guards against headers that are parsed but then ignored, which happened
    # three times.
    path, symbol = re.fullmatch(r"(\S+) `(\w+)`", row.last_check).groups()  # type: ignore[union-attr]
    source = (ROOT / "ramptray" / path).read_text()
    assert re.search(rf"\b{symbol}\b", source), row


def test_every_name_read_has_row() -> None:
    listed = {row.name.lower() for row in READ_ROWS}
    found = {name.lower() for name in list_wire_fields() | list_literals()}
    assert not found - listed

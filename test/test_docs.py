"""The docs say what the code does."""

from __future__ import annotations

import pathlib
import re

import pytest

from bench import reference
from ramptray.caller import refusal
from ramptray.core import message

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

"""Checks plain data against a type, naming every mistake with its place."""

from __future__ import annotations

import itertools
import types
import typing
from collections.abc import Iterator
from typing import Annotated, Any, TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


class Violation(msgspec.Struct, frozen=True):
    """One mistake in what a person or another program wrote.

    Attributes:
        path: Path to the field, dots between keys; empty for the whole.
        expected: What was expected there.
        found: What was found instead; empty where that is long.  It may hold a
            secret, so it is shown to the file's author only, and never logged.
    """

    path: str
    expected: str
    found: str = ""

    def format(self, file: str) -> str:
        """Returns the line shown to the person."""
        shown = f" (found {self.found})" if self.found else ""
        return f"{file}: {self.path or '(whole file)'}: {self.expected}{shown}"


def convert(
    data: Any, kind: type[T], strict: bool = True
) -> Result[T, list[Violation]]:
    """Returns data as an object of a type, or all mistakes that it has.

    Args:
        data: Plain data, as read from JSON or TOML.
        kind: The type.
        strict: Whether a number as text is a mistake.
    """
    try:
        return Ok(msgspec.convert(data, kind, strict=strict))
    except msgspec.ValidationError:
        # The library names the first mistake only.
        return Err(list(_iterate(data, kind, strict, "")))


def format_violations(mistakes: list[Violation]) -> str:
    """Returns all mistakes in one line for a log, each with its place."""
    return "; ".join(f"{m.path}: {m.expected}" for m in mistakes)


def _iterate(
    data: Any, kind: Any, strict: bool, path: str
) -> Iterator[Violation]:
    """Yields the mistakes in the parts, or else the one of the whole."""
    parts = list(_iterate_parts(data, kind, strict, path))
    if parts:
        yield from parts
        return
    try:
        msgspec.convert(data, kind, strict=strict)
    except msgspec.ValidationError as error:
        found = "" if isinstance(data, dict | list) else repr(data)
        yield Violation(path, str(error), found)


def _iterate_parts(
    data: Any, kind: Any, strict: bool, path: str
) -> Iterator[Violation]:
    bare = _strip(kind, data)
    arguments = typing.get_args(bare)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        if isinstance(data, dict):
            yield from _iterate_fields(data, bare, strict, path)
    elif typing.get_origin(bare) is list and isinstance(data, list):
        for number, item in enumerate(data):
            place = _join(path, number)
            yield from _iterate(item, arguments[0], strict, place)
    elif typing.get_origin(bare) is dict and isinstance(data, dict):
        for name, value in data.items():
            place = _join(path, name)
            yield from itertools.chain(
                _iterate(name, arguments[0], strict, place),
                _iterate(value, arguments[1], strict, place),
            )


def _iterate_fields(
    data: dict[str, Any], kind: type[msgspec.Struct], strict: bool, path: str
) -> Iterator[Violation]:
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    for name, field in fields.items():
        place = _join(path, name)
        if name in data:
            yield from _iterate(data[name], hints[field.name], strict, place)
        elif field.required:
            yield Violation(place, "a field that is needed")
    if kind.__struct_config__.forbid_unknown_fields:
        for name in data:
            if name not in fields:
                yield Violation(_join(path, name), "no such field is known")


def _strip(kind: Any, data: Any) -> Any:
    """Returns the bare type that data is meant for.

    Constraints are left out, and of a type that may also be None the other one
    is taken.
    """
    if typing.get_origin(kind) is Annotated:
        return _strip(typing.get_args(kind)[0], data)
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        wanted = [k for k in typing.get_args(kind) if k is not type(None)]
        return kind if data is None else _strip(wanted[0], data)
    return kind


def _join(path: str, part: object) -> str:
    return f"{path}.{part}" if path else str(part)

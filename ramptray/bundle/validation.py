"""Validates plain data against a type and reports all violations."""

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
    """One violation in data that a person or another program wrote.

    Attributes:
        path: Path to the field, with dots between keys; empty for the root.
        expected: The expected value.
        found: The value found; empty for objects and lists.  It may hold a
            secret, so it is shown to the file's author only and never logged.
    """

    path: str
    expected: str
    found: str = ""

    def format(self, file: str) -> str:
        """Returns the line shown to the file's author."""
        shown = f" (found {self.found})" if self.found else ""
        return f"{file}: {self.path or '(whole file)'}: {self.expected}{shown}"


def convert(
    data: Any, kind: type[T], strict: bool = True
) -> Result[T, list[Violation]]:
    """Returns data as an object of a type, or all its violations.

    Args:
        data: Plain data, as read from JSON or TOML.
        kind: The type.
        strict: Whether to reject numbers given as text.
    """
    try:
        return Ok(msgspec.convert(data, kind, strict=strict))
    except msgspec.ValidationError:
        # msgspec reports only the first violation.
        return Err(list(_iterate_violations(data, kind, strict, "")))


def format_violations(violations: list[Violation]) -> str:
    """Returns all violations in one line for a log, each with its path."""
    return "; ".join(f"{m.path}: {m.expected}" for m in violations)


def _iterate_violations(
    data: Any, kind: Any, strict: bool, path: str
) -> Iterator[Violation]:
    """Yields the violations of nested values, or else of the value itself."""
    nested = list(_iterate_nested(data, kind, strict, path))
    if nested:
        yield from nested
        return
    try:
        msgspec.convert(data, kind, strict=strict)
    except msgspec.ValidationError as error:
        found = "" if isinstance(data, dict | list) else repr(data)
        yield Violation(path, str(error), found)


def _iterate_nested(
    data: Any, kind: Any, strict: bool, path: str
) -> Iterator[Violation]:
    plain_type = _resolve_type(kind, data)
    arguments = typing.get_args(plain_type)
    if isinstance(plain_type, type) and issubclass(plain_type, msgspec.Struct):
        if isinstance(data, dict):
            yield from _iterate_fields(data, plain_type, strict, path)
    elif typing.get_origin(plain_type) is list and isinstance(data, list):
        for number, item in enumerate(data):
            item_path = _join(path, number)
            yield from _iterate_violations(
                item, arguments[0], strict, item_path
            )
    elif typing.get_origin(plain_type) is dict and isinstance(data, dict):
        for name, value in data.items():
            item_path = _join(path, name)
            yield from itertools.chain(
                _iterate_violations(name, arguments[0], strict, item_path),
                _iterate_violations(value, arguments[1], strict, item_path),
            )


def _iterate_fields(
    data: dict[str, Any], kind: type[msgspec.Struct], strict: bool, path: str
) -> Iterator[Violation]:
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    for name, field in fields.items():
        item_path = _join(path, name)
        if name in data:
            yield from _iterate_violations(
                data[name], hints[field.name], strict, item_path
            )
        elif field.required:
            yield Violation(item_path, "required field is missing")
    if kind.__struct_config__.forbid_unknown_fields:
        for name in data:
            if name not in fields:
                yield Violation(_join(path, name), "unknown field")


def _resolve_type(kind: Any, data: Any) -> Any:
    """Returns the type that applies to data, without constraints.

    For an optional type and data other than None, this is the type without
    None.
    """
    if typing.get_origin(kind) is Annotated:
        return _resolve_type(typing.get_args(kind)[0], data)
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        options = [k for k in typing.get_args(kind) if k is not type(None)]
        return kind if data is None else _resolve_type(options[0], data)
    return kind


def _join(path: str, part: object) -> str:
    return f"{path}.{part}" if path else str(part)

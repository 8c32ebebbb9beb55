"""Parses JSON with comments into models and reports all violations."""

from __future__ import annotations

import collections
import pathlib
from typing import Any, TypeVar

import msgspec
import pyjson5
from result import Err, Ok, Result

from ramptray.bundle import model, validation
from ramptray.bundle.validation import Violation

ModelT = TypeVar("ModelT", bound=msgspec.Struct)


class InvalidFileError(Exception):
    """A settings or bundle file cannot be read or does not match its model.

    Attributes:
        file: Path of the file.
        violations: All violations found in it.
    """

    def __init__(self, file: str, violations: list[Violation]) -> None:
        self.file = file
        self.violations = violations
        super().__init__("\n".join(m.format(file) for m in violations))


def parse_model(
    text: str, kind: type[ModelT]
) -> Result[ModelT, list[Violation]]:
    """Parses JSON with comments and validates it, reporting all violations."""
    try:
        data: Any = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Err(
            [
                Violation(
                    "", f"not valid JSON with comments ({_locate(error, text)})"
                )
            ]
        )
    return validation.convert(data, kind)


def read_model(path: pathlib.Path, kind: type[ModelT]) -> ModelT:
    """Reads and validates a file.

    Raises:
        InvalidFileError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError(
            str(path), [Violation("", f"a readable file ({error})")]
        ) from (error)
    match parse_model(text, kind):
        case Ok(value):
            return value
        case Err(violations):
            raise InvalidFileError(str(path), violations)


def parse_bundle(text: str) -> Result[model.Bundle, list[Violation]]:
    """Parses a bundle and checks its references between objects."""
    return parse_model(text, model.Bundle).and_then(_check_bundle)


def _check_bundle(
    bundle: model.Bundle,
) -> Result[model.Bundle, list[Violation]]:
    violations = [
        *_check_tiers(bundle),
        *_check_customers(bundle),
        *_check_backend_servers(bundle),
        *_check_operators(bundle),
    ]
    return Err(violations) if violations else Ok(bundle)


def _check_tiers(bundle: model.Bundle) -> list[Violation]:
    order_counts = collections.Counter(t.order for t in bundle.tiers.values())
    return [
        Violation(
            f"tiers.{name}.order", "the order must be unique among the tiers"
        )
        for name, tier in bundle.tiers.items()
        if order_counts[tier.order] > 1
    ]


def _check_customers(bundle: model.Bundle) -> list[Violation]:
    unknown_tiers = [
        Violation(f"customers.{name}.tiers.{i}", f"unknown tier {tier!r}")
        for name, customer in bundle.customers.items()
        for i, tier in enumerate(customer.tiers)
        if tier not in bundle.tiers
    ]
    key_counts = collections.Counter(
        key for c in bundle.customers.values() for key in set(c.key_hashes)
    )
    shared_keys = [
        Violation(
            f"customers.{name}.key_hashes.{i}",
            "the key must not belong to another customer",
        )
        for name, customer in bundle.customers.items()
        for i, key in enumerate(customer.key_hashes)
        if key_counts[key] > 1
    ]
    return unknown_tiers + shared_keys


def _check_backend_servers(bundle: model.Bundle) -> list[Violation]:
    references: list[tuple[str, str, Any]] = [
        ("zone", "a zone", bundle.zones),
        ("service", "a service", bundle.services),
        ("engine", "an engine", bundle.engines),
    ]
    return [
        Violation(
            f"backend_servers.{name}.{field}",
            f"expected {expected} of this bundle, "
            f"found {getattr(server, field)!r}",
        )
        for name, server in bundle.backend_servers.items()
        for field, expected, known in references
        if getattr(server, field) not in known
    ]


def _check_operators(bundle: model.Bundle) -> list[Violation]:
    operators = bundle.operators
    if operators.signatures_required <= len(operators.keys):
        return []
    return [
        Violation(
            "operators.signatures_required",
            f"must not exceed the number of keys, {len(operators.keys)}",
        )
    ]


def _locate(error: pyjson5.Json5Exception, text: str) -> str:
    reason = str(error.args[0]) if error.args else str(error)
    digits = "".join(c if c.isdigit() else " " for c in reason).split()
    if not digits:
        return reason
    line = text.count("\n", 0, int(digits[-1])) + 1
    return f"line {line}: {reason}"

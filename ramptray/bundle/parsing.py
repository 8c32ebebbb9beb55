"""Reads JSON with comments into validated models, naming every mistake."""

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
    """A settings or bundle file has mistakes that its author can mend."""

    def __init__(self, file: str, mistakes: list[Violation]) -> None:
        self.file = file
        self.mistakes = mistakes
        super().__init__("\n".join(m.format(file) for m in mistakes))


def parse_model(
    text: str, kind: type[ModelT]
) -> Result[ModelT, list[Violation]]:
    """Parses JSON with comments and validates it, all mistakes at once."""
    try:
        data: Any = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Err(
            [Violation("", f"JSON with comments ({_locate(error, text)})")]
        )
    return validation.convert(data, kind)


def read_model(path: pathlib.Path, kind: type[ModelT]) -> ModelT:
    """Reads and validates a file.

    Raises:
        InvalidFileError: The file cannot be read or has mistakes.
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
        case Err(mistakes):
            raise InvalidFileError(str(path), mistakes)


def parse_bundle(text: str) -> Result[model.Bundle, list[Violation]]:
    """Parses a bundle and checks that what it names exists."""
    return parse_model(text, model.Bundle).and_then(_check_bundle)


def _check_bundle(
    bundle: model.Bundle,
) -> Result[model.Bundle, list[Violation]]:
    mistakes = [
        *_check_tiers(bundle),
        *_check_customers(bundle),
        *_check_backend_servers(bundle),
        *_check_operators(bundle),
    ]
    return Err(mistakes) if mistakes else Ok(bundle)


def _check_tiers(bundle: model.Bundle) -> list[Violation]:
    orders = collections.Counter(t.order for t in bundle.tiers.values())
    return [
        Violation(f"tiers.{name}.order", "an order that no other tier has")
        for name, tier in bundle.tiers.items()
        if orders[tier.order] > 1
    ]


def _check_customers(bundle: model.Bundle) -> list[Violation]:
    unknown = [
        Violation(f"customers.{name}.tiers.{i}", f"a tier, {tier!r} is none")
        for name, customer in bundle.customers.items()
        for i, tier in enumerate(customer.tiers)
        if tier not in bundle.tiers
    ]
    uses = collections.Counter(
        key for c in bundle.customers.values() for key in set(c.key_hashes)
    )
    twice = [
        Violation(
            f"customers.{name}.key_hashes.{i}", "a key no other customer has"
        )
        for name, customer in bundle.customers.items()
        for i, key in enumerate(customer.key_hashes)
        if uses[key] > 1
    ]
    return unknown + twice


def _check_backend_servers(bundle: model.Bundle) -> list[Violation]:
    kinds: list[tuple[str, str, Any]] = [
        ("zone", "a zone", bundle.zones),
        ("service", "a service", bundle.services),
        ("engine", "an engine", bundle.engines),
    ]
    return [
        Violation(
            f"backend_servers.{name}.{field}",
            f"{expected} of this bundle, {getattr(server, field)!r} is none",
        )
        for name, server in bundle.backend_servers.items()
        for field, expected, known in kinds
        if getattr(server, field) not in known
    ]


def _check_operators(bundle: model.Bundle) -> list[Violation]:
    operators = bundle.operators
    if operators.signatures_required <= len(operators.keys):
        return []
    return [
        Violation(
            "operators.signatures_required",
            f"at most the number of keys, {len(operators.keys)}",
        )
    ]


def _locate(error: pyjson5.Json5Exception, text: str) -> str:
    reason = str(error.args[0]) if error.args else str(error)
    digits = "".join(c if c.isdigit() else " " for c in reason).split()
    if not digits:
        return reason
    line = text.count("\n", 0, int(digits[-1])) + 1
    return f"line {line}: {reason}"

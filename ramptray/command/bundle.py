"""``ramptray bundle``: writes, checks, compares and signs bundles."""

from __future__ import annotations

import difflib
import importlib.resources
import pathlib
import re

import click
import msgspec
from result import Err, Ok

from ramptray.bundle import model, parsing, signature, validation
from ramptray.command import keys
from ramptray.command.error import CommandError

PATH = click.Path(path_type=pathlib.Path)


@click.group(name="bundle")
def group() -> None:
    """Writes, checks, compares and signs bundles."""


@group.command(name="init")
@click.argument("file", type=PATH)
@click.option("--public-key", required=True, help="The first operator's key.")
def write_example(file: pathlib.Path, public_key: str) -> None:
    """Writes a commented example bundle to FILE."""
    if file.exists():
        raise CommandError(f"{file}: file already exists")
    example = importlib.resources.files("ramptray.command") / "example.json5"
    file.write_text(example.read_text().replace("@PUBLIC_KEY@", public_key))
    click.echo(f"{file}: written; edit it, then run: ramptray bundle check")


@group.command(name="check")
@click.argument("file", type=PATH)
@click.option(
    "--follows", type=PATH, help="The bundle that FILE is to replace."
)
def check(file: pathlib.Path, follows: pathlib.Path | None) -> None:
    """Validates FILE and reports all mistakes at once."""
    envelope = read_envelope(file)
    checked = parse(file, envelope)
    if follows is not None:
        base = read_envelope(follows)
        check_follows(file, checked, base, parse(follows, base))
    click.echo(f"{file}: generation {checked.generation}, no mistakes")


@group.command(name="diff")
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
def diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Shows the differences between two bundles, ignoring comments."""
    lines = [
        msgspec.json.format(
            msgspec.json.encode(parse(file, read_envelope(file))), indent=1
        )
        .decode()
        .splitlines()
        for file in (old, new)
    ]
    for line in difflib.unified_diff(
        lines[0], lines[1], str(old), str(new), lineterm="", n=2
    ):
        click.echo(line)


@group.command(name="rebase")
@click.argument("file", type=PATH)
@click.argument("onto", type=PATH)
def rebase(file: pathlib.Path, onto: pathlib.Path) -> None:
    """Makes FILE follow the bundle in ONTO: sets generation and base."""
    base = read_envelope(onto)
    generation = parse(onto, base).generation + 1
    edited = _set_field(file.read_text(), "generation", str(generation))
    edited = _set_field(edited, "base", f'"{base.digest}"')
    envelope = signature.Envelope(edited, {})
    parse(file, envelope)
    file.write_text(edited)
    click.echo(f"{file}: generation {generation}, follows {base.digest}")


@group.command(name="sign")
@click.argument("file", type=PATH)
@click.option("--operator", required=True, help="Your name in the bundle.")
@click.option("--key", required=True, type=PATH, help="Your private key.")
@click.option("--out", type=PATH, help="Default: FILE.signed")
def sign(
    file: pathlib.Path,
    operator: str,
    key: pathlib.Path,
    out: pathlib.Path | None,
) -> None:
    """Signs FILE; if it is signed already, adds a signature."""
    envelope = read_envelope(file)
    parse(file, envelope)
    signed = signature.sign(envelope, operator, keys.read_key(key))
    target = out or _get_signed_path(file)
    target.write_bytes(msgspec.json.format(msgspec.json.encode(signed)))
    names = ", ".join(sorted(signed.signatures))
    click.echo(f"{target}: signed by {names}")


@group.command(name="show")
@click.argument("file", type=PATH)
def show(file: pathlib.Path) -> None:
    """Prints a summary of a bundle."""
    envelope = read_envelope(file)
    shown = parse(file, envelope)
    click.echo(f"generation  {shown.generation}")
    click.echo(f"digest      {envelope.digest}")
    click.echo(f"base        {shown.base or 'none (the first bundle)'}")
    click.echo(f"signed by   {', '.join(envelope.signatures) or 'nobody'}")
    click.echo(f"zones       {', '.join(shown.zones)}")
    click.echo(f"tiers       {', '.join(shown.get_tier_ranks())}")
    click.echo(f"customers   {len(shown.customers)}")
    for name, service in shown.services.items():
        servers = [
            s for s in shown.backend_servers.values() if s.service == name
        ]
        legacy = service.legacy
        moved = f", {legacy.percent:g}% to the old script" if legacy else ""
        click.echo(f"service     {name}: {len(servers)} servers{moved}")


def read_envelope(file: pathlib.Path) -> signature.Envelope:
    """Reads a bundle from a file.

    A file that holds no signed envelope is taken as the text of an unsigned
    bundle.

    Raises:
        parsing.InvalidFileError: The file cannot be read.
    """
    try:
        raw = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        violation = validation.Violation("", f"a readable file ({error})")
        raise parsing.InvalidFileError(str(file), [violation]) from error
    try:
        return msgspec.json.decode(raw.encode(), type=signature.Envelope)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return signature.Envelope(raw, {})


def parse(file: pathlib.Path, envelope: signature.Envelope) -> model.Bundle:
    """Parses the bundle in an envelope.

    Raises:
        parsing.InvalidFileError: The bundle is invalid.
    """
    match parsing.parse_bundle(envelope.text):
        case Ok(bundle):
            return bundle
        case Err(violations):
            raise parsing.InvalidFileError(str(file), violations)


def check_follows(
    file: pathlib.Path,
    bundle: model.Bundle,
    base: signature.Envelope,
    base_bundle: model.Bundle,
) -> None:
    """Checks that a bundle is the direct successor of another.

    Raises:
        parsing.InvalidFileError: The generation or base does not match.
    """
    violations: list[validation.Violation] = []
    if bundle.generation != base_bundle.generation + 1:
        expected = f"{base_bundle.generation + 1}, found {bundle.generation}"
        violations.append(validation.Violation("generation", expected))
    if bundle.base != base.digest:
        violations.append(validation.Violation("base", f"{base.digest}"))
    if violations:
        raise parsing.InvalidFileError(str(file), violations)


def _set_field(raw: str, field: str, value: str) -> str:
    """Sets the first field of that name in JSON5 text, preserving comments."""
    pattern = re.compile(rf'("?{field}"?\s*:\s*)(null|\d+|"[^"]*")')
    return pattern.sub(lambda found: found[1] + value, raw, count=1)


def _get_signed_path(file: pathlib.Path) -> pathlib.Path:
    if file.suffix == ".signed":
        return file
    return file.with_name(file.name + ".signed")

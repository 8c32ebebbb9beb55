"""``ramptray keys``: operators' signing keys."""

from __future__ import annotations

import pathlib

import click

from ramptray.bundle import signature
from ramptray.command import certificate
from ramptray.command.error import CommandError

KEY_MODE = 0o600


@click.group(name="keys")
def group() -> None:
    """Generates operators' signing keys, and certificates for mutual TLS."""


@group.command(name="new")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def write_private_key(file: pathlib.Path) -> None:
    """Writes a new private key to FILE and prints its public key."""
    private = signature.make_private_key()
    try:
        file.touch(mode=KEY_MODE, exist_ok=False)
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}") from error
    file.write_text(private + "\n")
    click.echo(signature.get_public_key(private))


@group.command(name="public")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def show_public(file: pathlib.Path) -> None:
    """Prints the public key that belongs to the private key in FILE."""
    click.echo(signature.get_public_key(read_key(file)))


group.add_command(certificate.make_authority)
group.add_command(certificate.make_certificate)


def read_key(file: pathlib.Path) -> str:
    """Reads a private key from a file.

    Raises:
        CommandError: The file cannot be read or holds no private key.
    """
    try:
        private = file.read_text().strip()
        signature.get_public_key(private)
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}") from error
    except ValueError as error:
        raise CommandError(f"{file}: expected a private key") from error
    return private

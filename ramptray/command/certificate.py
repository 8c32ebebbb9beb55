"""``ramptray keys authority`` and ``certificate``: mutual TLS keys."""

from __future__ import annotations

import datetime
import pathlib

import click
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from ramptray.command.error import CommandError

AUTHORITY_DAYS = 3650
CERTIFICATE_DAYS = 365
MAX_CLOCK_SKEW = datetime.timedelta(hours=1)
KEY_MODE = 0o600
PATH = click.Path(path_type=pathlib.Path)


@click.command(name="authority")
@click.argument("folder", type=PATH)
def make_authority(folder: pathlib.Path) -> None:
    """Writes the key and certificate of a new authority to FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = _make_name("ramptray authority")
    certificate = (
        _make_builder(name, name, key, AUTHORITY_DAYS)
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .sign(key, hashes.SHA256())
    )
    _write_key_pair(folder, "authority", key, certificate)


@click.command(name="certificate")
@click.argument("folder", type=PATH)
@click.option(
    "--name",
    required=True,
    help="Base name of the files, such as the VM's name.",
)
@click.option(
    "--server-name", default="ramptray", help="Server name, as in the settings."
)
def make_certificate(folder: pathlib.Path, name: str, server_name: str) -> None:
    """Writes a key and certificate signed by the authority in FOLDER."""
    authority_key, authority = _read_authority(folder)
    key = ec.generate_private_key(ec.SECP256R1())
    names = x509.SubjectAlternativeName([x509.DNSName(server_name)])
    certificate = (
        _make_builder(
            _make_name(name), authority.subject, key, CERTIFICATE_DAYS
        )
        .add_extension(names, critical=False)
        .sign(authority_key, hashes.SHA256())
    )
    _write_key_pair(folder, name, key, certificate)


def _read_authority(
    folder: pathlib.Path,
) -> tuple[ec.EllipticCurvePrivateKey, x509.Certificate]:
    try:
        raw_key = (folder / "authority.key").read_bytes()
        raw = (folder / "authority.pem").read_bytes()
        key = serialization.load_pem_private_key(raw_key, None)
        certificate = x509.load_pem_x509_certificate(raw)
    except (OSError, ValueError) as error:
        raise CommandError(
            f"{folder}: no readable authority key and certificate ({error})"
        ) from error
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise CommandError(f"{folder}/authority.key: not an elliptic curve key")
    return key, certificate


def _make_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def _make_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    days: int,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - MAX_CLOCK_SKEW)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _write_key_pair(
    folder: pathlib.Path,
    name: str,
    key: ec.EllipticCurvePrivateKey,
    certificate: x509.Certificate,
) -> None:
    key_file, certificate_file = folder / f"{name}.key", folder / f"{name}.pem"
    try:
        key_file.touch(mode=KEY_MODE, exist_ok=False)
    except OSError as error:
        raise CommandError(f"{key_file}: {error.strerror}") from error
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    certificate_file.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    click.echo(f"{certificate_file}: written, key in {key_file}")

"""Credentials for mutual TLS between ramptray's processes."""

from __future__ import annotations

import pathlib

import grpc

from ramptray import settings


def _read_files(tls: settings.TlsSettings) -> tuple[bytes, bytes, bytes]:
    names = (tls.key_file, tls.certificate_file, tls.authority_file)
    key, certificate, authority = (
        pathlib.Path(name).read_bytes() for name in names
    )
    return key, certificate, authority


def make_server_credentials(
    tls: settings.TlsSettings,
) -> grpc.ServerCredentials:
    """Returns the server's credentials, which require client certificates.

    Raises:
        OSError: A file cannot be read.
    """
    key, certificate, authority = _read_files(tls)
    return grpc.ssl_server_credentials(
        [(key, certificate)],
        root_certificates=authority,
        require_client_auth=True,
    )


def make_client_credentials(
    tls: settings.TlsSettings,
) -> grpc.ChannelCredentials:
    """Returns the client's credentials.

    Raises:
        OSError: A file cannot be read.
    """
    key, certificate, authority = _read_files(tls)
    return grpc.ssl_channel_credentials(authority, key, certificate)

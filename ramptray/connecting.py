"""Addresses to connect to, which other programs may have written."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator


@contextlib.contextmanager
def translate_errors(address: str) -> Iterator[None]:
    """Turns each error of opening a connection into an OSError.

    Resolving a name raises more than that, for instance for a name that cannot
    be encoded.  No byte was sent in any of these cases.

    Args:
        address: Host and port, for the message.

    Raises:
        OSError: No connection was opened.
    """
    try:
        yield
    except OSError:
        raise
    except Exception as error:
        raise OSError(f"{address}: {error!r}") from error


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        OSError: It names no port.
    """
    host, _, port = address.rpartition(":")
    with translate_errors(address):
        return host, int(port)

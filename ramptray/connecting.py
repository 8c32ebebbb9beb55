"""Addresses to connect to, which other programs may have written."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator

_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def is_local_shortage(error: BaseException) -> bool:
    """Returns whether this machine lacked a descriptor or memory.

    Such an error shows nothing about the other end.  Libraries wrap the
    original error, so its cause and context are looked at too.

    Args:
        error: The error of opening a connection.
    """
    causes = (error, error.__cause__, error.__context__)
    return any(
        isinstance(cause, OSError) and cause.errno in _SHORTAGES
        for cause in causes
    )


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

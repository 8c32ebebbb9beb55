"""Translates errors of the HTTP library into those of the calling module."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import httpcore


@contextlib.contextmanager
def translate_errors(
    url: str, not_sent: type[Exception], broken: type[Exception]
) -> Iterator[None]:
    """Distinguishes requests that were not sent from those that may have been.

    Args:
        url: URL of the request.
        not_sent: Raised if no byte of the request was sent.
        broken: Raised if the request may have arrived.
    """
    try:
        yield
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
    ) as error:
        raise not_sent(f"{url}: {error!r}") from error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        raise broken(f"{url}: {error!r}") from error

"""Turns the HTTP library's errors into those of the layer that uses it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import httpcore


@contextlib.contextmanager
def translate_errors(
    url: str, not_sent: type[Exception], broken: type[Exception]
) -> Iterator[None]:
    """Tells apart whether a request can have been sent.

    Args:
        url: Where it was sent to.
        not_sent: Raised where no byte of it was sent.
        broken: Raised where it may have arrived.
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

"""Digests that identify requests with the same content without storing it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ramptray.relay import message

DIGEST_BYTES = 12
"""Size of a digest, in bytes.  Among a billion contents, the probability of a
collision is one in 10^11."""

PART_DIGEST_BYTES = 8
"""Size of the digest of a prompt's part, in bytes."""


def make_digest(
    request: message.CallerRequest, customer: str, key: bytes
) -> str:
    """Returns a digest that is equal for requests with the same content.

    Requests have the same content if customer, method, host, path, query and
    body are equal; ids and headers do not count.

    Args:
        request: The request.
        customer: The customer whose key the caller holds.
        key: Secret key of the deployment.  Without it, a log line does not
            reveal whether a request had a certain body.
    """
    fields = (
        customer.encode(),
        request.method,
        request.host.encode(),
        request.target,
        request.body,
    )
    return _digest(fields, key, DIGEST_BYTES)


def make_part_digests(
    request: message.CallerRequest, service: str, key: bytes
) -> tuple[str, ...]:
    """Returns the digests of the parts that a prompt shares with others.

    These are all parts but the last, which belongs to the request or its
    session.  A part has the same digest in all requests to a service, whatever
    parts stand before it.

    Args:
        request: The request.
        service: The service that it is for, as each has software of its own.
        key: Secret key of the deployment.
    """
    shared = dict.fromkeys(request.part_ids[:-1])
    return tuple(
        "part-"
        + _digest((service.encode(), part.encode()), key, PART_DIGEST_BYTES)
        for part in shared
    )


def _digest(fields: Iterable[bytes | bytearray], key: bytes, size: int) -> str:
    hasher = hashlib.blake2b(key=key, digest_size=size)
    for field in fields:
        hasher.update(len(field).to_bytes(8))
        hasher.update(field)
    return hasher.hexdigest()

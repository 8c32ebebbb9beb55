"""Digests that identify requests with the same content without storing it."""

from __future__ import annotations

import hashlib

from ramptray.relay import message

DIGEST_BYTES = 12
"""Size of a digest, in bytes.  Among a billion contents, the probability of a
collision is one in 10^11."""


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
    hasher = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (
        customer.encode(),
        request.method,
        request.host.encode(),
        request.target,
        request.body,
    ):
        hasher.update(len(part).to_bytes(8))
        hasher.update(part)
    return hasher.hexdigest()

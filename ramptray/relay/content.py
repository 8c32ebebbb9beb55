"""Tells requests with the same content from others, without keeping bodies."""

from __future__ import annotations

import hashlib

from ramptray.relay import message

DIGEST_BYTES = 12
"""Size of a digest, in bytes: two of a billion contents are the same by chance
with a probability of one in 10^11."""


def make_digest(
    request: message.CallerRequest, customer: str, key: bytes
) -> str:
    """Returns what requests of the same content have in common.

    Same are those of one customer with the same method, host, path, query and
    body, whatever id or headers they carry.

    Args:
        request: The request.
        customer: The customer whose key the caller holds.
        key: Secret of the deployment: without it nobody can find out from a
            log line whether a request had a certain body.
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

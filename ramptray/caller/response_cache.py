"""Caches responses for callers that retry with the same idempotency key."""

from __future__ import annotations

import collections

import msgspec
from starlette import responses

from ramptray.entry import ticket as tickets

MAX_TOTAL_BYTES = 16 * 1024 * 1024
"""Maximum size of all cached responses, in bytes."""

MAX_RESPONSE_BYTES = 256 * 1024
"""Maximum size of a cached response, in bytes."""

REPLAYED_HEADER = "x-ramptray-replayed"


class CachedResponse(msgspec.Struct, frozen=True):
    """A complete response to a request with an idempotency key.

    Attributes:
        digest: Digest of the request body.
        status: HTTP status.
        headers: Response headers.
        body: Response body.
    """

    digest: str
    status: int
    headers: dict[str, str]
    body: bytes

    def make_response(self) -> responses.Response:
        """Returns the response, marked as a replay."""
        headers = {**self.headers, REPLAYED_HEADER: "true"}
        return responses.Response(self.body, self.status, headers)


class ResponseCache:
    """Caches the latest responses by idempotency key, up to a total size."""

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES) -> None:
        self._max_bytes = max_bytes
        self._cached: collections.OrderedDict[str, CachedResponse] = (
            collections.OrderedDict()
        )
        self._total_bytes = 0

    def put(
        self,
        claim_request: tickets.ClaimRequest | None,
        response: responses.Response,
    ) -> None:
        """Caches the response to a request with a key, if not too large."""
        if claim_request is None or claim_request.key in self._cached:
            return
        body = bytes(response.body)
        if len(body) > MAX_RESPONSE_BYTES:
            return
        headers = {
            name: value
            for name, value in response.headers.items()
            if name != "content-length"
        }
        self._cached[claim_request.key] = CachedResponse(
            claim_request.digest, response.status_code, headers, body
        )
        self._total_bytes += len(body)
        while self._total_bytes > self._max_bytes:
            _, evicted = self._cached.popitem(last=False)
            self._total_bytes -= len(evicted.body)

    def find(
        self, claim_request: tickets.ClaimRequest | None
    ) -> CachedResponse | None:
        """Returns the cached response to the same request, if any."""
        cached = self._cached.get(claim_request.key) if claim_request else None
        if (
            cached is None
            or claim_request is None
            or cached.digest != claim_request.digest
        ):
            return None
        return cached

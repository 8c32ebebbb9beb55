"""Answers that an entry still holds for callers that ask again by key."""

from __future__ import annotations

import collections

import msgspec
from starlette import responses

from ramptray.entry import ticket as tickets

MAX_BYTES = 16 * 1024 * 1024
"""Bytes of answers that an entry holds."""

MAX_ANSWER_BYTES = 256 * 1024
"""Answers larger than this are not held."""

REPLAYED_HEADER = "x-ramptray-replayed"


class CachedResponse(msgspec.Struct, frozen=True):
    """A whole answer to a request with an idempotency key.

    Attributes:
        digest: Digest of the request's body.
        status: HTTP status.
        headers: Headers that are sent again.
        body: The answer's body.
    """

    digest: str
    status: int
    headers: dict[str, str]
    body: bytes

    def make_response(self) -> responses.Response:
        """Returns the answer once more."""
        headers = {**self.headers, REPLAYED_HEADER: "true"}
        return responses.Response(self.body, self.status, headers)


class ResponseCache:
    """The latest answers by key, within a bound of memory."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: collections.OrderedDict[str, CachedResponse] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def put(
        self,
        wish: tickets.ClaimRequest | None,
        response: responses.Response,
    ) -> None:
        """Holds the answer to a request with a key, if it is small enough."""
        if wish is None or wish.key in self._held:
            return
        body = bytes(response.body)
        if len(body) > MAX_ANSWER_BYTES:
            return
        headers = {
            name: value
            for name, value in response.headers.items()
            if name != "content-length"
        }
        self._held[wish.key] = CachedResponse(
            wish.digest, response.status_code, headers, body
        )
        self._bytes += len(body)
        while self._bytes > self._max_bytes:
            _, dropped = self._held.popitem(last=False)
            self._bytes -= len(dropped.body)

    def find(self, wish: tickets.ClaimRequest | None) -> CachedResponse | None:
        """Returns the answer to the same request, if it is still held."""
        held = self._held.get(wish.key) if wish else None
        if held is None or wish is None or held.digest != wish.digest:
            return None
        return held

"""Field names of HTTP answers that say nothing about a backend server."""

from __future__ import annotations

STANDARD_RESPONSE_HEADERS = frozenset(
    {
        b"age",
        b"cache-control",
        b"connection",
        b"content-encoding",
        b"content-language",
        b"content-length",
        b"content-location",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"location",
        b"server",
        b"trailer",
        b"transfer-encoding",
        b"vary",
        b"via",
    }
)
"""Names registered for HTTP (RFC 9110, RFC 9111, RFC 9112), as far as answers
of backend servers usually have them."""

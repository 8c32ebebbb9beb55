"""Standard HTTP response headers, which carry no backend server hints."""

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
"""Names registered for HTTP (RFC 9110, RFC 9111, RFC 9112) that are common in
responses of backend servers."""

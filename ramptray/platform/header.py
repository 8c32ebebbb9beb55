"""The platform's HTTP headers of requests and responses."""

from __future__ import annotations

import collections
import logging
import re
import zlib
from collections.abc import Set

from result import Err, Ok, Result

from ramptray.relay import dialect, message, response_headers

LOG = logging.getLogger(__name__)

REQUEST_ID = b"x-request-id"
SIGNATURE = b"x-response-signature"
"""Set by replicas; forwarded like every header that is not named here."""

DEADLINE = b"x-deadline-ms"
_AUTHORIZATION = b"authorization"
_TOKEN_COUNT = b"x-token-count"
"""Two numbers: tokens of the prompt, and the maximum of generated tokens."""

_LENGTH_HINT = b"x-length-hint"
"""The caller's estimate of the generated tokens; often inaccurate."""

PROMPT_PREFIX = b"x-prompt-prefix"
_MODEL = b"x-model"
MAX_PREFIX_PARTS = 64
"""Maximum number of prompt parts that are used; the rest is ignored."""

MAX_PART_IDS = 256
"""Maximum number of prompt parts that are told apart; the rest is ignored."""

LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
"""Id of the attempt that brought the first event of a stream that its caller
resumes."""

MAX_RESUMES_BYTES = 256
"""Longest id that a caller may name, in bytes."""

CUSTOMER = b"x-tenant"
EXPECTED_BACKEND = b"x-expect-instance"
"""The intended replica; any other responds 421 without running the request."""

NOT_EXECUTED = b"x-not-executed"
SERVER_LIMIT = b"server-limit"
"""Requests per second that the replica accepts from all VMs together."""

SERVER_BRITTLE = b"server-brittle"
SERVER_LEAVING = b"server-leaving"
"""1 in every response of a replica that is leaving."""

RETRY_AFTER = b"retry-after"
"""Seconds for which a replica that rejected a request wants no requests from
this VM."""

_LEAVING_VALUE = b"1"
_KNOWN_RESPONSE_HEADERS = response_headers.STANDARD_RESPONSE_HEADERS | {
    REQUEST_ID,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    NOT_EXECUTED,
    RETRY_AFTER,
    SIGNATURE,
}
"""Response headers whose meaning is known here."""

MAX_LOGGED_NAMES = 32
"""Maximum number of unknown response headers that are logged."""

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_KEEP_ALIVE = b"keep-alive"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_STRIPPED_FROM_REQUESTS = frozenset(
    {
        EXPECTED_BACKEND,
        CUSTOMER,
        DEADLINE,
        _AUTHORIZATION,
        LAST_EVENT,
        b"kv-fetch",
        b"kv-from",
        b"x-expect-version",
        b"x-hold",
        b"x-kv-backup",
        b"x-pin-ms",
    }
)
_ALWAYS_FORWARDED = frozenset(
    {
        REQUEST_ID,
        _TOKEN_COUNT,
        _LENGTH_HINT,
        PROMPT_PREFIX,
        b"host",
        _MODEL,
        b"content-type",
    }
)
"""Headers that are forwarded even if ``Connection`` names them."""

_MISDIRECTED = 421
_UNAVAILABLE = 503
_BEARER = "bearer "


class PlatformDialect(dialect.Dialect):
    """Translates the platform's headers.

    Attributes:
        invalid: Number of responses with an invalid header, by header.
    """

    def __init__(self) -> None:
        self.invalid: collections.Counter[str] = collections.Counter()
        self._logged_unknown: set[bytes] = set()

    def parse_request(
        self, head: message.RequestHead
    ) -> Result[message.CallerRequest, message.InvalidRequest]:
        """See the base class."""
        names = [name.lower() for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            return Err(message.InvalidRequest(400, "two lengths of the body"))
        if names.count(REQUEST_ID) != 1:
            return Err(
                message.InvalidRequest(400, "x-request-id: exactly one wanted")
            )
        values = {name.lower(): value for name, value in head.headers}
        if names.count(RESUMES) > 1 or (
            len(values.get(RESUMES, b"")) > MAX_RESUMES_BYTES
        ):
            return Err(
                message.InvalidRequest(
                    400,
                    f"resumes: at most one, of {MAX_RESUMES_BYTES} bytes",
                )
            )
        prompt, output = _parse_token_counts(values.get(_TOKEN_COUNT))
        prefix, prefix_tokens = _parse_prefix(
            values.get(PROMPT_PREFIX, b""), values.get(_MODEL, b"")
        )
        deadline = _parse_int(values.get(DEADLINE))
        return Ok(
            message.CallerRequest(
                method=head.method,
                target=head.target,
                host=_parse_host(values.get(b"host", b"")),
                headers=_filter_headers(head.headers, _STRIPPED_FROM_REQUESTS),
                request_id=values[REQUEST_ID].decode("latin-1"),
                deadline_s=None if deadline is None else deadline / 1000,
                key=_parse_key(values.get(_AUTHORIZATION, b"")),
                prompt_tokens=prompt,
                output_tokens=output,
                likely_tokens=_parse_int(values.get(_LENGTH_HINT)),
                prefix=prefix,
                prefix_tokens=prefix_tokens,
                last_event=_decode_text(values.get(LAST_EVENT)),
                resumes=_decode_text(values.get(RESUMES)),
                part_ids=_parse_part_ids(
                    _list_values(head.headers, PROMPT_PREFIX)
                ),
            )
        )

    def make_headers(
        self, request: message.CallerRequest, attempt: message.Attempt
    ) -> message.Headers:
        """See the base class."""
        headers = [
            *request.headers,
            (b"X-Deadline-Ms", str(int(attempt.deadline_s * 1000)).encode()),
            (b"X-Expect-Instance", attempt.backend.encode()),
        ]
        if attempt.customer:
            headers.append((b"X-Tenant", attempt.customer.encode()))
        if attempt.last_event is not None:
            last = attempt.last_event.encode("latin-1")
            headers.append((b"Last-Event-Id", last))
        return headers

    def parse_response_head(
        self, status: int, headers: message.Headers
    ) -> message.ResponseHead:
        """See the base class."""
        values = {name.lower(): value for name, value in headers}
        self._log_unknown(values.keys(), status)
        return message.ResponseHead(
            status=status,
            headers=_filter_headers(headers, frozenset({NOT_EXECUTED})),
            request_id=_decode_text(values.get(REQUEST_ID)),
            not_run=NOT_EXECUTED in values or status == _MISDIRECTED,
            idle_s=_parse_keep_alive(values.get(_KEEP_ALIVE, b"")),
            limit_per_s=self._parse_decimal(headers, SERVER_LIMIT),
            is_leaving=SERVER_LEAVING in values
            and self._parse_leaving(headers),
            pause_s=(
                self._parse_decimal(headers, RETRY_AFTER)
                if status == _UNAVAILABLE
                else None
            ),
            max_refusals_per_s=self._parse_decimal(headers, SERVER_BRITTLE),
        )

    def _parse_decimal(
        self, headers: message.Headers, wanted: bytes
    ) -> float | None:
        """Returns the number in a header; None if missing or invalid."""
        found = _list_values(headers, wanted)
        if not found:
            return None
        value = found[0].strip()
        if len(found) == 1 and _DECIMAL.fullmatch(value):
            return float(value)
        self._record_invalid(wanted, found)
        return None

    def _parse_leaving(self, headers: message.Headers) -> bool:
        """Returns whether a response says that its replica is leaving."""
        found = _list_values(headers, SERVER_LEAVING)
        if all(value.strip() == _LEAVING_VALUE for value in found):
            return True
        self._record_invalid(SERVER_LEAVING, found)
        return False

    def _record_invalid(self, name: bytes, found: list[bytes]) -> None:
        text = name.decode()
        self.invalid[text] += 1
        # Logging only at powers of two bounds the number of lines.
        if self.invalid[text].bit_count() == 1:
            LOG.warning(
                "invalid header of an answer ignored",
                extra={
                    "header": text,
                    "values": [v[:32].decode("latin-1") for v in found[:4]],
                    "count": self.invalid[text],
                },
            )

    def _log_unknown(self, names: Set[bytes], status: int) -> None:
        """Logs each unknown response header once."""
        for name in names - _KNOWN_RESPONSE_HEADERS - self._logged_unknown:
            if len(self._logged_unknown) >= MAX_LOGGED_NAMES:
                return
            self._logged_unknown.add(name)
            LOG.info(
                "answer header without a reader",
                extra={
                    "header": name[:64].decode("latin-1"),
                    "status": status,
                },
            )

    def make_refusal_headers(
        self, request_id: str, retry_after_s: float
    ) -> message.Headers:
        """See the base class."""
        headers: message.Headers = []
        if request_id:
            headers.append((b"X-Request-Id", request_id.encode("latin-1")))
        if retry_after_s > 0:
            seconds = f"{retry_after_s:.3f}".encode()
            headers.append((b"Retry-After", seconds))
        return headers


def _filter_headers(
    headers: message.Headers, extra_names: frozenset[bytes]
) -> message.Headers:
    """Returns the headers to forward, without hop-by-hop and extra ones."""
    listed = b",".join(
        value for name, value in headers if name.lower() == b"connection"
    )
    named = {token.strip().lower() for token in listed.split(b",")}
    dropped = _HOP_BY_HOP | extra_names | (named - _ALWAYS_FORWARDED)
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def _list_values(headers: message.Headers, wanted: bytes) -> list[bytes]:
    return [value for name, value in headers if name.lower() == wanted]


def _parse_host(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].lower()


def _parse_key(value: bytes) -> str | None:
    text = value.decode("latin-1")
    if not text.lower().startswith(_BEARER):
        return None
    return text[len(_BEARER) :].strip()


def _parse_int(value: bytes | None) -> int | None:
    """Returns an integer; None if it is missing or invalid."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _parse_token_counts(value: bytes | None) -> tuple[int | None, int]:
    first, _, second = (value or b"").partition(b",")
    return _parse_int(first), _parse_int(second) or 0


def _parse_prefix(
    value: bytes, model: bytes
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Parses the prompt's parts, each ID:TOKENS, for one model.

    The parts after an invalid one are ignored: a part is only meaningful after
    all those before it.

    Returns:
        The chained hash and the tokens of each part.
    """
    chained = zlib.crc32(model)
    hashes: list[int] = []
    sizes: list[int] = []
    for part in value.split(b",")[:MAX_PREFIX_PARTS]:
        tokens = _parse_int(part.rpartition(b":")[2])
        if tokens is None:
            break
        chained = zlib.crc32(part.strip(), chained)
        hashes.append(chained)
        sizes.append(tokens)
    return tuple(hashes), tuple(sizes)


def _parse_part_ids(values: list[bytes]) -> tuple[str, ...]:
    """Returns the id of each part of the prompt, in order.

    Unlike the hash of a part, its id does not depend on the parts before it.
    """
    parts = b",".join(values).decode("latin-1").split(",")[:MAX_PART_IDS]
    ids = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(part_id for part_id in ids if part_id)


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_keep_alive(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout":
            number = _parse_int(seconds)
            return None if number is None else float(number)
    return None

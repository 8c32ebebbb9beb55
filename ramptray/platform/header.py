"""Requests and answers as the platform spells them in HTTP headers."""

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
"""Set by replicas; it travels on like all headers that are not named here."""

DEADLINE = b"x-deadline-ms"
_KEY = b"authorization"
_SIZES = b"x-token-count"
"""Two numbers: tokens of the prompt, and the most that may be generated."""

_LIKELY = b"x-length-hint"
"""The caller's guess of the tokens generated; often far off."""

_PARTS = b"x-prompt-prefix"
_MODEL = b"x-model"
MAX_PREFIX_PARTS = 64
"""Longest list of prompt parts that is used; the rest is dropped."""

LAST_EVENT = b"last-event-id"
CUSTOMER = b"x-tenant"
EXPECTED_BACKEND = b"x-expect-instance"
"""The replica that is meant; every other one answers 421 and runs nothing."""

NOT_EXECUTED = b"x-not-executed"
SERVER_LIMIT = b"server-limit"
"""Requests a second that the replica accepts from all VMs together."""

SERVER_LEAVING = b"server-leaving"
"""1 in each answer of a replica that is leaving."""

RETRY_AFTER = b"retry-after"
"""Seconds for which a replica that turned a request away wants nothing from
this VM."""

_LEAVING_VALUE = b"1"
_ANSWER_NAMES = response_headers.STANDARD_RESPONSE_HEADERS | {
    REQUEST_ID,
    SERVER_LEAVING,
    SERVER_LIMIT,
    NOT_EXECUTED,
    RETRY_AFTER,
    SIGNATURE,
}
"""Header names of answers whose meaning is known here."""

MAX_LOGGED_NAMES = 32
"""Unknown header names of answers that are logged at most."""

_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_KEEP_ALIVE = b"keep-alive"

_OF_ONE_CONNECTION = frozenset(
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
_SET_BY_US = frozenset(
    {
        EXPECTED_BACKEND,
        CUSTOMER,
        DEADLINE,
        _KEY,
        LAST_EVENT,
        b"kv-fetch",
        b"kv-from",
        b"x-expect-version",
        b"x-hold",
        b"x-kv-backup",
        b"x-pin-ms",
    }
)
_END_TO_END = frozenset(
    {REQUEST_ID, _SIZES, _LIKELY, _PARTS, b"host", _MODEL, b"content-type"}
)
"""Headers that travel on even if the caller ties them to its connection."""

_MISDIRECTED = 421
_UNAVAILABLE = 503
_BEARER = "bearer "


class PlatformDialect(dialect.Dialect):
    """The platform's headers.

    Attributes:
        invalid: Answers with a header that could not be decoded, by its name.
    """

    def __init__(self) -> None:
        self.invalid: collections.Counter[str] = collections.Counter()
        self._unknown: set[bytes] = set()

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
        prompt, output = _read_sizes(values.get(_SIZES))
        prefix, prefix_tokens = _read_prefix(
            values.get(_PARTS, b""), values.get(_MODEL, b"")
        )
        deadline = _read_int(values.get(DEADLINE))
        return Ok(
            message.CallerRequest(
                method=head.method,
                target=head.target,
                host=_read_host(values.get(b"host", b"")),
                headers=_leave_out(head.headers, _SET_BY_US),
                request_id=values[REQUEST_ID].decode("latin-1"),
                deadline_s=None if deadline is None else deadline / 1000,
                key=_read_key(values.get(_KEY, b"")),
                prompt_tokens=prompt,
                output_tokens=output,
                likely_tokens=_read_int(values.get(_LIKELY)),
                prefix=prefix,
                prefix_tokens=prefix_tokens,
                last_event=_read_text(values.get(LAST_EVENT)),
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
        self._note_unknown(values.keys(), status)
        return message.ResponseHead(
            status=status,
            headers=_leave_out(headers, frozenset({NOT_EXECUTED})),
            request_id=_read_text(values.get(REQUEST_ID)),
            not_run=NOT_EXECUTED in values or status == _MISDIRECTED,
            idle_s=_read_keep_alive(values.get(_KEEP_ALIVE, b"")),
            limit_per_s=self._read_decimal(headers, SERVER_LIMIT),
            is_leaving=SERVER_LEAVING in values and self._read_leaving(headers),
            pause_s=(
                self._read_decimal(headers, RETRY_AFTER)
                if status == _UNAVAILABLE
                else None
            ),
        )

    def _read_decimal(
        self, headers: message.Headers, wanted: bytes
    ) -> float | None:
        """Returns the number in a header; None for none or invalid."""
        found = _list_values(headers, wanted)
        if not found:
            return None
        value = found[0].strip()
        if len(found) == 1 and _DECIMAL.fullmatch(value):
            return float(value)
        self._note_invalid(wanted, found)
        return None

    def _read_leaving(self, headers: message.Headers) -> bool:
        """Returns whether an answer says that its replica is leaving."""
        found = _list_values(headers, SERVER_LEAVING)
        if all(value.strip() == _LEAVING_VALUE for value in found):
            return True
        self._note_invalid(SERVER_LEAVING, found)
        return False

    def _note_invalid(self, name: bytes, found: list[bytes]) -> None:
        text = name.decode()
        self.invalid[text] += 1
        # One line for each doubling bounds the log.
        if self.invalid[text].bit_count() == 1:
            LOG.warning(
                "invalid header of an answer ignored",
                extra={
                    "header": text,
                    "values": [v[:32].decode("latin-1") for v in found[:4]],
                    "count": self.invalid[text],
                },
            )

    def _note_unknown(self, names: Set[bytes], status: int) -> None:
        """Logs each header name of answers that nothing here reads, once."""
        for name in names - _ANSWER_NAMES - self._unknown:
            if len(self._unknown) >= MAX_LOGGED_NAMES:
                return
            self._unknown.add(name)
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


def _leave_out(
    headers: message.Headers, further: frozenset[bytes]
) -> message.Headers:
    """Returns the headers that travel on."""
    listed = b",".join(
        value for name, value in headers if name.lower() == b"connection"
    )
    named = {token.strip().lower() for token in listed.split(b",")}
    dropped = _OF_ONE_CONNECTION | further | (named - _END_TO_END)
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def _list_values(headers: message.Headers, wanted: bytes) -> list[bytes]:
    return [value for name, value in headers if name.lower() == wanted]


def _read_host(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].lower()


def _read_key(value: bytes) -> str | None:
    text = value.decode("latin-1")
    if not text.lower().startswith(_BEARER):
        return None
    return text[len(_BEARER) :].strip()


def _read_int(value: bytes | None) -> int | None:
    """Returns a whole number, or None for none or for something else."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _read_sizes(value: bytes | None) -> tuple[int | None, int]:
    first, _, second = (value or b"").partition(b",")
    return _read_int(first), _read_int(second) or 0


def _read_prefix(
    value: bytes, model: bytes
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Returns the prompt's parts, each ID:TOKENS, for one model's weights.

    What follows a part that makes no sense is left out: a part counts only
    behind all those before it.

    Returns:
        The chained hash of each part, and its tokens.
    """
    chained = zlib.crc32(model)
    hashes: list[int] = []
    sizes: list[int] = []
    for part in value.split(b",")[:MAX_PREFIX_PARTS]:
        tokens = _read_int(part.rpartition(b":")[2])
        if tokens is None:
            break
        chained = zlib.crc32(part.strip(), chained)
        hashes.append(chained)
        sizes.append(tokens)
    return tuple(hashes), tuple(sizes)


def _read_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _read_keep_alive(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout":
            number = _read_int(seconds)
            return None if number is None else float(number)
    return None

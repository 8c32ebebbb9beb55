"""Parses callers' requests: customer, tier, deadline and sizes."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from ramptray import decoding, wallclock
from ramptray.bundle import model
from ramptray.core import membership, message, prefix
from ramptray.entry import ticket as tickets

TIER_HEADER = "x-ramptray-tier"
DEADLINE_HEADER = "x-ramptray-deadline-s"
KEY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 200
TIMESTAMPED_UUID_VERSION = 7
"""Version of UUIDs that begin with their creation time."""

UUID_TIME_SHIFT = 80
"""Number of bits after the 48 bits of milliseconds in such a UUID."""

DEFAULT_OUTPUT_TOKENS = 256
"""Output tokens assumed for a request without a limit."""

PLAIN_COST_TOKENS = 16
"""Cost of a call to a plain service, in tokens."""


class InvalidRequest(msgspec.Struct, frozen=True):
    """Reason for which a request is rejected as invalid."""

    status: int
    code: str
    text: str
    outcome: message.Outcome = message.Outcome.NOT_RUN


class ParsedRequest(msgspec.Struct, frozen=True):
    """A valid request.

    Attributes:
        info: What the scheduler needs to know of the request.
        claim_request: The claim to make first, if the request has an
            idempotency key.
    """

    info: message.RequestInfo
    claim_request: tickets.ClaimRequest | None


def find_customer(
    bundle: model.Bundle, headers: Mapping[str, str]
) -> Result[str, InvalidRequest]:
    """Returns the customer whose bearer key the request carries."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    customer = bundle.get_customer_by_key(key.strip())
    if scheme.lower() != "bearer" or customer is None:
        text = "a bearer key of a customer is needed"
        return Err(InvalidRequest(401, "invalid_api_key", text))
    return Ok(customer)


def parse_body(
    body: bytes,
) -> Result[dict[str, Any], InvalidRequest]:
    """Parses the body of a completion request."""
    try:
        parsed = decoding.decode_json(body, Any)
    except decoding.DecodeError as error:
        return Err(InvalidRequest(400, "invalid_json", f"body: {error}"))
    if not isinstance(parsed, dict):
        return Err(
            InvalidRequest(400, "invalid_json", "body: expected an object")
        )
    max_tokens = parsed.get("max_tokens", parsed.get("max_completion_tokens"))
    if max_tokens is not None and (
        not isinstance(max_tokens, int) or max_tokens < 1
    ):
        text = f"max_tokens: expected a positive number, found {max_tokens!r}"
        return Err(InvalidRequest(400, "invalid_value", text))
    return Ok(parsed)


def read_model_request(
    bundle: model.Bundle,
    zone: str,
    customer: str,
    headers: Mapping[str, str],
    parsed: dict[str, Any],
    prompt: str,
    request_id: str,
    body: bytes,
) -> Result[ParsedRequest, InvalidRequest]:
    """Parses a completion request."""
    service = parsed.get("model")
    definition = (
        bundle.services.get(service) if isinstance(service, str) else None
    )
    if definition is None or definition.kind is not model.ServiceKind.MODEL:
        text = f"model: {service!r} is not a model service"
        return Err(
            InvalidRequest(404, message.Reason.UNKNOWN_SERVICE.value, text)
        )
    max_tokens = parsed.get("max_tokens", parsed.get("max_completion_tokens"))
    blocks = prefix.hash_blocks(prompt)
    seed = str(blocks[0]) if blocks else customer
    info = message.RequestInfo(
        request_id,
        message.ShardKey(
            zone,
            str(service),
            membership.get_shard_number(seed, definition.shards),
        ),
        customer,
        tier="",
        prompt_tokens=prefix.count_tokens(prompt),
        output_tokens=max_tokens or DEFAULT_OUTPUT_TOKENS,
        prefix=blocks,
        deadline_s=0.0,
    )
    return _apply_headers(bundle, info, headers, body)


def read_plain_request(
    bundle: model.Bundle,
    zone: str,
    customer: str,
    headers: Mapping[str, str],
    service: str,
    request_id: str,
    body: bytes,
) -> Result[ParsedRequest, InvalidRequest]:
    """Parses a call to a plain service."""
    definition = bundle.services.get(service)
    if definition is None or definition.kind is not model.ServiceKind.PLAIN:
        text = f"{service!r} is not a plain service"
        return Err(
            InvalidRequest(404, message.Reason.UNKNOWN_SERVICE.value, text)
        )
    info = message.RequestInfo(
        request_id,
        message.ShardKey(
            zone,
            service,
            membership.get_shard_number(request_id, definition.shards),
        ),
        customer,
        tier="",
        prompt_tokens=PLAIN_COST_TOKENS,
        output_tokens=0,
        prefix=(),
        deadline_s=0.0,
    )
    return _apply_headers(bundle, info, headers, body)


def _apply_headers(
    bundle: model.Bundle,
    info: message.RequestInfo,
    headers: Mapping[str, str],
    body: bytes,
) -> Result[ParsedRequest, InvalidRequest]:
    allowed = bundle.customers[info.customer].tiers
    tier = headers.get(TIER_HEADER, allowed[0])
    if tier not in allowed:
        text = f"{TIER_HEADER}: {tier!r} is not one of {allowed}"
        return Err(InvalidRequest(403, "tier_not_allowed", text))
    deadline_s = _parse_deadline(headers, bundle.tiers[tier].deadline_s)
    if deadline_s is None:
        text = f"{DEADLINE_HEADER}: expected a positive number of seconds"
        return Err(InvalidRequest(400, "invalid_value", text))
    info = msgspec.structs.replace(info, tier=tier, deadline_s=deadline_s)
    key = headers.get(KEY_HEADER)
    if key is None:
        return Ok(ParsedRequest(info, None))
    if not key or len(key) > MAX_KEY_CHARS:
        text = f"{KEY_HEADER}: expected 1 to {MAX_KEY_CHARS} characters"
        return Err(InvalidRequest(400, "invalid_value", text))
    if _is_expired(key, bundle.claim_window_s):
        text = f"{KEY_HEADER}: older than {bundle.claim_window_s:g} s"
        reason = message.Reason.KEY_EXPIRED.value
        return Err(InvalidRequest(409, reason, text, message.Outcome.UNKNOWN))
    return Ok(ParsedRequest(info, _make_claim_request(info, key, body)))


def _is_expired(key: str, window_s: float) -> bool:
    """Returns whether a key with a known creation time is too old.

    Only UUIDs of version 7 carry their creation time; others never expire
    here.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return False
    if parsed.version != TIMESTAMPED_UUID_VERSION:
        return False
    created_ms = parsed.int >> UUID_TIME_SHIFT
    return wallclock.read() / 1000 - created_ms > window_s * 1000


def _parse_deadline(
    headers: Mapping[str, str], default_s: float
) -> float | None:
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return default_s
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 < seconds <= 86400 else None


def _make_claim_request(
    info: message.RequestInfo, key: str, body: bytes
) -> tickets.ClaimRequest:
    name = f"{info.customer}\n{info.shard.service}\n{key}"
    return tickets.ClaimRequest(
        hashlib.sha256(name.encode()).hexdigest()[:32],
        hashlib.sha256(body).hexdigest()[:32],
    )

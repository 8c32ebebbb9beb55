"""Encodes and decodes bundle records of the platform's log."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray import decoding
from ramptray.bundle import acceptance, delta, signature

STREAM = "bundles"
"""Name of the log stream that holds bundle records."""


def make_rollout(
    envelope: signature.Envelope, base: signature.Envelope | None
) -> acceptance.Rollout | acceptance.DeltaRollout:
    """Returns the smaller record that puts a bundle in force.

    Args:
        envelope: The signed bundle.
        base: The bundle it replaces, if known.
    """
    if base is None:
        return acceptance.Rollout(envelope)
    bundle_delta = delta.make_delta(base.text, envelope.text)
    if len(bundle_delta) > len(envelope.text) // 2:
        return acceptance.Rollout(envelope)
    return acceptance.DeltaRollout(
        base.digest, envelope.digest, bundle_delta, envelope.signatures
    )


def format_record(record: acceptance.Record) -> dict[str, Any]:
    """Returns the JSON body under which a record is stored in the log."""
    if isinstance(record, acceptance.DeltaRollout):
        return msgspec.structs.asdict(record)
    body: dict[str, Any] = {
        "text": record.envelope.text,
        "signatures": record.envelope.signatures,
    }
    if isinstance(record, acceptance.Checkpoint):
        body["through_offset"] = record.through_offset
    return body


def parse_record(body: dict[str, Any]) -> acceptance.Record | None:
    """Returns the record of a JSON body, or None if it is not valid."""
    try:
        with decoding.translate_errors():
            return _convert_record(body)
    except decoding.DecodeError:
        return None


def _convert_record(body: dict[str, Any]) -> acceptance.Record:
    if "delta" in body:
        return msgspec.convert(body, acceptance.DeltaRollout)
    envelope = msgspec.convert(
        {key: body[key] for key in ("text", "signatures")},
        signature.Envelope,
    )
    if "through_offset" not in body:
        return acceptance.Rollout(envelope)
    return acceptance.Checkpoint(envelope, int(body["through_offset"]))

"""Records of bundles as they stand in the platform's log."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray.bundle import acceptance, delta, signature

STREAM = "bundles"
"""Name of the stream that holds them."""


def make_rollout(
    envelope: signature.Envelope, base: signature.Envelope | None
) -> acceptance.Rollout | acceptance.DeltaRollout:
    """Returns the smaller record that puts a bundle in force.

    Args:
        envelope: The signed bundle.
        base: The bundle it replaces, if that is known.
    """
    if base is None:
        return acceptance.Rollout(envelope)
    difference = delta.make_delta(base.text, envelope.text)
    if len(difference) > len(envelope.text) // 2:
        return acceptance.Rollout(envelope)
    return acceptance.DeltaRollout(
        base.digest, envelope.digest, difference, envelope.signatures
    )


def format_record(record: acceptance.Record) -> dict[str, Any]:
    """Returns a record as it stands in the log."""
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
    """Returns the record that stands in the log, if it is one."""
    try:
        if "delta" in body:
            return msgspec.convert(body, acceptance.DeltaRollout)
        envelope = msgspec.convert(
            {key: body[key] for key in ("text", "signatures")},
            signature.Envelope,
        )
        if "through_offset" not in body:
            return acceptance.Rollout(envelope)
        return acceptance.Checkpoint(envelope, int(body["through_offset"]))
    except (KeyError, ValueError, TypeError, msgspec.ValidationError):
        return None

"""Tests validation, signatures, deltas and checkpoints of bundles."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ramptray.bundle import acceptance, delta, model, parsing, signature
from ramptray.bundle import record as bundle_record

PRIVATE = {name: signature.make_private_key() for name in ("anna", "bela")}
PUBLIC = {name: signature.get_public_key(key) for name, key in PRIVATE.items()}


def make_bundle_text(generation: int, base: str | None, **fields: Any) -> str:
    body = {
        "generation": generation,
        "base": base,
        "operators": {"keys": PUBLIC, "signatures_required": 2},
        "zones": ["waw-a"],
        "tiers": {"urgent": {"order": 0, "deadline_s": 1}},
        "customers": {
            f"customer-{n}": {
                "key_hashes": [f"sha256:{n:064x}"],
                "tiers": ["urgent"],
            }
            for n in range(200)
        },
        "services": {"assistant": {"kind": "model"}},
        "engines": {"fast": {"max_running": 8}},
        "backend_servers": {},
    }
    return json.dumps({**body, **fields}, indent=1)


def make_signed(text: str, *operators: str) -> signature.Envelope:
    envelope = signature.Envelope(text, {})
    for operator in operators:
        envelope = signature.sign(envelope, operator, PRIVATE[operator])
    return envelope


FIRST = make_signed(make_bundle_text(1, None), "anna", "bela")
SECOND = make_signed(
    make_bundle_text(2, FIRST.digest, claim_window_s=60), "anna", "bela"
)


def make_tracker() -> acceptance.RolloutLogTracker:
    trust = model.Operators(keys=PUBLIC, signatures_required=2)
    return acceptance.RolloutLogTracker(trust)


def test_small_change_makes_a_small_delta_that_is_accepted() -> None:
    record = bundle_record.make_rollout(SECOND, FIRST)
    assert isinstance(record, acceptance.DeltaRollout)
    body = bundle_record.format_record(record)
    assert len(json.dumps(body)) < len(SECOND.text) / 10
    tracker = make_tracker()
    tracker.apply(0, acceptance.Rollout(FIRST))
    parsed = bundle_record.parse_record(body)
    assert parsed == record
    assert tracker.apply(1, parsed) is acceptance.RolloutStatus.ACCEPTED
    assert tracker.in_force is not None
    assert tracker.in_force.envelope == SECOND


def test_delta_to_another_base_is_rejected() -> None:
    record = bundle_record.make_rollout(SECOND, FIRST)
    assert isinstance(record, acceptance.DeltaRollout)
    tracker = make_tracker()
    assert tracker.apply(0, record) is acceptance.RolloutStatus.WRONG_BASE
    tracker.apply(1, acceptance.Rollout(FIRST))
    last = "1" if FIRST.digest.endswith("0") else "0"
    forged = msgspec.structs.replace(record, digest=FIRST.digest[:-1] + last)
    assert tracker.apply(2, forged) is acceptance.RolloutStatus.INVALID
    broken = msgspec.structs.replace(record, delta="AAAA", digest="sha256:0")
    assert tracker.apply(3, broken) is acceptance.RolloutStatus.INVALID


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=400), st.text(max_size=400))
def test_delta_reproduces_the_text(base: str, changed: str) -> None:
    assert delta.apply_delta(base, delta.make_delta(base, changed)) == changed


def test_too_few_signatures_are_rejected() -> None:
    tracker = make_tracker()
    signed_by_one = make_signed(make_bundle_text(1, None), "anna")
    status = tracker.apply(0, acceptance.Rollout(signed_by_one))
    assert status is acceptance.RolloutStatus.BAD_SIGNATURE
    altered = msgspec.structs.replace(FIRST, text=FIRST.text + " ")
    status = tracker.apply(1, acceptance.Rollout(altered))
    assert status is acceptance.RolloutStatus.BAD_SIGNATURE
    assert tracker.in_force is None


def test_deltas_after_a_checkpoint_are_replayed() -> None:
    record = bundle_record.make_rollout(SECOND, FIRST)
    tracker = make_tracker()
    tracker.skip_to(5)
    tracker.apply(5, record)
    assert tracker.in_force is None
    tracker.apply(6, acceptance.Checkpoint(FIRST, 4))
    assert tracker.in_force is not None
    assert tracker.in_force.envelope == SECOND


def test_all_violations_are_reported_with_their_paths() -> None:
    raw = """// a comment
    {"generation": 0, "operators": {"keys": {}}, "zones": ["Waw"],
     "tiers": {"a": {"order": 0, "deadline_s": -1}}, "surplus": 1,
     "customers": {}, "services": {}, "engines": {}, "backend_servers": {}}"""
    match parsing.parse_bundle(raw):
        case Ok(_):
            pytest.fail("accepted")
        case Err(violations):
            paths = {violation.path for violation in violations}
    assert paths == {
        "generation",
        "operators.keys",
        "zones.0",
        "tiers.a.deadline_s",
        "surplus",
    }


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"tiers": {}}, "tiers"),
        (
            {
                "tiers": {
                    "urgent": {"order": 0, "deadline_s": 1},
                    "late": {"order": 0, "deadline_s": 1},
                }
            },
            "tiers.urgent.order",
        ),
        (
            {
                "backend_servers": {
                    "e": {
                        "zone": "nowhere",
                        "service": "assistant",
                        "engine": "fast",
                        "url": "http://127.0.0.1:1",
                    }
                }
            },
            "backend_servers.e.zone",
        ),
        (
            {"operators": {"keys": PUBLIC, "signatures_required": 3}},
            "operators.signatures_required",
        ),
        (
            {
                "customers": {
                    "ola": {
                        "key_hashes": ["sha256:" + "0" * 64],
                        "tiers": ["gold"],
                    }
                }
            },
            "customers.ola.tiers.0",
        ),
        (
            {
                "customers": {
                    "ola": {
                        "key_hashes": ["sha256:" + "0" * 64],
                        "tiers": ["urgent"],
                        "limits": {"requests_per_s": 0.5},
                    }
                }
            },
            "customers.ola.limits.requests_per_s",
        ),
    ],
)
def test_invalid_bundle_is_rejected(changes: dict[str, Any], path: str) -> None:
    match parsing.parse_bundle(make_bundle_text(1, None, **changes)):
        case Ok(_):
            pytest.fail("accepted")
        case Err(violations):
            assert path in {violation.path for violation in violations}


def test_an_empty_key_identifies_no_customer() -> None:
    # Requests without a key would be taken for those of this customer.
    listed = {
        "key_hashes": [model.hash_key(""), model.hash_key("key")],
        "tiers": ["urgent"],
    }
    text = make_bundle_text(1, None, customers={"listed": listed})
    bundle = parsing.parse_bundle(text).unwrap()
    assert bundle.get_customer_by_key("key") == "listed"
    assert bundle.get_customer_by_key("") is None

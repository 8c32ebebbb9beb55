"""Checks that names of the platform appear only in its adapter."""

from __future__ import annotations

import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
NAMES = [
    "apiKeys",
    "canaryShare",
    "coldMs",
    "coldPerS",
    "evacuate/",
    "hasMore",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "keyed.",
    "kv-from",
    "kvTokens",
    "log-append",
    "log-newest",
    "log-read",
    "maxAttempts",
    "pathPrefix",
    "quotaSlack",
    "RAMPTRAY_CONFIG",
    "ratePerS",
    "retryBudgetSlack",
    "targetLatencyMs",
    "targetVersion",
    "tlsKey",
    "trafficSplit",
    "uncachedTokens",
    "waitMs",
    "/v1/ready",
    "x-deadline-ms",
    "x-expect-instance",
    "x-length-hint",
    "x-not-executed",
    "x-prompt-prefix",
    "x-response-signature",
    "x-tenant",
    "x-token-count",
]
SOURCES = sorted(
    path
    for folder in ("ramptray", "bench", "spec")
    for path in (ROOT / folder).rglob("*.py")
    if ROOT / "ramptray" / "platform" not in path.parents
)


@pytest.mark.parametrize("name", NAMES)
def test_name_appears_only_in_adapter(name: str) -> None:
    found = [
        str(path.relative_to(ROOT))
        for path in SOURCES
        if name.lower() in path.read_text().lower()
    ]
    assert found == []


def test_adapter_is_small() -> None:
    adapter = ROOT / "ramptray" / "platform"
    own = sum(len(p.read_text().splitlines()) for p in adapter.glob("*.py"))
    rest = sum(len(p.read_text().splitlines()) for p in SOURCES)
    assert own < rest / 8

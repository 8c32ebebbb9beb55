"""End-to-end requests through real processes, as an ordinary caller."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
import uuid
from typing import Any

import openai
import pytest

from bench import deployment
from ramptray.standin.engine import batch


def call(
    url: str, body: Any, key: str = "key-salon-ola", **headers: str
) -> tuple[int, Any, Any]:
    """Returns status, headers and JSON body of a POST."""
    request = urllib.request.Request(
        url,
        json.dumps(body).encode(),
        {"authorization": f"Bearer {key}", **headers},
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return answer.status, answer.headers, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.load(error)


def make_client(running: deployment.Deployment) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=running.entries[0].url + "/v1",
        api_key="key-salon-ola",
        max_retries=0,
    )


def test_openai_client_streams_its_complete_answer(
    running: deployment.Deployment,
) -> None:
    stream = make_client(running).chat.completions.create(
        model="assistant",
        messages=[{"role": "user", "content": "VAT on haircuts?"}],
        max_tokens=12,
        stream=True,
    )
    text = "".join(c.choices[0].delta.content or "" for c in stream)
    prompt = "user: VAT on haircuts?\n"
    tag = batch.tag_prompt(prompt)
    count = batch.draw_output_tokens(prompt, 12)
    assert text == "".join(f"{tag}-{n} " for n in range(1, count + 1))


def test_openai_client_gets_a_complete_answer_and_the_models(
    running: deployment.Deployment,
) -> None:
    client = make_client(running)
    answer = client.completions.create(
        model="assistant", prompt="hello", max_tokens=4
    )
    tag = batch.tag_prompt("hello")
    assert answer.choices[0].text.startswith(f"{tag}-1 ")
    assert answer.usage is not None
    assert [m.id for m in client.models.list()] == ["assistant"]


@pytest.mark.parametrize(
    ("body", "key", "headers", "status", "code"),
    [
        ({"model": "assistant"}, "wrong", {}, 401, "invalid_api_key"),
        ({"model": "nobody"}, None, {}, 404, "unknown_service"),
        ([], None, {}, 400, "invalid_json"),
        (
            {"model": "assistant", "max_tokens": -1},
            None,
            {},
            400,
            "invalid_value",
        ),
        (
            {"model": "assistant"},
            None,
            {"x-ramptray-tier": "gold"},
            403,
            "tier_not_allowed",
        ),
    ],
)
def test_invalid_requests_are_refused(
    running: deployment.Deployment,
    body: Any,
    key: str | None,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    got, _, answer = call(
        running.entries[0].url + "/v1/chat/completions",
        body,
        key or "key-salon-ola",
        **headers,
    )
    assert (got, answer["error"]["code"]) == (status, code)
    assert answer["error"]["outcome"] == "not_run"


def test_a_zone_without_the_service_forwards_requests(
    running: deployment.Deployment,
) -> None:
    elsewhere = running.processes["entry/waw-b-vm1"].url
    deadline = {"x-ramptray-deadline-s": "5"}
    got = call(elsewhere + "/services/portal/ping", {}, **deadline)
    assert (got[0], got[2]["service"]) == (200, "portal-1")


def test_a_plain_service_runs_an_idempotency_key_once(
    running: deployment.Deployment,
) -> None:
    url = running.entries[0].url + "/services/portal/invoices?draft=no"
    first = call(url, {"n": 1}, **{"idempotency-key": "invoice-1"})
    again = call(url, {"n": 1}, **{"idempotency-key": "invoice-1"})
    other = call(url, {"n": 2}, **{"idempotency-key": "invoice-1"})
    assert (first[0], first[2]["run"]) == (200, 1)
    assert first[2]["query"] == "draft=no"
    assert (again[0], again[2]) == (200, first[2])
    assert again[1]["x-ramptray-replayed"] == "true"
    elsewhere = running.entries[1].url + "/services/portal/invoices?draft=no"
    there = call(elsewhere, {"n": 1}, **{"idempotency-key": "invoice-1"})
    assert (there[0], there[2]["error"]["reason"]) == (409, "key_done")
    assert (other[0], other[2]["error"]["reason"]) == (422, "key_reused")
    ledger = running.get("service/portal-1", "/ledger")
    assert ledger["runs_by_key"]["invoice-1"] == 1


def test_an_expired_uuid7_key_is_refused(
    running: deployment.Deployment,
) -> None:
    url = running.entries[0].url + "/services/portal/invoices"
    now_ms = time.time_ns() // 1_000_000
    answers = [
        call(url, {}, **{"idempotency-key": make_uuid7(now_ms - age_s * 1000)})
        for age_s in (10, 7200)
    ]
    assert answers[0][0] == 200
    error = answers[1][2]["error"]
    assert (answers[1][0], error["reason"]) == (409, "key_expired")
    assert error["outcome"] == "unknown"


def make_uuid7(made_ms: int) -> str:
    """Returns a version 7 UUID with the given creation time."""
    low = (7 << 76) | (2 << 62) | (made_ms & 0xFFFFFF)
    return str(uuid.UUID(int=(made_ms << 80) | low))

"""Callers that do not behave must not take an entry's memory or its time.

Guards against this failure: bodies without their last byte took 945 MB of an
entry, and chunks of two bytes kept it from answering anyone, also after their
senders had left.
"""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest

from bench import deployment
from test import crowd

pytestmark = pytest.mark.alone

MEMORY_MB = 300
"""Memory of a VM of the users' platform."""

MAX_DESCRIPTORS = 4100
CALLERS = 300
PRESSED_S = 4.0
SEED = 92
BODY_BYTES = 4 << 20
"""Largest body that an entry's settings allow unless they say otherwise."""

HEAD_BYTES = 32 * 1024

PLAN = deployment.Plan(
    zones={"waw-a": 1},
    engines=[
        deployment.EngineSpec("fast-1", "waw-a", "assistant", "fast"),
    ],
    plain=[("portal-1", "waw-a", "portal")],
    tiers=[("urgent", 10.0)],
    customers={"salon-ola": ["urgent"]},
    controllers=False,
)


@pytest.fixture
def running() -> Iterator[deployment.Deployment]:
    """A deployment whose entry has met no caller yet."""
    with deployment.run_deployment(PLAN) as started:
        yield started


def make_head(*lines: str, method: str = "POST", path: str = "") -> bytes:
    """Returns the head of a request."""
    return "\r\n".join(
        (
            f"{method} {path or '/v1/chat/completions'} HTTP/1.1",
            "Host: entry",
            "Authorization: Bearer key-salon-ola",
            "Content-Type: application/json",
            *lines,
            "",
            "",
        )
    ).encode()


def make_full_head(*lines: str) -> bytes:
    """Returns a head with nearly as many small headers as may be."""
    small = (HEAD_BYTES - 1_000 - len(make_head(*lines))) // len("a:b\r\n")
    return make_head(*lines, *("a:b" for _ in range(small)))


CHUNKED = "Transfer-Encoding: chunked"
LACKING = f"Content-Length: {BODY_BYTES}"
MODELS = make_head(method="GET", path="/v1/models")
COMPLETION = json.dumps(
    {
        "model": "assistant",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "good day"}],
    }
).encode()
LISTS = b'{"model": "assistant", "x": [' + b"[]," * 65_000 + b"[]]}"
"""A body that takes some 25 times its size once it is parsed."""

BEHAVIOURS: dict[str, crowd.Behaviour] = {
    "length_far_over_the_limit": crowd.Behaviour(
        make_head("Content-Length: 1000000000"), b"x" * 65_536
    ),
    "chunks_without_end": crowd.Behaviour(
        make_head(CHUNKED), crowd.make_chunk(16_384)
    ),
    "body_without_its_last_byte": crowd.Behaviour(
        make_head(LACKING) + b"x" * (BODY_BYTES - 1)
    ),
    "large_chunks_that_stop": crowd.Behaviour(
        make_head(CHUNKED)
        + crowd.make_chunk(16_384) * (BODY_BYTES // 16_384 - 1)
    ),
    "two_byte_chunks_that_stop": crowd.Behaviour(
        make_head(CHUNKED) + crowd.make_chunk(2) * (1 << 19)
    ),
    "extensions": crowd.Behaviour(
        make_head(CHUNKED), crowd.make_chunk(1, ";a=" + "b" * 4_000)
    ),
    "trailers_without_end": crowd.Behaviour(
        make_head(CHUNKED) + b"0\r\n", b"a:b\r\n" * 1_000
    ),
    "small_headers": crowd.Behaviour(
        make_full_head("Content-Length: 100") + b"x" * 99
    ),
    "heads_without_end": crowd.Behaviour(make_full_head()[:-2], trickled=b"a"),
    "whole_bodies_without_a_key": crowd.Behaviour(
        make_head(LACKING).replace(b"key-salon-ola", b"unknown")
        + b"x" * BODY_BYTES
    ),
    "whole_bodies_of_lists": crowd.Behaviour(
        make_head(f"Content-Length: {len(LISTS)}") + LISTS
    ),
    "answers_never_read": crowd.Behaviour(MODELS, MODELS * 10, reads=False),
    "requests_sent_ahead": crowd.Behaviour(MODELS, MODELS * 100),
}


def is_answered(address: str, request: bytes) -> bool:
    """Returns whether an ordinary caller gets its answer in the end."""
    return crowd.is_answered(lambda: crowd.exchange(address, request))


def make_completion(body: bytes) -> bytes:
    return make_head(f"Content-Length: {len(body)}") + body


@pytest.mark.parametrize("kind", BEHAVIOURS)
def test_a_crowd_leaves_an_entry_its_memory_and_its_callers(
    running: deployment.Deployment, kind: str
) -> None:
    entry = running.entries[0]
    assert entry.popen is not None
    with crowd.measure_usage(entry.popen.pid, [entry.address]) as usage:
        crowd.Crowd(entry.address, BEHAVIOURS[kind], CALLERS, SEED).press(
            PRESSED_S
        )
        assert is_answered(entry.address, MODELS)
        assert is_answered(entry.address, make_completion(COMPLETION))
    assert entry.running
    assert usage.memory_mb < MEMORY_MB
    assert usage.descriptors <= MAX_DESCRIPTORS


def test_an_entry_without_memory_says_that_nothing_ran(
    running: deployment.Deployment,
) -> None:
    answers = crowd.collect_answers(
        running.entries[0].address, make_head(LACKING), CALLERS // 10
    )
    assert answers
    for answer in answers:
        assert answer.status == 503
        assert json.loads(answer.body)["error"]["outcome"] == "not_run"
        assert "retry-after" in answer.headers


def test_a_body_in_chunks_counts_whatever_length_its_head_names(
    running: deployment.Deployment,
) -> None:
    entry = running.entries[0]
    assert entry.popen is not None
    behaviour = crowd.Behaviour(
        make_head("Content-Length: 1", CHUNKED)
        + crowd.make_chunk(16_384) * (BODY_BYTES // 16_384 - 1)
    )
    with crowd.measure_usage(entry.popen.pid, [entry.address]) as usage:
        crowd.Crowd(entry.address, behaviour, CALLERS, SEED).press(PRESSED_S)
        assert is_answered(entry.address, MODELS)
    assert usage.memory_mb < MEMORY_MB


def test_a_crowd_at_a_scheduler_leaves_it_its_memory_and_its_callers(
    running: deployment.Deployment,
) -> None:
    scheduler = running.schedulers[0]
    assert scheduler.popen is not None
    behaviour = crowd.Behaviour(b"", b"x" * 65_536)
    with crowd.measure_usage(scheduler.popen.pid, [scheduler.address]) as usage:
        crowd.Crowd(scheduler.address, behaviour, CALLERS, SEED).press(
            PRESSED_S
        )
        address = running.entries[0].address
        assert is_answered(address, make_completion(COMPLETION))
    assert scheduler.running
    assert usage.memory_mb < MEMORY_MB
    assert usage.descriptors <= MAX_DESCRIPTORS


def pad_completion(size: int) -> bytes:
    """Returns a request with a prompt that gives its body a size."""
    content = "x" * (size - len(COMPLETION))
    return COMPLETION.replace(b"good day", b"good day" + content.encode())


@pytest.mark.parametrize("chunk_bytes", [None, 16_384])
def test_a_single_request_inside_the_limits_of_an_entry_is_served(
    running: deployment.Deployment, chunk_bytes: int | None
) -> None:
    # The tokens of so large a prompt exceed any engine; a plain service has
    # no such limit.
    body = pad_completion(BODY_BYTES)
    head = make_head(LACKING, path="/services/portal/x")
    data = body
    if chunk_bytes:
        head = make_head(CHUNKED, path="/services/portal/x")
        parts = (
            body[at : at + chunk_bytes]
            for at in range(0, len(body), chunk_bytes)
        )
        data = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        data += b"0\r\n\r\n"
    answer = crowd.exchange(running.entries[0].address, head + data)
    assert answer.status == 200


def test_a_body_of_small_chunks_is_served_by_an_entry(
    running: deployment.Deployment,
) -> None:
    body = pad_completion(16_384)
    data = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    head = make_head(CHUNKED, path="/services/portal/x")
    answer = crowd.exchange(running.entries[0].address, head + data)
    assert answer.status == 200


def test_a_length_over_the_limit_of_an_entry_is_refused_at_once(
    running: deployment.Deployment,
) -> None:
    head = make_head(f"Content-Length: {BODY_BYTES + 1}")
    answer = crowd.exchange(running.entries[0].address, head)
    assert answer.status == 413

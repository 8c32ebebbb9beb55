"""Callers that do not behave must not take a process's memory or its time.

Guards against these failures: small headers, small chunks, requests without
their last byte and many large requests took 305 to 780 MB on a VM of 300 MB;
chunks of a byte or two kept it from answering anyone, also after their senders
had left.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Iterator

import pytest

from ramptray.peer import link
from test import crowd, node
from test.test_node import ask, make_headers, wait_until

pytestmark = pytest.mark.alone

MEMORY_MB = 120
"""Memory of the VM.  Its program takes 50 MB without callers."""

MAX_DESCRIPTORS = 1000
CALLERS = 500
PRESSED_S = 4.0
"""How long the crowd stays, in seconds."""

SEED = 92
BODY_BYTES = 1 << 20
HEAD_BYTES = 8192
SMALL_HEADERS = 1_250


@pytest.fixture
def platform() -> Iterator[node.Platform]:
    """A VM with little memory, whose callers may send large requests."""
    with node.make_folder() as folder:
        started = node.Platform(folder)
        started.memory_mb = MEMORY_MB
        started.max_descriptors = MAX_DESCRIPTORS
        try:
            started.start_store()
            config = node.make_config(1)
            config["limits"] = {
                "maxHeaderBytes": HEAD_BYTES,
                "maxBodyBytes": BODY_BYTES,
                "headerTimeoutMs": 30_000,
                "idleTimeoutMs": 30_000,
            }
            started.set_config(config)
            for number in range(2):
                started.start_replica(f"i-{number}")
                started.set_faults(f"i-{number}", work_s=0.05)
            started.start_vm("vm-0")
            started.wait_for_config("vm-0", 1)
            wait_until(functools.partial(is_answered, started))
            yield started
        finally:
            started.stop_all()


def is_answered(started: node.Platform, body: bytes | None = None) -> bool:
    """Returns whether an ordinary caller gets its answer in the end."""
    return crowd.is_answered(lambda: ask(started, "/safe/", "POST", body))


def make_head(*lines: str, request_id: str = "crowd") -> bytes:
    """Returns the head of a request."""
    fields = make_headers(X_Request_Id=request_id).items()
    named = (f"{name}: {value}" for name, value in fields)
    return "\r\n".join(
        ("POST /safe/ HTTP/1.1", *named, *lines, "", "")
    ).encode()


def make_full_head(*lines: str) -> bytes:
    """Returns a head with as many small headers as the limit allows."""
    small = (HEAD_BYTES - len(make_head(*lines))) // len("a:b\r\n") - 1
    return make_head(*lines, *("a:b" for _ in range(small)))


def make_head_of_small_headers(*lines: str) -> bytes:
    """Returns a head within the limit however its headers are counted."""
    return make_head(*lines, *("a:b" for _ in range(SMALL_HEADERS)))


def make_chunks(size: int, total: int) -> bytes:
    return crowd.make_chunk(size) * (total // size)


CHUNKED = "Transfer-Encoding: chunked"
LACKING = f"Content-Length: {BODY_BYTES}"
REQUEST = make_head("Content-Length: 0")
LONG_ID = make_head("Content-Length: 0", request_id="i" * 7_500).replace(
    b"/safe/", b"/unknown/"
)

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
        make_head(CHUNKED) + make_chunks(16_384, BODY_BYTES - 16_384)
    ),
    "two_byte_chunks_that_stop": crowd.Behaviour(
        make_head(CHUNKED) + make_chunks(2, BODY_BYTES - 2)
    ),
    "one_byte_chunks_that_stop": crowd.Behaviour(
        make_head(CHUNKED) + make_chunks(1, BODY_BYTES - 1)
    ),
    "few_small_chunks_that_stop": crowd.Behaviour(
        make_head(CHUNKED) + make_chunks(2, 4_000)
    ),
    "small_chunks_that_trickle": crowd.Behaviour(
        make_head(CHUNKED) + make_chunks(16_384, BODY_BYTES - 65_536),
        trickled=crowd.make_chunk(2),
    ),
    "extensions": crowd.Behaviour(
        make_head(CHUNKED), crowd.make_chunk(1, ";a=" + "b" * 4_000)
    ),
    "trailers_without_end": crowd.Behaviour(
        make_head(CHUNKED) + b"0\r\n", b"a:b\r\n" * 1_000
    ),
    "small_headers": crowd.Behaviour(
        make_head_of_small_headers("Content-Length: 100") + b"x" * 99
    ),
    "small_headers_and_a_trickle": crowd.Behaviour(
        make_head_of_small_headers(LACKING), trickled=b"x"
    ),
    "heads_without_end": crowd.Behaviour(
        make_head_of_small_headers()[:-2], trickled=b"a"
    ),
    "whole_large_requests": crowd.Behaviour(
        make_head(LACKING) + b"x" * BODY_BYTES
    ),
    "whole_medium_requests": crowd.Behaviour(
        make_head("Content-Length: 262144") + b"x" * 262_144
    ),
    "whole_requests_of_small_headers": crowd.Behaviour(
        make_head_of_small_headers("Content-Length: 0")
    ),
    "long_ids": crowd.Behaviour(LONG_ID, LONG_ID),
    "answers_never_read": crowd.Behaviour(REQUEST, REQUEST * 10, reads=False),
    "requests_sent_ahead": crowd.Behaviour(REQUEST, REQUEST * 100),
    "bytes_behind_a_request": crowd.Behaviour(REQUEST, b"x" * 65_536),
}


def press(
    started: node.Platform, address: str, behaviour: crowd.Behaviour
) -> None:
    """Presses a port of the VM; checks it during and after it."""
    process = started.processes["vm-0"]
    vm = started.vms["vm-0"]
    ports = [vm["front"], vm["ready"], vm["control"], vm["metrics"]]
    with crowd.measure_usage(process.pid, ports) as usage:
        crowd.Crowd(address, behaviour, CALLERS, SEED).press(PRESSED_S)
        assert is_answered(started)
        assert is_answered(started, b"x" * 40_000)
        assert node.call(vm["ready"], "GET", "/v1/ready").status == 200
    assert process.poll() is None
    assert usage.memory_mb < MEMORY_MB
    assert usage.descriptors <= MAX_DESCRIPTORS


@pytest.mark.parametrize("kind", BEHAVIOURS)
def test_a_crowd_leaves_a_vm_its_memory_and_its_callers(
    platform: node.Platform, kind: str
) -> None:
    press(platform, platform.vms["vm-0"]["front"], BEHAVIOURS[kind])


def make_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Returns a frame of HTTP/2 (RFC 9113, section 4.1)."""
    head = len(payload).to_bytes(3) + bytes((kind, flags))
    return head + stream.to_bytes(4) + payload


def make_unfinished_calls(count: int) -> bytes:
    """Returns calls over HTTP/2 whose messages lack most of their bytes.

    Together they have as many bytes as a server reads that adds to no window.
    """
    path = f"/{link.SERVICE}/Ask".encode()
    # HPACK: the method and scheme by their index, the others as literals.
    fields = b"\x83\x86" + b"".join(
        b"\x00%c%s%c%s" % (len(name), name, len(value), value)
        for name, value in (
            (b":path", path),
            (b":authority", b"vm"),
            (b"content-type", b"application/grpc"),
            (b"te", b"trailers"),
        )
    )
    message = b"\x00" + (4_000_000).to_bytes(4) + b"x" * (65_535 // count - 5)
    calls = b"".join(
        make_frame(1, 4, stream, fields) + make_frame(0, 0, stream, message)
        for stream in range(1, 2 * count, 2)
    )
    preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    return preface + make_frame(4, 0, 0, b"") + calls


def test_unfinished_calls_at_the_port_for_vms_leave_a_vm_its_memory(
    platform: node.Platform,
) -> None:
    behaviour = crowd.Behaviour(make_unfinished_calls(8))
    press(platform, platform.vms["vm-0"]["control"], behaviour)


def test_a_vm_without_memory_says_that_nothing_ran(
    platform: node.Platform,
) -> None:
    answers = crowd.collect_answers(
        platform.vms["vm-0"]["front"], make_head(LACKING), CALLERS // 10
    )
    assert answers
    for answer in answers:
        assert answer.status == 503
        assert b"crowded" in answer.body
        assert "retry-after" in answer.headers
    assert platform.list_runs().count("crowd") == 0


PAGE = b"GET /v1/ready HTTP/1.1\r\nHost: vm\r\n"
OTHER_PORTS = ("ready", "control", "metrics")
PORT_BEHAVIOURS: dict[str, crowd.Behaviour] = {
    "body_without_end": crowd.Behaviour(
        PAGE + b"Content-Length: 1000000000\r\n\r\n", b"x" * 65_536
    ),
    "small_chunks_without_end": crowd.Behaviour(
        PAGE + b"Transfer-Encoding: chunked\r\n\r\n",
        crowd.make_chunk(2) * 1_000,
    ),
    "head_without_end": crowd.Behaviour(PAGE, b"a:b\r\n" * 1_000),
    "answers_never_read": crowd.Behaviour(
        b"", (PAGE + b"\r\n") * 100, reads=False
    ),
    "bytes_without_a_line": crowd.Behaviour(b"", b"x" * 65_536),
}


@pytest.mark.parametrize("port", OTHER_PORTS)
@pytest.mark.parametrize("kind", PORT_BEHAVIOURS)
def test_a_crowd_at_another_port_leaves_a_vm_its_memory_and_its_callers(
    platform: node.Platform, port: str, kind: str
) -> None:
    address = platform.vms["vm-0"][port]
    if ":" not in address:
        address = f"127.0.0.1:{address}"
    press(platform, address, PORT_BEHAVIOURS[kind])


def make_chunked_body(chunks: bytes) -> bytes:
    """Returns the last lines of a head, and its body."""
    return f"{CHUNKED}\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize(
    "head",
    [make_full_head(), make_head("a:" + "b" * (HEAD_BYTES - 300))],
    ids=["small_headers", "one_header"],
)
@pytest.mark.parametrize(
    ("body", "size"),
    [
        (
            b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * BODY_BYTES,
            BODY_BYTES,
        ),
        (make_chunked_body(make_chunks(16_384, BODY_BYTES)), BODY_BYTES),
        (make_chunked_body(make_chunks(2, 65_536)), 65_536),
        (
            make_chunked_body(crowd.make_chunk(1, ";a=" + "b" * 1_000) * 4),
            4,
        ),
    ],
    ids=["length", "large_chunks", "small_chunks", "extensions"],
)
def test_a_single_request_inside_the_limits_is_served(
    platform: node.Platform, head: bytes, body: bytes, size: int
) -> None:
    # Room for the lines that name the body's length.
    trimmed = head[:-2].replace(b"a:b\r\n", b"", 8)
    answer = crowd.exchange(platform.vms["vm-0"]["front"], trimmed + body)
    assert answer.status == 200
    assert json.loads(answer.body)["bytes"] == size


def test_a_request_larger_than_the_part_of_requests_is_served(
    platform: node.Platform,
) -> None:
    size = MEMORY_MB * 1_000_000 // 3
    limits = {**node.make_config(1)["limits"], "maxBodyBytes": size}
    platform.set_config(node.make_config(2, limits=limits))
    platform.wait_for_config("vm-0", 2)
    front = platform.vms["vm-0"]["front"]
    pid = platform.processes["vm-0"].pid
    with crowd.measure_usage(pid, [front]) as usage:
        head = make_head(f"Content-Length: {size}")
        assert crowd.exchange(front, head + b"x" * size).status == 200
    assert usage.memory_mb < MEMORY_MB


def test_a_head_of_the_largest_size_is_served(platform: node.Platform) -> None:
    # Four bytes were counted for each header beside its name and value, but
    # the optional space takes one of them.
    few = make_head("Content-Length: 0")
    small = (HEAD_BYTES - len(few)) // len("a:b\r\n")
    head = make_head("Content-Length: 0", *("a:b" for _ in range(small)))
    assert HEAD_BYTES - len("a:b\r\n") < len(head) <= HEAD_BYTES
    assert crowd.exchange(platform.vms["vm-0"]["front"], head).status == 200


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (make_head(f"Content-Length: {BODY_BYTES + 1}"), 413),
        (make_head(CHUNKED) + make_chunks(16_384, BODY_BYTES + 16_384), 413),
        (make_head("a:" + "b" * HEAD_BYTES), 431),
    ],
    ids=["length", "chunks", "head"],
)
def test_what_exceeds_a_limit_is_refused_before_the_rest_is_read(
    platform: node.Platform, head: bytes, status: int
) -> None:
    assert crowd.exchange(platform.vms["vm-0"]["front"], head).status == status

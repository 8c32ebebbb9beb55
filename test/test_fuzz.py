"""What comes from outside, with every part malformed: no error but its own."""

from __future__ import annotations

import contextlib
import json
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from ramptray.peer import codec
from ramptray.platform import config, header, record
from ramptray.relay import message
from test import node

EXAMPLES = 300

ANSWER_NAMES = st.sampled_from(
    [
        b"X-Request-Id",
        b"X-Not-Executed",
        b"Server-Limit",
        b"Server-Leaving",
        b"Retry-After",
        b"Keep-Alive",
        b"Connection",
        b"X-Response-Signature",
    ]
)
REQUEST_NAMES = st.sampled_from(
    [
        b"X-Request-Id",
        b"X-Deadline-Ms",
        b"Authorization",
        b"X-Token-Count",
        b"X-Length-Hint",
        b"X-Prompt-Prefix",
        b"X-Model",
        b"Last-Event-Id",
        b"Host",
        b"Connection",
        b"Transfer-Encoding",
        b"Content-Length",
    ]
)
LIKELY = st.sampled_from(
    [
        b"",
        b"0",
        b"1",
        b"-1",
        b"1.5",
        b"1e9",
        b"nan",
        b"inf",
        b"9" * 40,
        b"a:1,b",
    ]
)
VALUES = LIKELY | st.binary(max_size=40)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=12,
)
CONFIG = node.make_config(1)
fuzz = settings(derandomize=True, deadline=None, max_examples=EXAMPLES)


def is_amount(found: float | None) -> bool:
    """Returns whether a decoded number may be reckoned with."""
    return found is None or (math.isfinite(found) and found >= 0)


@fuzz
@given(
    status=st.integers(200, 599),
    headers=st.lists(st.tuples(ANSWER_NAMES | st.binary(), VALUES), max_size=9),
)
def test_no_head_of_an_answer_raises(
    status: int, headers: message.Headers
) -> None:
    dialect = header.PlatformDialect()
    answer = dialect.parse_response_head(status, headers)
    assert is_amount(answer.limit_per_s)
    assert is_amount(answer.pause_s)
    assert is_amount(answer.idle_s)
    assert answer.pause_s is None or status == 503
    assert len(answer.headers) <= len(headers)


@fuzz
@given(
    target=st.binary(max_size=40),
    headers=st.lists(
        st.tuples(REQUEST_NAMES | st.binary(), VALUES), max_size=9
    ),
)
def test_no_head_of_a_request_raises(
    target: bytes, headers: message.Headers
) -> None:
    head = message.RequestHead(b"GET", target, headers)
    match header.PlatformDialect().parse_request(head):
        case Ok(asked):
            assert is_amount(asked.deadline_s)
            assert is_amount(asked.prompt_tokens)
            assert len(asked.prefix) == len(asked.prefix_tokens)
        case Err(mistake):
            assert mistake.status == 400


@fuzz
@given(
    value=st.binary(max_size=60)
    | JSON.map(lambda found: json.dumps(found).encode()),
    name=st.text(max_size=9),
)
def test_a_record_is_sound_or_names_its_mistake(
    value: bytes, name: str
) -> None:
    with contextlib.suppress(record.RecordError):
        record.parse_record(value, name)


@fuzz
@given(field=st.sampled_from(sorted(CONFIG)), value=JSON)
def test_a_configuration_is_sound_or_names_its_mistake(
    field: str, value: object
) -> None:
    text = json.dumps({**CONFIG, field: value})
    with contextlib.suppress(config.ConfigError):
        config.parse_config(text)


@fuzz
@given(
    part=st.sampled_from(["routes", "services", "tenants"]),
    field=st.sampled_from(
        sorted({**CONFIG["routes"][0], **CONFIG["tenants"][1]})
    ),
    value=JSON,
)
def test_a_part_of_a_configuration_is_sound_or_names_its_mistake(
    part: str, field: str, value: object
) -> None:
    parts = [{**each, field: value} for each in CONFIG[part]]
    with contextlib.suppress(config.ConfigError):
        config.parse_config(json.dumps({**CONFIG, part: parts}))


@fuzz
@given(frame=st.binary(max_size=80))
def test_a_peer_s_frame_is_sound_or_refused(frame: bytes) -> None:
    with contextlib.suppress(codec.CodecError):
        codec.decode(frame)

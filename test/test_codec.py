"""Encoding of messages, also between VMs of two versions."""

from __future__ import annotations

import msgspec
import pytest

from ramptray.core import message
from ramptray.peer import codec


def test_an_unknown_message_of_a_newer_version_is_ignored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    known = message.ServerHints("i-1", 1, 2.0)
    unknown = ("LaterKind", {"field": 1})
    named = [("ServerHints", known), unknown, unknown, ("ServerHints", known)]
    data = msgspec.msgpack.encode((7, named))
    assert codec.decode(data) == codec.Frame(7, [known, known])
    logged = [r for r in caplog.records if "unknown message" in r.message]
    assert len(logged) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"garbage",
        msgspec.msgpack.encode((7, [("ServerHints", {"backend": 3})])),
        msgspec.msgpack.encode(("x", [])),
    ],
)
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(codec.CodecError):
        codec.decode(data)

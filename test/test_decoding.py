"""Whatever a decoder, or opening a connection, raises is one error."""

from __future__ import annotations

import pathlib
from typing import Any

import anyio
import pytest

from ramptray import decoding
from ramptray.peer import codec
from ramptray.platform import header, page, settings, store
from ramptray.relay import backend_probe, connection
from test import odd_records

NO_HOSTS = ["a" * 70 + ":80", "a..b:80", "127.0.0.1:99999", "127.0.0.1:x", ":"]


@pytest.mark.parametrize(
    "data",
    [
        odd_records.NESTED,
        b"\xff",
        b'"\\ud800"',
        b"9" * 5000,
        b"1e400",
        b"",
        b"{}" * 2,
        b" " * (decoding.MAX_BYTES + 1),
    ],
    ids=[
        "nested",
        "no_text",
        "surrogate",
        "long_number",
        "large_number",
        "empty",
        "two_values",
        "too_large",
    ],
)
def test_invalid_json_is_one_error(data: bytes) -> None:
    with pytest.raises(decoding.DecodeError) as caught:
        decoding.decode_json(data, int)
    assert 0 < len(str(caught.value)) <= decoding.MAX_ERROR_CHARS
    with pytest.raises(decoding.DecodeError):
        decoding.decode_json(b"[%s, 1]" % data, list[dict[str, Any]])


def test_a_nested_frame_of_a_peer_is_no_message() -> None:
    with pytest.raises(codec.CodecError):
        codec.decode(b"\x92\x00\x91\x92\xa5Hello" + odd_records.NESTED_MSGPACK)


@pytest.mark.parametrize("data", [b"\xff", b"a = " + b"[" * 40_000])
def test_settings_that_are_no_text_are_one_error(
    data: bytes, tmp_path: pathlib.Path
) -> None:
    # A file that was read while it was written ended the process.
    path = tmp_path / "settings.toml"
    path.write_bytes(data)
    with pytest.raises(settings.SettingsError):
        settings.read_settings(path)


@pytest.mark.parametrize("address", NO_HOSTS)
def test_an_address_that_cannot_be_connected_refuses(address: str) -> None:
    async def connect() -> None:
        with pytest.raises(connection.NotSentError) as caught:
            await connection.open_connection(
                connection.Target(address), header.PlatformDialect()
            )
        assert caught.value.refused
        found = await backend_probe.probe_backend(address)
        assert found is not backend_probe.ProbeResult.LISTENING
        with pytest.raises(store.StoreError):
            await store.Store(address).read_newest("topic")

    anyio.run(connect)


def test_a_page_that_repeats_is_an_error() -> None:
    # The store names a key in a form by which it does not find it again.
    item = page.NewestItem("odd-\ud800", "", 1)
    body = page.encode_newest(page.NewestPage([item], 2, True))

    class Repeating(store.Store):
        async def _request(self, *args: Any) -> store.StoreResponse:
            return store.StoreResponse(200, 1, body)

    async def read() -> None:
        with anyio.fail_after(1.0), pytest.raises(store.StoreError):
            await Repeating("127.0.0.1:9").read_newest("topic")

    anyio.run(read)

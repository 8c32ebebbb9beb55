"""The platform's configuration, records, settings and headers, decoded."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from result import Err, Ok

from ramptray.bundle import model
from ramptray.log import reader as log_reader
from ramptray.platform import (
    config,
    follower,
    header,
    record,
    replicas,
    settings,
    store,
    topic,
)
from ramptray.relay import message
from test import node


def test_a_configuration_becomes_a_bundle() -> None:
    bundle = config.parse_config(json.dumps(node.make_config(12)))
    assert bundle.generation == 12
    assert bundle.get_customer_by_key(node.KEY) == "ola"
    stream = bundle.routes["stream"]
    assert stream.kind is model.RouteKind.STREAM
    assert stream.timeout_s == 4.0
    assert stream.patience_s == 2.0
    assert bundle.customers["small"].limits.tokens_per_s == 100
    assert bundle.relay.idle_s == 4.0


def test_a_customer_s_rank_goes_before_the_route_s() -> None:
    raw = node.make_config(1)
    raw["routes"][0]["priority"] = 2
    raw["tenants"][0]["priority"] = 1
    bundle = config.parse_config(json.dumps(raw))
    tier = bundle.customers["ola"].route_tiers[bundle.routes["safe"].tier]
    ranks = bundle.get_tier_ranks()
    high = bundle.customers["ola"].route_tiers[bundle.routes["once"].tier]
    other = bundle.customers["small"].route_tiers[bundle.routes["safe"].tier]
    assert ranks[other] < ranks[high] < ranks[tier]


def test_a_customer_without_keys_is_left_out() -> None:
    raw = node.make_config(1)
    raw["tenants"][0]["apiKeys"] = []
    bundle = config.parse_config(json.dumps(raw))
    assert "ola" not in bundle.customers


def test_a_mistake_in_a_configuration_names_its_place() -> None:
    raw = node.make_config(1)
    del raw["routes"][1]["timeoutMs"]
    with pytest.raises(config.ConfigError, match=r"routes\.1\.timeoutMs"):
        config.parse_config(json.dumps(raw))
    with pytest.raises(config.ConfigError, match="JSON"):
        config.parse_config("{")


def test_a_mistake_in_a_customer_s_keys_does_not_tell_the_key() -> None:
    raw = node.make_config(1)
    raw["tenants"][0]["apiKeys"] = "secret-key"
    with pytest.raises(
        config.ConfigError, match=r"tenants\.0\.apiKeys"
    ) as told:
        config.parse_config(json.dumps(raw))
    assert "secret" not in str(told.value)


@pytest.mark.parametrize(
    ("place", "value"),
    [
        ("kind", "awaiting_reply of"),
        ("timeoutMs", 0),
        ("maxAttempts", 0),
        ("pathPrefix", 7),
        ("name", ""),
    ],
)
def test_a_route_that_makes_no_sense_names_its_place(
    place: str, value: object
) -> None:
    raw = node.make_config(1)
    raw["routes"][2][place] = value
    with pytest.raises(config.ConfigError, match=rf"routes\.2\.{place}"):
        config.parse_config(json.dumps(raw))


def test_a_route_that_leads_nowhere_is_a_mistake() -> None:
    raw = node.make_config(1)
    del raw["routes"][2]["service"]
    with pytest.raises(config.ConfigError, match="stream leads to no service"):
        config.parse_config(json.dumps(raw))


def test_only_what_has_changed_in_a_configuration_is_made_anew() -> None:
    parser = config.ConfigParser()
    raw = node.make_config(1)
    before = parser.parse(json.dumps(raw))
    raw = node.make_config(2)
    raw["routes"][1]["pathPrefix"] = "/other/"
    after = parser.parse(json.dumps(raw))
    assert after == config.parse_config(json.dumps(raw))
    assert after.routes["safe"] is before.routes["safe"]
    assert after.routes["once"].path_prefix == "/other/"
    del raw["routes"][0]["kind"]
    with pytest.raises(config.ConfigError, match=r"routes\.0\.kind"):
        parser.parse(json.dumps(raw))
    raw["routes"] = 7
    with pytest.raises(config.ConfigError, match="routes"):
        parser.parse(json.dumps(raw))
    assert parser.parse(json.dumps(node.make_config(3))).generation == 3


def test_settings_name_file_and_place_of_a_mistake(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text('node = "a"\nip = "127.0.0.1"\nzone = "z"\n')
    with pytest.raises(settings.SettingsError, match=r"node\.toml: listen"):
        settings.read_settings(path)
    path.write_text("node = [")
    with pytest.raises(settings.SettingsError, match="node.toml"):
        settings.read_settings(path)


def read(
    *headers: tuple[str, str],
) -> message.CallerRequest | message.InvalidRequest:
    """Returns what the adapter makes of a request with these headers."""
    head = message.RequestHead(
        b"POST", b"/a/", [(n.encode(), v.encode()) for n, v in headers]
    )
    match header.PlatformDialect().parse_request(head):
        case Ok(asked):
            return asked
        case Err(mistake):
            return mistake


def test_a_request_s_headers_are_decoded() -> None:
    asked = read(
        ("Host", "LM.example:80"),
        ("X-Request-Id", "r1"),
        ("X-Token-Count", "1460,80"),
        ("X-Length-Hint", "33"),
        ("X-Deadline-Ms", "1500"),
        ("Authorization", "Bearer k"),
        ("X-Tenant", "forged"),
        ("Connection", "close, x-mine, x-token-count"),
        ("X-Mine", "1"),
    )
    assert isinstance(asked, message.CallerRequest)
    assert (asked.host, asked.key, asked.deadline_s) == ("lm.example", "k", 1.5)
    assert (asked.prompt_tokens, asked.output_tokens) == (1460, 80)
    assert asked.likely_tokens == 33
    names = [name.lower() for name, _ in asked.headers]
    assert names == [
        b"host",
        b"x-request-id",
        b"x-token-count",
        b"x-length-hint",
    ]


@pytest.mark.parametrize(
    "headers",
    [
        [("Host", "a")],
        [("X-Request-Id", "1"), ("X-Request-Id", "2")],
        [
            ("X-Request-Id", "1"),
            ("Content-Length", "1"),
            ("Transfer-Encoding", "chunked"),
        ],
    ],
)
def test_requests_without_one_meaning_are_refused(
    headers: list[tuple[str, str]],
) -> None:
    mistake = read(*headers)
    assert isinstance(mistake, message.InvalidRequest)
    assert mistake.status == 400


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"X-Not-Executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (500, [], False),
    ],
)
def test_only_a_replica_s_word_says_not_run(
    status: int, headers: message.Headers, not_run: bool
) -> None:
    answer = header.PlatformDialect().parse_response_head(status, headers)
    assert answer.not_run is not_run


def read_limit(*values: bytes) -> float | None:
    headers = [(b"Server-Limit", value) for value in values]
    return (
        header.PlatformDialect().parse_response_head(200, headers).limit_per_s
    )


@pytest.mark.parametrize("value", [b"2", b"1.1", b"0.25", b" 12.5 ", b"0"])
def test_the_request_limit_of_an_answer_is_decoded(value: bytes) -> None:
    assert read_limit(value) == float(value)


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"1e3",),
        (b"inf",),
        (b"nan",),
        (b"2 a second",),
        (b"9" * 400,),
        (b"2", b"2"),
        (b"2, 3",),
    ],
)
def test_an_invalid_request_limit_is_counted_and_ignored(
    values: tuple[bytes, ...], caplog: pytest.LogCaptureFixture
) -> None:
    headers = [(b"server-limit", value) for value in values]
    dialect = header.PlatformDialect()
    for _ in range(100):
        answer = dialect.parse_response_head(200, headers)
        assert answer.limit_per_s is None
        assert answer.headers == headers
    assert dialect.invalid == {"server-limit": 100}
    assert 0 < len(caplog.records) <= 8


def read_answer(
    status: int, *headers: tuple[bytes, bytes]
) -> message.ResponseHead:
    return header.PlatformDialect().parse_response_head(status, list(headers))


def test_a_leaving_server_is_known_by_its_answer() -> None:
    for status in (200, 421, 500, 503):
        assert read_answer(status, (b"Server-Leaving", b"1")).is_leaving
    assert not read_answer(200).is_leaving


@pytest.mark.parametrize("value", [b"3", b"0.25", b"0", b" 12.5 "])
def test_the_pause_that_a_server_asks_for_is_decoded(value: bytes) -> None:
    assert read_answer(503, (b"Retry-After", value)).pause_s == float(value)


def test_only_a_server_that_turns_a_request_away_asks_for_a_pause() -> None:
    for status in (200, 421, 429, 500):
        assert read_answer(status, (b"Retry-After", b"3")).pause_s is None


@pytest.mark.parametrize(
    ("name", "values"),
    [
        ("retry-after", (b"",)),
        ("retry-after", (b"-1",)),
        ("retry-after", (b"1e3",)),
        ("retry-after", (b"inf",)),
        ("retry-after", (b"Wed, 21 Oct 2026 07:28:00 GMT",)),
        ("retry-after", (b"9" * 400,)),
        ("retry-after", (b"2", b"2")),
        ("server-leaving", (b"",)),
        ("server-leaving", (b"0",)),
        ("server-leaving", (b"yes",)),
        ("server-leaving", (b"1", b"0")),
    ],
)
def test_an_invalid_hint_is_counted_and_ignored(
    name: str, values: tuple[bytes, ...], caplog: pytest.LogCaptureFixture
) -> None:
    headers = [(name.title().encode(), value) for value in values]
    dialect = header.PlatformDialect()
    for _ in range(100):
        answer = dialect.parse_response_head(503, headers)
        assert answer.pause_s is None
        assert not answer.is_leaving
        assert answer.headers == headers
    assert dialect.invalid == {name: 100}
    assert 0 < len(caplog.records) <= 8


def test_an_answer_header_without_a_reader_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    dialect = header.PlatformDialect()
    known = [(b"Content-Type", b"a"), (b"Server-Limit", b"2"), (b"Date", b"b")]
    dialect.parse_response_head(200, known)
    assert not caplog.records
    for number in range(100):
        names = [b"Server-Mood", f"X-New-{number}".encode()]
        dialect.parse_response_head(200, [(name, b"1") for name in names])
    assert len(caplog.records) == header.MAX_LOGGED_NAMES


def make_record(state: str = "ready") -> bytes:
    return json.dumps(
        {
            "service": "lm",
            "address": "127.0.0.1:1",
            "zone": "z",
            "slots": 2,
            "state": state,
        }
    ).encode()


def list_usable(book: replicas.ReplicaRegistry) -> set[str]:
    """Returns the replicas that may get new work."""
    listed = book.list_replicas()
    return {name for name, known in listed.items() if not known.leaving}


def test_a_replica_that_has_gone_is_known_to_have_gone() -> None:
    # kl-ramptray, scale-2, seed 193495022005: an owner that was cut off from
    # the store went on granting a replica, and an entry that had seen it go
    # took its address from the grant.
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change("a", make_record())], 0.0)
    book.apply_changes([store.Change("a", None)], 10.0)
    assert book.list_replicas()["a"].leaving
    book.expire(10.0 + replicas.GONE_RETENTION_S)
    assert book.list_replicas() == {}
    book.apply_changes([store.Change("a", make_record())], 80.0)
    assert list_usable(book) == {"a"}


def test_a_record_without_sense_is_told_and_passed_over() -> None:
    with pytest.raises(record.RecordError, match="slots"):
        record.parse_record(b'{"service": "lm", "slots": 0}')
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change("i", b"nonsense")], 0.0)
    assert book.list_replicas() == {}


def test_a_replica_that_leaves_never_comes_back_by_an_old_read() -> None:
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change("i", make_record("draining"))], 0.0)
    book.apply_snapshot([store.Change("i", make_record())], 1.0)
    assert book.list_replicas()["i"].leaving


def test_a_single_record_that_goes_is_believed() -> None:
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change(n, make_record()) for n in "ab"], 0.0)
    book.apply_changes([store.Change("a", None)], 10.0)
    assert list_usable(book) == {"b"}


def test_records_that_lapsed_with_the_store_are_waited_for() -> None:
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change(n, make_record()) for n in "abc"], 0.0)
    book.record_store_error(9.0)
    book.record_store_recovery(10.0)
    book.apply_changes([store.Change(n, None) for n in "abc"], 10.1)
    assert not book.expire(12.1)
    assert list_usable(book) == {"a", "b", "c"}
    book.apply_changes([store.Change("a", make_record())], 12.1)
    assert book.expire(12.3)
    assert list_usable(book) == {"a"}


def test_a_record_that_goes_after_the_store_is_back_is_not_kept_long() -> None:
    # kl-ramptray, fresh-1715: a replica left two seconds after the store was
    # back and got a request 2.3 s later.
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change("a", make_record())], 0.0)
    book.record_store_recovery(10.0)
    book.apply_changes([store.Change("a", None)], 12.0)
    assert book.expire(13.7)
    assert list_usable(book) == set()


def test_a_record_that_went_and_came_back_in_one_answer_is_there() -> None:
    # Records lapsed while the store was silent and were written anew at its
    # return.  A VM that asked just then read both in one answer, took all that
    # had gone after all that had come, and after "kept without a record"
    # dropped three of four live backend servers of a service with "its record
    # is still missing": for good, as nothing more was written about them.
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change(n, make_record()) for n in "abc"], 0.0)
    book.record_store_recovery(10.0)
    went = [store.Change(n, None) for n in "abc"]
    came = [store.Change(n, make_record()) for n in "ab"]
    book.apply_changes([*went, *came], 10.1)
    book.expire(20.0)
    assert list_usable(book) == {"a", "b"}


def test_a_record_that_came_and_went_in_one_answer_has_gone() -> None:
    book = replicas.ReplicaRegistry(1.6)
    came = [store.Change("a", make_record()), store.Change("b", make_record())]
    book.apply_changes([*came, store.Change("a", None)], 0.0)
    assert list_usable(book) == {"b"}


def test_records_that_go_together_are_kept_for_a_moment() -> None:
    book = replicas.ReplicaRegistry(1.6)
    book.apply_changes([store.Change(n, make_record()) for n in "ab"], 0.0)
    book.apply_changes([store.Change(n, None) for n in "ab"], 10.0)
    assert not book.expire(11.5)
    assert book.expire(11.7)
    assert list_usable(book) == set()


class _ReturningStore(store.Store):
    """A store that fails once and then answers each read."""

    def __init__(self) -> None:
        super().__init__("127.0.0.1:9")
        self.waits: list[float] = []

    async def read_newest(
        self, topic: str, on_bytes: Callable[[], Any] = list
    ) -> store.Changes:
        return store.Changes([], 5)

    async def read_changes(
        self,
        topic: str,
        offset: int,
        wait_s: float = store.READ_WAIT_S,
        timeout_s: float = store.READ_WAIT_S,
        on_bytes: Callable[[], Any] = list,
    ) -> store.Changes:
        self.waits.append(wait_s)
        if len(self.waits) == 2:
            raise store.StoreError("down")
        await anyio.sleep(0.01)
        return store.Changes([], offset)


class _LateStore(store.Store):
    """A store whose last bytes come as the call is given up."""

    async def _call(
        self,
        target: str,
        on_bytes: Callable[[], None],
        sent: bytes | None,
    ) -> store.StoreResponse:
        try:
            await anyio.sleep_forever()
        finally:
            on_bytes()
        raise AssertionError("never ends by itself")


def test_bytes_that_come_as_a_call_is_given_up_end_no_program() -> None:
    # Bytes move the end of a call, so that a large answer on a slow link is not
    # given up.  Where they came in the moment of the end, the call neither had
    # an answer nor was it told to have taken too long, and the program ended
    # with "cannot access local variable 'status'" (bin/bench soak, seeds 103
    # and 105 with 4 VMs).
    late = _LateStore("127.0.0.1:9")
    with pytest.raises(store.StoreTimeoutError):
        anyio.run(late.read_changes, "topic", 0, 0.0, 0.05)


def test_the_return_of_the_store_is_noticed_without_a_record() -> None:
    # kl-ramptray, trouble-1, seed 742343616300: the return was noticed with
    # the first record that went three seconds later, which was then taken for
    # one that had gone during the outage.
    reader = _ReturningStore()

    async def run() -> None:
        followed = topic.TopicReader(
            reader,
            follower.REPLICA_TOPIC,
            lambda changes, whole: None,
            lambda: None,
        )
        # Only VMs that watch read; the others are told of the return.
        followed.set_watching(True)
        with anyio.move_on_after(1.0):
            await followed.run()

    anyio.run(run)
    wait_s = log_reader.WATCH_WAIT_S
    assert reader.waits[:4] == [wait_s, wait_s, 0.0, wait_s]
